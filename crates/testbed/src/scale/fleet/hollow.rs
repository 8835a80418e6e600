//! A process of hollow proxies: each is the real subscriber with its own connection and the real choice of a relay, and
//! nothing behind it. They share one thread. The rig says over one connection what they do, and reads what they hold.

use super::plant::Shim;
use super::watch::{Tallies, Watch};
use super::words::{self, Answer, Held, Hollow, HollowCost, MAX_WORDS, Order, Plant};
use control_plane::Millis;
use control_plane::message::Message;
use control_plane::record::{Scope, SourceId, Version};
use control_plane::runtime::Clock;
use control_plane::runtime::upstream_link::{DownstreamNode, UpstreamAddress, follow};
use control_plane::session::SessionError;
use control_plane::subscriber::Subscriber;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::{JoinHandle, LocalSet};

/// Seconds of which the worst sum of bytes is kept.
const WINDOW: usize = 10;

/// Bytes that came, and the worst ten seconds of them.
#[derive(Debug, Default)]
struct Bytes {
    all: u64,
    worst: u64,
    seconds: [u64; WINDOW],
    second: u64,
}

impl Bytes {
    fn add(&mut self, second: u64, bytes: u64) {
        let passed = second.saturating_sub(self.second).min(WINDOW as u64);
        for gone in 0..passed {
            self.seconds[((second - gone) % WINDOW as u64) as usize] = 0;
        }
        self.second = self.second.max(second);
        self.seconds[(self.second % WINDOW as u64) as usize] += bytes;
        self.all += bytes;
        self.worst = self.worst.max(self.seconds.iter().sum());
    }
}

/// One hollow proxy while it lives.
struct Life {
    shared: Rc<Shared>,
    subscriber: Subscriber,
    shim: Shim,
    watch: Watch,
    bytes: Bytes,
    group: u16,
    /// Whether what comes into force counts: not while it learns what was said before it began.
    counts: bool,
    welcomes: u32,
    expected: u32,
    full: (u64, u64),
}

struct Place {
    spec: Hollow,
    life: Rc<RefCell<Life>>,
    task: Option<JoinHandle<()>>,
}

/// What all hollow proxies of a process share.
struct Shared {
    clock: Clock,
    tallies: RefCell<Tallies>,
}

impl Life {
    fn new(spec: &Hollow, plant: Plant, expected: u32, shared: &Rc<Shared>) -> Self {
        let scope = Scope::Services(spec.scope.iter().copied().collect());
        Self {
            shared: Rc::clone(shared),
            subscriber: Subscriber::new(&spec.name, scope),
            shim: Shim::new(plant),
            watch: Watch::default(),
            bytes: Bytes::default(),
            group: spec.group,
            counts: false,
            welcomes: 0,
            expected,
            full: (words::now(), 0),
        }
    }

    fn heads(&self) -> BTreeMap<SourceId, Version> {
        self.subscriber.stores().map(|(source, store)| (source, store.head())).collect()
    }

    fn records(&self) -> Vec<Held> {
        let all = self.subscriber.stores();
        all.flat_map(|(source, store)| store.live_records().map(move |r| Held::of(source, r))).collect()
    }
}

impl DownstreamNode for Life {
    fn hello(&mut self) -> Message {
        self.shim.out(self.subscriber.hello())
    }

    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, SessionError> {
        self.watch.heard(&message);
        let Some(message) = self.shim.pass(message) else { return Ok(Vec::new()) };
        let source = match &message {
            Message::Batch { source, .. } | Message::ServiceSnapshot { source, .. } => Some(*source),
            _ => None,
        };
        let heard = self.subscriber.on_message(message, now)?;
        if let Some(source) = source {
            let at = words::now();
            for applied in &heard.applied {
                let from = self.watch.applied(source, &applied.record);
                if self.counts {
                    self.shared.tallies.borrow_mut().add(source, &applied.record, from, self.group, at);
                }
            }
            let (live, expected) = (u64::from(self.watch.live()), u64::from(self.expected));
            if self.full.1 == 0 && live * 100 >= expected * 99 {
                self.full.1 = at;
            }
        }
        Ok(heard.replies)
    }

    fn tick(&mut self, now: Millis) -> Vec<Message> {
        self.subscriber.tick(now)
    }

    fn on_connected(&mut self, _upstream: &str) {
        self.welcomes += 1;
    }

    fn on_transferred(&mut self, came: u64, _went: u64) {
        self.bytes.add(self.shared.clock.now() / 1_000, came);
    }
}

/// All hollow proxies of a process.
struct House {
    shared: Rc<Shared>,
    places: BTreeMap<u32, Place>,
    planted: Option<(u32, Plant)>,
}

