//! The simulated nodes and the connections between them.

use crate::applied_records::{self, AppliedRecordChecker};
use crate::events::Event;
use crate::link::{Link, Random, Unreliability};
use crate::nodes::{HistoryEntry, RelayNode, Settings, SourceNode, SubscriberNode};
use control_plane::Millis;
use control_plane::message::Message;
use control_plane::publisher::PublisherAction;
use control_plane::record::{
    Change, Record, RecordKey, RecordKind, RecordState, Scope, ServiceId, SourceId, Version,
};
use control_plane::store::VersionedStore;
use control_plane::subscriber::Subscriber;
use control_plane::upstream::Upstream;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Virtual time that passes in one tick.
pub const TICK: Millis = 100;
/// A node closes a connection on which it has received nothing for this time.
const SILENCE_TIMEOUT: Millis = 2_500;
/// Maximum number of messages that are sent to downstream on one connection in one tick.
const MAX_MESSAGES_PER_TICK: usize = 16;
/// The id of connections from writers.
const WRITER: u64 = 0;

/// Inspects or changes a message from a relay to a subscriber. Returns `false` to drop the message.
pub type Interceptor = Box<dyn FnMut(&mut Message) -> bool>;

/// All simulated nodes, the faults of their links, and the virtual time.
pub struct Simulation {
    /// Virtual time.
    pub now: Millis,
    pub sources: Vec<SourceNode>,
    pub relays: Vec<RelayNode>,
    pub subscribers: Vec<SubscriberNode>,
    /// Applies to all links.
    pub unreliability: Unreliability,
    pub random: Random,
    pub interceptor: Option<Interceptor>,
    /// The id of the next connection.
    next_link: u64,
    settings: Settings,
}

/// The body of a record. Bodies of different sizes have different contents.
fn body(state: RecordState, size: u16) -> Arc<[u8]> {
    let size = if state == RecordState::Gone { 0 } else { size };
    (0..size).map(|index| (size ^ index) as u8).collect()
}

impl Simulation {
    /// Creates nodes without connections or records, and one subscriber for each scope.
    pub fn new(sources: usize, relays: usize, scopes: &[Scope], settings: Settings, seed: u64) -> Self {
        let source = |id: usize| {
            let initial = HistoryEntry { head: Version { epoch: 1, revision: 0 }, records: BTreeMap::new() };
            let source = settings.source(VersionedStore::new(id as SourceId, 1));
            SourceNode { source, history: vec![initial] }
        };
        let relay = |index: usize| RelayNode {
            relay: settings.relay(index, sources),
            uplinks: (0..sources).map(|_| None).collect(),
            cut_until: vec![0; sources],
            suspended_until: 0,
        };
        let subscriber = |(index, scope): (usize, &Scope)| SubscriberNode {
            subscriber: Subscriber::new(&format!("agent-{index}"), scope.clone()),
            scope: scope.clone(),
            checker: AppliedRecordChecker::new(scope.clone()),
            uplink: None,
            relay: index % relays,
            cut_until: 0,
        };
        Self {
            now: 0,
            sources: (0..sources).map(source).collect(),
            relays: (0..relays).map(relay).collect(),
            subscribers: scopes.iter().enumerate().map(subscriber).collect(),
            unreliability: Unreliability::default(),
            random: Random(seed),
            interceptor: None,
            next_link: 1,
            settings,
        }
    }

    /// The index of the source of a service.
    fn source_of(&self, service: ServiceId) -> usize {
        service as usize % self.sources.len()
    }

    /// Writes a change to the source of the service. Returns its version.
    pub fn write(
        &mut self,
        service: ServiceId,
        kind: RecordKind,
        name: &str,
        state: RecordState,
        size: u16,
    ) -> Version {
        let source = self.source_of(service);
        let key = RecordKey { service, kind, name: name.into() };
        let body = body(state, size);
        let changes = vec![Change { key: key.clone(), state, body: Arc::clone(&body) }];
        let node = &mut self.sources[source];
        let request = Message::Write { id: 7, changes };
        let responses = node.source.on_message(WRITER, request, self.now).expect("a write is accepted");
        let [Message::Written { id: 7, result: Ok(version) }] = responses[..] else {
            panic!("{responses:?}")
        };
        let last = node.history.last();
        let mut records = last.map(|entry| entry.records.clone()).unwrap_or_default();
        records.insert(key.clone(), Record { key, version, state, body });
        node.history.push(HistoryEntry { head: version, records });
        version
    }

