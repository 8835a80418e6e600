//! The request classes in force, for all front ends of a process: they resolve the name of a class here, so
//! that a reload changes the rules of all of them at once. Pure: no I/O, no clock.
//!
//! The settings give each version of a class an index of its own. What identifies a request beyond one
//! version, such as a [claim](crate::idempotency), refers to the class by its name instead.
//!
//! Senders of requests apply new settings later than the proxy. For a grace period, a request may therefore be
//! meant under the previous version of its class, and the stricter rules of both versions apply.

use balancer::api::{Class, DedupScope, Idempotency, Micros, Settings};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;

/// How long the previous version of a removed or changed class still applies, in microseconds. Clients apply
/// new settings 1.2 s later than the proxies.
pub const PREVIOUS_CLASS_GRACE_PERIOD: Micros = 3_000_000;

/// The name of a request class, which identifies it across reloads.
pub type ClassName = Rc<str>;

/// The registry that all front ends of a process use together, on the engine's thread.
pub type SharedClasses = Rc<RefCell<ClassRegistry>>;

/// How requests of a class are claimed in the [idempotency registry](crate::idempotency).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimPolicy {
    /// Whether requests with the same idempotency key are retries of one another.
    pub is_keyed: bool,
    /// How long the final outcome is retained at least, in microseconds.
    pub retention: Micros,
}

impl ClaimPolicy {
    fn of(class: &Class) -> Self {
        match class.idempotency {
            Idempotency::Idempotent => Self { is_keyed: false, retention: 0 },
            Idempotency::Keyed { ttl, .. } => Self { is_keyed: true, retention: ttl.max(class.deadline) },
            Idempotency::NonIdempotent => Self { is_keyed: false, retention: class.deadline },
        }
    }

    /// The policy for a request to which either of two versions of its class may apply.
    fn combined_with(self, other: Self) -> Self {
        Self { is_keyed: self.is_keyed || other.is_keyed, retention: self.retention.max(other.retention) }
    }
}

/// The rules for requests of one version of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// The name of the class, the same for all its versions.
    pub name: ClassName,
    /// The index of this version in the settings.
    pub index: u8,
    /// The response deadline of a request, as a duration from its arrival in microseconds.
    pub deadline: Micros,
    /// The effect of executing a request more than once.
    pub idempotency: Idempotency,
    /// How requests are claimed.
    pub claim_policy: ClaimPolicy,
}

impl RequestClass {
    fn new(name: &ClassName, index: usize, class: &Class) -> Option<Self> {
        Some(Self {
            name: Rc::clone(name),
            index: u8::try_from(index).ok()?,
            deadline: class.deadline,
            idempotency: class.idempotency,
            claim_policy: ClaimPolicy::of(class),
        })
    }

    /// A rank of how freely requests of the class may be retried: by the scope of retries (a higher number
    /// for a wider scope), then by the time in which the idempotency key is valid.
    fn retry_permissiveness(&self) -> (u8, Micros) {
        match self.idempotency {
            Idempotency::NonIdempotent => (0, 0),
            Idempotency::Keyed { scope: DedupScope::Cell, ttl } => (1, ttl),
            Idempotency::Keyed { scope: DedupScope::Zone, ttl } => (2, ttl),
            Idempotency::Keyed { scope: DedupScope::All, ttl } => (3, ttl),
            Idempotency::Idempotent => (4, 0),
        }
    }
}

/// Why no class applies to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupError<E> {
    /// No class has this name.
    UnknownClass,
    /// The request does not match the class; contains the error of the front end's check.
    Mismatch(E),
}

#[derive(Debug)]
struct PreviousClass {
    class: RequestClass,
    /// The combination with the current version; `None` if there is no current version, or if one of the two
    /// versions is stricter in all respects.
    combined: Option<RequestClass>,
    served_until: Micros,
}

impl PreviousClass {
    /// The version that precedes `current` in these settings.
    fn new(
        class: RequestClass,
        current: Option<&RequestClass>,
        settings: &Settings,
        served_until: Micros,
    ) -> Self {
        let combined = current.and_then(|current| combined_class(&class, current, &settings.classes));
        Self { class, combined, served_until }
    }

