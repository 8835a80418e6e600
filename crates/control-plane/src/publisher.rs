//! Publishes records to subscribers. Each subscriber has a cursor instead of a queue, so that a slow
//! subscriber receives only the newest version of each record and needs no memory for a backlog. Sending is
//! rate limited; drains are sent before additions, and additions before all other changes.

use crate::Millis;
use crate::message::{MAX_REQUESTED_SERVICES, Message, PROTOCOL_VERSION, ReplicaPosition};
use crate::rate_limit::{RateLimit, TokenBucket};
use crate::record::{Scope, SourceId, Urgency};
use crate::session::{MAX_SCOPE_SERVICES, MAX_SOURCES, SessionError, check_limit, check_protocol_version};
use crate::subscription_cursor::{NextMessage, SendPriority, StoreView, SubscriptionCursor};
use std::collections::{BTreeMap, HashMap};

/// Number of a connection from downstream, assigned by the runtime.
pub type SubscriberId = u64;

/// Default limit of subscribers of one node: enough for all agents of a region if every other relay fails.
pub const MAX_SUBSCRIBERS: usize = 8_192;
/// A subscriber to which nothing was sent for this time is sent a heartbeat, milliseconds.
pub const HEARTBEAT_INTERVAL: Millis = 1_000;

/// The order in which classes of messages are sent. A repair may contain missed drains, so it is sent before
/// additions; its size is limited by the scope.
const SEND_ORDER: [SendPriority; 6] = [
    SendPriority::Changes(Urgency::Drain),
    SendPriority::DigestSummary,
    SendPriority::ServiceSnapshot,
    SendPriority::Changes(Urgency::Addition),
    SendPriority::Changes(Urgency::Other),
    SendPriority::Progress,
];

/// The next action for the connection of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherAction {
    /// Send this message, then request the next action as soon as the connection accepts more.
    Send(Message),
    /// Wait until this time or until a record changes, then request the next action.
    WaitUntil(Millis),
}

/// The state of one subscriber.
#[derive(Debug)]
struct Subscription {
    scope: Scope,
    bucket: TokenBucket,
    cursors: BTreeMap<SourceId, SubscriptionCursor>,
    last_sent_at: Millis,
    /// Index of the source that is considered first; rotated so that no source starves another.
    first_source: usize,
}

/// The subscribers of a node, and what each is sent next.
#[derive(Debug)]
pub struct Publisher {
    /// The node's name, sent in [`Message::Welcome`].
    name: String,
    rate_limit: RateLimit,
    subscriptions: HashMap<SubscriberId, Subscription>,
    max_subscribers: usize,
}

