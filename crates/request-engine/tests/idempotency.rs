//! Tests of the idempotency registry: edge cases, and random calls compared with a reference model.

use balancer::api::Micros;
use proptest::prelude::*;
use request_engine::class_registry::ClassName;
use request_engine::idempotency::{
    ClaimError, ClaimId, ClaimStatus, ExecutionStatus, IdempotencyRegistry, MAX_ID_BYTES,
};

const RETENTION: Micros = 3_000_000;

fn class(number: u8) -> ClassName {
    number.to_string().into()
}

fn expect_new(claimed: Result<ClaimStatus<u32>, ClaimError>) -> ClaimId {
    match claimed {
        Ok(ClaimStatus::New(claim)) => claim,
        other => panic!("{other:?} is not new"),
    }
}

#[test]
fn second_claim_returns_the_owner_and_later_the_outcome() {
    let mut claims = IdempotencyRegistry::new(10);
    let first = expect_new(claims.claim(5, b"a", &class(1), Some(b"key")));
    let in_flight = |by_key| Ok(ClaimStatus::InFlight { owner: first, since: 5, by_key });
    assert_eq!(claims.claim(6, b"a", &class(1), Some(b"key")), in_flight(false));
    assert_eq!(claims.claim(6, b"b", &class(1), Some(b"key")), in_flight(true), "another id, the same key");
    assert!(claims.complete(10, first, 7, ExecutionStatus::MayHaveExecuted, RETENTION));
    assert!(
        !claims.complete(11, first, 8, ExecutionStatus::MayHaveExecuted, RETENTION),
        "a second final outcome"
    );
    for id in [b"a", b"b"] {
        assert_eq!(claims.claim(RETENTION + 9, id, &class(1), Some(b"key")), Ok(ClaimStatus::Completed(7)));
    }
    assert_ne!(
        expect_new(claims.claim(RETENTION + 10, b"a", &class(1), Some(b"key"))),
        first,
        "a new claim after the retention"
    );
}

#[test]
fn key_belongs_to_its_class_and_is_released_without_an_execution() {
    let mut claims = IdempotencyRegistry::new(10);
    let first = expect_new(claims.claim(0, b"a", &class(1), Some(b"key")));
    expect_new(claims.claim(0, b"b", &class(2), Some(b"key")));
    assert!(claims.complete(1, first, 503, ExecutionStatus::NotExecuted, RETENTION));
    assert_eq!(
        claims.claim(2, b"a", &class(1), Some(b"key")),
        Ok(ClaimStatus::Completed(503)),
        "the id retains its outcome"
    );
    let second = expect_new(claims.claim(2, b"c", &class(1), Some(b"key")));
    // The removal of the first claim must not remove the key of the second one.
    let in_flight = Ok(ClaimStatus::InFlight { owner: second, since: 2, by_key: true });
    assert_eq!(claims.claim(RETENTION + 2, b"d", &class(1), Some(b"key")), in_flight);
}

#[test]
fn rejects_claims_at_capacity_and_removes_none_before_its_time() {
    let mut claims = IdempotencyRegistry::new(2);
    let first = expect_new(claims.claim(0, b"a", &class(0), None));
    expect_new(claims.claim(0, b"b", &class(0), None));
    assert_eq!(claims.claim(0, b"c", &class(0), None), Err(ClaimError::Full(2)));
    assert!(claims.complete(0, first, 1, ExecutionStatus::MayHaveExecuted, RETENTION));
    assert_eq!(claims.claim(RETENTION - 1, b"c", &class(0), None), Err(ClaimError::Full(2)));
    assert_eq!(
        claims.claim(RETENTION - 1, b"a", &class(0), None),
        Ok(ClaimStatus::Completed(1)),
        "completed claims are still returned"
    );
    expect_new(claims.claim(RETENTION, b"c", &class(0), None));
}

#[test]
fn rejects_invalid_and_mismatched_names_without_a_claim() {
    let mut claims = IdempotencyRegistry::<u32>::new(2);
    for (id, key) in [(&b""[..], None), (&[b'x'; MAX_ID_BYTES + 1], None), (b"a", Some(&b""[..]))] {
        assert!(matches!(claims.claim(0, id, &class(0), key), Err(ClaimError::InvalidLength(_))));
    }
    assert!(claims.is_empty());
    expect_new(claims.claim(0, b"a", &class(0), Some(b"k")));
    assert_eq!(claims.claim(0, b"a", &class(0), Some(b"other")), Err(ClaimError::KeyMismatch));
    assert_eq!(claims.claim(0, b"a", &class(0), None), Err(ClaimError::KeyMismatch));
}

