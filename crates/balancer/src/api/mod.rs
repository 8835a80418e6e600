//! The interface of the balancer: its [`Settings`], the [`Event`]s that it handles, and the [`Action`]s that
//! it returns. The balancer does no I/O and reads no clock; callers pass the current time with each event.

mod action;
mod event;
mod learned_state;
mod membership;
mod outcome;
mod settings;
mod unserved;

pub use action::Action;
pub use event::{AttemptResult, Event, Request, RequestIdentity};
pub use learned_state::{LearnedKindLimit, LearnedLatency, LearnedLimit, LearnedState};
pub use membership::{Backend, MembershipUpdate, Readiness};
pub use outcome::Outcome;
pub use settings::{
    Class, DedupScope, Idempotency, LoadReportFields, MAX_TENANTS, Permissions, SafetyLimits, Settings,
    SettingsError, SettingsProblem, Tenant,
};
pub use unserved::{UnservedCause, UnservedCounts};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
/// A request id, assigned by the proxy and unique among the open requests of an instance.
pub type RequestId = u32;
/// A backend id: the same at every proxy, and unchanged when the backend's process restarts.
pub type BackendId = u32;
