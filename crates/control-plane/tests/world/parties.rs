//! Sources, relays and subscribers, and the connections between them.

use crate::link::{Link, Noise, Random};
use crate::watcher::{self, Watcher};
use control_plane::Millis;
use control_plane::message::Message;
use control_plane::publisher::PublisherAction;
use control_plane::rate_limit::RateLimit;
use control_plane::record::{
    Change, Cursor, Epoch, Key, Kind, Record, Scope, ServiceId, SourceId, State, Version,
};
use control_plane::relay::Relay;
use control_plane::source::Source;
use control_plane::store::VersionedStore;
use control_plane::subscriber::Subscriber;
use control_plane::upstream::Upstream;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Virtual time between two steps.
pub const TICK: Millis = 100;
/// A connection on which nothing came for this long is given up.
const SILENCE: Millis = 2_500;
/// Messages that one connection takes in one tick.
const MAX_A_TICK: usize = 16;

/// Changes a message from a relay to a subscriber; `false`: it is lost.
pub type Tamper = Box<dyn FnMut(&mut Message) -> bool>;

/// What happens in a world.
#[derive(Clone, Debug)]
pub enum Op {
    /// A source says something of a key.
    Write { service: ServiceId, kind: Kind, name: u8, state: State, size: u16 },
    /// Time goes by.
    Wait(u8),
    /// Nothing comes through between a subscriber and any relay.
    CutSubscriber(usize, u8),
    /// Nothing comes through between a relay and a source.
    CutRelay(usize, usize, u8),
    /// A subscriber turns to another relay.
    Turn(usize, usize),
    /// A relay starts again and knows nothing.
    RestartRelay(usize),
    /// A relay stands still.
    Freeze(usize, u8),
    /// A source starts again, without its last changes.
    RestartSource(usize, u8),
}

impl Op {
    /// The same, tick by tick.
    pub fn by_ticks(&self) -> Vec<Self> {
        match self {
            Self::Wait(count) => vec![Self::Wait(1); usize::from(*count)],
            other => vec![other.clone()],
        }
    }
}

pub struct SourceSite {
    pub source: Source,
    /// What was said after each change, with what is gone: what a restart may still find.
    history: Vec<(Version, BTreeMap<Key, Record>)>,
}

pub struct RelaySite {
    pub relay: Relay,
    /// One to each source.
    uplinks: Vec<Option<Link>>,
    cut_until: Vec<Millis>,
    frozen_until: Millis,
}

pub struct SubscriberSite {
    pub subscriber: Subscriber,
    pub scope: Scope,
    uplink: Option<Link>,
    relay: usize,
    cut_until: Millis,
    watcher: Watcher,
}

pub struct World {
    pub now: Millis,
    pub sources: Vec<SourceSite>,
    pub relays: Vec<RelaySite>,
    pub subscribers: Vec<SubscriberSite>,
    pub noise: Noise,
    pub random: Random,
    pub tamper: Option<Tamper>,
    /// Messages from relays to subscribers, by name.
    pub said: BTreeMap<&'static str, usize>,
    next_link: u64,
    setting: Setting,
}

/// What holds for all parties of a world.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// From a relay to a subscriber.
    pub rate_limit: RateLimit,
    /// Tombstones that a source or relay keeps.
    pub tombstones: usize,
}

impl Setting {
    fn source(&self, store: VersionedStore) -> Source {
        /// From a source to a relay: enough for all changes of a test.
        const FAST: RateLimit = RateLimit { bytes_per_s: 1_000_000, burst: 1_000_000 };
        let name = format!("source-{}", store.source());
        Source::new(&name, store.with_max_tombstones(self.tombstones), FAST)
    }

    fn relay(&self, place: usize, sources: usize) -> Relay {
        let names: Vec<SourceId> = (0..sources as SourceId).collect();
        Relay::new(&format!("relay-{place}"), &names, self.rate_limit).with_max_tombstones(self.tombstones)
    }
}

