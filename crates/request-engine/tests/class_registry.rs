//! Tests of the class registry together with the idempotency registry: random reloads never separate two
//! requests with one key.

use balancer::api::{DedupScope, Idempotency, Micros, Settings};
use proptest::prelude::*;
use request_engine::class_registry::{ClassRegistry, PREVIOUS_CLASS_GRACE_PERIOD, RequestClass};
use request_engine::idempotency::{ClaimStatus, ExecutionStatus, IdempotencyRegistry};
use settings::reload::ClassIndices;

#[path = "harness/settings.rs"]
mod test_settings;

use test_settings::{MS, SECOND, settings};

const NAME: &str = "submit";
/// A class that no reload changes.
const OTHER: &str = "read";
/// Position of the keyed class in the test settings.
const KEYED: usize = 2;

/// The classes of a process, as a reload changes them.
struct Classes {
    indices: ClassIndices,
    settings: Settings,
    registry: ClassRegistry,
}

impl Classes {
    /// Starts with one class beside another one.
    fn new(idempotency: Idempotency) -> Self {
        let settings = with_class(idempotency, 500 * MS);
        let indices = ClassIndices::new(&[OTHER.to_owned(), NAME.to_owned()]).expect("valid names");
        let mut registry = ClassRegistry::default();
        registry.update(0, &settings, indices.named());
        Self { indices, settings, registry }
    }

    fn reload(&mut self, now: Micros, idempotency: Idempotency, objective: Micros) {
        let new = with_class(idempotency, objective);
        self.apply(now, &new, &[OTHER.to_owned(), NAME.to_owned()]);
    }

    /// Removes the class; the other one remains.
    fn remove(&mut self, now: Micros) {
        let mut new = with_class(Idempotency::Idempotent, 500 * MS);
        new.classes.truncate(1);
        self.apply(now, &new, &[OTHER.to_owned()]);
    }

    fn apply(&mut self, now: Micros, new: &Settings, names: &[String]) {
        self.settings = self.indices.reload(&self.settings, new, names).expect("valid classes");
        self.registry.update(now, &self.settings, self.indices.named());
    }

    /// The class of a request with a key.
    fn find(&self, now: Micros) -> RequestClass {
        self.registry.find(now, NAME, |_| Ok::<(), ()>(())).expect("the class exists")
    }
}

fn with_class(idempotency: Idempotency, objective: Micros) -> Settings {
    let mut settings = settings();
    let mut class = settings.classes[KEYED].clone();
    class.idempotency = idempotency;
    class.latency_objective = objective;
    settings.classes = vec![settings.classes[0].clone(), class];
    settings
}

fn keyed(scope: DedupScope, ttl: Micros) -> Idempotency {
    Idempotency::Keyed { scope, ttl }
}