impl Publisher {
    pub(crate) fn new(name: &str, rate_limit: RateLimit) -> Self {
        let name = name.to_owned();
        Self { name, rate_limit, subscriptions: HashMap::new(), max_subscribers: MAX_SUBSCRIBERS }
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn set_max_subscribers(&mut self, max: usize) {
        self.max_subscribers = max;
    }

    /// Handles a message from downstream. Returns the responses.
    ///
    /// # Errors
    /// The connection has to end.
    pub(crate) fn on_message(
        &mut self,
        from: SubscriberId,
        message: Message,
        now: Millis,
    ) -> Result<Vec<Message>, SessionError> {
        match message {
            Message::Hello { protocol, scope, positions, .. } => {
                check_protocol_version(protocol)?;
                let welcome = Message::Welcome { protocol: PROTOCOL_VERSION, name: self.name.clone() };
                self.subscribe(from, scope, &positions, &welcome, now)?;
                Ok(vec![welcome])
            }
            Message::Close { .. } => {
                self.disconnect(from);
                Ok(Vec::new())
            }
            request => self.on_request(from, request, now).map(|()| Vec::new()),
        }
    }

    /// Adds a subscriber. The welcome counts towards its rate limit.
    fn subscribe(
        &mut self,
        subscriber: SubscriberId,
        scope: Scope,
        positions: &[ReplicaPosition],
        welcome: &Message,
        now: Millis,
    ) -> Result<(), SessionError> {
        if self.subscriptions.contains_key(&subscriber) {
            let expected = "it is said once, first";
            return Err(SessionError::UnexpectedMessage { message: "Hello", expected });
        }
        if self.subscriptions.len() >= self.max_subscribers {
            return Err(SessionError::TooManySubscribers(self.subscriptions.len()));
        }
        if let Scope::Services(services) = &scope {
            check_limit("services in the scope", services.len(), MAX_SCOPE_SERVICES)?;
        }
        check_limit("sources that it has", positions.len(), MAX_SOURCES)?;
        let mut bucket = TokenBucket::new(self.rate_limit, now);
        bucket.spend(welcome.encoded_size_bound());
        let cursors = positions
            .iter()
            .map(|position| (position.source, SubscriptionCursor::at(position, now)))
            .collect();
        let subscription = Subscription { scope, bucket, cursors, last_sent_at: now, first_source: 0 };
        self.subscriptions.insert(subscriber, subscription);
        Ok(())
    }

    pub(crate) fn disconnect(&mut self, subscriber: SubscriberId) {
        self.subscriptions.remove(&subscriber);
    }

    pub(crate) fn subscriber_count(&self) -> usize {
        self.subscriptions.len()
    }

    /// Number of items in memory for a subscriber: services in its scope, sources, and services of its
    /// snapshot request.
    pub(crate) fn retained_items(&self, subscriber: SubscriberId) -> usize {
        let Some(subscription) = self.subscriptions.get(&subscriber) else { return 0 };
        let scope = match &subscription.scope {
            Scope::All => 1,
            Scope::Services(services) => services.len(),
        };
        let requested = |cursor: &SubscriptionCursor| 1 + cursor.requested_snapshots();
        scope + subscription.cursors.values().map(requested).sum::<usize>()
    }

    /// Handles a message that follows [`Message::Hello`].
    fn on_request(&mut self, from: SubscriberId, request: Message, now: Millis) -> Result<(), SessionError> {
        let message = request.name();
        let Some(subscription) = self.subscriptions.get_mut(&from) else {
            return Err(SessionError::UnexpectedMessage { message, expected: "say Hello first" });
        };
        match request {
            Message::Resume { positions } => {
                check_limit("sources that it has", positions.len(), MAX_SOURCES)?;
                for position in &positions {
                    subscription.cursor(position.source, now)?.resume(position, now);
                }
            }
            Message::DigestRequest { source } => {
                subscription.cursor(source, now)?.request_digests();
            }
            Message::SnapshotRequest { source, mut services } => {
                check_limit("services wanted", services.len(), MAX_REQUESTED_SERVICES)?;
                services.retain(|service| subscription.scope.contains(*service));
                subscription.cursor(source, now)?.request_snapshots(services);
            }
            _ => {
                let expected = "downstream says Resume, Compare and Want";
                return Err(SessionError::UnexpectedMessage { message, expected });
            }
        }
        Ok(())
    }

    /// The next action for a subscriber. An unknown subscriber only waits.
    pub(crate) fn next_action(
        &mut self,
        subscriber: SubscriberId,
        views: &[StoreView<'_>],
        now: Millis,
    ) -> PublisherAction {
        match self.subscriptions.get_mut(&subscriber) {
            Some(subscription) => subscription.next_action(views, now),
            None => PublisherAction::WaitUntil(now + HEARTBEAT_INTERVAL),
        }
    }
}

impl Subscription {
    /// The cursor of a source, created if it is new.
    fn cursor(&mut self, source: SourceId, now: Millis) -> Result<&mut SubscriptionCursor, SessionError> {
        if !self.cursors.contains_key(&source) {
            check_limit("sources", self.cursors.len() + 1, MAX_SOURCES)?;
        }
        Ok(self.cursors.entry(source).or_insert_with(|| SubscriptionCursor::new(now)))
    }

    fn next_action(&mut self, views: &[StoreView<'_>], now: Millis) -> PublisherAction {
        self.bucket.refill(now);
        let heartbeat_at = self.last_sent_at + HEARTBEAT_INTERVAL;
        for view in views {
            let cursor = self.cursors.entry(view.store.source());
            cursor.or_insert_with(|| SubscriptionCursor::new(now)).schedule_summary(*view);
        }
        let next_at = match self.next_message(views, heartbeat_at, now) {
            Ok(message) => return self.send(message, now),
            Err(next_at) => next_at,
        };
        if now >= heartbeat_at {
            return self.send(Message::Heartbeat, now);
        }
        PublisherAction::WaitUntil(next_at.max(now + 1))
    }

    /// The message with the highest priority that may be sent now.
    ///
    /// # Errors
    /// If there is none: the time at which to check again, at the latest `latest`.
    fn next_message(
        &mut self,
        views: &[StoreView<'_>],
        latest: Millis,
        now: Millis,
    ) -> Result<Message, Millis> {
        let mut next_at = latest;
        for priority in SEND_ORDER {
            for offset in 0..views.len() {
                let index = (self.first_source + offset) % views.len();
                let view = views[index];
                let Some(cursor) = self.cursors.get_mut(&view.store.source()) else { continue };
                match cursor.next_message(priority, view, &self.scope, &self.bucket, now) {
                    NextMessage::Idle => {}
                    NextMessage::NotBefore(at) => next_at = next_at.min(at),
                    // Smaller messages of a lower priority must not starve this one.
                    NextMessage::RateLimited(at) => return Err(next_at.min(at)),
                    NextMessage::Send(message) => {
                        self.first_source = (index + 1) % views.len();
                        return Ok(message);
                    }
                }
            }
        }
        Err(next_at)
    }

    fn send(&mut self, message: Message, now: Millis) -> PublisherAction {
        self.bucket.spend(message.encoded_size_bound());
        self.last_sent_at = now;
        PublisherAction::Send(message)
    }
}
