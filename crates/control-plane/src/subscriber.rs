//! State machine of a subscriber: replicates the records in its scope from all sources, through any relay.

use crate::Millis;
use crate::message::{Message, PROTOCOL_VERSION};
use crate::record::{Scope, SourceId};
use crate::replica::{AppliedRecord, Replica};
use crate::session::{MAX_SOURCES, SessionError, check_limit, check_protocol_version};
use crate::store::VersionedStore;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The result of handling a message from a relay.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MessageOutcome {
    /// Responses to send to the relay.
    pub replies: Vec<Message>,
    /// Records that took effect, in the order in which they were applied.
    pub applied: Vec<AppliedRecord>,
}

/// A subscriber. It keeps its records while it is disconnected.
#[derive(Debug)]
pub struct Subscriber {
    name: String,
    scope: Arc<Scope>,
    replicas: BTreeMap<SourceId, Replica>,
}

impl Subscriber {
    /// Creates a subscriber without records; `name` appears in the logs of relays.
    #[must_use]
    pub fn new(name: &str, scope: Scope) -> Self {
        Self { name: name.to_owned(), scope: Arc::new(scope), replicas: BTreeMap::new() }
    }

    /// The [`Message::Hello`] for a new connection to any relay.
    #[must_use]
    pub fn hello(&self) -> Message {
        let positions = self.replicas.values().filter_map(Replica::position).collect();
        let (name, scope) = (self.name.clone(), Scope::clone(&self.scope));
        Message::Hello { protocol: PROTOCOL_VERSION, name, scope, positions }
    }

    /// Handles a message from the relay.
    ///
    /// # Errors
    /// The message is not acceptable, and the connection has to be closed.
    pub fn on_message(&mut self, message: Message, now: Millis) -> Result<MessageOutcome, SessionError> {
        let mut outcome = MessageOutcome::default();
        match message {
            Message::Welcome { protocol, .. } => {
                check_protocol_version(protocol)?;
                let requests = self.replicas.values_mut().filter_map(|replica| replica.on_connected(now));
                outcome.replies.extend(requests);
            }
            Message::Heartbeat | Message::Close { .. } => {}
            Message::Batch { source, .. }
            | Message::DigestSummary { source, .. }
            | Message::ServiceSnapshot { source, .. } => {
                let replica = self.replica(source)?;
                outcome.replies.extend(replica.on_message(message, now, &mut outcome.applied));
            }
            other => {
                let expected = "upstream says Batch, Summary, Whole and Alive";
                return Err(SessionError::UnexpectedMessage { message: other.name(), expected });
            }
        }
        Ok(outcome)
    }

    /// The replica of a source, created if it is new.
    fn replica(&mut self, source: SourceId) -> Result<&mut Replica, SessionError> {
        if !self.replicas.contains_key(&source) {
            check_limit("sources", self.replicas.len() + 1, MAX_SOURCES)?;
        }
        let create = || Replica::new(source, Arc::clone(&self.scope), false);
        Ok(self.replicas.entry(source).or_insert_with(create))
    }

    /// Returns the requests to retry because no response arrived in time. To be called periodically.
    pub fn tick(&mut self, now: Millis) -> Vec<Message> {
        self.replicas.values_mut().filter_map(|replica| replica.tick(now)).collect()
    }

    /// The replicated records of each source from which messages were received.
    pub fn stores(&self) -> impl Iterator<Item = (SourceId, &VersionedStore)> {
        self.replicas.iter().map(|(source, replica)| (*source, replica.store()))
    }
}