impl House {
    fn start(&mut self, number: u32, expected: u32) {
        let Some(place) = self.places.get_mut(&number) else { return };
        if let Some(task) = place.task.take() {
            task.abort();
        }
        let plant = self.planted.filter(|p| p.0 == number).map_or(Plant::None, |p| p.1);
        place.life = Rc::new(RefCell::new(Life::new(&place.spec, plant, expected, &self.shared)));
        let (party, spec, clock) = (Rc::clone(&place.life), place.spec.clone(), self.shared.clock);
        place.task = Some(tokio::task::spawn_local(async move {
            let relays =
                spec.relays.into_iter().map(|(name, address)| UpstreamAddress { name, address }).collect();
            follow(party, relays, &spec.name, u64::from(number), clock).await;
        }));
    }

    fn alive(&self) -> impl Iterator<Item = (u32, &Place)> {
        self.places.iter().filter(|(_, place)| place.task.is_some()).map(|(&number, place)| (number, place))
    }

    fn behind(&self, heads: &[(SourceId, Version)]) -> Answer {
        let lacks = |place: &Place| {
            let life = place.life.borrow();
            let has = life.heads();
            let lacking = |&&(source, head): &&(SourceId, Version)| has.get(&source) != Some(&head);
            heads.iter().find(lacking).map(|(source, head)| {
                format!("{} has {:?} of source {source}, not {head:?}", place.spec.name, has.get(source))
            })
        };
        let mut count = 0;
        let mut example = None;
        for text in self.alive().filter_map(|(_, place)| lacks(place)) {
            count += 1;
            example.get_or_insert(text);
        }
        Answer::Behind { count, example }
    }

    fn costs(&self) -> Answer {
        let (mut each, mut breaks, mut watchers) = (Vec::new(), Vec::new(), 0);
        for (number, place) in self.alive() {
            let mut life = place.life.borrow_mut();
            let bytes = std::mem::take(&mut life.bytes);
            each.push(HollowCost {
                number,
                bytes: bytes.all,
                worst_ten: bytes.worst,
                records: life.watch.live(),
                welcomes: life.welcomes,
                full: life.full,
            });
            watchers += life.watch.bytes();
            breaks.extend(life.watch.breaks().iter().map(|text| (number, text.clone())));
        }
        Answer::Costs { each, watchers, breaks }
    }

    /// Does what it is told, and answers; whether it goes on.
    async fn obey(&mut self, order: Order, to: &mut OwnedWriteHalf) -> io::Result<bool> {
        let answer = match order {
            Order::Start { hollows, plant } => {
                self.planted = hollows.iter().map(|h| h.number).min().map(|least| (least, plant));
                for spec in hollows {
                    let (number, life) = (spec.number, Life::new(&spec, Plant::None, u32::MAX, &self.shared));
                    let life = Rc::new(RefCell::new(life));
                    self.places.insert(number, Place { spec, life, task: None });
                }
                Answer::Done
            }
            Order::Begin => {
                let _ = self.shared.tallies.borrow_mut().take();
                for (_, place) in self.alive() {
                    let mut life = place.life.borrow_mut();
                    life.counts = true;
                    life.shim.arm();
                }
                Answer::Done
            }
            Order::Behind { heads } => self.behind(&heads),
            Order::Dump { numbers } => {
                let asked: Option<HashSet<u32>> = numbers.map(|numbers| numbers.into_iter().collect());
                for (number, place) in self.alive() {
                    if asked.as_ref().is_none_or(|asked| asked.contains(&number)) {
                        let records = place.life.borrow().records();
                        words::write(to, &Answer::Held { number, records }).await?;
                    }
                }
                Answer::Done
            }
            Order::End { numbers } => {
                for place in numbers.iter().filter_map(|number| self.places.get(number)) {
                    if let Some(task) = &place.task {
                        task.abort();
                    }
                }
                for number in numbers {
                    if let Some(place) = self.places.get_mut(&number) {
                        place.task = None;
                        place.life = Rc::new(RefCell::new(Life::new(
                            &place.spec,
                            Plant::None,
                            u32::MAX,
                            &self.shared,
                        )));
                    }
                }
                Answer::Done
            }
            Order::Restart { numbers } => {
                for (number, expected) in numbers {
                    self.start(number, expected);
                }
                Answer::Done
            }
            Order::Tallies => {
                let (tallies, forgotten) = self.shared.tallies.borrow_mut().take();
                self.alive().for_each(|(_, place)| place.life.borrow_mut().counts = true);
                Answer::Tallies { tallies, forgotten }
            }
            Order::Costs => self.costs(),
            Order::Quit => return Ok(false),
        };
        words::write(to, &answer).await?;
        Ok(true)
    }
}

/// Serves the rig that listens there until it says so or is gone.
///
/// # Errors
/// Where it can't be reached, or says what makes no sense.
pub fn serve(rig: SocketAddr) -> io::Result<()> {
    crate::fleet::process_guard::all_descriptors()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let stream = TcpStream::connect(rig).await?;
        stream.set_nodelay(true)?;
        let (mut from, mut to) = stream.into_split();
        let shared = Rc::new(Shared { clock: Clock::start(), tallies: RefCell::default() });
        let mut house = House { shared, places: BTreeMap::new(), planted: None };
        while let Some((_, order)) = words::read(&mut from, MAX_WORDS).await? {
            if !house.obey(order, &mut to).await? {
                break;
            }
        }
        Ok(())
    })
}