    /// The rules for a request that may be meant under this version or under `current`: the stricter version,
    /// or a combination of the stricter parts of both. The request is claimed as either version requires.
    fn strictest_with(&self, current: &RequestClass) -> RequestClass {
        let is_stricter = self.class.retry_permissiveness() < current.retry_permissiveness();
        let class = match &self.combined {
            Some(combined) => combined,
            None if is_stricter => &self.class,
            None => current,
        };
        let claim_policy = self.class.claim_policy.combined_with(current.claim_policy);
        RequestClass { claim_policy, ..class.clone() }
    }
}

/// The combination of two versions of a class, which the settings contain as a class of its own.
fn combined_class(
    previous: &RequestClass,
    current: &RequestClass,
    classes: &[Class],
) -> Option<RequestClass> {
    let idempotency = previous.idempotency.combined_with(current.idempotency)?;
    let combined = Class { idempotency, ..classes.get(usize::from(current.index))?.clone() };
    let index = classes.iter().position(|class| *class == combined)?;
    RequestClass::new(&current.name, index, &combined)
}

#[derive(Debug, Default)]
struct ClassVersions {
    current: Option<RequestClass>,
    previous: Option<PreviousClass>,
}

/// The request classes by name, and the maximum number of attempts.
#[derive(Debug, Default)]
pub struct ClassRegistry {
    classes: FxHashMap<ClassName, ClassVersions>,
    max_attempts: u16,
}

impl ClassRegistry {
    /// Applies new settings at `now` (microseconds). `names` yields the index of each class in the settings
    /// together with its name.
    pub fn update<'a>(
        &mut self,
        now: Micros,
        settings: &Settings,
        names: impl Iterator<Item = (usize, &'a str)>,
    ) {
        self.max_attempts = settings.permissions.max_attempts;
        let served_until = now.saturating_add(PREVIOUS_CLASS_GRACE_PERIOD);
        let mut old_classes = std::mem::take(&mut self.classes);
        for (index, name) in names {
            let (name, old) =
                old_classes.remove_entry(name).unwrap_or_else(|| (name.into(), ClassVersions::default()));
            let current =
                settings.classes.get(index).and_then(|class| RequestClass::new(&name, index, class));
            let previous = match old.current {
                Some(class) if Some(&class) != current.as_ref() => {
                    Some(PreviousClass::new(class, current.as_ref(), settings, served_until))
                }
                _ => old.previous,
            };
            self.classes.insert(name, ClassVersions { current, previous });
        }
        for (name, old) in old_classes {
            let removed = old.current.map(|class| PreviousClass::new(class, None, settings, served_until));
            let previous = removed.or(old.previous);
            if previous.as_ref().is_some_and(|previous| previous.served_until > now) {
                self.classes.insert(name, ClassVersions { current: None, previous });
            }
        }
    }

    /// The rules for a request at `now` (microseconds) whose sender names this class. `check` tells whether the
    /// request matches a version of the class. Within the grace period the sender may know either version; if
    /// the request matches both, the stricter rules of both apply.
    ///
    /// # Errors
    /// The request does not match the class of this name, or there is no such class.
    pub fn find<E>(
        &self,
        now: Micros,
        name: &str,
        check: impl Fn(&RequestClass) -> Result<(), E>,
    ) -> Result<RequestClass, LookupError<E>> {
        let versions = self.classes.get(name).ok_or(LookupError::UnknownClass)?;
        let previous = versions.previous.as_ref().filter(|previous| now < previous.served_until);
        let previous = previous.filter(|previous| check(&previous.class).is_ok());
        let current = match &versions.current {
            Some(class) => check(class).map(|()| class).map_err(LookupError::Mismatch),
            None => Err(LookupError::UnknownClass),
        };
        match (current, previous) {
            (Ok(current), Some(previous)) => Ok(previous.strictest_with(current)),
            (Err(_), Some(previous)) => Ok(previous.class.clone()),
            (current, None) => current.cloned(),
        }
    }

    /// The maximum number of attempts of a request that arrives now.
    #[must_use]
    pub fn max_attempts(&self) -> u16 {
        self.max_attempts
    }

    /// Number of names that have a version, current or previous.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Whether there are no classes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }
}