#[derive(Clone, Debug)]
enum Step {
    Reload { idempotency: Idempotency, objective: Micros },
    Wait(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    let scope = prop_oneof![Just(DedupScope::Cell), Just(DedupScope::Zone), Just(DedupScope::All)];
    let idempotency = (scope, 3..6_u64).prop_map(|(scope, seconds)| keyed(scope, seconds * SECOND));
    prop_oneof![
        2 => (idempotency, 400..500_u64)
            .prop_map(|(idempotency, ms)| Step::Reload { idempotency, objective: ms * MS }),
        1 => (0..2 * PREVIOUS_CLASS_GRACE_PERIOD).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Guards against a duplicate execution: the claim of a key was made under the index of the class's
    /// version, which a reload replaced, so that a later request with the key was claimed as another one.
    #[test]
    fn key_in_flight_is_found_after_any_reloads(steps in prop::collection::vec(step(), 0..12)) {
        let mut classes = Classes::new(keyed(DedupScope::Cell, 3 * SECOND));
        let mut claims = IdempotencyRegistry::<()>::new(100);
        let mut now = 0;
        let first = claims.claim(now, b"first", &classes.find(now).name, Some(b"key"));
        let Ok(ClaimStatus::New(owner)) = first else { panic!("{first:?}") };
        for (number, step) in steps.iter().enumerate() {
            match *step {
                Step::Wait(time) => now += time,
                Step::Reload { idempotency, objective } => classes.reload(now, idempotency, objective),
            }
            let class = classes.find(now);
            prop_assert!(class.claim_policy.is_keyed);
            let claimed = claims.claim(now, &[number as u8], &class.name, Some(b"key"));
            prop_assert_eq!(claimed, Ok(ClaimStatus::InFlight { owner, since: 0, by_key: true }));
        }
    }
}

/// Guards against a duplicate execution: while a sender may know a keyed version of its class, the key of its
/// request was ignored, since the other version is non-idempotent and stricter.
#[test]
fn key_is_claimed_if_either_version_is_keyed() {
    let keyed = keyed(DedupScope::Cell, 5 * SECOND);
    for (previous, current) in [(keyed, Idempotency::NonIdempotent), (Idempotency::NonIdempotent, keyed)] {
        let mut classes = Classes::new(previous);
        classes.reload(SECOND, current, 500 * MS);
        let class = classes.find(SECOND);
        assert_eq!(class.idempotency, Idempotency::NonIdempotent, "retries go by the stricter version");
        assert!(class.claim_policy.is_keyed, "{previous:?} {current:?}");
        let current_is_keyed = current != Idempotency::NonIdempotent;
        let class = classes.find(SECOND + PREVIOUS_CLASS_GRACE_PERIOD);
        assert_eq!(class.claim_policy.is_keyed, current_is_keyed, "the grace period is over");
    }
}

/// Guards against a duplicate execution: a key was forgotten after the shorter time to live of the two versions
/// of its class that may apply, and the sender may have known the longer one.
#[test]
fn key_is_retained_for_the_longer_ttl_of_two_versions() {
    let long = keyed(DedupScope::Cell, 5 * SECOND);
    let versions = [
        (long, keyed(DedupScope::Cell, 3 * SECOND)),
        (keyed(DedupScope::Cell, 3 * SECOND), long),
        // Neither is stricter in all respects: a combination of both applies.
        (long, keyed(DedupScope::Zone, 3 * SECOND)),
        // The effect changes: keys still identify the requests of senders that know the keyed version.
        (long, Idempotency::NonIdempotent),
        (Idempotency::NonIdempotent, long),
    ];
    for (previous, current) in versions {
        let mut classes = Classes::new(previous);
        classes.reload(SECOND, current, 500 * MS);
        let class = classes.find(SECOND);
        assert_eq!(class.claim_policy.retention, 5 * SECOND, "{previous:?} {current:?}");

        let mut claims = IdempotencyRegistry::new(100);
        let claimed = claims.claim(SECOND, b"first", &class.name, Some(b"key"));
        let Ok(ClaimStatus::New(claim)) = claimed else { panic!("{claimed:?}") };
        let retention = class.claim_policy.retention;
        assert!(claims.complete(SECOND, claim, "served", ExecutionStatus::MayHaveExecuted, retention));
        let later = SECOND + retention - 1;
        let repeated = claims.claim(later, b"second", &classes.find(later).name, Some(b"key"));
        assert_eq!(repeated, Ok(ClaimStatus::Completed("served")), "{previous:?} {current:?}");
    }
}

/// Guards against a duplicate execution: a class that was removed and added again with a shorter time to live
/// was retried for the longer one of its earlier version.
#[test]
fn class_added_again_is_retried_by_the_stricter_parts_of_both_versions() {
    let versions = [
        (keyed(DedupScope::Cell, 4 * SECOND), keyed(DedupScope::Zone, SECOND)),
        (keyed(DedupScope::Zone, SECOND), keyed(DedupScope::Cell, 4 * SECOND)),
    ];
    for (earlier, added) in versions {
        let mut classes = Classes::new(earlier);
        classes.remove(SECOND);
        classes.reload(SECOND + 400 * MS, added, 500 * MS);
        let class = classes.find(SECOND + 400 * MS);
        assert_eq!(class.idempotency, keyed(DedupScope::Cell, SECOND), "{earlier:?} {added:?}");
        assert_eq!(class.claim_policy.retention, 4 * SECOND, "{earlier:?} {added:?}");
        let class = classes.find(SECOND + PREVIOUS_CLASS_GRACE_PERIOD);
        assert_eq!(class.idempotency, added, "the grace period of the earlier version is over");
    }
}

/// Guards against late responses: a request whose sender states no time, and knows the shorter deadline of two
/// versions of its class, got the longer one.
#[test]
fn request_without_a_stated_time_has_the_shortest_deadline_of_all_versions() {
    for (earlier, current) in [(SECOND, 5 * SECOND), (5 * SECOND, SECOND)] {
        let mut classes = Classes::new(Idempotency::NonIdempotent);
        for (at, deadline) in [(0, earlier), (SECOND, current)] {
            let mut changed = with_class(Idempotency::NonIdempotent, 500 * MS);
            changed.classes[1].deadline = deadline;
            classes.apply(at, &changed, &[OTHER.to_owned(), NAME.to_owned()]);
        }
        let now = PREVIOUS_CLASS_GRACE_PERIOD;
        let class = classes.find(now);
        assert_eq!(class.default_timeout, SECOND, "{earlier} {current}");
        let class = classes.find(now + SECOND);
        assert_eq!(class.default_timeout, current, "the grace period is over");
    }
}

/// A version of the class, and until when it was in force.
#[derive(Clone, Copy, Debug)]
struct Version {
    idempotency: Idempotency,
    replaced_at: Micros,
}

/// The narrowest scope and the shortest time to live of these versions, written out for the test.
fn strictest(versions: impl Iterator<Item = Idempotency>) -> Option<Idempotency> {
    let versions: Vec<Idempotency> = versions.collect();
    if versions.contains(&Idempotency::NonIdempotent) {
        return Some(Idempotency::NonIdempotent);
    }
    let parts = versions.iter().filter_map(|version| match version {
        Idempotency::Keyed { scope, ttl } => Some((*scope, *ttl)),
        _ => None,
    });
    let (scopes, ttls): (Vec<_>, Vec<_>) = parts.unzip();
    let by_width = [DedupScope::Cell, DedupScope::Zone, DedupScope::All];
    let narrowest = by_width.into_iter().find(|scope| scopes.contains(scope))?;
    Some(keyed(narrowest, *ttls.iter().min()?))
}

fn any_step() -> impl Strategy<Value = Option<Step>> {
    let scope = prop_oneof![Just(DedupScope::Cell), Just(DedupScope::Zone), Just(DedupScope::All)];
    let idempotency = prop_oneof![
        5 => (scope, 1..6_u64).prop_map(|(scope, seconds)| keyed(scope, seconds * SECOND)),
        1 => Just(Idempotency::NonIdempotent),
    ];
    prop_oneof![
        4 => (idempotency, 400..500_u64)
            .prop_map(|(idempotency, ms)| Some(Step::Reload { idempotency, objective: ms * MS })),
        3 => (0..PREVIOUS_CLASS_GRACE_PERIOD).prop_map(|time| Some(Step::Wait(time))),
        // Removes the class.
        2 => Just(None),
    ]
}

proptest! {
    /// Guards against a duplicate execution: after several reloads within the grace period, a request was retried
    /// by the rules of the last two versions, although its sender might know an earlier one.
    #[test]
    fn rules_are_the_strictest_of_all_versions_within_the_grace_period(
        steps in prop::collection::vec(any_step(), 1..16),
    ) {
        let first = keyed(DedupScope::Cell, 3 * SECOND);
        let mut classes = Classes::new(first);
        let mut now = 0;
        let mut current = Some(first);
        let mut replaced = Vec::<Version>::new();
        for step in steps {
            match step {
                Some(Step::Wait(time)) => now += time,
                Some(Step::Reload { idempotency, objective }) => {
                    classes.reload(now, idempotency, objective);
                    let old = current.replace(idempotency);
                    replaced.extend(old.map(|idempotency| Version { idempotency, replaced_at: now }));
                }
                None => {
                    classes.remove(now);
                    let old = current.take();
                    replaced.extend(old.map(|idempotency| Version { idempotency, replaced_at: now }));
                }
            }
            let served = replaced.iter().filter(|version| now < version.replaced_at + PREVIOUS_CLASS_GRACE_PERIOD);
            let expected = strictest(served.map(|version| version.idempotency).chain(current));
            let found = classes.registry.find(now, NAME, |_| Ok::<(), ()>(())).ok();
            prop_assert_eq!(found.map(|class| class.idempotency), expected);
        }
    }
}
