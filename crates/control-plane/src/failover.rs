//! Which relay to call, and when: in an order of one's own (rendezvous hashing of names), with backoff and jitter, so that
//! the subscribers of a relay that is gone spread over all others and don't come at one moment.

use crate::Millis;
use std::ops::RangeInclusive;
use twox_hash::XxHash3_64;

/// What a party without a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Call this relay (its place in the list that was given) now.
    Call(usize),
    /// Wait until then and ask again.
    Wait(Millis),
}

/// How long upstream may say nothing before it is taken to be gone, milliseconds. It says something each second.
pub const MAX_SILENCE: Millis = 2_500;
/// The first call comes within this time, so that parties which start together don't call together.
const FIRST: RangeInclusive<Millis> = 0..=300;
/// After a loss the next relay is called within this time: a relay's subscribers are some hundreds.
const AFTER_LOSS: RangeInclusive<Millis> = 0..=500;
/// After all failed in a row the wait begins here and doubles, half of it jitter.
const BACKOFF: Millis = 250;
/// It grows no further than this.
const MAX_BACKOFF: Millis = 2_000;
/// A connection that lasted this long was a good one: the order starts again at its top.
const GOOD: Millis = 10_000;
/// How long one stays elsewhere before it tries the first relay of its order: so long that a relay which came back isn't
/// overrun, so short that load is even again after some minutes.
const ELSEWHERE: RangeInclusive<Millis> = 30_000..=90_000;
/// While the first relay stays away it is tried less and less often, down to once in 16 times as long.
const MAX_DOUBLINGS: u32 = 4;

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Not asked yet.
    Begin,
    Waiting(Millis),
    Calling,
    Connected {
        since: Millis,
        /// When the first relay of the order is tried beside this one.
        probe: Millis,
    },
}

/// Where one subscriber turns to.
#[derive(Debug)]
pub struct Failover {
    /// Places in the list, the preferred one first.
    order: Vec<usize>,
    /// Which of them is called next, or is connected.
    place: usize,
    phase: Phase,
    /// Failed calls in a row.
    failures: usize,
    /// Probes of the first relay in a row that failed.
    probes: u32,
    random: u64,
}

impl Failover {
    /// For a subscriber of this name and relays of these names.
    #[must_use]
    pub fn new(name: &str, relays: &[String], seed: u64) -> Self {
        let weight = |place: &usize| {
            let relay = &relays[*place];
            let text = [name.as_bytes(), &[0], relay.as_bytes()].concat();
            (std::cmp::Reverse(XxHash3_64::oneshot(&text)), relay)
        };
        let mut order: Vec<usize> = (0..relays.len()).collect();
        order.sort_by(|one, other| weight(one).cmp(&weight(other)));
        let random = seed ^ XxHash3_64::oneshot(name.as_bytes());
        Self { order, place: 0, phase: Phase::Begin, failures: 0, probes: 0, random }
    }

    /// The relays in its order, the preferred one first, as places in the list that was given.
    #[must_use]
    pub fn order(&self) -> &[usize] {
        &self.order
    }

    /// What to do, while there is no connection.
    pub fn act(&mut self, now: Millis) -> Act {
        if self.order.is_empty() {
            return Act::Wait(now + MAX_BACKOFF);
        }
        if matches!(self.phase, Phase::Begin) {
            self.phase = Phase::Waiting(now + self.within(FIRST));
        }
        match self.phase {
            Phase::Waiting(until) if now < until => Act::Wait(until),
            _ => {
                self.phase = Phase::Calling;
                Act::Call(self.order[self.place])
            }
        }
    }

    /// The relay called welcomed it.
    pub fn connected(&mut self, now: Millis) {
        let wait = self.within(ELSEWHERE) << self.probes;
        self.phase = Phase::Connected { since: now, probe: now + wait };
    }

    /// The connection ended, never came up, or fell silent.
    pub fn lost(&mut self, now: Millis) {
        let count = self.order.len().max(1);
        if let Phase::Connected { since, .. } = self.phase
            && now.saturating_sub(since) >= GOOD
        {
            // The top of the order, unless that is what was lost.
            self.place = usize::from(self.place == 0) % count;
            self.failures = usize::from(count == 1);
        } else {
            self.place = (self.place + 1) % count;
            self.failures += 1;
        }
        let wait = if self.failures > 0 && self.failures.is_multiple_of(count) {
            let doublings = u32::try_from(self.failures / count - 1).unwrap_or(u32::MAX);
            let wait = BACKOFF.checked_shl(doublings.min(16)).unwrap_or(MAX_BACKOFF).min(MAX_BACKOFF);
            wait / 2 + self.within(0..=wait / 2)
        } else {
            self.within(AFTER_LOSS)
        };
        self.phase = Phase::Waiting(now + wait);
    }

    /// While connected elsewhere: when the first relay of the order is to be tried. `None`: it is connected to that one, or
    /// has no connection.
    #[must_use]
    pub fn probe_at(&self) -> Option<Millis> {
        match self.phase {
            Phase::Connected { probe, .. } if self.place != 0 => Some(probe),
            _ => None,
        }
    }

    /// While connected elsewhere: the first relay of the order, where it is time to try it. The connection that works is
    /// kept until the other one is welcome, and [`Failover::moved`] is said then; else [`Failover::probe_failed`] is.
    pub fn probe(&mut self, now: Millis) -> Option<usize> {
        let at = self.probe_at()?;
        if now < at {
            return None;
        }
        // Should neither answer be given, it is tried again some time.
        self.put_off(now);
        Some(self.order[0])
    }

    /// The relay that was tried beside the connection welcomed it, and the former connection was ended.
    pub fn moved(&mut self, now: Millis) {
        (self.place, self.failures, self.probes) = (0, 0, 0);
        self.connected(now);
    }

    /// The relay that was tried beside the connection did not welcome it.
    pub fn probe_failed(&mut self, now: Millis) {
        self.probes = (self.probes + 1).min(MAX_DOUBLINGS);
        self.put_off(now);
    }

    fn put_off(&mut self, now: Millis) {
        let wait = self.within(ELSEWHERE) << self.probes;
        if let Phase::Connected { probe, .. } = &mut self.phase {
            *probe = now + wait;
        }
    }

    /// A time in a range, from the seed (splitmix64).
    fn within(&mut self, range: RangeInclusive<Millis>) -> Millis {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        range.start() + mixed % (range.end() - range.start() + 1)
    }
}
