//! The desk before the real engine, with a scripted clock: who is told what, and that nothing runs twice.

mod counter;

use balancer::api::Outcome;
use counter::*;
use external_processor::decision_service::{Fault, MAX_WAITING, Repeat, Reply};
use request_engine::engine::REPORT_GRACE;
use request_engine::idempotency::{ClaimError, FinalStatus};
use request_engine::lease::{LeaseError, LeaseId};

const SAFE: u8 = 0;
const UNSAFE: u8 = 1;
const KEYED: u8 = 2;

fn last(end: FinalStatus) -> Option<Reply> {
    Some(Reply::Final { end, again: false })
}

fn again(end: FinalStatus) -> Option<Reply> {
    Some(Reply::Final { end, again: true })
}

#[test]
fn a_request_is_decided_sent_reported_and_remembered() {
    let mut counter = Counter::new(6);
    let asked = counter.ask(1, UNSAFE, "a");
    let send = counter.sent(asked).expect("a box");
    assert_eq!((send.repeat, send.grant.attempt), (Repeat::IfNeverRan, 0));
    let reported = counter.report(1, send.grant.lease, Outcome::Ok);
    assert_eq!(counter.reply(reported), last(FinalStatus::Served));
    let asked = counter.ask(2, UNSAFE, "a");
    assert_eq!(counter.reply(asked), again(FinalStatus::Served));
    counter.pass(MEMORY + SECOND);
    let asked = counter.ask(2, UNSAFE, "a");
    assert!(counter.sent(asked).is_some(), "forgotten after its time");
    counter.finish();
}

#[test]
fn what_never_ran_goes_elsewhere_with_the_answer_to_the_report() {
    let mut counter = Counter::new(6);
    let asked = counter.ask(1, UNSAFE, "a");
    let first = counter.sent(asked).expect("a box");
    let reported = counter.report(1, first.grant.lease, Outcome::ConnectFailed);
    let second = counter.sent(reported).expect("another box");
    assert_ne!(first.endpoint, second.endpoint);
    assert_eq!(second.grant.attempt, 1);
    let reported = counter.report(1, second.grant.lease, Outcome::Reset);
    assert_eq!(counter.reply(reported), last(FinalStatus::Failed), "it may have run");
    counter.finish();
}

#[test]
fn two_callers_with_one_submit_get_one_attempt() {
    let mut counter = Counter::new(6);
    let first = counter.ask_keyed(1, "a", "k");
    let send = counter.sent(first).expect("a box");
    let second = counter.ask_keyed(2, "b", "k");
    assert_eq!(counter.reply(second), Some(Reply::InFlight { held_for: 0, by_key: true }));
    let waits = counter.ask_and_wait(3, KEYED, "c", Some("k"));
    assert_eq!(counter.reply(waits), None);
    let reported = counter.report(1, send.grant.lease, Outcome::Ok);
    assert_eq!(counter.reply(reported), last(FinalStatus::Served));
    assert_eq!(counter.reply(waits), again(FinalStatus::Served));
    let late = counter.ask_keyed(4, "d", "k");
    assert_eq!(counter.reply(late), again(FinalStatus::Served));
    counter.finish();
}

#[test]
fn no_more_wait_for_one_end_than_the_bound() {
    let mut counter = Counter::new(6);
    let first = counter.ask_keyed(1, "a", "k");
    let waiting: Vec<_> =
        (0..MAX_WAITING as u64).map(|i| counter.ask_and_wait(2 + i, KEYED, "a", Some("k"))).collect();
    assert!(waiting.iter().all(|&asked| counter.reply(asked).is_none()));
    let beyond = counter.ask_and_wait(99, KEYED, "a", Some("k"));
    assert_eq!(counter.reply(beyond), Some(Reply::InFlight { held_for: 0, by_key: false }));
    let lease = counter.sent(first).expect("a box").grant.lease;
    counter.report(1, lease, Outcome::Ok);
    assert!(waiting.iter().all(|&asked| counter.reply(asked) == again(FinalStatus::Served)));
    counter.finish();
}

#[test]
fn a_caller_that_vanishes_after_its_box_may_have_sent() {
    let mut counter = Counter::new(6);
    let asked = counter.ask_keyed(1, "a", "k");
    let send = counter.sent(asked).expect("a box");
    counter.gone(1, true);
    assert_eq!(counter.engine.active_leases(), 0, "the slot is back");
    for id in ["a", "b"] {
        let asked = counter.ask_keyed(2, id, "k");
        assert_eq!(counter.reply(asked), again(FinalStatus::Unknown), "{id}");
    }
    let reported = counter.report(1, send.grant.lease, Outcome::Ok);
    assert_eq!(counter.reply(reported), Some(Reply::Rejected(Fault::Lease(LeaseError::AlreadyReported))));
    counter.finish();
}