    /// Applies an event. Only [`Event::Wait`] advances the time.
    pub fn apply(&mut self, event: &Event) {
        let ticks = |ticks: u8| Millis::from(ticks) * TICK;
        match *event {
            Event::Write { service, kind, name, state, size } => {
                self.write(service, kind, &format!("b{name}"), state, size);
            }
            Event::Wait(count) => self.run(count.into()),
            Event::CutSubscriber(subscriber, count) => {
                let subscriber = subscriber % self.subscribers.len();
                self.subscribers[subscriber].cut_until = self.now + ticks(count);
            }
            Event::CutRelay(relay, source, count) => {
                let (relay, source) = (relay % self.relays.len(), source % self.sources.len());
                self.relays[relay].cut_until[source] = self.now + ticks(count);
            }
            Event::ChangeRelay(subscriber, relay) => {
                let subscriber = subscriber % self.subscribers.len();
                self.disconnect_subscriber(subscriber);
                self.subscribers[subscriber].relay = relay % self.relays.len();
            }
            Event::RestartRelay(relay) => self.restart_relay(relay % self.relays.len()),
            Event::Suspend(relay, count) => {
                let relay = relay % self.relays.len();
                self.relays[relay].suspended_until = self.now + ticks(count);
            }
            Event::RestartSource(source, lost) => {
                self.restart_source(source % self.sources.len(), lost.into());
            }
        }
    }

    /// Restarts a relay without records, which closes all its connections.
    pub fn restart_relay(&mut self, relay: usize) {
        for subscriber in 0..self.subscribers.len() {
            if self.subscribers[subscriber].relay == relay {
                self.disconnect_subscriber(subscriber);
            }
        }
        let node = &mut self.relays[relay];
        for (source, uplink) in node.uplinks.iter_mut().enumerate() {
            if let Some(link) = uplink.take() {
                self.sources[source].source.disconnect(link.id);
            }
        }
        node.relay = self.settings.relay(relay, self.sources.len());
    }

    /// Restarts a source in a greater epoch, without its last `lost` changes.
    pub fn restart_source(&mut self, source: usize, lost: usize) {
        let node = &mut self.sources[source];
        let remaining = node.history.len().saturating_sub(lost).max(1);
        node.history.truncate(remaining);
        let HistoryEntry { head, records } =
            node.history.last().cloned().expect("at least the initial state");
        let records = records.into_values().filter(|record| record.state != RecordState::Gone).collect();
        let epoch = node.source.store().epoch() + 1;
        let store = VersionedStore::restore(source as SourceId, epoch, head, records);
        node.source = self.settings.source(store);
        for relay in &mut self.relays {
            relay.uplinks[source] = None;
        }
    }

    /// Ends a subscriber's connection on both sides.
    fn disconnect_subscriber(&mut self, subscriber: usize) {
        let node = &mut self.subscribers[subscriber];
        if let Some(link) = node.uplink.take() {
            self.relays[node.relay].relay.disconnect(link.id);
        }
    }