/// The body of a record: unlike for unlike sizes.
fn body(state: State, size: u16) -> Arc<[u8]> {
    let size = if state == State::Gone { 0 } else { size };
    (0..size).map(|place| (size ^ place) as u8).collect()
}

impl World {
    pub fn new(sources: usize, relays: usize, scopes: &[Scope], setting: Setting, seed: u64) -> Self {
        let site = |id: usize| {
            let source = setting.source(VersionedStore::new(id as SourceId, 1));
            SourceSite { source, history: vec![(Version { epoch: 1, revision: 0 }, BTreeMap::new())] }
        };
        let relay = |place: usize| RelaySite {
            relay: setting.relay(place, sources),
            uplinks: (0..sources).map(|_| None).collect(),
            cut_until: vec![0; sources],
            frozen_until: 0,
        };
        let subscriber = |(place, scope): (usize, &Scope)| SubscriberSite {
            subscriber: Subscriber::new(&format!("agent-{place}"), scope.clone()),
            scope: scope.clone(),
            uplink: None,
            relay: place % relays,
            cut_until: 0,
            watcher: Watcher::new(scope.clone()),
        };
        Self {
            now: 0,
            sources: (0..sources).map(site).collect(),
            relays: (0..relays).map(relay).collect(),
            subscribers: scopes.iter().enumerate().map(subscriber).collect(),
            noise: Noise::default(),
            random: Random(seed),
            tamper: None,
            said: BTreeMap::new(),
            next_link: 1,
            setting,
        }
    }

    /// The source of a service.
    pub fn home(&self, service: ServiceId) -> usize {
        service as usize % self.sources.len()
    }

    pub fn write(&mut self, service: ServiceId, kind: Kind, name: &str, state: State, size: u16) -> Version {
        let home = self.home(service);
        let key = Key { service, kind, name: name.into() };
        let body = body(state, size);
        let changes = vec![Change { key: key.clone(), state, body: Arc::clone(&body) }];
        let site = &mut self.sources[home];
        let answers =
            site.source.on_message(0, Message::Write { id: 7, changes }, self.now).expect("a write is taken");
        let [Message::Written { id: 7, result: Ok(version) }] = answers[..] else { panic!("{answers:?}") };
        let mut said = site.history.last().map(|(_, said)| said.clone()).unwrap_or_default();
        said.insert(key.clone(), Record { key, version, state, body });
        site.history.push((version, said));
        version
    }

    pub fn apply(&mut self, op: &Op) {
        let ticks = |ticks: u8| Millis::from(ticks) * TICK;
        match *op {
            Op::Write { service, kind, name, state, size } => {
                self.write(service, kind, &format!("b{name}"), state, size);
            }
            Op::Wait(count) => self.run(count.into()),
            Op::CutSubscriber(who, count) => {
                let who = who % self.subscribers.len();
                self.subscribers[who].cut_until = self.now + ticks(count);
            }
            Op::CutRelay(relay, source, count) => {
                let (relay, source) = (relay % self.relays.len(), source % self.sources.len());
                self.relays[relay].cut_until[source] = self.now + ticks(count);
            }
            Op::Turn(who, relay) => {
                let who = who % self.subscribers.len();
                self.hang_up(who);
                self.subscribers[who].relay = relay % self.relays.len();
            }
            Op::RestartRelay(relay) => self.restart_relay(relay % self.relays.len()),
            Op::Freeze(relay, count) => {
                let relay = relay % self.relays.len();
                self.relays[relay].frozen_until = self.now + ticks(count);
            }
            Op::RestartSource(source, lost) => self.restart_source(source % self.sources.len(), lost.into()),
        }
    }

    pub fn restart_relay(&mut self, relay: usize) {
        for who in 0..self.subscribers.len() {
            if self.subscribers[who].relay == relay {
                self.hang_up(who);
            }
        }
        let site = &mut self.relays[relay];
        for (source, uplink) in site.uplinks.iter_mut().enumerate() {
            if let Some(link) = uplink.take() {
                self.sources[source].source.disconnect(link.id);
            }
        }
        site.relay = self.setting.relay(relay, self.sources.len());
    }

