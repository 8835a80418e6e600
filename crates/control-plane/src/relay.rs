//! A relay: holds what all sources said, and tells each subscriber its part.

use crate::Millis;
use crate::feed::{Feed, Next, Pace, SubscriberId, View};
use crate::ledger::Ledger;
use crate::message::{Message, PROTOCOL};
use crate::record::{Scope, SourceId};
use crate::replica::Replica;
use crate::source::{Refusal, Upstream, serve, spoken};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A relay.
#[derive(Debug)]
pub struct Relay {
    name: String,
    replicas: BTreeMap<SourceId, Replica>,
    feed: Feed,
}

impl Relay {
    /// A relay of these sources that knows nothing yet.
    #[must_use]
    pub fn new(name: &str, sources: &[SourceId], pace: Pace) -> Self {
        let all = Arc::new(Scope::All);
        let replicas =
            sources.iter().map(|source| (*source, Replica::new(*source, Arc::clone(&all), true))).collect();
        Self { name: name.to_owned(), replicas, feed: Feed::new(pace) }
    }

    /// The same with another bound for subscribers.
    #[must_use]
    pub fn with_most_subscribers(mut self, most: usize) -> Self {
        self.feed.set_most(most);
        self
    }

    /// The same with another bound for the tombstones of each source.
    #[must_use]
    pub fn with_most_tombstones(mut self, most: usize) -> Self {
        self.replicas.values_mut().for_each(|replica| replica.set_most_tombstones(most));
        self
    }

    /// The words with which a connection to a source begins.
    #[must_use]
    pub fn hello(&self, source: SourceId) -> Message {
        let have = self.replicas.get(&source).and_then(Replica::have).into_iter().collect();
        Message::Hello { protocol: PROTOCOL, name: self.name.clone(), scope: Scope::All, have }
    }

    /// A source said something. Gives the answers to it.
    ///
    /// # Errors
    /// Where the connection to the source has to end.
    pub fn from_source(
        &mut self,
        source: SourceId,
        message: Message,
        now: Millis,
    ) -> Result<Vec<Message>, Refusal> {
        let what = message.name();
        let Some(replica) = self.replicas.get_mut(&source) else {
            return Err(Refusal::OutOfTurn {
                what,
                why: "this source is none of the relay's; put it into its settings",
            });
        };
        match message {
            Message::Welcome { protocol, .. } => {
                spoken(protocol)?;
                Ok(replica.connected(now).into_iter().collect())
            }
            Message::Alive | Message::Goodbye { .. } => Ok(Vec::new()),
            Message::Batch { source: of, .. }
            | Message::Summary { source: of, .. }
            | Message::Whole { source: of, .. } => {
                if of != source {
                    return Err(Refusal::OutOfTurn { what, why: "a source speaks of its own records alone" });
                }
                Ok(replica.take(message, now, &mut Vec::new()).into_iter().collect())
            }
            _ => Err(Refusal::OutOfTurn { what, why: "a source says Batch, Summary, Whole and Alive" }),
        }
    }

    /// Time went by: what to say to sources, where an answer to a question did not come.
    pub fn tick(&mut self, now: Millis) -> Vec<(SourceId, Message)> {
        let questions = self.replicas.iter_mut().map(|(source, replica)| (*source, replica.tick(now)));
        questions.filter_map(|(source, question)| Some((source, question?))).collect()
    }

    /// What it holds of a source.
    #[must_use]
    pub fn ledger(&self, source: SourceId) -> Option<&Ledger> {
        self.replicas.get(&source).map(Replica::ledger)
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
}

impl Upstream for Relay {
    fn on_message(
        &mut self,
        from: SubscriberId,
        message: Message,
        now: Millis,
    ) -> Result<Vec<Message>, Refusal> {
        serve(&mut self.feed, &self.name, from, message, now)
    }

    fn next(&mut self, to: SubscriberId, now: Millis) -> Next {
        let told = self.replicas.values().filter(|replica| replica.is_whole());
        let views: Vec<View<'_>> =
            told.map(|replica| View { ledger: replica.ledger(), sound: replica.is_sound() }).collect();
        self.feed.next(to, &views, now)
    }

    fn leave(&mut self, who: SubscriberId) {
        self.feed.leave(who);
    }
}
