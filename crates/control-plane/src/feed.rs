//! What upstream tells whom next: a cursor for each subscriber and no queue, so that a slow one gets the newest of each
//! record and holds no memory. Paced by bytes; drains before additions before the rest.

use crate::Millis;
use crate::ledger::Ledger;
use crate::line::{Line, Step};
use crate::message::{Have, Message};
use crate::pace::Bucket;
use crate::record::{Scope, SourceId, Urgency};
use crate::replica::MAX_WANTED;
use crate::source::Refusal;
use std::collections::{BTreeMap, HashMap};

pub use crate::pace::Pace;

/// A connection from downstream, as the shell numbers them.
pub type SubscriberId = u64;

/// Subscribers of one party at the most: all agents of a region, should every other relay be gone.
pub const MAX_SUBSCRIBERS: usize = 8_192;
/// Services in a scope at the most, unless it holds all.
pub const MAX_SCOPE: usize = 4_096;
/// Sources that one party hears of at the most.
pub const MAX_SOURCES: usize = 256;
/// A subscriber that was told nothing for this long is told that upstream is alive, milliseconds.
pub const ALIVE_INTERVAL: Millis = 1_000;

/// What comes next on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// This; then ask again as soon as the connection takes more.
    Send(Message),
    /// Nothing before this time, unless something changes.
    Wait(Millis),
}

/// One source as a feed may tell of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    /// What is held.
    pub ledger: &'a Ledger,
    /// Whether digests and whole services may be told; changes may always be.
    pub sound: bool,
}

/// What is sent in this order, whichever source it is of.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Pass {
    Changes(Urgency),
    Summary,
    Whole,
    Quiet,
}

/// A repair may hold drains that were missed, so it goes before additions; it is bounded by the scope.
const PASSES: [Pass; 6] = [
    Pass::Changes(Urgency::Drain),
    Pass::Summary,
    Pass::Whole,
    Pass::Changes(Urgency::Addition),
    Pass::Changes(Urgency::Rest),
    Pass::Quiet,
];

/// One subscriber.
#[derive(Debug)]
struct Subscription {
    scope: Scope,
    bucket: Bucket,
    lines: BTreeMap<SourceId, Line>,
    last_word: Millis,
    /// Which source comes first, so that none starves another.
    turn: usize,
}

/// All subscribers of a party.
#[derive(Debug)]
pub(crate) struct Feed {
    pace: Pace,
    subscribers: HashMap<SubscriberId, Subscription>,
    most: usize,
}

impl Feed {
    pub(crate) fn new(pace: Pace) -> Self {
        Self { pace, subscribers: HashMap::new(), most: MAX_SUBSCRIBERS }
    }

    pub(crate) fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    /// A subscriber said hello; `welcome` is said to it.
    pub(crate) fn join(
        &mut self,
        who: SubscriberId,
        scope: Scope,
        have: Vec<Have>,
        welcome: &Message,
        now: Millis,
    ) -> Result<(), Refusal> {
        if self.subscribers.contains_key(&who) {
            return Err(Refusal::OutOfTurn { what: "Hello", why: "it is said once, first" });
        }
        if self.subscribers.len() >= self.most {
            return Err(Refusal::Full(self.subscribers.len()));
        }
        if let Scope::Services(services) = &scope {
            bounded("services in the scope", services.len(), MAX_SCOPE)?;
        }
        bounded("sources that it has", have.len(), MAX_SOURCES)?;
        let mut bucket = Bucket::new(self.pace, now);
        bucket.spend(welcome.weight());
        let lines = have.iter().map(|have| (have.source, Line::at(have, now))).collect();
        self.subscribers.insert(who, Subscription { scope, bucket, lines, last_word: now, turn: 0 });
        Ok(())
    }

    pub(crate) fn leave(&mut self, who: SubscriberId) {
        self.subscribers.remove(&who);
    }

    pub(crate) fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// How many things of one subscriber are held: services in its scope, sources, services it wants.
    pub(crate) fn held(&self, who: SubscriberId) -> usize {
        let Some(subscriber) = self.subscribers.get(&who) else { return 0 };
        let scope = match &subscriber.scope {
            Scope::All => 1,
            Scope::Services(services) => services.len(),
        };
        scope + subscriber.lines.values().map(|line| 1 + line.wants()).sum::<usize>()
    }

    /// Something that a subscriber says after its hello.
    pub(crate) fn hear(&mut self, from: SubscriberId, message: Message, now: Millis) -> Result<(), Refusal> {
        let what = message.name();
        let Some(subscriber) = self.subscribers.get_mut(&from) else {
            return Err(Refusal::OutOfTurn { what, why: "say Hello first" });
        };
        match message {
            Message::Resume { have } => {
                bounded("sources that it has", have.len(), MAX_SOURCES)?;
                for have in &have {
                    subscriber.line(have.source, now)?.resume(have, now);
                }
            }
            Message::Compare { source } => {
                subscriber.line(source, now)?.compare();
            }
            Message::Want { source, mut services } => {
                bounded("services wanted", services.len(), MAX_WANTED)?;
                services.retain(|service| subscriber.scope.holds(*service));
                subscriber.line(source, now)?.want(services);
            }
            _ => return Err(Refusal::OutOfTurn { what, why: "downstream says Resume, Compare and Want" }),
        }
        Ok(())
    }

    /// What comes next for a subscriber. One that did not say hello gets nothing.
    pub(crate) fn next(&mut self, to: SubscriberId, views: &[View<'_>], now: Millis) -> Next {
        let Some(subscriber) = self.subscribers.get_mut(&to) else { return Next::Wait(now + ALIVE_INTERVAL) };
        subscriber.bucket.refill(now);
        let Subscription { scope, bucket, lines, last_word, turn } = subscriber;
        let mut wake = *last_word + ALIVE_INTERVAL;
        for view in views {
            lines.entry(view.ledger.source()).or_insert_with(|| Line::fresh(now)).look(*view);
        }
        'passes: for pass in PASSES {
            for place in 0..views.len() {
                let place = (*turn + place) % views.len();
                let view = views[place];
                let Some(line) = lines.get_mut(&view.ledger.source()) else { continue };
                match line.step(pass, view, scope, bucket, now) {
                    Step::Nothing => {}
                    Step::Later(at) => wake = wake.min(at),
                    // What is more urgent isn't starved by small things.
                    Step::Poor(at) => {
                        wake = wake.min(at);
                        break 'passes;
                    }
                    Step::Say(message) => {
                        bucket.spend(message.weight());
                        *last_word = now;
                        *turn = (place + 1) % views.len();
                        return Next::Send(message);
                    }
                }
            }
        }
        if now >= *last_word + ALIVE_INTERVAL {
            *last_word = now;
            bucket.spend(Message::Alive.weight());
            return Next::Send(Message::Alive);
        }
        Next::Wait(wake.max(now + 1))
    }
}

impl Subscription {
    /// The line of a source.
    fn line(&mut self, source: SourceId, now: Millis) -> Result<&mut Line, Refusal> {
        if !self.lines.contains_key(&source) {
            bounded("sources", self.lines.len() + 1, MAX_SOURCES)?;
        }
        Ok(self.lines.entry(source).or_insert_with(|| Line::fresh(now)))
    }
}

/// Refuses what is beyond a bound.
fn bounded(what: &'static str, is: usize, most: usize) -> Result<(), Refusal> {
    if is > most { Err(Refusal::TooMany { what, is, most }) } else { Ok(()) }
}
