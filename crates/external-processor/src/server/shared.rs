//! State shared by the gRPC services.

use crate::bridge::{CallerEnd, DecisionSender};
use crate::decision_request::RequestParser;
use crate::decision_service::CallerId;
use crate::settings::{Headers, Settings};
use request_engine::driver::clock::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc;
use tonic::Status;

/// Maximum number of fields of a load report that are parsed.
const MAX_LOAD_FIELDS: usize = 64;

pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) parser: RequestParser,
    /// Names of the fields of a load report, in the order of the settings.
    pub(super) load_report_fields: Vec<String>,
    /// Field names of the `Decisions` service, which errors refer to.
    pub(super) field_names: Headers,
    pub(super) clock: Clock,
    pub(super) decisions: DecisionSender,
    pub(super) next_caller: AtomicU64,
}

impl Shared {
    pub(super) fn allocate_caller(&self) -> CallerId {
        CallerId(self.next_caller.fetch_add(1, Ordering::Relaxed))
    }

    /// Parses a load report such as `a=1,b=2` into values in the order of the settings. Empty if a field is
    /// missing or not a number.
    pub(super) fn parse_load_report(&self, text: &str) -> Vec<f32> {
        let pairs = || text.split(',').take(MAX_LOAD_FIELDS).filter_map(|pair| pair.split_once('='));
        let value = |field: &String| pairs().find(|(name, _)| name.trim() == field)?.1.trim().parse().ok();
        self.load_report_fields.iter().map(value).collect::<Option<Vec<f32>>>().unwrap_or_default()
    }
}

/// Reports the end of a caller when dropped.
pub(super) struct CallerGuard {
    ended_callers: mpsc::UnboundedSender<CallerEnd>,
    pub(super) end: CallerEnd,
}

impl CallerGuard {
    pub(super) fn new(decisions: &DecisionSender, end: CallerEnd) -> Self {
        Self { ended_callers: decisions.ended_callers.clone(), end }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let _ = self.ended_callers.send(self.end);
    }
}

/// The status of a call that the decision service can no longer answer.
pub(super) fn shutting_down() -> Status {
    Status::unavailable("the processor ends: ask another")
}
