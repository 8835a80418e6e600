//! Whatever happens on the way: once all is well, every subscriber holds what the sources hold for its scope.

use crate::link::Noise;
use crate::parties::{Op, Setting, World};
use control_plane::rate_limit::RateLimit;
use control_plane::record::{Kind, Scope, State};
use proptest::prelude::*;

const SERVICES: u32 = 12;
/// Ticks after which all must be equal: the longest wait before a question is asked again (32 s), twice, and a check (10 s).
const BOUND: usize = 800;

fn states() -> impl Strategy<Value = State> {
    prop_oneof![4 => Just(State::Active), 2 => Just(State::Draining), 2 => Just(State::Gone)]
}

fn kinds() -> impl Strategy<Value = Kind> {
    prop_oneof![5 => Just(Kind::Backend), 1 => Just(Kind::Configuration), 1 => Just(Kind::Route)]
}

fn ops() -> impl Strategy<Value = Op> {
    let write = (0..SERVICES, kinds(), 0..4_u8, states(), 0..400_u16);
    prop_oneof![
        20 => write.prop_map(|(service, kind, name, state, size)| Op::Write { service, kind, name, state, size }),
        12 => (1..12_u8).prop_map(Op::Wait),
        1 => (0..6_usize, 1..50_u8).prop_map(|(who, ticks)| Op::CutSubscriber(who, ticks)),
        1 => (0..3_usize, 0..3_usize, 1..50_u8).prop_map(|(relay, source, ticks)| Op::CutRelay(relay, source, ticks)),
        2 => (0..6_usize, 0..3_usize).prop_map(|(who, relay)| Op::Turn(who, relay)),
        1 => (0..3_usize).prop_map(Op::RestartRelay),
        1 => (0..3_usize, 1..60_u8).prop_map(|(relay, ticks)| Op::Freeze(relay, ticks)),
        1 => (0..3_usize, 0..6_u8).prop_map(|(source, lost)| Op::RestartSource(source, lost)),
    ]
}

fn scopes() -> impl Strategy<Value = Vec<Scope>> {
    let some = prop::collection::btree_set(0..SERVICES, 0..8).prop_map(Scope::Services);
    prop::collection::vec(prop_oneof![6 => some, 1 => Just(Scope::All)], 1..6)
}

fn noises() -> impl Strategy<Value = Noise> {
    (0..40_u8, 0..30_u8, 0..1_500_u64).prop_map(|(loss, twice, late)| Noise { loss, twice, late })
}

fn settings() -> impl Strategy<Value = Setting> {
    let rate_limit =
        prop_oneof![Just(RateLimit::default()), Just(RateLimit { bytes_per_s: 1_500, burst: 3_000 })];
    let tombstones = prop_oneof![Just(65_536), 0..6_usize];
    (rate_limit, tombstones).prop_map(|(rate_limit, tombstones)| Setting { rate_limit, tombstones })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn all_converge_under_any_schedule(
        (sources, relays) in (1..4_usize, 1..4_usize),
        scopes in scopes(),
        setting in settings(),
        noise in noises(),
        ops in prop::collection::vec(ops(), 1..160),
        seed in any::<u64>(),
    ) {
        let mut world = World::new(sources, relays, &scopes, setting, seed);
        world.noise = noise;
        for op in &ops {
            for op in op.by_ticks() {
                world.apply(&op);
                prop_assert_eq!(world.wrongs(), Vec::<String>::new());
            }
        }
        world.heal();
        let took = world.settle(BOUND);
        prop_assert_eq!(world.differences(), Vec::<String>::new(), "after {} ticks", took);
        // And it stays so, over a check and whatever was under way.
        world.run(150);
        prop_assert_eq!(world.differences(), Vec::<String>::new(), "some time after");
    }
}
