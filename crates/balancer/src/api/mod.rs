//! The interface of the decisions: their [`Settings`], the [`Event`]s that an instance is notified of, and the [`Action`]s
//! that it returns. Nothing here does I/O or reads a clock; the time comes in with each call.

mod action;
mod event;
mod learned_state;
mod membership;
mod outcome;
mod settings;
mod unserved;

pub use action::Action;
pub use event::{AttemptResult, Event, Request};
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
/// A request, as the proxy numbers it. No two open requests of an instance share an id.
pub type RequestId = u32;
/// A backend; the same number at every proxy, also after its process restarts.
pub type BackendId = u32;
