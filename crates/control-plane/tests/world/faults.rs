//! Planted faults: the comparison from outside finds each, and where a check is left in, the parties mend it.

use crate::link::Noise;
use crate::parties::{Setting, World, services};
use crate::watcher::epoch;
use control_plane::message::Message;
use control_plane::rate_limit::RateLimit;
use control_plane::record::{Kind, Scope, State};
use control_plane::store::MAX_TOMBSTONES;
use std::sync::Arc;

const SETTING: Setting =
    Setting { rate_limit: RateLimit { bytes_per_s: 12_000, burst: 120_000 }, tombstones: MAX_TOMBSTONES };
/// Ticks in which any single fault is mended: a check (10 s), its questions and answers, asked twice.
const MENDED: usize = 300;

/// One source, one relay, one subscriber of services 0 to 3, in each of which are some backends.
fn small(scope: Scope) -> World {
    let mut world = World::new(1, 1, &[scope], SETTING, 1);
    for service in 0..4 {
        for name in ["a", "b", "c"] {
            world.write(service, Kind::Backend, name, State::Active, 50);
        }
    }
    assert!(world.settle(MENDED) < MENDED, "{:?}", world.differences());
    world
}

fn without_checks(message: &mut Message) {
    if let Message::Batch { scope_digest, .. } = message {
        *scope_digest = None;
    }
}

/// Loses the first record that comes in a batch.
fn lose_one(message: &mut Message, lost: &mut bool) {
    if let Message::Batch { records, .. } = message
        && !*lost
        && !records.is_empty()
    {
        *lost = true;
        records.remove(0);
    }
}

#[test]
fn a_record_lost_in_silence_is_found_and_a_check_mends_it() {
    for checks in [false, true] {
        let mut world = small(services(0..4));
        let mut lost = false;
        world.tamper = Some(Box::new(move |message| {
            lose_one(message, &mut lost);
            if !checks {
                without_checks(message);
            }
            true
        }));
        world.write(1, Kind::Backend, "a", State::Draining, 50);
        world.run(MENDED);
        let differences = world.differences();
        assert_eq!(differences.is_empty(), checks, "{differences:?}");
        assert!(checks || differences.iter().all(|found| found.contains("\"a\"")), "{differences:?}");
    }
}

#[test]
fn a_scope_off_by_one_service_is_found() {
    // What it asks for is not what it should have.
    let mut world = small(services([1, 2]));
    world.watch_with(0, services([1, 3]));
    world.write(2, Kind::Backend, "a", State::Draining, 50);
    world.write(3, Kind::Backend, "a", State::Draining, 50);
    world.run(MENDED);
    let differences = world.differences();
    assert!(differences.iter().any(|found| found.contains("service: 3") && found.contains("is None")));
    assert!(differences.iter().any(|found| found.contains("service: 2") && found.contains("should be None")));
    assert!(world.wrongs().iter().any(|wrong| wrong.contains("out of scope")), "{differences:?}");
}

#[test]
fn what_is_out_of_scope_is_not_taken_where_it_is_sent() {
    let mut world = small(services([1, 2]));
    let mut foreign = None;
    world.tamper = Some(Box::new(move |message| {
        if let Message::Batch { records, .. } = message {
            if foreign.is_none() {
                foreign = records.first().cloned();
            }
            records.extend(foreign.clone().map(|mut record| {
                record.key.service = 3;
                record
            }));
        }
        true
    }));
    world.write(1, Kind::Backend, "a", State::Draining, 50);
    world.run(MENDED);
    assert_eq!(world.differences(), Vec::<String>::new());
}

/// A source that starts again without its last changes; with the old epoch in all that is said, nobody can know.
#[test]
fn an_epoch_ignored_is_found() {
    for ignored in [true, false] {
        let mut world = small(services(0..4));
        world.write(2, Kind::Backend, "d", State::Active, 50);
        world.write(2, Kind::Backend, "a", State::Gone, 0);
        assert!(world.settle(MENDED) < MENDED);
        if ignored {
            world.tamper = Some(Box::new(|message| {
                match message {
                    Message::Batch { epoch, from, to, records, .. } => {
                        *epoch = 1;
                        from.iter_mut().chain(to).for_each(|version| version.epoch = 1);
                        records.iter_mut().for_each(|record| record.version.epoch = 1);
                    }
                    Message::DigestSummary { epoch, to, .. } => {
                        *epoch = 1;
                        to.iter_mut().for_each(|version| version.epoch = 1);
                    }
                    Message::ServiceSnapshot { epoch, as_of, records, .. } => {
                        (*epoch, as_of.epoch) = (1, 1);
                        records.iter_mut().for_each(|record| record.version.epoch = 1);
                    }
                    _ => {}
                }
                true
            }));
        }
        world.restart_source(0, 2);
        world.run(MENDED);
        let differences = world.differences();
        assert_eq!(differences.is_empty(), !ignored, "{differences:?}");
    }
}