    /// Advances all nodes by a number of ticks.
    pub fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.tick();
        }
    }

    /// Advances all nodes by one tick.
    pub fn tick(&mut self) {
        self.now += TICK;
        for relay in 0..self.relays.len() {
            self.tick_relay(relay);
        }
        for subscriber in 0..self.subscribers.len() {
            self.tick_subscriber(subscriber);
        }
    }

    fn tick_relay(&mut self, relay: usize) {
        let node = &mut self.relays[relay];
        if node.suspended_until > self.now {
            return;
        }
        let requests = node.relay.tick(self.now);
        for source in 0..self.sources.len() {
            let requests = requests.iter().filter(|request| usize::from(request.source) == source);
            let messages = requests.map(|request| request.message.clone()).collect();
            self.tick_uplink(relay, source, messages);
        }
    }

    /// Advances the connection of a relay to a source. The relay sends `requests` on it.
    fn tick_uplink(&mut self, relay: usize, source: usize, requests: Vec<Message>) {
        let now = self.now;
        let node = &mut self.relays[relay];
        let upstream = &mut self.sources[source].source;
        let uplink = &mut node.uplinks[source];
        let is_cut = node.cut_until[source] > now;
        if uplink.as_ref().is_some_and(|link| now - link.last_received_at > SILENCE_TIMEOUT) {
            upstream.disconnect(uplink.take().map_or(0, |link| link.id));
        }
        if uplink.is_none() && !is_cut {
            let mut link = Link::new(self.next_link, now);
            self.next_link += 1;
            // The hello is not lost: without its arrival there is no connection.
            let hello = node.relay.hello(source as SourceId);
            for response in upstream.on_message(link.id, hello, now).expect("hello is accepted") {
                link.down.push(response, now, is_cut, &self.unreliability, &mut self.random);
            }
            *uplink = Some(link);
        }
        let Some(link) = uplink else { return };
        for request in requests {
            link.up.push(request, now, is_cut, &self.unreliability, &mut self.random);
        }
        for message in link.up.take(now) {
            let responses =
                upstream.on_message(link.id, message, now).expect("a source accepts messages of relays");
            assert!(responses.is_empty());
        }
        for _ in 0..MAX_MESSAGES_PER_TICK {
            let PublisherAction::Send(message) = upstream.next_action(link.id, now) else { break };
            link.down.push(message, now, is_cut, &self.unreliability, &mut self.random);
        }
        for message in link.down.take(now) {
            link.last_received_at = now;
            let responses = node.relay.on_source_message(source as SourceId, message, now);
            for response in responses.expect("a relay accepts messages of sources") {
                link.up.push(response, now, is_cut, &self.unreliability, &mut self.random);
            }
        }
    }

    fn tick_subscriber(&mut self, subscriber: usize) {
        let uplink = &self.subscribers[subscriber].uplink;
        if uplink.as_ref().is_some_and(|link| self.now - link.last_received_at > SILENCE_TIMEOUT) {
            self.disconnect_subscriber(subscriber);
            let next = (self.subscribers[subscriber].relay + 1) % self.relays.len();
            self.subscribers[subscriber].relay = next;
        }
        self.connect_subscriber(subscriber);
        self.send_to_subscriber(subscriber);
        self.receive_at_subscriber(subscriber);
    }

    /// Connects a subscriber without a connection, if its relay is reachable.
    fn connect_subscriber(&mut self, subscriber: usize) {
        let now = self.now;
        let node = &mut self.subscribers[subscriber];
        let upstream = &mut self.relays[node.relay];
        let is_cut = node.cut_until > now;
        if node.uplink.is_some() || is_cut || upstream.suspended_until > now {
            return;
        }
        let mut link = Link::new(self.next_link, now);
        self.next_link += 1;
        let hello = node.subscriber.hello();
        for response in upstream.relay.on_message(link.id, hello, now).expect("hello is accepted") {
            link.down.push(response, now, is_cut, &self.unreliability, &mut self.random);
        }
        node.uplink = Some(link);
    }

    /// Delivers a subscriber's requests to its relay, and sends the relay's messages.
    fn send_to_subscriber(&mut self, subscriber: usize) {
        let now = self.now;
        let node = &mut self.subscribers[subscriber];
        let upstream = &mut self.relays[node.relay];
        let is_cut = node.cut_until > now;
        let Some(link) = &mut node.uplink else { return };
        for request in node.subscriber.tick(now) {
            link.up.push(request, now, is_cut, &self.unreliability, &mut self.random);
        }
        if upstream.suspended_until > now {
            return;
        }
        for message in link.up.take(now) {
            let responses =
                upstream.relay.on_message(link.id, message, now).expect("a relay accepts messages of agents");
            assert!(responses.is_empty());
        }
        for _ in 0..MAX_MESSAGES_PER_TICK {
            let PublisherAction::Send(mut message) = upstream.relay.next_action(link.id, now) else { break };
            if self.interceptor.as_mut().is_none_or(|intercept| intercept(&mut message)) {
                link.down.push(message, now, is_cut, &self.unreliability, &mut self.random);
            }
        }
        let scope = match &node.scope {
            Scope::All => 1,
            Scope::Services(services) => services.len(),
        };
        // The scope and, for each source, a cursor and at most as many services as there are in scope.
        let max_items = scope + self.sources.len() * (1 + scope.max(64));
        assert!(
            upstream.relay.retained_items(link.id) <= max_items,
            "the send state of a subscriber exceeds its limit"
        );
    }

    /// Delivers the messages that have arrived at a subscriber.
    fn receive_at_subscriber(&mut self, subscriber: usize) {
        let now = self.now;
        let node = &mut self.subscribers[subscriber];
        let is_cut = node.cut_until > now;
        let Some(link) = &mut node.uplink else { return };
        for message in link.down.take(now) {
            link.last_received_at = now;
            let epoch = applied_records::epoch(&message);
            let outcome = node.subscriber.on_message(message, now);
            let outcome = outcome.expect("a subscriber accepts messages of relays");
            for reply in outcome.replies {
                link.up.push(reply, now, is_cut, &self.unreliability, &mut self.random);
            }
            for applied in outcome.applied {
                node.checker.check(epoch, applied);
            }
        }
    }

    /// Ends all faults: from now on, no message is lost or delayed, no connection is interrupted, and no node
    /// is suspended.
    pub fn end_faults(&mut self) {
        self.unreliability = Unreliability::default();
        for relay in &mut self.relays {
            relay.suspended_until = 0;
            relay.cut_until.fill(0);
        }
        for node in &mut self.subscribers {
            node.cut_until = 0;
        }
    }

    /// Runs until there are no differences, for at most `max_ticks` ticks. Returns the number of ticks, which
    /// is `max_ticks` if the nodes have not converged before.
    pub fn run_until_converged(&mut self, max_ticks: usize) -> usize {
        for ticks in 0..max_ticks {
            if self.differences().is_empty() {
                return ticks;
            }
            self.tick();
        }
        max_ticks
    }

    /// Sends a message to a subscriber's relay on the subscriber's connection, without loss or delay.
    pub fn send_to_relay(&mut self, subscriber: usize, message: Message) {
        let node = &self.subscribers[subscriber];
        let link = node.uplink.as_ref().expect("it is connected").id;
        let responses = self.relays[node.relay].relay.on_message(link, message, self.now).expect("accepted");
        assert!(responses.is_empty());
    }

    /// Sets the scope that a subscriber is checked against, to inject the fault of a wrong scope.
    pub fn check_with_scope(&mut self, subscriber: usize, scope: Scope) {
        self.subscribers[subscriber].scope = scope.clone();
        self.subscribers[subscriber].checker = AppliedRecordChecker::new(scope);
    }
}

/// A scope of these services.
pub fn services(services: impl IntoIterator<Item = ServiceId>) -> Scope {
    Scope::Services(services.into_iter().collect())
}