    /// A source starts again without its last changes, in a greater epoch.
    pub fn restart_source(&mut self, source: usize, lost: usize) {
        let site = &mut self.sources[source];
        let kept = site.history.len().saturating_sub(lost).max(1);
        site.history.truncate(kept);
        let (head, said) = site.history.last().cloned().expect("at least the beginning");
        let records = said.into_values().filter(|record| record.state != State::Gone).collect();
        let epoch = site.source.store().epoch() + 1;
        let store = VersionedStore::restore(source as SourceId, epoch, head, records);
        site.source = self.setting.source(store);
        for relay in &mut self.relays {
            relay.uplinks[source] = None;
        }
    }

    /// A subscriber's connection ends on both sides.
    fn hang_up(&mut self, who: usize) {
        let site = &mut self.subscribers[who];
        if let Some(link) = site.uplink.take() {
            self.relays[site.relay].relay.disconnect(link.id);
        }
    }

    pub fn run(&mut self, ticks: usize) {
        (0..ticks).for_each(|_| self.tick());
    }

    /// One step of all parties.
    pub fn tick(&mut self) {
        self.now += TICK;
        for relay in 0..self.relays.len() {
            self.tick_relay(relay);
        }
        for who in 0..self.subscribers.len() {
            self.tick_subscriber(who);
        }
    }

    fn tick_relay(&mut self, place: usize) {
        let now = self.now;
        let site = &mut self.relays[place];
        if site.frozen_until > now {
            return;
        }
        let questions = site.relay.tick(now);
        for (source, uplink) in site.uplinks.iter_mut().enumerate() {
            let cut = site.cut_until[source] > now;
            let upstream = &mut self.sources[source].source;
            if uplink.as_ref().is_some_and(|link| now - link.heard_at > SILENCE) {
                upstream.disconnect(uplink.take().map_or(0, |link| link.id));
            }
            if uplink.is_none() && !cut {
                let mut link = Link::new(self.next_link, now);
                self.next_link += 1;
                // A hello comes through, or there is no connection.
                let hello = site.relay.hello(source as SourceId);
                for answer in upstream.on_message(link.id, hello, now).expect("hello is taken") {
                    link.down.push(answer, now, cut, &self.noise, &mut self.random);
                }
                *uplink = Some(link);
            }
            let Some(link) = uplink else { continue };
            for (_, question) in questions.iter().filter(|(of, _)| usize::from(*of) == source) {
                link.up.push(question.clone(), now, cut, &self.noise, &mut self.random);
            }
            for message in link.up.take(now) {
                let answers =
                    upstream.on_message(link.id, message, now).expect("a source takes what relays say");
                assert!(answers.is_empty());
            }
            for _ in 0..MAX_A_TICK {
                let PublisherAction::Send(message) = upstream.next_action(link.id, now) else { break };
                link.down.push(message, now, cut, &self.noise, &mut self.random);
            }
            for message in link.down.take(now) {
                link.heard_at = now;
                let answers = site.relay.on_source_message(source as SourceId, message, now);
                for answer in answers.expect("a relay takes what sources say") {
                    link.up.push(answer, now, cut, &self.noise, &mut self.random);
                }
            }
        }
    }

