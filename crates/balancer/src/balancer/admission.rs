//! Admission: which requests are sent at once, queued or ended, and the order in which queued ones are sent.

use super::Balancer;
use super::retries::may_reject;
use super::timer::Timer;
use crate::api::{Action, Micros, Request, UnservedCause};
use crate::state::{AttemptState, OpenRequest, RetryScope};
use smallvec::SmallVec;

/// The maximum queueing time of a request is its remaining time divided by this.
const QUEUE_TIME_DIVISOR: Micros = 10;
/// Sum of an instance's limits, in slots, from which on a rejected client is advised to wait for its full
/// latency objective. With a lower sum, the advised delay is proportionally shorter.
const FULL_RETRY_AFTER_SLOTS: f64 = 16.0;
/// Minimum delay that a rejected client is advised to wait, as a fraction of the latency objective.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.125;

impl Balancer {
    pub(super) fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        if self.requests.open.find(request.id).is_some() {
            return;
        }
        let class = usize::from(request.class).min(self.settings.classes.len() - 1);
        let rules = request.idempotency.unwrap_or(self.settings.classes[class].idempotency);
        let earlier_execution = request.identity.and_then(|identity| self.executions.find(now, identity));
        let open = OpenRequest {
            id: request.id,
            class,
            idempotency: earlier_execution.map_or(rules, |earlier| rules.combined_with(earlier.idempotency)),
            arrived_at: now,
            deadline: now + request.timeout,
            max_attempts: usize::from(self.settings.permissions.max_attempts),
            is_over_quota: self.charge_quota(now, usize::from(request.tenant)),
            is_proxied: request.is_proxied,
            identity: request.identity,
            earlier_execution,
            is_answered: false,
            is_streaming: false,
            queued_until: None,
            attempts: SmallVec::new(),
        };
        let request_index = self.requests.open.add(open.id, open);
        self.retry_budget.deposit();
        self.refresh_slot_budget(now);
        self.dispatch(now, request_index, out);
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
    pub(super) fn dispatch(&mut self, now: Micros, request_index: usize, out: &mut Vec<Action>) {
        if let Some(backend) = self.select(now, request_index) {
            return self.send(now, request_index, backend, out);
        }
        let request = &self.requests.open[request_index];
        let is_shed = request.is_over_quota && self.traffic.rejections.has_standing_queues();
        let cause =
            if is_shed { Some(UnservedCause::OverQuota) } else { self.unservable_cause(now, request) };
        match cause {
            Some(cause) => self.end_unserved(request_index, cause, out),
            None => self.enqueue(now, request_index, out),
        }
    }

    /// Why an attempt that starts now cannot serve the request; `None` if it can.
    pub(super) fn unservable_cause(&self, now: Micros, request: &OpenRequest) -> Option<UnservedCause> {
        if self.retry_scope(now, request) == RetryScope::Nowhere {
            return Some(UnservedCause::NoAttemptAllowed);
        }
        self.is_too_late(now, request).then_some(UnservedCause::TooLate)
    }

    fn enqueue(&mut self, now: Micros, request_index: usize, out: &mut Vec<Action>) {
        let wait = self.requests.open[request_index].deadline.saturating_sub(now) / QUEUE_TIME_DIVISOR;
        for kind in &mut self.kind_limits {
            kind.window.limit_was_used = true;
        }
        self.requests.open[request_index].queued_until = Some(now + wait);
        self.requests.queue.push(request_index);
        out.push(Action::SetTimer { delay: wait, token: Timer::QueueTimeout { request_index }.token() });
    }

    pub(super) fn on_queue_timeout(&mut self, now: Micros, request_index: usize, out: &mut Vec<Action>) {
        let is_too_late = self.is_too_late(now, &self.requests.open[request_index]);
        if !is_too_late && let Some(backend) = self.select(now, request_index) {
            return self.send(now, request_index, backend, out);
        }
        self.requests.dequeue(request_index);
        let cause = if is_too_late { UnservedCause::TooLate } else { UnservedCause::QueueTimeout };
        self.end_unserved(request_index, cause, out);
    }

    /// Sends queued requests while there is capacity, in descending order of their weight per work.
    pub(super) fn serve_queue(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(request_index) = self.next_queued() {
            let Some(backend) = self.select(now, request_index) else { return };
            self.send(now, request_index, backend, out);
        }
    }

    /// The queued request with the highest weight per work; among equal ones, the one that was queued first.
    fn next_queued(&self) -> Option<usize> {
        let better = |a, b| if self.weight_per_us(b) > self.weight_per_us(a) { b } else { a };
        self.requests.queue.iter().copied().reduce(better)
    }

    /// Weight of a request per microsecond of work.
    fn weight_per_us(&self, request_index: usize) -> f64 {
        let request = &self.requests.open[request_index];
        let quota_factor = if request.is_over_quota { self.settings.over_quota_weight } else { 1.0 };
        let weight = self.settings.classes[request.class].priority_weight;
        weight * quota_factor / self.traffic.latencies.class_mean_us(request.class)
    }

    /// Ends a request for which no attempt can be started, unless one is still unfinished.
    pub(super) fn end_unserved(&mut self, request_index: usize, cause: UnservedCause, out: &mut Vec<Action>) {
        if self.requests.open[request_index].unfinished_attempts() == 0 {
            self.finish(request_index, cause, out);
        }
    }

    /// Issues a final response. No other function does (rule 1).
    fn finish(&mut self, request_index: usize, cause: UnservedCause, out: &mut Vec<Action>) {
        let open = &self.requests.open[request_index];
        if open.is_answered {
            return;
        }
        self.unserved.record(cause);
        let request = open.id;
        let never_executed = open.attempts.iter().all(|attempt| attempt.state == AttemptState::NeverExecuted);
        let lacked_capacity = !open.is_over_quota && never_executed;
        out.push(if may_reject(open) {
            let longest = self.settings.permissions.max_retry_after;
            let retry_after = longest.map_or(0, |longest| longest.min(self.retry_after(open.class)));
            Action::Reject { request, retry_after }
        } else {
            Action::Fail { request }
        });
        if lacked_capacity {
            self.traffic.rejections.record_rejection();
        }
        self.close(request_index);
    }

    /// How long a rejected client should wait before a retry.
    ///
    /// Deviation: the delay depends on the limits of the instance, not on the objective alone. An instance
    /// with few slots rejects mostly because requests coincided at this instance. A retry probably reaches
    /// another instance and can still meet the objective, so the delay is short. With many slots per
    /// instance, a rejection means that the fleet has no free capacity.
    fn retry_after(&self, class: usize) -> Micros {
        let fraction = self.slot_budget.total_limit / FULL_RETRY_AFTER_SLOTS;
        let fraction = fraction.clamp(MIN_RETRY_AFTER_FRACTION, 1.0);
        (self.settings.classes[class].latency_objective as f64 * fraction) as Micros
    }

    /// Marks a request as answered, and releases it if all its attempts have ended.
    pub(super) fn close(&mut self, request_index: usize) {
        self.requests.dequeue(request_index);
        let request = &mut self.requests.open[request_index];
        request.is_answered = true;
        if request.unfinished_attempts() > 0 {
            return;
        }
        for attempt in &request.attempts {
            self.fleet.backends.release_reference(attempt.backend_index);
        }
        let id = request.id;
        self.requests.open.release(id);
    }
}
