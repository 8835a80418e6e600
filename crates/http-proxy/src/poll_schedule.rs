//! When a proxy calls a discovery service that the whole fleet asks, and how long it waits there. Pure: no I/O, no clock.
//!
//! Such a service takes calls in turn and fails those that have waited too long. Keeping a watch up is cheap there,
//! beginning one is not, and a whole list costs most. When a hundred proxies begin at the same moment the service is in
//! debt for a quarter of a minute, and calls that are repeated soon after they failed keep it there: nobody hears anything.
//! A call at a turn that no other proxy has meets an empty queue. That needs no word between proxies, for they share the
//! clock.
//!
//! A change counts as told 6 s after discovery had it and could be reached. In the worst moment discovery returns right
//! after a call failed, or after one began that hangs until [`OPENING_LIMIT`]. The limit and the decisions' backoff (2 s at
//! the most) are over before the next turn comes, so that calls lie exactly a [round](ROUND) apart: what is left of the 6 s
//! is for the answer.

use balancer::api::Micros;

/// The longest time between two calls of a proxy that has no watch: what 6 s leave when a second is kept for the answer.
pub const ROUND: Micros = 5_000_000;
/// How long the first call of a watch may wait. What is told up to the next call counts as watched, so that a watch that
/// was begun into silence is found out as soon as any other call.
pub const OPENING_WAIT: Micros = 100_000;
/// How long a call may take that begins a watch or asks for the whole list. The service fails calls that waited 2 s:
/// whoever gives up before has it work for nobody.
pub const OPENING_LIMIT: Micros = 2_500_000;
/// How long the answer to a watch that is up may take beyond its wait. What a silent watch missed holds 2 s after the wait,
/// and until then another call has to be answered.
pub const WATCH_SLACK: Micros = 750_000;
/// The longest wait of a watch that is up, and the part of it over which the fleet's waits are spread: watches that began
/// and fell silent together must not be given up together.
const WATCH_WAIT: Micros = 20_000_000;
const WATCH_SPREAD: Micros = 10_000_000;
/// What a call costs the service at the most: a first call for changes took 0.06 to 0.1 s of it where a hundred proxies
/// asked, a call for the whole list 0.16 s.
const DEAREST_CALL: Micros = 160_000;
/// So many proxies need no turns: the service answers all of them within the second that a round leaves, whenever they call.
const FEW: Micros = 6;
/// Fleets up to this size can ask for whole lists as they start.
const CAN_LIST: Micros = 25;
/// After its address has changed, what discovery has counts as told 4 s later.
const MOVED_ROUND: Micros = 3_200_000;
/// A call that the service itself failed after so long had stood in its queue.
const QUEUED: Micros = 1_000_000;
/// So many such failures in a row show a service that can't carry the fleet within a round. One alone does not: a call of an
/// outage may be reset at its end.
const OVERLOADS: u32 = 2;
/// From then on each call has the service's time for itself, with this part to spare for what waits there already.
const TO_SPARE: Micros = 4;
/// Every call keeps its distance from the one before.
const GAP: Micros = 500_000;
/// The round's longest part of the time after which an instance that did not ask is taken to know the list.
const OF_ASK_WITHIN: (Micros, Micros) = (17, 20);

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A watch that was up gave no answer when its wait was over. Nobody else is given up at this moment.
    Silent,
    /// The service failed the call itself, after this time.
    Refused(Micros),
    /// It could not be reached, or said nothing.
    Unreached,
}

/// When the next call may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// At once, for whoever holds no list; at a turn for the others.
    First,
    /// At once.
    Now,
    /// At a turn.
    Turn,
    /// At a turn of the shorter round after discovery has moved.
    Moved,
}

/// The turns of one proxy: once in each round, at a moment of the clock that is its own.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    me: Micros,
    balancers: Micros,
    round: Micros,
    /// The round where the service can't carry the fleet within [`ROUND`].
    long: Micros,
    next: Next,
    /// When the last call began.
    called: Option<Micros>,
    /// Calls in a row that the service failed after they had stood in its queue.
    queued: u32,
}

impl PollSchedule {
    /// The turns of proxy `me` of `balancers`. `ask_within` is the time after which an instance that has not asked is
    /// taken to know the list.
    #[must_use]
    pub fn of(me: u32, balancers: u32, ask_within: Micros) -> Self {
        let balancers = Micros::from(balancers.max(1));
        let asks = ask_within / OF_ASK_WITHIN.1 * OF_ASK_WITHIN.0;
        let round = if balancers <= FEW { 0 } else { ROUND.min(asks).max(1) };
        let long = round.max(balancers * (DEAREST_CALL + DEAREST_CALL / TO_SPARE));
        let me = Micros::from(me) % balancers;
        Self { me, balancers, round, long, next: Next::First, called: None, queued: 0 }
    }

    /// Whether the service can't write whole lists to all proxies at once.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.balancers > CAN_LIST
    }

    /// When a call that may be made from `now` on is to begin. Whoever has no list (`holds`) makes its first one at once.
    #[must_use]
    pub fn at(&self, now: Micros, holds: bool) -> Micros {
        let round = match self.next {
            Next::First if !holds => return now,
            Next::Now => return now,
            Next::Moved => self.round.min(MOVED_ROUND),
            Next::Turn | Next::First if self.queued >= OVERLOADS => self.long,
            Next::Turn | Next::First => self.round,
        };
        if round == 0 {
            return now;
        }
        let gap = if self.next == Next::Moved { 0 } else { GAP };
        let earliest = self.called.map_or(now, |called| now.max(called.saturating_add(gap)));
        let offset = self.me * round / self.balancers;
        let into = (earliest + round - offset) % round;
        earliest + (round - into) % round
    }

    /// A call has begun.
    pub fn begun(&mut self, at: Micros) {
        (self.called, self.next) = (Some(at), Next::Turn);
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        (self.queued, self.next) = (0, Next::Turn);
    }

    /// A call failed.
    pub fn failed(&mut self, failure: Failure) {
        self.queued = match failure {
            Failure::Refused(after) if after >= QUEUED => self.queued.saturating_add(1),
            _ => 0,
        };
        self.next = if failure == Failure::Silent { Next::Now } else { Next::Turn };
    }

    /// Discovery has moved: what is known of the old service counts no more.
    pub fn moved(&mut self) {
        (self.queued, self.next) = (0, Next::Moved);
    }

    /// How long a watch that is up may wait.
    #[must_use]
    pub fn watch_wait(&self) -> Micros {
        WATCH_WAIT - WATCH_SPREAD * self.me / self.balancers
    }
}