    fn tick_subscriber(&mut self, who: usize) {
        let now = self.now;
        let lost = self.subscribers[who].uplink.as_ref().is_some_and(|link| now - link.heard_at > SILENCE);
        if lost {
            self.hang_up(who);
            let next = (self.subscribers[who].relay + 1) % self.relays.len();
            self.subscribers[who].relay = next;
        }
        let site = &mut self.subscribers[who];
        let upstream = &mut self.relays[site.relay];
        let cut = site.cut_until > now;
        let frozen = upstream.frozen_until > now;
        if site.uplink.is_none() && !cut && !frozen {
            let mut link = Link::new(self.next_link, now);
            self.next_link += 1;
            let hello = site.subscriber.hello();
            for answer in upstream.relay.on_message(link.id, hello, now).expect("hello is taken") {
                link.down.push(answer, now, cut, &self.noise, &mut self.random);
            }
            site.uplink = Some(link);
        }
        let Some(link) = &mut site.uplink else { return };
        for question in site.subscriber.tick(now) {
            link.up.push(question, now, cut, &self.noise, &mut self.random);
        }
        if !frozen {
            for message in link.up.take(now) {
                let answers =
                    upstream.relay.on_message(link.id, message, now).expect("a relay takes what agents say");
                assert!(answers.is_empty());
            }
            for _ in 0..MAX_A_TICK {
                let PublisherAction::Send(mut message) = upstream.relay.next_action(link.id, now) else {
                    break;
                };
                if self.tamper.as_mut().is_none_or(|tamper| tamper(&mut message)) {
                    *self.said.entry(message.name()).or_default() += 1;
                    link.down.push(message, now, cut, &self.noise, &mut self.random);
                }
            }
            let scope = match &site.scope {
                Scope::All => 1,
                Scope::Services(services) => services.len(),
            };
            // The scope, and of each source: a line and no more services than there are in scope.
            let most = scope + self.sources.len() * (1 + scope.max(64));
            assert!(
                upstream.relay.retained_items(link.id) <= most,
                "a subscriber's feed state is beyond its bound"
            );
        }
        for message in link.down.take(now) {
            link.heard_at = now;
            let epoch = watcher::epoch(&message);
            let heard = site.subscriber.on_message(message, now).expect("a subscriber takes what relays say");
            for answer in heard.replies {
                link.up.push(answer, now, cut, &self.noise, &mut self.random);
            }
            for applied in heard.applied {
                site.watcher.see(epoch, applied);
            }
        }
    }

    /// All is well from now on: nothing is lost, cut or frozen.
    pub fn heal(&mut self) {
        self.noise = Noise::default();
        for relay in &mut self.relays {
            relay.frozen_until = 0;
            relay.cut_until.fill(0);
        }
        self.subscribers.iter_mut().for_each(|site| site.cut_until = 0);
    }

    /// Runs until nothing differs, at most this many ticks. Gives how many it took.
    pub fn settle(&mut self, most: usize) -> usize {
        for ticks in 0..most {
            if self.differences().is_empty() {
                return ticks;
            }
            self.tick();
        }
        most
    }

    /// What differs from the sources, and what the watchers saw that must not be.
    pub fn differences(&self) -> Vec<String> {
        let mut differences = Vec::new();
        for (place, site) in self.relays.iter().enumerate() {
            for (source, home) in self.sources.iter().enumerate() {
                let held = site.relay.store(source as SourceId).map(live).unwrap_or_default();
                compare(
                    &format!("relay {place}, source {source}"),
                    &live(home.source.store()),
                    &held,
                    &mut differences,
                );
            }
        }
        for (who, site) in self.subscribers.iter().enumerate() {
            let in_scope = |record: &&Record| site.scope.contains(record.key.service);
            let sources = self.sources.iter().flat_map(|home| home.source.store().live_records());
            let truth = sources.filter(in_scope).map(|record| (record.key.clone(), record.clone())).collect();
            let held = site.subscriber.stores().flat_map(|(_, store)| store.live_records());
            let held = held.map(|record| (record.key.clone(), record.clone())).collect();
            compare(&format!("subscriber {who}"), &truth, &held, &mut differences);
            compare(
                &format!("subscriber {who}, as applied"),
                &truth,
                site.watcher.standing(),
                &mut differences,
            );
        }
        differences.extend(self.wrongs());
        differences
    }

