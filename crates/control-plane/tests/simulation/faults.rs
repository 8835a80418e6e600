//! Fault injection: the verification detects each fault, and scope digests make the nodes repair it.

use crate::applied_records::epoch;
use crate::link::Unreliability;
use crate::nodes::Settings;
use crate::simulation::{Simulation, services};
use control_plane::message::Message;
use control_plane::rate_limit::RateLimit;
use control_plane::record::{RecordKind, RecordState, Scope};
use control_plane::store::MAX_TOMBSTONES;
use std::sync::Arc;

const SETTINGS: Settings = Settings {
    rate_limit: RateLimit { bytes_per_s: 12_000, burst_bytes: 120_000 },
    max_tombstones: MAX_TOMBSTONES,
};
/// Ticks within which a single fault is repaired: the interval of digests (10 s), and the requests and
/// responses, sent twice.
const REPAIR_TICKS: usize = 300;

/// One source, one relay and one subscriber; services 0 to 3 have backends.
fn small_simulation(scope: Scope) -> Simulation {
    let mut simulation = Simulation::new(1, 1, &[scope], SETTINGS, 1);
    for service in 0..4 {
        for name in ["a", "b", "c"] {
            simulation.write(service, RecordKind::Backend, name, RecordState::Active, 50);
        }
    }
    assert!(simulation.run_until_converged(REPAIR_TICKS) < REPAIR_TICKS, "{:?}", simulation.differences());
    simulation
}

fn remove_scope_digest(message: &mut Message) {
    if let Message::Batch { scope_digest, .. } = message {
        *scope_digest = None;
    }
}

/// Drops the first record of the first batch with records.
fn drop_first_record(message: &mut Message, lost: &mut bool) {
    if let Message::Batch { records, .. } = message
        && !*lost
        && !records.is_empty()
    {
        *lost = true;
        records.remove(0);
    }
}

#[test]
fn digest_detects_and_repairs_a_silently_lost_record() {
    for with_digests in [false, true] {
        let mut simulation = small_simulation(services(0..4));
        let mut lost = false;
        simulation.interceptor = Some(Box::new(move |message| {
            drop_first_record(message, &mut lost);
            if !with_digests {
                remove_scope_digest(message);
            }
            true
        }));
        simulation.write(1, RecordKind::Backend, "a", RecordState::Draining, 50);
        simulation.run(REPAIR_TICKS);
        let differences = simulation.differences();
        assert_eq!(differences.is_empty(), with_digests, "{differences:?}");
        assert!(with_digests || differences.iter().all(|found| found.contains("\"a\"")), "{differences:?}");
    }
}

#[test]
fn detects_a_wrong_scope() {
    // The subscriber's scope differs from the one that the checker expects.
    let mut simulation = small_simulation(services([1, 2]));
    simulation.check_with_scope(0, services([1, 3]));
    simulation.write(2, RecordKind::Backend, "a", RecordState::Draining, 50);
    simulation.write(3, RecordKind::Backend, "a", RecordState::Draining, 50);
    simulation.run(REPAIR_TICKS);
    let differences = simulation.differences();
    assert!(differences.iter().any(|found| found.contains("service: 3") && found.contains("is None")));
    assert!(differences.iter().any(|found| found.contains("service: 2") && found.contains("should be None")));
    assert!(
        simulation.violations().iter().any(|violation| violation.contains("out of scope")),
        "{differences:?}"
    );
}

#[test]
fn ignores_records_out_of_scope() {
    let mut simulation = small_simulation(services([1, 2]));
    let mut out_of_scope = None;
    simulation.interceptor = Some(Box::new(move |message| {
        if let Message::Batch { records, .. } = message {
            if out_of_scope.is_none() {
                out_of_scope = records.first().cloned();
            }
            records.extend(out_of_scope.clone().map(|mut record| {
                record.key.service = 3;
                record
            }));
        }
        true
    }));
    simulation.write(1, RecordKind::Backend, "a", RecordState::Draining, 50);
    simulation.run(REPAIR_TICKS);
    assert_eq!(simulation.differences(), Vec::<String>::new());
}

/// A source restarts without its last changes. If all messages have the old epoch, downstream nodes can't
/// detect the loss.
#[test]
fn detects_an_ignored_epoch() {
    for ignored in [true, false] {
        let mut simulation = small_simulation(services(0..4));
        simulation.write(2, RecordKind::Backend, "d", RecordState::Active, 50);
        simulation.write(2, RecordKind::Backend, "a", RecordState::Gone, 0);
        assert!(simulation.run_until_converged(REPAIR_TICKS) < REPAIR_TICKS);
        if ignored {
            simulation.interceptor = Some(Box::new(|message| {
                match message {
                    Message::Batch { epoch, from, to, records, .. } => {
                        *epoch = 1;
                        for version in from.iter_mut().chain(to) {
                            version.epoch = 1;
                        }
                        for record in records {
                            record.version.epoch = 1;
                        }
                    }
                    Message::DigestSummary { epoch, to, .. } => {
                        *epoch = 1;
                        for version in to {
                            version.epoch = 1;
                        }
                    }
                    Message::ServiceSnapshot { epoch, as_of, records, .. } => {
                        (*epoch, as_of.epoch) = (1, 1);
                        for record in records {
                            record.version.epoch = 1;
                        }
                    }
                    _ => {}
                }
                true
            }));
        }
        simulation.restart_source(0, 2);
        simulation.run(REPAIR_TICKS);
        let differences = simulation.differences();
        assert_eq!(differences.is_empty(), !ignored, "{differences:?}");
    }
}

