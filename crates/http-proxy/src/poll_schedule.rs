//! When a proxy calls a discovery service that the whole fleet shares, and how long its calls wait there. Pure: no I/O, no
//! clock.
//!
//! Such a service handles calls one after another and fails those that were queued for too long. A watch that is up costs it
//! little, starting one costs more, and a snapshot costs most. A hundred proxies that start at the same moment overload it for
//! a quarter of a minute, and quick retries keep it overloaded. So each proxy has its own slot in a common round, derived from
//! its index and the shared clock without any coordination, and finds an empty queue.
//!
//! A change has to be known 6 s after discovery had it and was reachable. In the worst case discovery recovers right after a
//! call failed, or after one started that hangs until [`START_TIMEOUT`]. That timeout and the balancer's backoff (2 s at the
//! most) end before the proxy's next slot, so calls are exactly a [round](ROUND) apart, and the rest of the 6 s is left for
//! the response.

use balancer::api::Micros;

/// The longest time between two calls of a proxy without a watch, in microseconds: 6 s less one second for the response.
pub const ROUND: Micros = 5_000_000;
/// The wait of a watch's first call, in microseconds. Short, so that a watch that was started while the service was silent
/// fails as early as any other call.
pub const START_WAIT: Micros = 100_000;
/// The timeout of a call that starts a watch or requests a snapshot, in microseconds. The service fails calls that were
/// queued for 2 s; a shorter timeout would make it work on abandoned calls.
pub const START_TIMEOUT: Micros = 2_500_000;
/// How long the response of a running watch may take beyond its wait, in microseconds. What a silent watch missed has to be
/// known 2 s after the wait, and another call has to be answered before that.
pub const WATCH_SLACK: Micros = 750_000;
/// The longest wait of a running watch, in microseconds.
const MAX_WATCH_WAIT: Micros = 20_000_000;
/// The range over which the fleet's waits are spread, in microseconds, so that watches that fail silently together do not
/// time out together.
const WATCH_WAIT_SPREAD: Micros = 10_000_000;
/// The highest cost of a call to the service, in microseconds: measured 60 to 100 ms for the first call of a watch in a fleet
/// of a hundred proxies, and 160 ms for a snapshot.
const MAX_CALL_COST: Micros = 160_000;
/// A fleet of this size needs no slots: the service answers all of its calls within the second that a round leaves.
const MAX_UNSCHEDULED_FLEET: Micros = 6;
/// The largest fleet whose proxies may all request snapshots at their start.
const MAX_SNAPSHOT_FLEET: Micros = 25;
/// The round after the address of discovery changed, in microseconds: its list has to be known 4 s later.
const MOVED_ROUND: Micros = 3_200_000;
/// A call that the service failed after this time was queued there, in microseconds.
const QUEUED_TIME: Micros = 1_000_000;
/// This many queued failures in a row mean that the service can't handle the fleet within a round. A single one may be the
/// end of an outage.
const OVERLOAD_FAILURES: u32 = 2;
/// The slot of an overloaded service is longer than the highest cost by this part of it, to work off its queue.
const SPARE_PART: Micros = 4;
/// The shortest time between two calls, in microseconds.
const MIN_CALL_DISTANCE: Micros = 500_000;
/// The longest round, as a fraction of the maximum poll interval: numerator and denominator.
const MAX_ROUND_FRACTION: (Micros, Micros) = (17, 20);

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallFailure {
    /// A running watch gave no response at the end of its wait. No other proxy's watch ends at this moment.
    WatchTimeout,
    /// The service failed the call after this time, in microseconds.
    Rejected(Micros),
    /// The service could not be reached, or gave no response.
    Unreachable,
}

/// When the next call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextCall {
    /// The first call: at once without a backend list, otherwise in the proxy's slot.
    First,
    Immediately,
    InSlot,
    /// In the proxy's slot of the shorter round after an address change.
    InMovedSlot,
}

/// The call slots of one proxy: one in each round.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    index: Micros,
    fleet_size: Micros,
    /// Zero in a fleet that needs no slots.
    round: Micros,
    /// The round while the service is overloaded.
    overload_round: Micros,
    next_call: NextCall,
    last_call_at: Option<Micros>,
    /// Calls in a row that failed after they were queued at the service.
    queued_failures: u32,
}

impl PollSchedule {
    /// The schedule of proxy `index` in a fleet of `fleet_size`. `max_poll_interval` (microseconds) is the time after which a
    /// proxy that has not called is assumed to know the list.
    #[must_use]
    pub fn new(index: u32, fleet_size: u32, max_poll_interval: Micros) -> Self {
        let fleet_size = Micros::from(fleet_size.max(1));
        let (numerator, denominator) = MAX_ROUND_FRACTION;
        let max_round = max_poll_interval / denominator * numerator;
        let round = if fleet_size <= MAX_UNSCHEDULED_FLEET { 0 } else { ROUND.min(max_round).max(1) };
        let overload_round = round.max(fleet_size * (MAX_CALL_COST + MAX_CALL_COST / SPARE_PART));
        Self {
            index: Micros::from(index) % fleet_size,
            fleet_size,
            round,
            overload_round,
            next_call: NextCall::First,
            last_call_at: None,
            queued_failures: 0,
        }
    }

    /// Whether the fleet is too large for all proxies to request snapshots at once.
    #[must_use]
    pub fn is_large_fleet(&self) -> bool {
        self.fleet_size > MAX_SNAPSHOT_FLEET
    }

    /// When a call that is due at `now` may start (microseconds). Without a backend list the first call starts at once.
    #[must_use]
    pub fn next_call_at(&self, now: Micros, has_backend_list: bool) -> Micros {
        let round = match self.next_call {
            NextCall::First if !has_backend_list => return now,
            NextCall::Immediately => return now,
            NextCall::InMovedSlot => self.round.min(MOVED_ROUND),
            NextCall::InSlot | NextCall::First if self.queued_failures >= OVERLOAD_FAILURES => {
                self.overload_round
            }
            NextCall::InSlot | NextCall::First => self.round,
        };
        if round == 0 {
            return now;
        }
        let distance = if self.next_call == NextCall::InMovedSlot { 0 } else { MIN_CALL_DISTANCE };
        let earliest = self.last_call_at.map_or(now, |last| now.max(last.saturating_add(distance)));
        let offset = self.index * round / self.fleet_size;
        let position = (earliest + round - offset) % round;
        earliest + (round - position) % round
    }

    /// Records that a call started (microseconds).
    pub fn call_started(&mut self, at: Micros) {
        (self.last_call_at, self.next_call) = (Some(at), NextCall::InSlot);
    }

    /// Records that the call succeeded.
    pub fn call_succeeded(&mut self) {
        (self.queued_failures, self.next_call) = (0, NextCall::InSlot);
    }

    /// Records that the call failed.
    pub fn call_failed(&mut self, failure: CallFailure) {
        self.queued_failures = match failure {
            CallFailure::Rejected(after) if after >= QUEUED_TIME => self.queued_failures.saturating_add(1),
            _ => 0,
        };
        self.next_call =
            if failure == CallFailure::WatchTimeout { NextCall::Immediately } else { NextCall::InSlot };
    }

    /// Records that the address of discovery changed: failures of the old service no longer count.
    pub fn address_changed(&mut self) {
        (self.queued_failures, self.next_call) = (0, NextCall::InMovedSlot);
    }

    /// How long a running watch waits, in microseconds.
    #[must_use]
    pub fn watch_wait(&self) -> Micros {
        MAX_WATCH_WAIT - WATCH_WAIT_SPREAD * self.index / self.fleet_size
    }
}