    /// What the watchers saw on the way that must not be, and who claims to be where it isn't.
    pub fn wrongs(&self) -> Vec<String> {
        let mut wrongs = Vec::new();
        for (who, site) in self.subscribers.iter().enumerate() {
            wrongs.extend(site.watcher.wrongs().iter().map(|wrong| format!("subscriber {who}: {wrong}")));
            for (source, store) in site.subscriber.stores() {
                let claim = claim(&site.subscriber.hello(), source);
                self.examine(&format!("subscriber {who}"), store, claim, &site.scope, &mut wrongs);
            }
        }
        for (place, site) in self.relays.iter().enumerate() {
            for source in 0..self.sources.len() as SourceId {
                let claim = claim(&site.relay.hello(source), source);
                let Some(store) = site.relay.store(source) else { continue };
                self.examine(&format!("relay {place}"), store, claim, &Scope::All, &mut wrongs);
            }
        }
        wrongs
    }

    /// Whoever says that it has all of an urgency up to somewhere, has it: what stands at the source up to there is held,
    /// and what is gone up to there is not. At any time, also amid losses and repairs.
    fn examine(
        &self,
        who: &str,
        store: &VersionedStore,
        claim: Option<(Epoch, Cursor)>,
        scope: &Scope,
        wrongs: &mut Vec<String>,
    ) {
        let home = &self.sources[usize::from(store.source())];
        let Some((epoch, cursor)) = claim.filter(|(epoch, _)| *epoch == home.source.store().epoch()) else {
            return;
        };
        let said = home.history.last().into_iter().flat_map(|(_, said)| said.values());
        for record in said.filter(|record| scope.contains(record.key.service)) {
            if record.version > cursor[record.urgency() as usize] {
                continue;
            }
            let held = store.get(&record.key).filter(|held| held.state != State::Gone);
            if held != Some(record).filter(|record| record.state != State::Gone) {
                let held = held.map(|held| (held.version, held.state));
                let should = (record.version, record.state);
                let key = &record.key;
                wrongs.push(format!(
                    "{who}: claims {cursor:?} of {epoch}, {key:?} is {held:?}, should be {should:?}"
                ));
            }
        }
    }

    /// Says something to a subscriber's relay on its connection.
    pub fn ask_relay(&mut self, who: usize, message: Message) {
        let site = &self.subscribers[who];
        let link = site.uplink.as_ref().expect("it is connected").id;
        let answers =
            self.relays[site.relay].relay.on_message(link, message, self.now).expect("it may be said");
        assert!(answers.is_empty());
    }

    /// Another scope for the watcher than the subscriber has: to plant a fault.
    pub fn watch_with(&mut self, who: usize, scope: Scope) {
        self.subscribers[who].scope = scope.clone();
        self.subscribers[who].watcher = Watcher::new(scope);
    }
}

/// How far somebody says that it is in a source.
fn claim(hello: &Message, source: SourceId) -> Option<(Epoch, Cursor)> {
    let Message::Hello { positions, .. } = hello else { return None };
    positions
        .iter()
        .find(|positions| positions.source == source)
        .map(|positions| (positions.epoch, positions.cursor))
}

fn live(store: &VersionedStore) -> BTreeMap<Key, Record> {
    store.live_records().map(|record| (record.key.clone(), record.clone())).collect()
}

fn compare(
    where_: &str,
    truth: &BTreeMap<Key, Record>,
    held: &BTreeMap<Key, Record>,
    differences: &mut Vec<String>,
) {
    let keys: BTreeSet<&Key> = truth.keys().chain(held.keys()).collect();
    for key in keys {
        let (true_, is) = (truth.get(key), held.get(key));
        if true_ != is {
            let short = |record: Option<&Record>| {
                record.map(|record| (record.version, record.state, record.body.len()))
            };
            differences.push(format!("{where_}: {key:?} is {:?}, should be {:?}", short(is), short(true_)));
        }
    }
}

/// A scope of these services.
pub fn services(services: impl IntoIterator<Item = ServiceId>) -> Scope {
    Scope::Services(services.into_iter().collect())
}
