//! Membership: which backends may get requests, and which state is discarded on a restart or a removal.

use super::Balancer;
use super::limits::instance_fraction;
use super::timer::Timer;
use crate::api::{Action, Backend, MembershipUpdate, Micros, Readiness};
use crate::state::{BackendState, SECOND, SampleWindow, WarmUpBudget};

/// Minimum delay before a watch on discovery is renewed after its first failure. It doubles with each
/// consecutive failure.
const MIN_SUBSCRIBE_DELAY: Micros = SECOND / 8;
/// Maximum number of times that the delay before the renewal of a watch doubles.
const MAX_SUBSCRIBE_DOUBLINGS: u32 = 3;

impl Balancer {
    pub(super) fn on_membership(&mut self, now: Micros, update: MembershipUpdate<'_>, out: &mut Vec<Action>) {
        let (entries, is_complete) = match update {
            MembershipUpdate::Delta(entries) => (entries, false),
            MembershipUpdate::Snapshot(entries) => (entries, true),
            MembershipUpdate::CachedSnapshot(entries) => {
                if self.settings.discovery_on_request {
                    out.push(Action::Subscribe);
                }
                (entries, true)
            }
            MembershipUpdate::Failed => return self.schedule_resubscribe(out),
        };
        self.subscribe_failures = 0;
        if is_complete {
            self.fleet.backends.mark_all_unlisted();
        }
        for entry in entries {
            self.update_backend(now, entry);
        }
        let cross_zone_cost_is_negligible = self.cross_zone_cost_is_negligible();
        self.fleet.rebuild(self.settings.zone, cross_zone_cost_is_negligible, self.settings.instance_index);
        self.serve_queue(now, out);
    }

    /// Schedules the renewal of a failed watch on discovery: exponential backoff with jitter, 2 s at most.
    fn schedule_resubscribe(&mut self, out: &mut Vec<Action>) {
        let wait = MIN_SUBSCRIBE_DELAY << self.subscribe_failures.min(MAX_SUBSCRIBE_DOUBLINGS);
        self.subscribe_failures += 1;
        let delay = wait + self.rng.u64(0..=wait);
        out.push(Action::SetTimer { delay, token: Timer::Subscribe.token() });
    }

    fn update_backend(&mut self, now: Micros, entry: &Backend) {
        let is_listed = entry.readiness != Readiness::Removed;
        let machine_kind = self.clamped_machine_kind(entry);
        let backend_index = match self.fleet.backends.find(entry.id) {
            Some(backend_index) => backend_index,
            None if !is_listed => return,
            None => self.add_backend(now, entry),
        };
        let backend = &mut self.fleet.backends[backend_index];
        if !backend.is_ready {
            backend.unused_since = now;
        }
        backend.is_listed = is_listed;
        backend.is_ready = entry.readiness == Readiness::Ready;
        backend.zone = entry.zone;
        backend.cell = entry.cell;
        backend.machine_kind = machine_kind;
        if backend.started_at != entry.started_at {
            backend.started_at = entry.started_at;
            self.reset_backend(now, backend_index);
        }
    }

    fn add_backend(&mut self, now: Micros, entry: &Backend) -> usize {
        let backend = BackendState::new(now, entry, self.clamped_machine_kind(entry));
        let backend_index = self.fleet.backends.add(entry.id, backend);
        self.reset_backend(now, backend_index);
        backend_index
    }

    /// The machine kind of an entry; the last known one if it is out of the range of the settings.
    fn clamped_machine_kind(&self, entry: &Backend) -> u8 {
        entry.machine_kind.min(self.settings.machine_kind_count.saturating_sub(1))
    }

    /// Discards the state of a backend's previous process.
    fn reset_backend(&mut self, now: Micros, backend_index: usize) {
        let backend = &mut self.fleet.backends[backend_index];
        let kind = usize::from(backend.machine_kind);
        backend.limit = self.kind_limits[kind].limit * instance_fraction(&self.settings, backend);
        backend.uses_kind_limit = true;
        backend.window = SampleWindow::new(now);
        backend.connections_idle_since.clear();
        backend.health.reset(now);
        backend.unused_since = now;
        let tokens = self.rng.f64();
        let warm_up_duration = self.settings.safety.warm_up_duration;
        let is_warming = |started_at: &Micros| now < started_at.saturating_add(warm_up_duration);
        let started_at = backend.started_at.filter(is_warming);
        backend.warm_up = started_at.map(|started_at| WarmUpBudget { started_at, tokens, updated_at: now });
    }
}
