//! Admission: which requests are sent at once, queued or ended, and the order in which queued ones are sent.

use super::Balancer;
use super::timer::Timer;
use crate::api::{Action, Micros, Request, UnservedCause};
use crate::state::{AttemptState, OpenRequest, RetryScope};
use smallvec::SmallVec;

/// The maximum queueing time of a request is its remaining time divided by this.
const QUEUE_TIME_DIVISOR: Micros = 10;
/// Number of slots from which on a rejected client is advised to wait for its full latency objective. With
/// fewer slots, the advice is proportionally shorter.
const FULL_RETRY_AFTER_SLOTS: f64 = 16.0;
/// Lower bound of that advice, as a fraction of the latency objective.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.125;

impl Balancer {
    pub(super) fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        if self.requests.open.find(request.id).is_some() {
            return;
        }
        let open = OpenRequest {
            id: request.id,
            class: usize::from(request.class).min(self.settings.classes.len() - 1),
            arrived_at: now,
            deadline: now + request.timeout,
            max_attempts: usize::from(self.settings.permissions.max_attempts),
            is_over_quota: self.charge_quota(now, usize::from(request.tenant)),
            is_proxied: request.is_proxied,
            is_answered: false,
            is_streaming: false,
            queued_until: None,
            attempts: SmallVec::new(),
        };
        let slot = self.requests.open.add(open.id, open);
        self.retry_budget.deposit();
        self.refresh_slot_budget(now);
        self.dispatch(now, slot, out);
    }

    /// Takes a token of a tenant's quota; returns whether the tenant is over its quota.
    ///
    /// When other instances fail, this one gets more than its fraction of the traffic of all tenants. So a
    /// tenant without a token is over its quota only if its demand here, relative to its quota, also exceeds
    /// the average of all tenants.
    fn charge_quota(&mut self, now: Micros, tenant: usize) -> bool {
        let quota = |tenant: usize| self.settings.tenants[tenant].quota_per_s;
        let Some(bucket) = self.tenant_quotas.get_mut(tenant) else { return false };
        let rate = quota(tenant) / f64::from(self.settings.instance_count);
        if bucket.take(now, rate, rate.max(1.0)) {
            return false;
        }
        let demand = bucket.recent_demand(now);
        let total_demand = self.tenant_quotas.iter().map(|bucket| bucket.recent_demand(now)).sum::<f64>();
        let total_quota = (0..self.tenant_quotas.len()).map(quota).sum::<f64>();
        demand * total_quota > total_demand * quota(tenant)
    }

    /// Sends a request if there is capacity. Otherwise ends it if it cannot be served, or queues it.
    pub(super) fn dispatch(&mut self, now: Micros, slot: usize, out: &mut Vec<Action>) {
        if let Some(backend) = self.select(now, slot) {
            return self.send(now, slot, backend, out);
        }
        let request = &self.requests.open[slot];
        let is_shed = request.is_over_quota && self.traffic.rejections.has_standing_queues();
        let cause =
            if is_shed { Some(UnservedCause::OverQuota) } else { self.unservable_cause(now, request) };
        match cause {
            Some(cause) => self.end_unserved(slot, cause, out),
            None => self.enqueue(now, slot, out),
        }
    }

    /// Why an attempt that starts now cannot serve the request; `None` if it can.
    pub(super) fn unservable_cause(&self, now: Micros, request: &OpenRequest) -> Option<UnservedCause> {
        if self.retry_scope(now, request) == RetryScope::Nowhere {
            return Some(UnservedCause::NoFurtherAttempt);
        }
        self.is_too_late(now, request).then_some(UnservedCause::TooLate)
    }

    fn enqueue(&mut self, now: Micros, slot: usize, out: &mut Vec<Action>) {
        let wait = self.requests.open[slot].deadline.saturating_sub(now) / QUEUE_TIME_DIVISOR;
        for kind in &mut self.kind_limits {
            kind.window.limit_was_used = true;
        }
        self.requests.open[slot].queued_until = Some(now + wait);
        self.requests.queue.push(slot);
        out.push(Action::SetTimer { delay: wait, token: Timer::QueueTimeout { slot }.token() });
    }

    pub(super) fn on_queue_timeout(&mut self, now: Micros, slot: usize, out: &mut Vec<Action>) {
        let is_too_late = self.is_too_late(now, &self.requests.open[slot]);
        if !is_too_late && let Some(backend) = self.select(now, slot) {
            return self.send(now, slot, backend, out);
        }
        self.requests.dequeue(slot);
        let cause = if is_too_late { UnservedCause::TooLate } else { UnservedCause::QueueTimeout };
        self.end_unserved(slot, cause, out);
    }

    /// Sends queued requests while there is capacity, in the order of their weight per work.
    pub(super) fn serve_queue(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(slot) = self.most_valuable_queued() {
            let Some(backend) = self.select(now, slot) else { return };
            self.send(now, slot, backend, out);
        }
    }

    /// The queued request of the highest value; among equal ones, the one that was queued first.
    fn most_valuable_queued(&self) -> Option<usize> {
        let better = |a, b| if self.value(b) > self.value(a) { b } else { a };
        self.requests.queue.iter().copied().reduce(better)
    }

    /// Weight of a request per microsecond of work.
    fn value(&self, slot: usize) -> f64 {
        let request = &self.requests.open[slot];
        let quota_factor = if request.is_over_quota { self.settings.over_quota_weight } else { 1.0 };
        let weight = self.settings.classes[request.class].priority_weight;
        weight * quota_factor / self.traffic.latencies.class_mean_us(request.class)
    }

    /// Ends a request for which no attempt can be started, unless one is still unfinished.
    pub(super) fn end_unserved(&mut self, slot: usize, cause: UnservedCause, out: &mut Vec<Action>) {
        if self.requests.open[slot].unfinished_attempts() == 0 {
            self.finish(slot, cause, out);
        }
    }

    /// Issues a final response. No other function does (rule 1).
    fn finish(&mut self, slot: usize, cause: UnservedCause, out: &mut Vec<Action>) {
        let open = &self.requests.open[slot];
        if open.is_answered {
            return;
        }
        self.unserved.record(cause);
        let request = open.id;
        let never_executed = open.attempts.iter().all(|attempt| attempt.state == AttemptState::NeverExecuted);
        let lacked_capacity = !open.is_over_quota && never_executed;
        out.push(if self.may_reject(open) {
            let longest = self.settings.permissions.max_retry_after;
            let retry_after = longest.map_or(0, |longest| longest.min(self.retry_after(open.class)));
            Action::Reject { request, retry_after }
        } else {
            Action::Fail { request }
        });
        if lacked_capacity {
            self.traffic.rejections.record_rejection();
        }
        self.close(slot);
    }

    /// How long a rejected client should wait before a retry.
    ///
    /// Deviation: an instance with few slots rejects mostly because requests coincided at this instance. A
    /// retry probably reaches another instance and can still meet the objective, so the advice is short. With
    /// many slots per instance, a rejection means that the fleet has no free capacity.
    fn retry_after(&self, class: usize) -> Micros {
        let fraction = self.slot_budget.slots / FULL_RETRY_AFTER_SLOTS;
        let fraction = fraction.clamp(MIN_RETRY_AFTER_FRACTION, 1.0);
        (self.settings.classes[class].latency_objective as f64 * fraction) as Micros
    }

    /// Marks a request as answered. Its slot is released once its attempts have ended.
    pub(super) fn close(&mut self, slot: usize) {
        self.requests.dequeue(slot);
        let request = &mut self.requests.open[slot];
        request.is_answered = true;
        if request.unfinished_attempts() > 0 {
            return;
        }
        for attempt in &request.attempts {
            self.fleet.backends.release_reference(attempt.backend_slot);
        }
        let id = request.id;
        self.requests.open.release(id);
    }
}