/// A former life of the source is heard again, from a relay that is behind.
#[test]
fn a_former_life_is_not_heard() {
    let mut world = small(services(0..4));
    let old = Arc::new(std::sync::Mutex::new(Vec::new()));
    let keep = Arc::clone(&old);
    world.tamper = Some(Box::new(move |message| {
        keep.lock().expect("no panic in a tamper").push(message.clone());
        true
    }));
    world.write(2, Kind::Backend, "d", State::Active, 50);
    world.run(MENDED);
    world.ask_relay(0, Message::DigestRequest { source: 0 });
    world.ask_relay(0, Message::SnapshotRequest { source: 0, services: vec![0, 1, 2] });
    world.run(MENDED);
    world.restart_source(0, 1);
    world.run(MENDED);
    assert_eq!(world.differences(), Vec::<String>::new());
    let former: Vec<Message> = old.lock().expect("no panic in a tamper").clone();
    let former = former.into_iter().filter(|message| epoch(message) == 1);
    let mut heard = 0;
    for message in former {
        let now = world.now;
        let answer = world.subscribers[0].subscriber.on_message(message, now).expect("it is no error");
        assert!(answer.applied.is_empty() && answer.replies.is_empty());
        heard += 1;
    }
    assert!(heard > 0);
    assert_eq!(world.differences(), Vec::<String>::new());
}

#[test]
fn a_damaged_record_is_found_and_a_digest_mends_it() {
    for checks in [false, true] {
        let mut world = small(services(0..4));
        let mut damaged = false;
        world.tamper = Some(Box::new(move |message| {
            if let Message::Batch { records, .. } = message
                && let Some(record) = records.first_mut()
                && !damaged
            {
                damaged = true;
                record.body = Arc::from(&b"damaged"[..]);
            }
            if !checks {
                without_checks(message);
            }
            true
        }));
        world.write(1, Kind::Backend, "a", State::Draining, 50);
        world.run(MENDED);
        let differences = world.differences();
        assert_eq!(differences.is_empty(), checks, "{differences:?}");
    }
}

/// Upstream itself takes something back within one life of the source: only a watcher can tell.
#[test]
fn the_watcher_sees_an_older_word_over_a_newer_one() {
    let mut world = small(services(0..4));
    world.tamper = Some(Box::new(|message| {
        without_checks(message);
        // As if upstream knew more than it does, and took back what it said.
        if let Message::ServiceSnapshot { as_of, records, .. } = message {
            as_of.revision += 100;
            records.iter_mut().for_each(|record| record.version.revision -= 1);
        }
        true
    }));
    world.write(1, Kind::Backend, "a", State::Draining, 50);
    world.run(20);
    world.ask_relay(0, Message::SnapshotRequest { source: 0, services: vec![1] });
    world.run(20);
    assert!(world.wrongs().iter().any(|wrong| wrong.contains("came over")), "{:?}", world.differences());
}

/// Noise alone plants nothing: the same small world, on bad links.
#[test]
fn a_bad_link_alone_is_mended() {
    let mut world = small(services(0..4));
    world.noise = Noise { loss: 30, twice: 30, late: 800 };
    for round in 0..40 {
        let state = [State::Active, State::Draining, State::Gone][round % 3];
        world.write(
            round as u32 % 4,
            Kind::Backend,
            "a",
            state,
            round as u16 * u16::from(state != State::Gone),
        );
        world.run(3);
        assert_eq!(world.wrongs(), Vec::<String>::new());
    }
    world.heal();
    assert!(world.settle(MENDED * 3) < MENDED * 3, "{:?}", world.differences());
}
