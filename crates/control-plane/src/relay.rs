//! A relay: replicates the records of all sources, and publishes to each subscriber those in its scope.

use crate::Millis;
use crate::message::{Message, PROTOCOL_VERSION};
use crate::publisher::{Publisher, PublisherAction, SubscriberId};
use crate::rate_limit::RateLimit;
use crate::record::{Scope, SourceId};
use crate::replica::Replica;
use crate::session::{SessionError, check_protocol_version};
use crate::store::VersionedStore;
use crate::subscription_cursor::StoreView;
use crate::upstream::Upstream;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request to a source that is due to be sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceRequest {
    /// The source.
    pub source: SourceId,
    /// The request.
    pub message: Message,
}

/// A relay.
#[derive(Debug)]
pub struct Relay {
    replicas: BTreeMap<SourceId, Replica>,
    publisher: Publisher,
}

impl Relay {
    /// An empty relay of these sources; `rate_limit` applies to each subscriber.
    #[must_use]
    pub fn new(name: &str, sources: &[SourceId], rate_limit: RateLimit) -> Self {
        let scope = Arc::new(Scope::All);
        let replica = |source: &SourceId| (*source, Replica::new(*source, Arc::clone(&scope), true));
        let replicas = sources.iter().map(replica).collect();
        Self { replicas, publisher: Publisher::new(name, rate_limit) }
    }

    /// The same relay with another bound for the tombstones of each source.
    #[must_use]
    pub fn with_max_tombstones(mut self, max: usize) -> Self {
        self.replicas.values_mut().for_each(|replica| replica.set_max_tombstones(max));
        self
    }

    /// The first message on a connection to a source.
    #[must_use]
    pub fn hello(&self, source: SourceId) -> Message {
        let positions = self.replicas.get(&source).and_then(Replica::position).into_iter().collect();
        let name = self.publisher.name().to_owned();
        Message::Hello { protocol: PROTOCOL_VERSION, name, scope: Scope::All, positions }
    }

    /// Handles a message from a source. Returns the responses.
    ///
    /// # Errors
    /// The connection to the source has to end.
    pub fn on_source_message(
        &mut self,
        source: SourceId,
        message: Message,
        now: Millis,
    ) -> Result<Vec<Message>, SessionError> {
        let name = message.name();
        let unexpected = |expected| Err(SessionError::UnexpectedMessage { message: name, expected });
        let Some(replica) = self.replicas.get_mut(&source) else {
            return unexpected("this source is none of the relay's; put it into its settings");
        };
        match message {
            Message::Welcome { protocol, .. } => {
                check_protocol_version(protocol)?;
                Ok(replica.on_connected(now).into_iter().collect())
            }
            Message::Heartbeat | Message::Close { .. } => Ok(Vec::new()),
            Message::Batch { source: origin, .. }
            | Message::DigestSummary { source: origin, .. }
            | Message::ServiceSnapshot { source: origin, .. } => {
                if origin != source {
                    return unexpected("a source speaks of its own records alone");
                }
                Ok(replica.on_message(message, now, &mut Vec::new()).into_iter().collect())
            }
            _ => unexpected("a source says Batch, Summary, Whole and Alive"),
        }
    }

    /// Returns the requests to send again, because no response arrived in time.
    pub fn tick(&mut self, now: Millis) -> Vec<SourceRequest> {
        let request = |(source, replica): (&SourceId, &mut Replica)| {
            Some(SourceRequest { source: *source, message: replica.tick(now)? })
        };
        self.replicas.iter_mut().filter_map(request).collect()
    }

    /// The records of a source.
    #[must_use]
    pub fn store(&self, source: SourceId) -> Option<&VersionedStore> {
        self.replicas.get(&source).map(Replica::store)
    }
}

impl Upstream for Relay {
    fn publisher(&self) -> &Publisher {
        &self.publisher
    }

    fn publisher_mut(&mut self) -> &mut Publisher {
        &mut self.publisher
    }

    fn on_message(
        &mut self,
        from: SubscriberId,
        message: Message,
        now: Millis,
    ) -> Result<Vec<Message>, SessionError> {
        self.publisher.on_message(from, message, now)
    }

    fn next_action(&mut self, subscriber: SubscriberId, now: Millis) -> PublisherAction {
        let publishable = self.replicas.values().filter(|replica| replica.is_publishable());
        let views: Vec<StoreView<'_>> = publishable
            .map(|replica| StoreView { store: replica.store(), is_consistent: replica.is_consistent() })
            .collect();
        self.publisher.next_action(subscriber, &views, now)
    }
}
