//! A source of truth: makes changes, and tells whoever subscribed.

use crate::Millis;
use crate::feed::{Feed, Next, Pace, SubscriberId, View};
use crate::ledger::Ledger;
use crate::message::{Message, PROTOCOL};
use crate::record::{Change, Version};

/// Why a connection has to end; the text of the [`Message::Goodbye`] that is sent first.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Refusal {
    /// Other words.
    #[error("protocol {theirs} is not spoken here, {ours} is; bring both parties to one version")]
    Protocol {
        /// What the other side speaks.
        theirs: u16,
        /// What this side speaks.
        ours: u16,
    },
    /// Something that this party is not to be told now.
    #[error("`{what}` makes no sense here: {why}")]
    OutOfTurn {
        /// The message.
        what: &'static str,
        /// What would be right.
        why: &'static str,
    },
    /// More of something than there may be.
    #[error("{is} {what}, {most} at most")]
    TooMany {
        /// Of what.
        what: &'static str,
        /// How many there are.
        is: usize,
        /// How many there may be.
        most: usize,
    },
    /// As many subscribers as there may be.
    #[error("{0} subscribers are connected, no more are taken; try another relay")]
    Full(usize),
}

/// Whoever is subscribed to: a source or a relay.
pub trait Upstream {
    /// A message came on a connection from downstream or, at a source, from a writer. Gives the answers.
    ///
    /// # Errors
    /// Where the connection has to end.
    fn on_message(
        &mut self,
        from: SubscriberId,
        message: Message,
        now: Millis,
    ) -> Result<Vec<Message>, Refusal>;

    /// What comes next for a subscriber. One that did not say hello gets nothing.
    fn next(&mut self, to: SubscriberId, now: Millis) -> Next;

    /// The connection ended.
    fn leave(&mut self, who: SubscriberId);
}

/// A source.
#[derive(Debug)]
pub struct Source {
    name: String,
    ledger: Ledger,
    feed: Feed,
}

impl Source {
    /// A source that holds this.
    #[must_use]
    pub fn new(name: &str, ledger: Ledger, pace: Pace) -> Self {
        Self { name: name.to_owned(), ledger, feed: Feed::new(pace) }
    }

    /// The same with another bound for subscribers.
    #[must_use]
    pub fn with_most_subscribers(mut self, most: usize) -> Self {
        self.feed.set_most(most);
        self
    }

    /// What it holds.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// How many subscribers are connected.
    #[must_use]
    pub fn subscribers(&self) -> usize {
        self.feed.len()
    }

    /// How many things of one subscriber are held: services in its scope, sources, services that it wants whole.
    #[must_use]
    pub fn held(&self, who: SubscriberId) -> usize {
        self.feed.held(who)
    }

    /// Makes all changes or none.
    fn write(&mut self, changes: Vec<Change>) -> Result<Version, String> {
        for change in &changes {
            Ledger::examine(change).map_err(|error| error.to_string())?;
        }
        for change in changes {
            self.ledger.write(change).map_err(|error| error.to_string())?;
        }
        Ok(self.ledger.head())
    }
}

impl Upstream for Source {
    fn on_message(
        &mut self,
        from: SubscriberId,
        message: Message,
        now: Millis,
    ) -> Result<Vec<Message>, Refusal> {
        match message {
            Message::Write { id, changes } => Ok(vec![Message::Written { id, result: self.write(changes) }]),
            other => serve(&mut self.feed, &self.name, from, other, now),
        }
    }

    fn next(&mut self, to: SubscriberId, now: Millis) -> Next {
        self.feed.next(to, &[View { ledger: &self.ledger, sound: true }], now)
    }

    fn leave(&mut self, who: SubscriberId) {
        self.feed.leave(who);
    }
}

/// What sources and relays do alike with what downstream says.
pub(crate) fn serve(
    feed: &mut Feed,
    own: &str,
    from: SubscriberId,
    message: Message,
    now: Millis,
) -> Result<Vec<Message>, Refusal> {
    match message {
        Message::Hello { protocol, scope, have, .. } => {
            spoken(protocol)?;
            let welcome = Message::Welcome { protocol: PROTOCOL, name: own.to_owned() };
            feed.join(from, scope, have, &welcome, now)?;
            Ok(vec![welcome])
        }
        Message::Goodbye { .. } => {
            feed.leave(from);
            Ok(Vec::new())
        }
        other => feed.hear(from, other, now).map(|()| Vec::new()),
    }
}

/// Whether the other side speaks these words.
pub(crate) fn spoken(theirs: u16) -> Result<(), Refusal> {
    if theirs == PROTOCOL { Ok(()) } else { Err(Refusal::Protocol { theirs, ours: PROTOCOL }) }
}