#[test]
fn a_caller_that_vanishes_before_it_heard_of_a_box_has_sent_nothing() {
    let mut counter = Counter::new(6);
    let asked = counter.ask_keyed(1, "a", "k");
    assert!(counter.sent(asked).is_some());
    counter.gone(1, false);
    assert_eq!((counter.desk.counts().withdrawn, counter.desk.counts().unknown), (1, 0));
    let asked = counter.ask_keyed(2, "a", "k");
    assert!(counter.sent(asked).is_some(), "nothing has run: it is decided anew");
    counter.finish();
}

#[test]
fn a_caller_that_vanishes_while_its_request_is_held_leaves_nothing() {
    let mut counter = Counter::new(1);
    let asked: Vec<_> = (0..40).map(|i| counter.ask(1, UNSAFE, &format!("r{i}"))).collect();
    let held = asked.iter().filter(|&&a| counter.reply(a).is_none()).count();
    assert!(held > 0, "one box at its start has no room for forty");
    counter.gone(1, true);
    assert!(counter.desk.is_empty() && counter.engine.active_leases() == 0);
    counter.finish();
}

#[test]
fn an_unreported_lease_ends_the_request_and_a_late_report_is_told_so() {
    let mut counter = Counter::new(6);
    let asked = counter.ask(1, SAFE, "a");
    let send = counter.sent(asked).expect("a box");
    counter.pass(send.grant.give_up_at + REPORT_GRACE - counter.now);
    let reported = counter.report(1, send.grant.lease, Outcome::Ok);
    assert_eq!(counter.reply(reported), Some(Reply::Rejected(Fault::Lease(LeaseError::Late))));
    assert!(counter.desk.is_empty(), "its holder does not wait for another box: none is kept for it");
    counter.finish();
}

#[test]
fn reports_that_make_no_sense_change_nothing() {
    let mut counter = Counter::new(6);
    let asked = counter.ask(1, SAFE, "a");
    let lease = counter.sent(asked).expect("a box").grant.lease;
    let told = counter.report_at(1, lease, Outcome::Ok, "127.0.0.1:9");
    assert!(matches!(counter.reply(told), Some(Reply::Rejected(Fault::Endpoint(_)))));
    let told = counter.report(1, LeaseId { incarnation: 1, ..lease }, Outcome::Ok);
    assert_eq!(counter.reply(told), Some(Reply::Rejected(Fault::Lease(LeaseError::Foreign))));
    let told = counter.report(1, LeaseId { serial: 999, ..lease }, Outcome::Ok);
    assert_eq!(counter.reply(told), Some(Reply::Rejected(Fault::Lease(LeaseError::Unknown))));
    let told = counter.report(2, lease, Outcome::Ok);
    assert_eq!(counter.reply(told), last(FinalStatus::Served), "whoever knows the lease may report it");
    let told = counter.report(1, lease, Outcome::Ok);
    assert_eq!(counter.reply(told), Some(Reply::Rejected(Fault::Lease(LeaseError::AlreadyReported))));
    counter.finish();
}

#[test]
fn an_old_lease_in_hand_is_never_sent_again() {
    let mut counter = Counter::new(6);
    let old = LeaseId { incarnation: 0xbad, serial: 7 };
    for (class, key, id) in [(UNSAFE, None, "a"), (KEYED, Some("k"), "b")] {
        let asked = counter.ask_after(1, class, id, key, old);
        assert_eq!(counter.reply(asked), last(FinalStatus::Unknown), "class {class}: it may have run");
        let asked = counter.ask_after(2, class, id, key, old);
        assert_eq!(counter.reply(asked), again(FinalStatus::Unknown));
    }
    let asked = counter.ask_after(1, SAFE, "c", None, old);
    assert!(counter.sent(asked).is_some(), "safe to repeat");
    counter.finish();
}

#[test]
fn an_id_with_another_key_is_rejected() {
    let mut counter = Counter::new(6);
    counter.ask_keyed(1, "a", "k");
    let other = counter.ask_keyed(2, "a", "l");
    assert_eq!(counter.reply(other), Some(Reply::Rejected(Fault::Claim(ClaimError::KeyMismatch))));
    counter.finish();
}

#[test]
fn a_caller_has_its_bound_and_takes_nobody_elses() {
    let mut counter = Counter::new(60);
    for i in 0..PER_CALLER {
        counter.ask(1, SAFE, &format!("r{i}"));
    }
    let beyond = counter.ask(1, SAFE, "beyond");
    assert_eq!(counter.reply(beyond), Some(Reply::Rejected(Fault::TooMany(PER_CALLER))));
    let other = counter.ask(2, SAFE, "beyond");
    assert!(!matches!(counter.reply(other), Some(Reply::Rejected(_))));
    counter.finish();
}

#[test]
fn a_drain_takes_nothing_new_and_settles_what_is_held() {
    let mut counter = Counter::new(6);
    let asked = counter.ask(1, SAFE, "a");
    let lease = counter.sent(asked).expect("a box").grant.lease;
    counter.desk.drain();
    let refused = counter.ask(1, SAFE, "b");
    assert_eq!(counter.reply(refused), Some(Reply::Rejected(Fault::Draining)));
    let told = counter.report(1, lease, Outcome::Ok);
    assert_eq!(counter.reply(told), last(FinalStatus::Served));
    counter.finish();
}

