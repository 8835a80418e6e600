//! After arbitrary events and faults, all nodes converge to the records of the sources in their scope.

use crate::events::Event;
use crate::link::Unreliability;
use crate::nodes::Settings;
use crate::simulation::Simulation;
use control_plane::rate_limit::RateLimit;
use control_plane::record::{RecordKind, RecordState, Scope};
use proptest::prelude::*;

/// Number of services.
const SERVICES: u32 = 12;
/// Ticks within which all nodes converge: twice the maximum retry delay of a request (32 s), and the interval
/// of digests (10 s).
const MAX_CONVERGENCE_TICKS: usize = 800;

fn states() -> impl Strategy<Value = RecordState> {
    prop_oneof![4 => Just(RecordState::Active), 2 => Just(RecordState::Draining), 2 => Just(RecordState::Gone)]
}

fn kinds() -> impl Strategy<Value = RecordKind> {
    prop_oneof![5 => Just(RecordKind::Backend), 1 => Just(RecordKind::Configuration), 1 => Just(RecordKind::Route)]
}

fn events() -> impl Strategy<Value = Event> {
    let write = (0..SERVICES, kinds(), 0..4_u8, states(), 0..400_u16);
    prop_oneof![
        20 => write.prop_map(|(service, kind, name, state, size)| Event::Write { service, kind, name, state, size }),
        12 => (1..12_u8).prop_map(Event::Wait),
        1 => (0..6_usize, 1..50_u8).prop_map(|(subscriber, ticks)| Event::CutSubscriber(subscriber, ticks)),
        1 => (0..3_usize, 0..3_usize, 1..50_u8).prop_map(|(relay, source, ticks)| Event::CutRelay(relay, source, ticks)),
        2 => (0..6_usize, 0..3_usize).prop_map(|(subscriber, relay)| Event::ChangeRelay(subscriber, relay)),
        1 => (0..3_usize).prop_map(Event::RestartRelay),
        1 => (0..3_usize, 1..60_u8).prop_map(|(relay, ticks)| Event::Suspend(relay, ticks)),
        1 => (0..3_usize, 0..6_u8).prop_map(|(source, lost)| Event::RestartSource(source, lost)),
    ]
}

fn scopes() -> impl Strategy<Value = Vec<Scope>> {
    let some_services = prop::collection::btree_set(0..SERVICES, 0..8).prop_map(Scope::Services);
    prop::collection::vec(prop_oneof![6 => some_services, 1 => Just(Scope::All)], 1..6)
}

fn unreliabilities() -> impl Strategy<Value = Unreliability> {
    (0..40_u8, 0..30_u8, 0..1_500_u64).prop_map(|(loss_percent, duplication_percent, max_delay)| {
        Unreliability { loss_percent, duplication_percent, max_delay }
    })
}

fn settings() -> impl Strategy<Value = Settings> {
    let rate_limit =
        prop_oneof![Just(RateLimit::default()), Just(RateLimit { bytes_per_s: 1_500, burst_bytes: 3_000 })];
    let max_tombstones = prop_oneof![Just(65_536), 0..6_usize];
    (rate_limit, max_tombstones)
        .prop_map(|(rate_limit, max_tombstones)| Settings { rate_limit, max_tombstones })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn all_nodes_converge_under_any_schedule(
        (sources, relays) in (1..4_usize, 1..4_usize),
        scopes in scopes(),
        settings in settings(),
        unreliability in unreliabilities(),
        events in prop::collection::vec(events(), 1..160),
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(sources, relays, &scopes, settings, seed);
        simulation.unreliability = unreliability;
        for event in &events {
            for event in event.by_ticks() {
                simulation.apply(&event);
                prop_assert_eq!(simulation.violations(), Vec::<String>::new());
            }
        }
        simulation.end_faults();
        let ticks = simulation.run_until_converged(MAX_CONVERGENCE_TICKS);
        prop_assert_eq!(simulation.differences(), Vec::<String>::new(), "after {} ticks", ticks);
        // The records stay equal after the messages in flight and the next digest.
        simulation.run(150);
        prop_assert_eq!(simulation.differences(), Vec::<String>::new(), "after convergence");
    }
}