#[derive(Clone, Debug)]
enum Step {
    Claim { id: u8, key: Option<u8> },
    Complete { index: usize, has_run: bool, retention: Micros },
    Wait(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..12_u8, prop::option::of(0..4_u8)).prop_map(|(id, key)| Step::Claim { id, key }),
        2 => (0..16_usize, any::<bool>(), 0..50_u64)
            .prop_map(|(index, has_run, retention)| Step::Complete { index, has_run, retention }),
        1 => (0..40_u64).prop_map(Step::Wait),
    ]
}

/// A claim that the registry should contain.
struct ExpectedClaim {
    claim: ClaimId,
    id: u8,
    key: Option<u8>,
    has_run: bool,
    outcome: Option<ExpectedOutcome>,
}

#[derive(Clone, Copy)]
struct ExpectedOutcome {
    outcome: u32,
    expires_at: Micros,
}

impl ExpectedClaim {
    /// Whether a new claim with this key has to return this one.
    fn owns_key(&self, key: Option<u8>) -> bool {
        key.is_some() && self.key == key && (self.outcome.is_none() || self.has_run)
    }
}

const CAPACITY: usize = 6;
const CLASS: u8 = 3;

/// The registry and its reference model.
struct Model {
    registry: IdempotencyRegistry<u32>,
    expected_claims: Vec<ExpectedClaim>,
    now: Micros,
    outcome_count: u32,
}

impl Model {
    fn new() -> Self {
        let registry = IdempotencyRegistry::new(CAPACITY);
        Self { registry, expected_claims: Vec::new(), now: 0, outcome_count: 0 }
    }

    fn run_step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let now = self.now;
        let is_retained =
            |claim: &ExpectedClaim| claim.outcome.is_none_or(|outcome| outcome.expires_at > now);
        self.expected_claims.retain(is_retained);
        match *step {
            Step::Wait(time) => self.now += time,
            Step::Complete { index, has_run, retention } => self.complete(index, has_run, retention)?,
            Step::Claim { id, key } => self.claim(id, key)?,
        }
        prop_assert!(self.registry.len() <= CAPACITY);
        Ok(())
    }

    fn complete(&mut self, index: usize, has_run: bool, retention: Micros) -> Result<(), TestCaseError> {
        let Some(expected) = self.expected_claims.get_mut(index) else { return Ok(()) };
        self.outcome_count += 1;
        let effect = if has_run { ExecutionStatus::MayHaveExecuted } else { ExecutionStatus::NotExecuted };
        prop_assert_eq!(
            self.registry.complete(self.now, expected.claim, self.outcome_count, effect, retention),
            expected.outcome.is_none()
        );
        if expected.outcome.is_none() {
            let expires_at = self.now + retention;
            expected.has_run = has_run;
            expected.outcome = Some(ExpectedOutcome { outcome: self.outcome_count, expires_at });
        }
        Ok(())
    }

    fn claim(&mut self, id: u8, key: Option<u8>) -> Result<(), TestCaseError> {
        let key_bytes = key.map(|key| [key]);
        let status =
            self.registry.claim(self.now, &[id], &class(CLASS), key_bytes.as_ref().map(|key| &key[..]));
        let same_id = self.expected_claims.iter().find(|expected| expected.id == id);
        let same_key = self.expected_claims.iter().find(|expected| expected.owns_key(key));
        match (same_id, same_key) {
            (Some(expected), _) if expected.key != key => {
                prop_assert_eq!(status, Err(ClaimError::KeyMismatch));
            }
            (Some(expected), _) | (None, Some(expected)) => match (status, expected.outcome) {
                (Ok(ClaimStatus::Completed(outcome)), Some(expected_outcome)) => {
                    prop_assert_eq!(outcome, expected_outcome.outcome);
                }
                (Ok(ClaimStatus::InFlight { owner, .. }), None) => {
                    prop_assert_eq!(owner, expected.claim);
                }
                (status, expected_outcome) => {
                    let expected_outcome = expected_outcome.map(|expected_outcome| expected_outcome.outcome);
                    prop_assert!(false, "status {:?}, expected outcome {:?}", status, expected_outcome);
                }
            },
            (None, None) if self.expected_claims.len() >= CAPACITY => {
                prop_assert_eq!(status, Err(ClaimError::Full(CAPACITY)));
            }
            (None, None) => {
                let claim = expect_new(status);
                let expected = ExpectedClaim { claim, id, key, has_run: true, outcome: None };
                self.expected_claims.push(expected);
            }
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn keys_have_one_owner_and_outcomes_are_retained(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut model = Model::new();
        for step in &steps {
            model.run_step(step)?;
        }
    }
}
