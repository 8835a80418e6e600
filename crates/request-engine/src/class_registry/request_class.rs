//! The rules for requests of a class, by one version of it or by several that may apply.

use super::ClassName;
use balancer::api::{Class, Idempotency, Micros};
use std::rc::Rc;

/// How requests of a class are claimed in the [idempotency registry](crate::idempotency).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimPolicy {
    /// Whether requests with the same idempotency key are retries of one another.
    pub is_keyed: bool,
    /// How long backends may remember an idempotency key, in microseconds; 0 if the class is not keyed.
    pub key_ttl: Micros,
    /// How long the final outcome is retained at least, in microseconds.
    pub retention: Micros,
}

impl ClaimPolicy {
    fn new(idempotency: Idempotency, deadline: Micros) -> Self {
        match idempotency {
            Idempotency::Idempotent => Self { is_keyed: false, key_ttl: 0, retention: 0 },
            Idempotency::Keyed { ttl, .. } => {
                Self { is_keyed: true, key_ttl: ttl, retention: ttl.max(deadline) }
            }
            Idempotency::NonIdempotent => Self { is_keyed: false, key_ttl: 0, retention: deadline },
        }
    }

    /// The policy for a request to which either of two versions of its class may apply.
    fn combined_with(self, other: Self) -> Self {
        Self {
            is_keyed: self.is_keyed || other.is_keyed,
            key_ttl: self.key_ttl.max(other.key_ttl),
            retention: self.retention.max(other.retention),
        }
    }
}

/// The rules for a request of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// The name of the class, the same for all its versions.
    pub name: ClassName,
    /// The index in the settings of the version by whose objective and weight the request is served.
    pub index: u8,
    /// The maximum time of a request from its arrival to its response deadline, in microseconds.
    pub deadline: Micros,
    /// The time of a request whose sender states none, in microseconds: the shortest deadline of all versions that
    /// may apply.
    pub default_timeout: Micros,
    /// The effect of executing a request more than once, by every version that may apply.
    pub idempotency: Idempotency,
    /// How requests are claimed.
    pub claim_policy: ClaimPolicy,
}

impl RequestClass {
    /// The version of the class `name` that has this index in the settings.
    pub(super) fn new(name: &ClassName, index: usize, class: &Class) -> Option<Self> {
        Some(Self {
            name: Rc::clone(name),
            index: u8::try_from(index).ok()?,
            deadline: class.deadline,
            default_timeout: class.deadline,
            idempotency: class.idempotency,
            claim_policy: ClaimPolicy::new(class.idempotency, class.deadline),
        })
    }

    /// A version with these rules that is served as this one.
    pub(super) fn with_rules(&self, idempotency: Idempotency, deadline: Micros) -> Self {
        let claim_policy = ClaimPolicy::new(idempotency, deadline);
        Self { deadline, default_timeout: deadline, idempotency, claim_policy, ..self.clone() }
    }

    /// The rules for a request that may be meant under this version of its class or under an `earlier` one: the
    /// stricter parts of both. The request is claimed as either version requires.
    pub(super) fn combined_with(&self, earlier: &Self) -> Self {
        let idempotency = self.idempotency.combined_with(earlier.idempotency);
        let claim_policy = self.claim_policy.combined_with(earlier.claim_policy);
        let is_earlier = idempotency == earlier.idempotency && idempotency != self.idempotency;
        let version = if is_earlier { earlier } else { self };
        Self {
            default_timeout: self.default_timeout.min(earlier.default_timeout),
            idempotency,
            claim_policy,
            ..version.clone()
        }
    }
}
