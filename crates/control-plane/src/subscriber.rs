//! The last in line: holds the records of its scope from all sources, whichever relay they come over.

use crate::Millis;
use crate::feed::MAX_SOURCES;
use crate::ledger::Ledger;
use crate::message::{Message, PROTOCOL};
use crate::record::{Scope, SourceId};
use crate::replica::{Applied, Replica};
use crate::source::{Refusal, spoken};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a message came to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// To be said to the relay.
    pub replies: Vec<Message>,
    /// What came into force, in this order.
    pub applied: Vec<Applied>,
}

/// A subscriber. It keeps what it has while it hears nothing.
#[derive(Debug)]
pub struct Subscriber {
    name: String,
    scope: Arc<Scope>,
    replicas: BTreeMap<SourceId, Replica>,
}

impl Subscriber {
    /// One that knows nothing yet.
    #[must_use]
    pub fn new(name: &str, scope: Scope) -> Self {
        Self { name: name.to_owned(), scope: Arc::new(scope), replicas: BTreeMap::new() }
    }

    /// The words with which a connection to any relay begins.
    #[must_use]
    pub fn hello(&self) -> Message {
        let have = self.replicas.values().filter_map(Replica::have).collect();
        let (name, scope) = (self.name.clone(), Scope::clone(&self.scope));
        Message::Hello { protocol: PROTOCOL, name, scope, have }
    }

    /// The relay said something.
    ///
    /// # Errors
    /// Where the connection has to end.
    pub fn on_message(&mut self, message: Message, now: Millis) -> Result<Heard, Refusal> {
        let mut heard = Heard::default();
        match message {
            Message::Welcome { protocol, .. } => {
                spoken(protocol)?;
                heard.replies.extend(self.replicas.values_mut().filter_map(|replica| replica.connected(now)));
            }
            Message::Alive | Message::Goodbye { .. } => {}
            Message::Batch { source, .. }
            | Message::Summary { source, .. }
            | Message::Whole { source, .. } => {
                if !self.replicas.contains_key(&source) && self.replicas.len() >= MAX_SOURCES {
                    return Err(Refusal::TooMany { what: "sources", is: MAX_SOURCES + 1, most: MAX_SOURCES });
                }
                let fresh = || Replica::new(source, Arc::clone(&self.scope), false);
                let replica = self.replicas.entry(source).or_insert_with(fresh);
                heard.replies.extend(replica.take(message, now, &mut heard.applied));
            }
            other => {
                let why = "upstream says Batch, Summary, Whole and Alive";
                return Err(Refusal::OutOfTurn { what: other.name(), why });
            }
        }
        Ok(heard)
    }

    /// Time went by: what to say to the relay, where an answer to a question did not come.
    pub fn tick(&mut self, now: Millis) -> Vec<Message> {
        self.replicas.values_mut().filter_map(|replica| replica.tick(now)).collect()
    }

    /// What it holds, by source.
    pub fn ledgers(&self) -> impl Iterator<Item = (SourceId, &Ledger)> {
        self.replicas.iter().map(|(source, replica)| (*source, replica.ledger()))
    }
}
