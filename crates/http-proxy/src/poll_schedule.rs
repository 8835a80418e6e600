//! Schedules the calls of a proxy to a discovery service that the complete fleet shares, and gives their wait
//! times. Pure: no I/O, no clock.
//!
//! Such a service handles calls one after another and fails those that were queued for too long. A running
//! watch costs it little, starting a watch costs more, and a snapshot costs most. A hundred proxies that
//! start at the same moment overload it for a quarter of a minute, and quick retries prolong the overload.
//! Each proxy therefore has its own slot in a common round. The slot follows from the proxy's index and the
//! shared clock, without coordination, and the calls of the fleet do not queue.
//!
//! A proxy has to know a change within 6 s after discovery has the change and is reachable. In the worst case
//! discovery recovers right after a call failed, or right after the start of a call that hangs until
//! [`START_TIMEOUT`]. That timeout and the balancer's backoff (at most 2 s) end before the proxy's next slot,
//! so that calls are exactly one [round](ROUND) apart. The rest of the 6 s is left for the response.

use balancer::api::Micros;

/// The maximum time between two calls of a proxy without a watch, in microseconds: 6 s, less 1 s for the
/// response.
pub const ROUND: Micros = 5_000_000;
/// The wait time of a watch's first call, in microseconds. It is short, so that a watch that starts while the
/// service is unresponsive fails as early as any other call.
pub const START_WAIT: Micros = 100_000;
/// The timeout of a call that starts a watch or requests a snapshot, in microseconds. The service fails calls
/// that were queued for 2 s; with a shorter timeout it would process calls that the proxy has already
/// abandoned.
pub const START_TIMEOUT: Micros = 2_500_000;
/// How long the response of a running watch may take beyond its wait time, in microseconds. Changes that an
/// unresponsive watch missed have to be known 2 s after the end of the wait, which requires that another call
/// is answered before.
pub const WATCH_SLACK: Micros = 750_000;
/// The maximum wait time of a running watch, in microseconds.
const MAX_WATCH_WAIT: Micros = 20_000_000;
/// The range over which the wait times of the fleet are spread, in microseconds. Watches that become
/// unresponsive at the same moment then do not time out at the same moment.
const WATCH_WAIT_SPREAD: Micros = 10_000_000;
/// The maximum time that the service spends on a call, in microseconds. In a fleet of a hundred proxies the
/// first call of a watch takes 60 to 100 ms, and a snapshot 160 ms.
const MAX_CALL_COST: Micros = 160_000;
/// The largest fleet that needs no slots: the service answers all of its calls within the one second that a
/// round leaves for the response.
const MAX_UNSCHEDULED_FLEET_SIZE: Micros = 6;
/// The largest fleet whose proxies may all request a snapshot when they start.
const MAX_SNAPSHOT_FLEET_SIZE: Micros = 25;
/// The round after discovery's address has changed, in microseconds: the list of the new service has to be
/// known within 4 s.
const ADDRESS_CHANGE_ROUND: Micros = 3_200_000;
/// A call that the service failed after at least this time was queued there, in microseconds.
const MIN_QUEUED_TIME: Micros = 1_000_000;
/// After this many consecutive failures of queued calls the service counts as overloaded: it can't handle the
/// fleet within a round. A single one may be the end of an outage.
const MIN_OVERLOAD_FAILURES: u32 = 2;
/// The slot of an overloaded service is longer than the maximum call cost by this fraction (one divided by
/// this number), so that the service can work off its queue.
const SPARE_CAPACITY_DIVISOR: Micros = 4;
/// The minimum time between two calls, in microseconds.
const MIN_CALL_INTERVAL: Micros = 500_000;
/// The maximum round, as a fraction of the maximum poll interval: numerator and denominator.
const MAX_ROUND_FRACTION: (Micros, Micros) = (17, 20);

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallFailure {
    /// A running watch gave no response by the end of its wait time and slack. The watches of the other
    /// proxies end at other moments.
    WatchTimeout,
    /// The service failed the call this many microseconds after its start.
    Rejected(Micros),
    /// The service could not be reached, or gave no response.
    Unreachable,
}

