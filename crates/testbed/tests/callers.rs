//! Callers of the external processor that are killed at random, among boxes that crash: a short campaign.

use testbed::callers::{Campaign, play};

#[test]
fn decides_every_request_without_duplicate_effects() {
    for (seed, envoy) in [(1, false), (2, false), (3, true)] {
        let campaign = Campaign {
            requests: 6_000,
            callers: 4,
            open: 32,
            boxes: 60,
            rate: 0.0,
            kill_every: 300,
            trouble_every: 20,
            envoy,
            seed,
            program: None,
        };
        let played = play(&campaign).expect("a campaign");
        println!("seed {seed}: {played}");
        assert_eq!(played.ended(), 6_000, "seed {seed}: every request has its end");
        assert_eq!(played.effects.1, 0, "seed {seed}: doubled effects");
        let [_, served, _, failed, unknown, _] = played.ends;
        assert!(
            played.kills > 5 && failed + unknown > 0,
            "seed {seed}: nothing went wrong, nothing is shown"
        );
        assert!(served > 3_000, "seed {seed}: {served} served");
    }
}