/// Messages of a former epoch arrive late, as from a relay that is behind.
#[test]
fn ignores_messages_of_a_former_epoch() {
    let mut simulation = small_simulation(services(0..4));
    let sent_messages = Arc::new(std::sync::Mutex::new(Vec::new()));
    let recorded = Arc::clone(&sent_messages);
    simulation.interceptor = Some(Box::new(move |message| {
        recorded.lock().expect("no panic in an interceptor").push(message.clone());
        true
    }));
    simulation.write(2, RecordKind::Backend, "d", RecordState::Active, 50);
    simulation.run(REPAIR_TICKS);
    simulation.send_to_relay(0, Message::DigestRequest { source: 0 });
    simulation.send_to_relay(0, Message::SnapshotRequest { source: 0, services: vec![0, 1, 2] });
    simulation.run(REPAIR_TICKS);
    simulation.restart_source(0, 1);
    simulation.run(REPAIR_TICKS);
    assert_eq!(simulation.differences(), Vec::<String>::new());
    let former: Vec<Message> = sent_messages.lock().expect("no panic in an interceptor").clone();
    let former = former.into_iter().filter(|message| epoch(message) == 1);
    let mut delivered = 0;
    for message in former {
        let now = simulation.now;
        let outcome = simulation.subscribers[0].subscriber.on_message(message, now).expect("accepted");
        assert!(outcome.applied.is_empty() && outcome.replies.is_empty());
        delivered += 1;
    }
    assert!(delivered > 0);
    assert_eq!(simulation.differences(), Vec::<String>::new());
}

#[test]
fn digest_detects_and_repairs_a_damaged_record() {
    for with_digests in [false, true] {
        let mut simulation = small_simulation(services(0..4));
        let mut damaged = false;
        simulation.interceptor = Some(Box::new(move |message| {
            if let Message::Batch { records, .. } = message
                && let Some(record) = records.first_mut()
                && !damaged
            {
                damaged = true;
                record.body = Arc::from(&b"damaged"[..]);
            }
            if !with_digests {
                remove_scope_digest(message);
            }
            true
        }));
        simulation.write(1, RecordKind::Backend, "a", RecordState::Draining, 50);
        simulation.run(REPAIR_TICKS);
        let differences = simulation.differences();
        assert_eq!(differences.is_empty(), with_digests, "{differences:?}");
    }
}

/// Upstream itself reverts a change within one epoch, which only the checker of applied records detects.
#[test]
fn detects_an_older_record_replacing_a_newer_one() {
    let mut simulation = small_simulation(services(0..4));
    simulation.interceptor = Some(Box::new(|message| {
        remove_scope_digest(message);
        // As if upstream had reverted its records and were at a later position.
        if let Message::ServiceSnapshot { as_of, records, .. } = message {
            as_of.revision += 100;
            for record in records {
                record.version.revision -= 1;
            }
        }
        true
    }));
    simulation.write(1, RecordKind::Backend, "a", RecordState::Draining, 50);
    simulation.run(20);
    simulation.send_to_relay(0, Message::SnapshotRequest { source: 0, services: vec![1] });
    simulation.run(20);
    assert!(
        simulation.violations().iter().any(|violation| violation.contains("replaced the newer")),
        "{:?}",
        simulation.differences()
    );
}

/// A link that loses, duplicates and reorders messages causes no violation.
#[test]
fn recovers_from_an_unreliable_link() {
    let mut simulation = small_simulation(services(0..4));
    simulation.unreliability = Unreliability { loss_percent: 30, duplication_percent: 30, max_delay: 800 };
    for round in 0..40 {
        let state = [RecordState::Active, RecordState::Draining, RecordState::Gone][round % 3];
        simulation.write(
            round as u32 % 4,
            RecordKind::Backend,
            "a",
            state,
            round as u16 * u16::from(state != RecordState::Gone),
        );
        simulation.run(3);
        assert_eq!(simulation.violations(), Vec::<String>::new());
    }
    simulation.end_faults();
    assert!(
        simulation.run_until_converged(REPAIR_TICKS * 3) < REPAIR_TICKS * 3,
        "{:?}",
        simulation.differences()
    );
}