/// When the next call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextCall {
    /// The first call: immediately if there is no backend list, otherwise in the proxy's slot.
    First,
    Immediately,
    InSlot,
    /// In the proxy's slot of the shorter round after an address change.
    InAddressChangeSlot,
}

/// The call slots of one proxy, one in each round.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    index: Micros,
    fleet_size: Micros,
    /// In microseconds; zero in a fleet that needs no slots.
    round: Micros,
    /// The round while the service is overloaded, in microseconds.
    overload_round: Micros,
    next_call: NextCall,
    last_call_at: Option<Micros>,
    /// Consecutive calls that failed after they were queued at the service.
    queued_failures: u32,
}

impl PollSchedule {
    /// The schedule of the proxy with this index in a fleet of `fleet_size`. `max_poll_interval`
    /// (microseconds) is the time after which a proxy that has not called is assumed to know the list.
    #[must_use]
    pub fn new(index: u32, fleet_size: u32, max_poll_interval: Micros) -> Self {
        let fleet_size = Micros::from(fleet_size.max(1));
        let (numerator, denominator) = MAX_ROUND_FRACTION;
        let max_round = max_poll_interval / denominator * numerator;
        let round = if fleet_size <= MAX_UNSCHEDULED_FLEET_SIZE { 0 } else { ROUND.min(max_round).max(1) };
        let overload_round = round.max(fleet_size * (MAX_CALL_COST + MAX_CALL_COST / SPARE_CAPACITY_DIVISOR));
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
        self.fleet_size > MAX_SNAPSHOT_FLEET_SIZE
    }

    /// The time at which a call that is due at `now` may start, both in microseconds. The first call starts
    /// immediately if there is no backend list.
    #[must_use]
    pub fn next_call_at(&self, now: Micros, has_backend_list: bool) -> Micros {
        let round = match self.next_call {
            NextCall::First if !has_backend_list => return now,
            NextCall::Immediately => return now,
            NextCall::InAddressChangeSlot => self.round.min(ADDRESS_CHANGE_ROUND),
            NextCall::InSlot | NextCall::First if self.queued_failures >= MIN_OVERLOAD_FAILURES => {
                self.overload_round
            }
            NextCall::InSlot | NextCall::First => self.round,
        };
        if round == 0 {
            return now;
        }
        let min_interval =
            if self.next_call == NextCall::InAddressChangeSlot { 0 } else { MIN_CALL_INTERVAL };
        let earliest = self.last_call_at.map_or(now, |last| now.max(last.saturating_add(min_interval)));
        let offset = self.index * round / self.fleet_size;
        let position = (earliest + round - offset) % round;
        earliest + (round - position) % round
    }

    /// Records that a call started at this time, in microseconds.
    pub fn call_started(&mut self, at: Micros) {
        (self.last_call_at, self.next_call) = (Some(at), NextCall::InSlot);
    }

    /// Records that the last call succeeded: the service is not overloaded.
    pub fn call_succeeded(&mut self) {
        (self.queued_failures, self.next_call) = (0, NextCall::InSlot);
    }

    /// Records that the last call failed. After a watch timeout the next call may start immediately.
    pub fn call_failed(&mut self, failure: CallFailure) {
        self.queued_failures = match failure {
            CallFailure::Rejected(after) if after >= MIN_QUEUED_TIME => {
                self.queued_failures.saturating_add(1)
            }
            _ => 0,
        };
        self.next_call =
            if failure == CallFailure::WatchTimeout { NextCall::Immediately } else { NextCall::InSlot };
    }

    /// Records that discovery's address has changed: failures of the previous service no longer count.
    pub fn address_changed(&mut self) {
        (self.queued_failures, self.next_call) = (0, NextCall::InAddressChangeSlot);
    }

    /// The time that a running watch asks the service to wait for changes, in microseconds.
    #[must_use]
    pub fn watch_wait(&self) -> Micros {
        MAX_WATCH_WAIT - WATCH_WAIT_SPREAD * self.index / self.fleet_size
    }
}
