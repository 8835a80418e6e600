//! A short campaign: callers of the external processor that are killed at random, and backends that crash.

use testbed::callers::{Campaign, run};

#[test]
fn decides_every_request_without_duplicate_effects() {
    for (seed, envoy) in [(1, false), (2, false), (3, true)] {
        let campaign = Campaign {
            requests: 6_000,
            callers: 4,
            open: 32,
            backends: 60,
            rate: 0.0,
            kill_every: 300,
            fault_interval: 20,
            envoy,
            seed,
            program: None,
        };
        let result = run(&campaign).expect("a completed campaign");
        println!("seed {seed}: {result}");
        assert_eq!(result.finished_requests(), 6_000, "seed {seed}: every request has its final answer");
        assert_eq!(result.effects.1, 0, "seed {seed}: duplicate effects");
        let [_, served, _, failed, unknown, _] = result.final_outcomes;
        assert!(
            result.kills > 5 && failed + unknown > 0,
            "seed {seed}: too few faults for the test to show anything"
        );
        assert!(served > 3_000, "seed {seed}: {served} served");
    }
}
