//! When a proxy of a large bank begins to watch discovery: at its own turn. Pure: no I/O, no clock.
//!
//! A service that all proxies ask takes calls in turn and fails those that have waited too long. Keeping a watch up is
//! cheap there, beginning one is not, and a whole list costs most. When a hundred proxies begin at the same moment the
//! service is in debt for a quarter of a minute, and calls that are repeated soon after they failed keep it there: nobody
//! hears anything. A call at a turn that no other proxy has meets an empty queue. That needs no word between proxies,
//! for they share the clock.

use haventrack_decision::api::Micros;

/// The time that a shared service is given for the call of one proxy: a first call for changes took 0.06 to 0.1 s of it
/// where a hundred proxies asked, a call for the whole list 0.16 s.
const CALL_TIME: Micros = 80_000;
/// Banks whose round is no longer begin at once: the service can answer all of them before calls fail.
const WATCHED_ROUND: Micros = 2_000_000;
/// The round's longest part of the time after which an instance that did not ask is taken to know the list.
const OF_ASK_WITHIN: (Micros, Micros) = (17, 20);

/// The turns of one proxy: once in each round, at a moment of the clock that is its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turns {
    round: Micros,
    offset: Micros,
}

impl Turns {
    /// The turns of proxy `me` of `balancers`; `None` for a bank so small that each begins at once. `ask_within` is
    /// the time after which an instance that has not asked is taken to know the list.
    #[must_use]
    pub fn of(me: u32, balancers: u32, ask_within: Micros) -> Option<Self> {
        let balancers = Micros::from(balancers.max(1));
        let round = balancers * CALL_TIME;
        if round <= WATCHED_ROUND {
            return None;
        }
        let round = round.min(ask_within / OF_ASK_WITHIN.1 * OF_ASK_WITHIN.0).max(1);
        Some(Self { round, offset: Micros::from(me) % balancers * round / balancers })
    }

    /// The time from `now` to this proxy's next turn, which is no sooner than half a round after `last`, its last call.
    #[must_use]
    pub fn wait(&self, now: Micros, last: Option<Micros>) -> Micros {
        let earliest = last.map_or(now, |last| now.max(last.saturating_add(self.round / 2)));
        let into = (earliest + self.round - self.offset) % self.round;
        (earliest - now) + (self.round - into) % self.round
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const ASK_WITHIN: Micros = 10_000_000;

    #[test]
    fn a_small_bank_begins_at_once_and_a_large_one_takes_turns() {
        assert_eq!(Turns::of(0, 1, ASK_WITHIN), None);
        assert_eq!(Turns::of(24, 25, ASK_WITHIN), None);
        assert!(Turns::of(0, 26, ASK_WITHIN).is_some());
    }

    /// A hundred proxies that start or fail at the same moment come to discovery one by one.
    #[test]
    fn a_herd_is_spread_over_the_whole_round() {
        let now = 1_796_148_000_123_456;
        let mut calls: Vec<_> =
            (0..100).map(|me| Turns::of(me, 100, ASK_WITHIN).expect("turns").wait(now, None)).collect();
        calls.sort_unstable();
        let gaps = calls.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.clone().all(|gap| gap >= 79_000), "{:?}", gaps.min());
        assert!(calls[99] < 8_000_000);
    }

    #[test]
    fn a_bank_of_any_size_asks_before_it_is_taken_to_know() {
        for balancers in [26, 100, 1_000, 100_000] {
            let turns = Turns::of(balancers - 1, balancers, ASK_WITHIN).expect("turns");
            assert!(turns.round <= 8_500_000, "{balancers}: {turns:?}");
        }
    }

    proptest! {
        #[test]
        fn a_turn_comes_once_a_round_and_at_no_other_time(
            me in 0_u32..500, balancers in 26_u32..500, now in 0_u64..1 << 52, since in 0_u64..20_000_000,
        ) {
            let turns = Turns::of(me, balancers, ASK_WITHIN).expect("turns");
            let last = now.saturating_sub(since);
            let at = now + turns.wait(now, Some(last));
            prop_assert_eq!((at + turns.round - turns.offset) % turns.round, 0);
            prop_assert!(at >= last + turns.round / 2);
            prop_assert!(at <= now.max(last + turns.round / 2) + turns.round);
        }
    }
}
