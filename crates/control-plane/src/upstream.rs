//! The interface that sources and relays have in common: both accept subscribers and publish records to them.

use crate::Millis;
use crate::message::Message;
use crate::publisher::{Publisher, PublisherAction, SubscriberId};
use crate::session::SessionError;

/// A node that serves subscribers: a source or a relay.
pub trait Upstream {
    /// The publisher that serves the subscribers.
    fn publisher(&self) -> &Publisher;

    /// Mutable access to the publisher, for the methods of this trait.
    fn publisher_mut(&mut self) -> &mut Publisher;

    /// Handles a message from a subscriber or, at a source, from a writer. Returns the responses to send.
    ///
    /// # Errors
    /// The message is not acceptable, and the connection has to be closed.
    fn on_message(
        &mut self,
        from: SubscriberId,
        message: Message,
        now: Millis,
    ) -> Result<Vec<Message>, SessionError>;

    /// The next action for a subscriber. A connection that has not sent a [`Message::Hello`] only waits.
    fn next_action(&mut self, subscriber: SubscriberId, now: Millis) -> PublisherAction;

    /// Removes the subscriber of a connection that has ended.
    fn disconnect(&mut self, subscriber: SubscriberId) {
        self.publisher_mut().disconnect(subscriber);
    }

    /// Number of connections that have subscribed with a [`Message::Hello`].
    fn subscriber_count(&self) -> usize {
        self.publisher().subscriber_count()
    }

    /// Number of items in memory for a subscriber: services in its scope, sources, and services of its
    /// snapshot request.
    fn retained_items(&self, subscriber: SubscriberId) -> usize {
        self.publisher().retained_items(subscriber)
    }

    /// Replaces the limit of subscribers, [`MAX_SUBSCRIBERS`](crate::publisher::MAX_SUBSCRIBERS) by default.
    #[must_use]
    fn with_max_subscribers(mut self, max: usize) -> Self
    where
        Self: Sized,
    {
        self.publisher_mut().set_max_subscribers(max);
        self
    }
}
