//! Relay selection: each subscriber has its own order of relays (rendezvous hashing of names) and reconnects with backoff
//! and jitter, so that the subscribers of a failed relay spread over all others and over time.

use crate::Millis;
use std::ops::RangeInclusive;
use twox_hash::XxHash3_64;

/// The next action of a node without a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect now to this relay (an index into the given list).
    Connect(usize),
    /// Wait until this time, then request the next action.
    WaitUntil(Millis),
}

/// How long upstream may send nothing before its connection counts as lost, milliseconds; it sends at least each second.
pub const SILENCE_TIMEOUT: Millis = 2_500;
/// Delay of the first connection, milliseconds: nodes that start together don't connect together.
const FIRST_CONNECT_DELAY: RangeInclusive<Millis> = 0..=300;
/// Delay of the connection to the next relay after a loss, milliseconds: a relay may have hundreds of subscribers.
const RECONNECT_DELAY: RangeInclusive<Millis> = 0..=500;
/// Backoff after all relays have failed in a row, milliseconds; it doubles each time, and half of it is jitter.
const MIN_BACKOFF: Millis = 250;
/// The longest backoff, milliseconds.
const MAX_BACKOFF: Millis = 2_000;
/// Doublings of the backoff that are computed; more would exceed [`MAX_BACKOFF`] in any case.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// After a connection of at least this duration the order starts again with the preferred relay, milliseconds.
const STABLE_CONNECTION: Millis = 10_000;
/// Delay until a subscriber of another relay probes the preferred one, milliseconds: long enough not to overrun a relay
/// that has come back, short enough to restore the balance within minutes.
const PROBE_DELAY: RangeInclusive<Millis> = 30_000..=90_000;
/// The probe delay doubles with each failed probe, this many times at the most.
const MAX_PROBE_DOUBLINGS: u32 = 4;

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// No action was requested yet.
    Initial,
    WaitingUntil(Millis),
    Connecting,
    Connected {
        since: Millis,
        /// When the preferred relay is probed beside this one.
        probe_at: Millis,
    },
}

/// The relay selection of one subscriber.
#[derive(Debug)]
pub struct Failover {
    /// Indexes into the list of relays, the preferred one first.
    order: Vec<usize>,
    /// The position in `order` that is connected, or is connected to next.
    position: usize,
    phase: Phase,
    /// Failed connections in a row.
    failures: usize,
    /// Failed probes of the preferred relay in a row.
    failed_probes: u32,
    random_state: u64,
}

impl Failover {
    /// The selection of a subscriber of this name among relays of these names; `seed` varies the jitter.
    #[must_use]
    pub fn new(name: &str, relays: &[String], seed: u64) -> Self {
        let rank = |index: &usize| {
            let relay = &relays[*index];
            let text = [name.as_bytes(), &[0], relay.as_bytes()].concat();
            (std::cmp::Reverse(XxHash3_64::oneshot(&text)), relay)
        };
        let mut order: Vec<usize> = (0..relays.len()).collect();
        order.sort_by(|left, right| rank(left).cmp(&rank(right)));
        let random_state = seed ^ XxHash3_64::oneshot(name.as_bytes());
        Self { order, position: 0, phase: Phase::Initial, failures: 0, failed_probes: 0, random_state }
    }

    /// The relays in order of preference, as indexes into the given list.
    #[must_use]
    pub fn order(&self) -> &[usize] {
        &self.order
    }

    /// The next action without a connection.
    pub fn next_action(&mut self, now: Millis) -> Action {
        if self.order.is_empty() {
            return Action::WaitUntil(now + MAX_BACKOFF);
        }
        if matches!(self.phase, Phase::Initial) {
            self.phase = Phase::WaitingUntil(now + self.random_in(FIRST_CONNECT_DELAY));
        }
        match self.phase {
            Phase::WaitingUntil(until) if now < until => Action::WaitUntil(until),
            _ => {
                self.phase = Phase::Connecting;
                Action::Connect(self.order[self.position])
            }
        }
    }

    /// The relay has sent its welcome.
    pub fn on_connected(&mut self, now: Millis) {
        let delay = self.random_in(PROBE_DELAY) << self.failed_probes;
        self.phase = Phase::Connected { since: now, probe_at: now + delay };
    }

    /// The connection ended, was not established, or timed out.
    pub fn on_lost(&mut self, now: Millis) {
        let count = self.order.len().max(1);
        if let Phase::Connected { since, .. } = self.phase
            && now.saturating_sub(since) >= STABLE_CONNECTION
        {
            // The preferred relay is next, unless that is the one that was lost.
            self.position = usize::from(self.position == 0) % count;
            self.failures = usize::from(count == 1);
        } else {
            self.position = (self.position + 1) % count;
            self.failures += 1;
        }
        let delay = if self.failures > 0 && self.failures.is_multiple_of(count) {
            let doublings = u32::try_from(self.failures / count - 1).unwrap_or(u32::MAX);
            let backoff = MIN_BACKOFF.checked_shl(doublings.min(MAX_BACKOFF_DOUBLINGS));
            let backoff = backoff.unwrap_or(MAX_BACKOFF).min(MAX_BACKOFF);
            backoff / 2 + self.random_in(0..=backoff / 2)
        } else {
            self.random_in(RECONNECT_DELAY)
        };
        self.phase = Phase::WaitingUntil(now + delay);
    }

    /// When to probe the preferred relay; `None` while connected to that one or not connected.
    #[must_use]
    pub fn probe_at(&self) -> Option<Millis> {
        match self.phase {
            Phase::Connected { probe_at, .. } if self.position != 0 => Some(probe_at),
            _ => None,
        }
    }

    /// The preferred relay, if it is due to be probed. The working connection stays until the probe has been welcomed, which
    /// is reported with [`Failover::on_moved`]; a failure is reported with [`Failover::on_probe_failed`].
    pub fn next_probe(&mut self, now: Millis) -> Option<usize> {
        let at = self.probe_at()?;
        if now < at {
            return None;
        }
        // Without a report of the result the probe is repeated later.
        self.schedule_probe(now);
        Some(self.order[0])
    }

    /// The probed relay has sent its welcome, and the former connection was closed.
    pub fn on_moved(&mut self, now: Millis) {
        self.position = 0;
        self.failures = 0;
        self.failed_probes = 0;
        self.on_connected(now);
    }

    /// The probed relay has sent no welcome.
    pub fn on_probe_failed(&mut self, now: Millis) {
        self.failed_probes = (self.failed_probes + 1).min(MAX_PROBE_DOUBLINGS);
        self.schedule_probe(now);
    }

    fn schedule_probe(&mut self, now: Millis) {
        let delay = self.random_in(PROBE_DELAY) << self.failed_probes;
        if let Phase::Connected { probe_at, .. } = &mut self.phase {
            *probe_at = now + delay;
        }
    }

    /// A random time in a range (splitmix64).
    fn random_in(&mut self, range: RangeInclusive<Millis>) -> Millis {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        range.start() + mixed % (range.end() - range.start() + 1)
    }
}
