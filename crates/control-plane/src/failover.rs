//! Selection of the relay to connect to. Each subscriber has its own order of relays (rendezvous hashing of
//! the names) and reconnects with backoff and jitter, so that the subscribers of a failed relay are spread
//! over all other relays and over time.

use crate::Millis;
use std::ops::RangeInclusive;
use twox_hash::XxHash3_64;

/// The next action of a subscriber without a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect now to the relay with this index in the list given to [`Failover::new`].
    Connect(usize),
    /// Wait until this time, then request the next action.
    WaitUntil(Millis),
}

/// Time without a message from upstream after which the connection is considered lost, milliseconds. Upstream
/// sends at least one message per second.
pub const SILENCE_TIMEOUT: Millis = 2_500;
/// Delay of the first connection, milliseconds: spreads the connections of nodes that start at the same time.
const FIRST_CONNECT_DELAY: RangeInclusive<Millis> = 0..=300;
/// Delay before connecting to the next relay after a connection was lost, milliseconds: spreads the
/// subscribers of a failed relay, which may be hundreds.
const RECONNECT_DELAY: RangeInclusive<Millis> = 0..=500;
/// Initial backoff after all relays have failed in a row, milliseconds; it doubles each time, and half of it
/// is jitter.
const MIN_BACKOFF: Millis = 250;
/// Maximum backoff, milliseconds.
const MAX_BACKOFF: Millis = 2_000;
/// Maximum number of doublings of the backoff, against overflow; more would exceed [`MAX_BACKOFF`] in any
/// case.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Duration of a connection, milliseconds, from which its loss restarts the order at the preferred relay.
const STABLE_CONNECTION: Millis = 10_000;
/// Delay until a subscriber that is connected to another relay probes the preferred one, milliseconds: long
/// enough not to overload a relay that has just recovered, short enough to restore the balance within
/// minutes.
const PROBE_DELAY: RangeInclusive<Millis> = 30_000..=90_000;
/// Maximum number of doublings of the probe delay, which doubles with each failed probe.
const MAX_PROBE_DOUBLINGS: u32 = 4;

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// No action has been requested yet.
    Initial,
    WaitingUntil(Millis),
    Connecting,
    Connected {
        since: Millis,
        /// When to probe the preferred relay, if this is another one.
        probe_at: Millis,
    },
}

/// State of the relay selection of one subscriber.
#[derive(Debug)]
pub struct Failover {
    /// Indexes into the list of relays, the preferred one first.
    order: Vec<usize>,
    /// Position in `order` of the relay that is connected, or to which to connect next.
    position: usize,
    phase: Phase,
    /// Number of connections in a row that failed or were short-lived.
    failures: usize,
    /// Number of probes of the preferred relay in a row that failed.
    failed_probes: u32,
    random_state: u64,
}

impl Failover {
    /// Creates the selection for a subscriber with this name among relays with these names. The names
    /// determine the order; `seed` varies the jitter.
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

    /// The relays in order of preference, as indexes into the list given to [`Failover::new`].
    #[must_use]
    pub fn order(&self) -> &[usize] {
        &self.order
    }

    /// The next action. To be called only without a connection.
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

    /// Reports that the relay has sent its welcome.
    pub fn on_connected(&mut self, now: Millis) {
        let delay = self.random_in(PROBE_DELAY) << self.failed_probes;
        self.phase = Phase::Connected { since: now, probe_at: now + delay };
    }

    /// Reports that the connection ended, was not established, or timed out.
    pub fn on_lost(&mut self, now: Millis) {
        let count = self.order.len().max(1);
        if let Phase::Connected { since, .. } = self.phase
            && now.saturating_sub(since) >= STABLE_CONNECTION
        {
            // The preferred relay is next, unless it is the one that was lost.
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

    /// When to probe the preferred relay; `None` while connected to the preferred relay, or not connected.
    #[must_use]
    pub fn probe_at(&self) -> Option<Millis> {
        match self.phase {
            Phase::Connected { probe_at, .. } if self.position != 0 => Some(probe_at),
            _ => None,
        }
    }

    /// The preferred relay, if it is due to be probed. The current connection remains open during the probe.
    /// The result is reported with [`Failover::on_probe_succeeded`] or [`Failover::on_probe_failed`].
    pub fn next_probe(&mut self, now: Millis) -> Option<usize> {
        let at = self.probe_at()?;
        if now < at {
            return None;
        }
        // If the result is never reported, the probe is repeated later.
        self.schedule_probe(now);
        Some(self.order[0])
    }

    /// Reports that the probed relay has sent its welcome, and that its connection replaces the former one.
    pub fn on_probe_succeeded(&mut self, now: Millis) {
        self.position = 0;
        self.failures = 0;
        self.failed_probes = 0;
        self.on_connected(now);
    }

    /// Reports that the probed relay has not sent a welcome.
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

    /// A pseudorandom time in a range (splitmix64).
    fn random_in(&mut self, range: RangeInclusive<Millis>) -> Millis {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        range.start() + mixed % (range.end() - range.start() + 1)
    }
}
