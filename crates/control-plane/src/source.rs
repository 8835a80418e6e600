//! State machine of a source of truth: applies changes and publishes them to its subscribers.

use crate::Millis;
use crate::message::Message;
use crate::publisher::{Publisher, PublisherAction, SubscriberId};
use crate::rate_limit::RateLimit;
use crate::record::{Change, Version};
use crate::session::SessionError;
use crate::store::{VersionedStore, WriteError, validate_change};
use crate::subscription_cursor::StoreView;
use crate::upstream::Upstream;

/// A source: the authoritative records, and the publisher for its subscribers.
#[derive(Debug)]
pub struct Source {
    store: VersionedStore,
    publisher: Publisher,
}

impl Source {
    /// Creates a source with these records; `rate_limit` applies to each subscriber.
    #[must_use]
    pub fn new(name: &str, store: VersionedStore, rate_limit: RateLimit) -> Self {
        Self { store, publisher: Publisher::new(name, rate_limit) }
    }

    /// The authoritative records.
    #[must_use]
    pub fn store(&self) -> &VersionedStore {
        &self.store
    }

    /// Validates all changes before the first one is applied, so that either all or none take effect.
    fn write(&mut self, changes: Vec<Change>) -> Result<Version, WriteError> {
        changes.iter().try_for_each(validate_change)?;
        for change in changes {
            self.store.write(change)?;
        }
        Ok(self.store.head())
    }
}

impl Upstream for Source {
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
        match message {
            Message::Write { id, changes } => {
                let result = self.write(changes).map_err(|error| error.to_string());
                Ok(vec![Message::Written { id, result }])
            }
            other => self.publisher.on_message(from, other, now),
        }
    }

    fn next_action(&mut self, subscriber: SubscriberId, now: Millis) -> PublisherAction {
        let view = StoreView { store: &self.store, is_consistent: true };
        self.publisher.next_action(subscriber, &[view], now)
    }
}
