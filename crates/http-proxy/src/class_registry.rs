//! The request classes that clients may name. The classes of the previous settings are included for a grace
//! period. Pure: no I/O, no clock.

use crate::idempotency_claim::ClaimPolicy;
use balancer::api::{Class, DedupScope, Idempotency, Micros, Settings};
use hyper::Method;
use rustc_hash::FxHashMap;

/// How long the previous version of a removed or changed class still applies, in microseconds. Clients apply
/// new settings 1.2 s later than the proxies.
const PREVIOUS_CLASS_GRACE_PERIOD: Micros = 3_000_000;

/// The requirements for requests of a class, and the index of the class in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// The index of the class in the settings.
    pub index: u8,
    /// The response deadline of a request, as a duration from its arrival in microseconds.
    pub deadline: Micros,
    idempotency: Idempotency,
    method: Method,
}

/// Why a request does not match a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassMismatch {
    /// No class with this name exists.
    UnknownClass,
    /// The class requires another method.
    MethodNotAllowed,
    /// The class is keyed, and the request has no idempotency key.
    MissingKey,
}

impl RequestClass {
    fn new(index: usize, class: &Class) -> Option<Self> {
        Some(Self {
            index: u8::try_from(index).ok()?,
            deadline: class.deadline,
            idempotency: class.idempotency,
            method: if class.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST },
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

    fn check(&self, method: &Method, has_key: bool) -> Result<&Self, ClassMismatch> {
        if self.method != method {
            return Err(ClassMismatch::MethodNotAllowed);
        }
        // Without a key the backends could not deduplicate a retry.
        if matches!(self.idempotency, Idempotency::Keyed { .. }) && !has_key {
            return Err(ClassMismatch::MissingKey);
        }
        Ok(self)
    }
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
    RequestClass::new(index, &combined)
}

#[derive(Debug, Default)]
struct ClassVersions {
    current: Option<RequestClass>,
    previous: Option<PreviousClass>,
}

/// The request classes by name.
#[derive(Debug, Default)]
pub struct ClassRegistry {
    classes: FxHashMap<String, ClassVersions>,
    /// By the index of the class in the settings.
    claim_policies: Vec<ClaimPolicy>,
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
        let served_until = now.saturating_add(PREVIOUS_CLASS_GRACE_PERIOD);
        let mut old_classes = std::mem::take(&mut self.classes);
        for (index, name) in names {
            let current = settings.classes.get(index).and_then(|class| RequestClass::new(index, class));
            let old = old_classes.remove(name).unwrap_or_default();
            let previous = match old.current {
                Some(class) if Some(&class) != current.as_ref() => {
                    Some(PreviousClass::new(class, current.as_ref(), settings, served_until))
                }
                _ => old.previous,
            };
            self.classes.insert(name.to_owned(), ClassVersions { current, previous });
        }
        for (name, old) in old_classes {
            let removed = old.current.map(|class| PreviousClass::new(class, None, settings, served_until));
            let previous = removed.or(old.previous);
            if previous.as_ref().is_some_and(|previous| previous.served_until > now) {
                self.classes.insert(name, ClassVersions { current: None, previous });
            }
        }
        self.claim_policies = settings.classes.iter().map(ClaimPolicy::of).collect();
    }

    /// The class of a request at `now` (microseconds). Within the grace period the client may know either
    /// version. The stricter one then applies, or a combination of the stricter parts of both.
    ///
    /// # Errors
    /// The request does not match the class of this name, or there is no such class.
    pub fn find(
        &self,
        now: Micros,
        name: &str,
        method: &Method,
        has_key: bool,
    ) -> Result<&RequestClass, ClassMismatch> {
        let versions = self.classes.get(name).ok_or(ClassMismatch::UnknownClass)?;
        let previous = versions.previous.as_ref().filter(|previous| now < previous.served_until);
        let combined = previous.and_then(|previous| previous.combined.as_ref());
        let previous = previous.and_then(|previous| previous.class.check(method, has_key).ok());
        let current = versions.current.as_ref().ok_or(ClassMismatch::UnknownClass);
        let current = current.and_then(|class| class.check(method, has_key));
        match (current, previous, combined) {
            (Ok(_), Some(_), Some(combined)) => Ok(combined),
            (Ok(current), Some(previous), None)
                if previous.retry_permissiveness() < current.retry_permissiveness() =>
            {
                Ok(previous)
            }
            (Err(_), Some(previous), _) => Ok(previous),
            (current, ..) => current,
        }
    }

    /// The registration policy for requests of the class with this index; `None` if there is no such class.
    #[must_use]
    pub fn claim_policy(&self, index: u8) -> Option<ClaimPolicy> {
        self.claim_policies.get(usize::from(index)).copied()
    }
}

#[cfg(test)]
mod tests;
