//! Failover between relays: which relay a node connects to, and when.

use control_plane::Millis;
use control_plane::failover::{Action, Failover};
use proptest::prelude::*;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|index| format!("{prefix}-{index}")).collect()
}

/// Connects until a relay that is up responds. Returns the relay, the time, and the number of attempts.
fn connect(failover: &mut Failover, up: impl Fn(usize) -> bool, mut now: Millis) -> (usize, Millis, usize) {
    for attempts in 1.. {
        let relay = loop {
            match failover.next_action(now) {
                Action::Connect(relay) => break relay,
                Action::WaitUntil(until) => {
                    assert!(until > now, "a wait in the past would loop endlessly");
                    now = until;
                }
            }
        };
        if up(relay) {
            failover.on_connected(now);
            return (relay, now, attempts);
        }
        failover.on_lost(now);
    }
    unreachable!()
}

/// The subscribers of a failed relay spread over all others and over time.
#[test]
fn subscribers_of_a_lost_relay_spread_over_the_others() {
    let relays = names("relay", 20);
    let agents = names("agent", 5_200);
    let mut failovers: Vec<Failover> =
        agents.iter().zip(0..).map(|(name, seed)| Failover::new(name, &relays, seed)).collect();
    // Connected subscribers by relay.
    let mut load = vec![0_usize; 20];
    let mut current = Vec::new();
    for failover in &mut failovers {
        let (relay, at, attempts) = connect(failover, |_| true, 0);
        assert!(at <= 300 && attempts == 1);
        load[relay] += 1;
        current.push(relay);
    }
    // 260 on average; five standard deviations of a random choice (16) on either side.
    assert!(load.iter().all(|load| (180..=340).contains(load)), "{load:?}");
    let lost_relay = 7;
    let before = load.clone();
    let mut delays_ms = Vec::new();
    for (failover, relay) in failovers.iter_mut().zip(&current).filter(|(_, relay)| **relay == lost_relay) {
        failover.on_lost(60_000);
        let (next, at, attempts) = connect(failover, |relay| relay != lost_relay, 60_000);
        assert!(next != *relay && attempts <= 2);
        load[next] += 1;
        delays_ms.push(at - 60_000);
    }
    for (index, (load, before)) in
        load.iter().zip(&before).enumerate().filter(|(index, _)| *index != lost_relay)
    {
        let added = load - before;
        assert!(added <= 35, "relay {index} with {before} subscribers got {added} more, 14 on average");
    }
    // All reconnect within a second, and at most 30 % of them in each 100 ms of the first 500 ms.
    assert!(delays_ms.iter().all(|delay| *delay <= 1_000));
    for interval in 0..5 {
        let count =
            delays_ms.iter().filter(|delay| (interval * 100..(interval + 1) * 100).contains(*delay)).count();
        assert!(count * 10 <= delays_ms.len() * 3, "{count} of {} within 100 ms", delays_ms.len());
    }
}