#[test]
fn a_box_that_drains_between_decision_and_send_is_asked_back_and_another_chosen() {
    let mut counter = Counter::new(6);
    let asked = counter.ask(1, UNSAFE, "a");
    let first = counter.sent(asked).expect("a box");
    counter.drain_box(first.grant.backend);
    assert_eq!(counter.revoked, [(1, first.grant.lease)]);
    let told = counter.report(1, first.grant.lease, Outcome::NotSent);
    let second = counter.sent(told).expect("another box");
    assert_ne!(second.grant.backend, first.grant.backend);
    counter.finish();
}

#[test]
fn who_sends_only_once_is_offered_no_other_box() {
    let mut counter = Counter::new(6);
    let refused = counter.ask_once(1, SAFE, "a");
    let send = counter.sent(refused).expect("a box");
    assert_eq!(send.repeat, Repeat::Never);
    let told = counter.report(1, send.grant.lease, Outcome::Rejected);
    assert_eq!(counter.reply(told), last(FinalStatus::Rejected(counter.now)), "it never ran");
    let failed = counter.ask_once(1, SAFE, "b");
    let lease = counter.sent(failed).expect("a box").grant.lease;
    let told = counter.report(1, lease, Outcome::Reset);
    assert_eq!(counter.reply(told), last(FinalStatus::Failed));
    counter.finish();
}

#[test]
fn a_session_is_served_at_once_and_holds_its_slot_until_it_ends() {
    let mut counter = Counter::new(6);
    let asked = counter.ask(1, UNSAFE, "a");
    let lease = counter.sent(asked).expect("a box").grant.lease;
    let told = counter.establish(1, lease);
    assert!(matches!(counter.reply(told), Some(Reply::Renewed(_))));
    counter.pass(20 * SECOND);
    let told = counter.renew(2, lease);
    assert!(matches!(counter.reply(told), Some(Reply::Renewed(_))));
    assert_eq!(counter.engine.active_leases(), 1);
    let told = counter.report(2, lease, Outcome::Ok);
    assert_eq!(counter.reply(told), Some(Reply::Booked));
    counter.finish();
}

/// What callers do at random; what runs at boxes is recorded by the counter, which checks after each step that no
/// request or key ran twice where it must not, and at the end that every question had its one reply.
fn random_day(seed: u64) -> (u64, u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut counter = Counter::new(rng.u32(1..8));
    let mut sends = Vec::new();
    let mut old: Vec<LeaseId> = Vec::new();
    for _ in 0..400 {
        let caller = rng.u64(1..5);
        match rng.u32(0..100) {
            0..45 => {
                let (id, key) = (format!("r{}", rng.u32(0..60)), format!("k{}", rng.u32(0..30)));
                let class = rng.u8(0..3);
                let key = (class == KEYED).then_some(key.as_str());
                // The class belongs to the request: one id, one class.
                let id = format!("{class}{id}");
                let asked = match rng.u32(0..10) {
                    0 => counter.ask_and_wait(caller, class, &id, key),
                    1 if !old.is_empty() => {
                        counter.ask_after(caller, class, &id, key, old[rng.usize(..old.len())])
                    }
                    2 => counter.ask_once(caller, class, &id),
                    _ => counter.ask_with(caller, class, &id, key),
                };
                sends.push(asked);
            }
            45..80 => {
                let Some(index) = (!sends.is_empty()).then(|| rng.usize(..sends.len())) else { continue };
                let Some(send) = counter.sent(sends[index]) else { continue };
                let outcome = Outcome::ALL[rng.usize(..Outcome::ALL.len())];
                sends.swap_remove(index);
                old.push(send.grant.lease);
                sends.push(counter.report(caller, send.grant.lease, outcome));
            }
            80..84 => {
                let Some(index) = (!old.is_empty()).then(|| rng.usize(..old.len())) else { continue };
                counter.report(caller, old[index], Outcome::Ok);
            }
            84..86 => counter.gone(caller, true),
            86..88 => {
                // A call whose answer never leaves.
                let (call, id) = (1_000 + u64::from(rng.u32(..)), format!("1r{}", rng.u32(0..60)));
                counter.ask(call, UNSAFE, &id);
                counter.gone(call, false);
            }
            88..91 => counter.drain_box(rng.u32(0..8)),
            91..94 => counter.start_box(rng.u32(0..8)),
            _ => counter.pass(rng.u64(0..400_000)),
        }
    }
    let counts = counter.desk.counts();
    counter.finish();
    (counts.sends, counts.unknown)
}

#[test]
fn nothing_runs_twice_and_every_question_has_one_reply_whatever_callers_do() {
    let (mut sends, mut unknown) = (0, 0);
    for seed in 0..300 {
        let (s, u) = random_day(seed);
        (sends, unknown) = (sends + s, unknown + u);
    }
    assert!(
        sends > 5_000 && unknown > 300,
        "{sends} attempts, {unknown} vanished callers: too few to show it"
    );
}
