//! Claims: the hard cases by hand, and random callers against a plain model.

use balancer::api::Micros;
use proptest::prelude::*;
use request_engine::idempotency::{
    ClaimError, ClaimId, ClaimStatus, ExecutionEffect, IdempotencyRegistry, MAX_NAME_BYTES,
};

const MEMORY: Micros = 3_000_000;

fn new(claimed: Result<ClaimStatus<u32>, ClaimError>) -> ClaimId {
    match claimed {
        Ok(ClaimStatus::New(claim)) => claim,
        other => panic!("{other:?} is not new"),
    }
}

#[test]
fn a_second_caller_is_told_who_holds_it_and_later_what_was_answered() {
    let mut claims = IdempotencyRegistry::new(10);
    let first = new(claims.claim(5, b"a", 1, Some(b"key")));
    let held = |by_key| Ok(ClaimStatus::InFlight { owner: first, since: 5, by_key });
    assert_eq!(claims.claim(6, b"a", 1, Some(b"key")), held(false));
    assert_eq!(claims.claim(6, b"b", 1, Some(b"key")), held(true), "another id, the same submit");
    assert!(claims.complete(10, first, 7, ExecutionEffect::Possible, MEMORY));
    assert!(!claims.complete(11, first, 8, ExecutionEffect::Possible, MEMORY), "one final answer");
    for id in [b"a", b"b"] {
        assert_eq!(claims.claim(MEMORY + 9, id, 1, Some(b"key")), Ok(ClaimStatus::Completed(7)));
    }
    assert_ne!(new(claims.claim(MEMORY + 10, b"a", 1, Some(b"key"))), first, "its memory is over");
}

#[test]
fn a_key_belongs_to_its_class_and_comes_free_where_nothing_ran() {
    let mut claims = IdempotencyRegistry::new(10);
    let submit = new(claims.claim(0, b"a", 1, Some(b"key")));
    new(claims.claim(0, b"b", 2, Some(b"key")));
    assert!(claims.complete(1, submit, 503, ExecutionEffect::None, MEMORY));
    assert_eq!(
        claims.claim(2, b"a", 1, Some(b"key")),
        Ok(ClaimStatus::Completed(503)),
        "the id keeps its answer"
    );
    let again = new(claims.claim(2, b"c", 1, Some(b"key")));
    // The first claim's end must not take the key from the second.
    let by = Ok(ClaimStatus::InFlight { owner: again, since: 2, by_key: true });
    assert_eq!(claims.claim(MEMORY + 2, b"d", 1, Some(b"key")), by);
}

#[test]
fn at_the_bound_newcomers_are_refused_and_nothing_is_forgotten_early() {
    let mut claims = IdempotencyRegistry::new(2);
    let first = new(claims.claim(0, b"a", 0, None));
    new(claims.claim(0, b"b", 0, None));
    assert_eq!(claims.claim(0, b"c", 0, None), Err(ClaimError::Full(2)));
    assert!(claims.complete(0, first, 1, ExecutionEffect::Possible, MEMORY));
    assert_eq!(claims.claim(MEMORY - 1, b"c", 0, None), Err(ClaimError::Full(2)));
    assert_eq!(
        claims.claim(MEMORY - 1, b"a", 0, None),
        Ok(ClaimStatus::Completed(1)),
        "what is known is still told"
    );
    new(claims.claim(MEMORY, b"c", 0, None));
}

#[test]
fn names_that_make_no_sense_change_nothing() {
    let mut claims = IdempotencyRegistry::<u32>::new(2);
    for (id, key) in [(&b""[..], None), (&[b'x'; MAX_NAME_BYTES + 1], None), (b"a", Some(&b""[..]))] {
        assert!(matches!(claims.claim(0, id, 0, key), Err(ClaimError::InvalidName(_))));
    }
    assert!(claims.is_empty());
    new(claims.claim(0, b"a", 0, Some(b"k")));
    assert_eq!(claims.claim(0, b"a", 0, Some(b"other")), Err(ClaimError::KeyMismatch));
    assert_eq!(claims.claim(0, b"a", 0, None), Err(ClaimError::KeyMismatch));
}

#[derive(Clone, Debug)]
enum Step {
    Ask { id: u8, key: Option<u8> },
    Settle { which: usize, ran: bool, memory: Micros },
    Wait(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..12_u8, prop::option::of(0..4_u8)).prop_map(|(id, key)| Step::Ask { id, key }),
        2 => (0..16_usize, any::<bool>(), 0..50_u64)
            .prop_map(|(which, ran, memory)| Step::Settle { which, ran, memory }),
        1 => (0..40_u64).prop_map(Step::Wait),
    ]
}

/// What the table ought to know, as a list.
struct Known {
    claim: ClaimId,
    id: u8,
    key: Option<u8>,
    ran: bool,
    settled: Option<(u32, Micros)>,
}

proptest! {
    #[test]
    fn no_key_is_ever_in_two_hands_and_answers_last_as_long_as_their_memory(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let (mut claims, mut known, mut now, mut answers) = (IdempotencyRegistry::new(6), Vec::<Known>::new(), 0, 0);
        for step in steps {
            known.retain(|k| k.settled.is_none_or(|(_, until)| until > now));
            match step {
                Step::Wait(time) => now += time,
                Step::Settle { which, ran, memory } => {
                    let Some(k) = known.get_mut(which) else { continue };
                    answers += 1;
                    prop_assert_eq!(
                        claims.complete(now, k.claim, answers, if ran { ExecutionEffect::Possible } else { ExecutionEffect::None }, memory),
                        k.settled.is_none()
                    );
                    if k.settled.is_none() {
                        (k.ran, k.settled) = (ran, Some((answers, now + memory)));
                    }
                }
                Step::Ask { id, key } => {
                    let bytes = key.map(|k| [k]);
                    let got = claims.claim(now, &[id], 3, bytes.as_ref().map(|k| &k[..]));
                    let same_id = known.iter().find(|k| k.id == id);
                    let same_key = known.iter().find(|k| key.is_some() && k.key == key && (k.settled.is_none() || k.ran));
                    let expected = |k: &Known| k.settled.map(|(answer, _)| answer);
                    match (same_id, same_key) {
                        (Some(k), _) if k.key != key => prop_assert_eq!(got, Err(ClaimError::KeyMismatch)),
                        (Some(k), _) | (None, Some(k)) => match (got, expected(k)) {
                            (Ok(ClaimStatus::Completed(answer)), Some(given)) => prop_assert_eq!(answer, given),
                            (Ok(ClaimStatus::InFlight { owner: by, .. }), None) => prop_assert_eq!(by, k.claim),
                            (got, given) => prop_assert!(false, "{:?} where {:?} was given", got, given),
                        },
                        (None, None) if known.len() >= 6 => prop_assert_eq!(got, Err(ClaimError::Full(6))),
                        (None, None) => {
                            let claim = new(got);
                            known.push(Known { claim, id, key, ran: true, settled: None });
                        }
                    }
                }
            }
            prop_assert!(claims.len() <= 6);
        }
    }
}
