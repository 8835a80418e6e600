//! State machine of a relay: replicates the records of all sources, and publishes those in its scope to each
//! subscriber.

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

/// A request to a source that is due to be retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceRequest {
    /// The source to send it to.
    pub source: SourceId,
    /// The request, a message from downstream.
    pub message: Message,
}

/// A relay: a downstream replica of each source, and the publisher for its subscribers.
#[derive(Debug)]
pub struct Relay {
    replicas: BTreeMap<SourceId, Replica>,
    publisher: Publisher,
}

impl Relay {
    /// Creates a relay of these sources, without records; `rate_limit` applies to each subscriber.
    #[must_use]
    pub fn new(name: &str, sources: &[SourceId], rate_limit: RateLimit) -> Self {
        let scope = Arc::new(Scope::All);
        let replica = |source: &SourceId| (*source, Replica::new(*source, Arc::clone(&scope), true));
        let replicas = sources.iter().map(replica).collect();
        Self { replicas, publisher: Publisher::new(name, rate_limit) }
    }

    /// Replaces the limit of tombstones, which applies to each source separately.
    #[must_use]
    pub fn with_max_tombstones(mut self, max: usize) -> Self {
        self.replicas.values_mut().for_each(|replica| replica.set_max_tombstones(max));
        self
    }

    /// The [`Message::Hello`] for a new connection to a source.
    #[must_use]
    pub fn hello(&self, source: SourceId) -> Message {
        let positions = self.replicas.get(&source).and_then(Replica::position).into_iter().collect();
        let name = self.publisher.name().to_owned();
        Message::Hello { protocol: PROTOCOL_VERSION, name, scope: Scope::All, positions }
    }

    /// Handles a message from a source. Returns the responses to send to it.
    ///
    /// # Errors
    /// The message is not acceptable, and the connection to the source has to be closed.
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

    /// Returns the requests to retry because no response arrived in time. To be called periodically.
    pub fn tick(&mut self, now: Millis) -> Vec<SourceRequest> {
        let request = |(source, replica): (&SourceId, &mut Replica)| {
            Some(SourceRequest { source: *source, message: replica.tick(now)? })
        };
        self.replicas.iter_mut().filter_map(request).collect()
    }

    /// The replicated records of a source; `None` if it is not one of the relay's sources.
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