#[test]
fn subscribers_return_to_a_restored_relay_over_a_minute() {
    let relays = names("relay", 10);
    let agents = names("agent", 2_000);
    let mut return_times_ms = Vec::new();
    for (name, seed) in agents.iter().zip(0..) {
        let mut failover = Failover::new(name, &relays, seed);
        let preferred = failover.order()[0];
        let (relay, now, _) = connect(&mut failover, |relay| relay != 0, 0);
        if preferred != 0 {
            assert_eq!(relay, preferred);
            assert_eq!(failover.probe_at(), None, "it is connected to the preferred relay");
            continue;
        }
        // The first probe fails: the subscriber stays at its relay.
        let first = failover.probe_at().expect("connected to another relay");
        assert!((now + 30_000..=now + 90_000).contains(&first));
        assert_eq!(failover.next_probe(first - 1), None);
        assert_eq!(failover.next_probe(first), Some(0));
        failover.on_probe_failed(first);
        let second = failover.probe_at().expect("still connected to another relay");
        assert!(second >= first + 60_000, "a failed probe doubles the delay");
        assert_eq!(failover.next_probe(second), Some(0));
        failover.on_probe_succeeded(second);
        assert_eq!(failover.probe_at(), None);
        return_times_ms.push(first);
    }
    assert!(return_times_ms.len() > 150, "{} of 2,000 prefer one of ten", return_times_ms.len());
    let (min, max) =
        (return_times_ms.iter().min().expect("some"), return_times_ms.iter().max().expect("some"));
    assert!(max - min > 50_000, "they return within {} ms", max - min);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// While no relay responds, all are tried in rotation with increasing delays.
    #[test]
    fn backs_off_while_no_relay_responds(count in 1..8_usize, seed in any::<u64>()) {
        let relays = names("relay", count);
        let mut failover = Failover::new("agent", &relays, seed);
        let (mut now, mut attempts) = (0, vec![0_u32; count]);
        while now < 120_000 {
            match failover.next_action(now) {
                Action::WaitUntil(until) => {
                    prop_assert!(until > now && until <= now + 2_000);
                    now = until;
                }
                Action::Connect(relay) => {
                    attempts[relay] += 1;
                    failover.on_lost(now);
                    prop_assert!(matches!(failover.next_action(now), Action::WaitUntil(_)) || count > 1);
                }
            }
        }
        let (min, max) = (attempts.iter().min().expect("some"), attempts.iter().max().expect("some"));
        prop_assert!(*max <= min + 1, "{:?}", attempts);
        // After the first backoffs a rotation takes a second or more, and on average 250 ms per relay.
        prop_assert!(attempts.iter().sum::<u32>() <= 120 * 4 + 20, "{:?}", attempts);
        // Each relay is retried within the maximum backoff and half a second per relay.
        prop_assert!(u64::from(*min) >= 120_000 / (2_000 + 500 * count as u64) - 1, "{:?}", attempts);
    }

    /// After a stable connection the order restarts with the preferred relay; after a short one it continues.
    #[test]
    fn continues_the_order_after_a_short_connection_and_restarts_it_after_a_stable_one(seed in any::<u64>()) {
        let relays = names("relay", 5);
        let mut failover = Failover::new("agent", &relays, seed);
        let order = failover.order().to_vec();
        let mut sorted = order.clone();
        sorted.sort_unstable();
        prop_assert_eq!(sorted, (0..5).collect::<Vec<_>>());
        let (first, now, _) = connect(&mut failover, |_| true, 0);
        prop_assert_eq!(first, order[0]);
        failover.on_lost(now + 10);
        let (second, now, _) = connect(&mut failover, |_| true, now + 10);
        prop_assert_eq!(second, order[1]);
        failover.on_lost(now + 9_000);
        let (third, now, _) = connect(&mut failover, |_| true, now + 9_000);
        prop_assert_eq!(third, order[2]);
        failover.on_lost(now + 20_000);
        let (fourth, now, _) = connect(&mut failover, |_| true, now + 20_000);
        prop_assert_eq!(fourth, order[0], "the preferred relay after a stable connection");
        failover.on_lost(now + 20_000);
        let (fifth, _, _) = connect(&mut failover, |_| true, now + 20_000);
        prop_assert_eq!(fifth, order[1], "not the relay that was just lost");
    }
}

#[test]
fn waits_if_there_are_no_relays() {
    let mut failover = Failover::new("agent", &[], 1);
    assert!(matches!(failover.next_action(5), Action::WaitUntil(until) if until > 5));
    failover.on_lost(5);
    assert!(matches!(failover.next_action(6), Action::WaitUntil(until) if until > 6));
}

/// The order depends on the names of the node and the relays, not on the seed.
#[test]
fn order_depends_on_names_only() {
    let relays = names("relay", 8);
    let failover = Failover::new("agent", &relays, 1);
    assert_eq!(failover.order(), Failover::new("agent", &relays, 2).order());
    // An additional relay does not change the order of the others.
    let more_relays = names("relay", 9);
    let extended = Failover::new("agent", &more_relays, 1);
    let common: Vec<usize> = extended.order().iter().copied().filter(|index| *index < 8).collect();
    assert_eq!(common, failover.order());
}
