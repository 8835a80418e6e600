//! What a balancer remembers: plain data for `balancer.rs`, where everything is decided.

use crate::api::{BackendId, Micros, RequestId};
use crate::slot_map::SlotMap;
use smallvec::SmallVec;

/// The samples of one server since its limit was last judged.
#[derive(Clone, Copy, Default)]
pub(crate) struct Window {
    pub(crate) since: Micros,
    pub(crate) count: u32,
    pub(crate) sum: f64,
    /// Whether IFR came near the limit; a limit that was not used is not known to be good.
    pub(crate) filled: bool,
}

/// What this proxy may send a cold server: one token a send.
/// Rule 4: every proxy finds the empty newcomer the roomiest at once. Each takes only its own share of what
/// the server can stand, and starts at a random point of its token's period so that they don't come together.
#[derive(Clone, Copy)]
pub(crate) struct ColdBudget {
    pub(crate) started: Micros,
    pub(crate) tokens: f64,
    pub(crate) filled_at: Micros,
}

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) id: BackendId,
    pub(crate) zone: u16,
    pub(crate) kind: u8,
    pub(crate) cell: u16,
    /// Discovery lists it; one that is gone is forgotten once no request names it.
    pub(crate) listed: bool,
    pub(crate) ready: bool,
    /// Since when it has got no request after it became ready or was ejected; `MAX` where it got one.
    pub(crate) unused_since: Micros,
    /// The attempts of open requests that name its place.
    pub(crate) held: u32,
    pub(crate) started: Option<Micros>,
    pub(crate) in_flight: u32,
    /// Attempts that became sessions; they hold slots and are not in flight.
    pub(crate) sessions: u32,
    pub(crate) limit: f64,
    pub(crate) dither: f64,
    /// The limit is its kind's; its own windows have not been judged.
    pub(crate) probing: bool,
    /// The part of its kind's limit that its last report gave it, and when.
    pub(crate) part: (f64, Micros),
    pub(crate) window: Window,
    /// Evidence that it is sick.
    pub(crate) evidence: f64,
    /// Failures since it last served.
    pub(crate) unproven: usize,
    /// Since when it has not been ejected.
    pub(crate) in_service: Micros,
    /// Since when it owes an answer without having given any.
    pub(crate) silent_since: Micros,
    pub(crate) ejected_until: Option<Micros>,
    pub(crate) strikes: u32,
    /// It turned a request away and until then counts as having no room.
    pub(crate) full_until: Micros,
    /// A single request is out to see whether the server is back.
    pub(crate) trial_out: bool,
    pub(crate) cold: Option<ColdBudget>,
    /// When each of this proxy's connections to it was last in use.
    pub(crate) rested: Vec<Micros>,
}

/// The servers that are listed or named by an open request; those that are gone must not pile up. A place is
/// used again only when no attempt names it: the attempt's outcome would be booked to the newcomer.
pub(crate) type Servers = SlotMap<Server>;
pub(crate) type Requests = SlotMap<Open>;

impl Servers {
    pub(crate) fn unlist_all(&mut self) {
        self.iter_mut().for_each(|(_, s)| (s.listed, s.ready) = (false, false));
    }

    /// An open request ends and names the place no longer.
    pub(crate) fn let_go(&mut self, place: usize) {
        self[place].held -= 1;
        let server = &self[place];
        if server.is_gone() {
            self.release(server.id);
        }
    }

    /// The list has changed.
    pub(crate) fn forget_gone(&mut self) {
        let gone = self.iter().filter(|(_, s)| s.is_gone()).map(|(_, s)| s.id);
        gone.collect::<Vec<_>>().into_iter().for_each(|id| self.release(id));
    }
}

impl Server {
    fn is_gone(&self) -> bool {
        !self.listed && self.held == 0
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    Out,
    Session,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: usize,
    /// Where the server was then: that group remembers the key, wherever the list puts the server later.
    pub(crate) zone: u16,
    pub(crate) cell: u16,
    pub(crate) sent_at: Micros,
    /// How long its connection had rested.
    pub(crate) rested: Micros,
    /// It is given up so late beside its work that it was lost then.
    pub(crate) early: bool,
    pub(crate) state: AttemptState,
}

/// A request that this proxy took and whose attempts have not all ended.
pub(crate) struct Open {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) max_attempts: usize,
    pub(crate) over_share: bool,
    pub(crate) carried: bool,
    /// The client has its final answer, or left.
    pub(crate) answered: bool,
    pub(crate) streaming: bool,
    pub(crate) held_until: Option<Micros>,
    /// Most requests need one; no allocation on the hot path.
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
}

impl Latency {
    pub(crate) fn new(aim: Micros, now: Micros) -> Self {
        Self { count: 0, mean: aim as f64 / 4.0, base: f64::MAX, base_at: now }
    }
}

impl Open {
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| matches!(a.state, AttemptState::Out | AttemptState::Session)).count()
    }
}

/// Where a request may go next (rule 2).
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scope {
    Anywhere,
    Zone(u16),
    Cell(u16),
    Nowhere,
}

/// How far a proxy with few slots spreads its requests.
pub(crate) struct Pool {
    /// The sum of the limits of the servers that are near.
    pub(crate) slots: f64,
    /// The factor on every limit when it is rounded to slots.
    pub(crate) spread: f64,
    /// The most requests in flight.
    pub(crate) most: u32,
    pub(crate) judged_at: Option<Micros>,
}

/// What one server of a kind of machine takes from all proxies together.
#[derive(Clone)]
pub(crate) struct CommonLimit {
    pub(crate) limit: f64,
    pub(crate) growing: bool,
    /// The mean service time that its servers' load reports tell, milliseconds; 0: none yet.
    pub(crate) service: f64,
    pub(crate) window: Window,
}

/// Latencies of a class on one kind of machine.
#[derive(Clone, Copy)]
pub(crate) struct Latency {
    pub(crate) count: u32,
    pub(crate) mean: f64,
    /// The lowest that the mean has been, drifting up slowly: the latency without crowding.
    pub(crate) base: f64,
    pub(crate) base_at: Micros,
}

pub(crate) struct Bucket {
    pub(crate) tokens: f64,
    pub(crate) at: Micros,
    /// Requests of late, fading within seconds.
    pub(crate) asked: f64,
}

/// Events a second: the best four seconds so far, fading. A single second of a small proxy says too much.
pub(crate) struct PeakRate {
    pub(crate) count: f64,
    pub(crate) since: Micros,
    pub(crate) peak: f64,
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;
