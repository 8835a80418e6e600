//! What sources and relays have in common: both accept subscribers and publish records to them.

use crate::Millis;
use crate::message::Message;
use crate::publisher::{Publisher, PublisherAction, SubscriberId};
use crate::session::SessionError;

/// A node that serves subscribers: a source or a relay.
pub trait Upstream {
    /// The subscribers.
    fn publisher(&self) -> &Publisher;

    /// The subscribers, to change them.
    fn publisher_mut(&mut self) -> &mut Publisher;

    /// Handles a message from a subscriber or, at a source, from a writer. Returns the responses.
    ///
    /// # Errors
    /// The connection has to end.
    fn on_message(
        &mut self,
        from: SubscriberId,
        message: Message,
        now: Millis,
    ) -> Result<Vec<Message>, SessionError>;

    /// The next action for a subscriber. A connection without a [`Message::Hello`] only waits.
    fn next_action(&mut self, subscriber: SubscriberId, now: Millis) -> PublisherAction;

    /// Removes the subscriber of a connection that ended.
    fn disconnect(&mut self, subscriber: SubscriberId) {
        self.publisher_mut().disconnect(subscriber);
    }

    /// The number of connected subscribers.
    fn subscriber_count(&self) -> usize {
        self.publisher().subscriber_count()
    }

    /// The number of items retained for a subscriber: services in its scope, sources, services of its snapshot requests.
    fn retained_items(&self, subscriber: SubscriberId) -> usize {
        self.publisher().retained_items(subscriber)
    }

    /// The same node with another bound for subscribers.
    #[must_use]
    fn with_max_subscribers(mut self, max: usize) -> Self
    where
        Self: Sized,
    {
        self.publisher_mut().set_max_subscribers(max);
        self
    }
}
