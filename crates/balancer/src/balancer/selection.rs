//! Selection of a backend: the one with the greatest free capacity, preferred zones first.

use super::Balancer;
use crate::api::{Idempotency, Micros};
use crate::state::{BackendState, LARGE_FLEET, RetryScope};
use smallvec::SmallVec;

/// Time over which the first uses of a backend that became ready are distributed among the instances.
const FIRST_USE_WINDOW_US: f64 = 4e6;
/// Number of backends in each sample of a large fleet: one of the preferred backends, then one of all.
const SAMPLE_SIZE: usize = 64;
/// Fraction of a backend's limit that applies to requests beyond their tenant's quota.
const OVER_QUOTA_LIMIT_FRACTION: f64 = 0.6;
/// Time without a response after which an attempt is overdue, as a multiple of its class's mean latency.
const OVERDUE_MEAN_MULTIPLE: f64 = 4.0;
/// Minimum time without a response after which an attempt is overdue, as a fraction of the latency objective.
const MIN_OVERDUE_OBJECTIVE_FRACTION: f64 = 0.25;
/// Maximum time without a response after which an attempt is overdue, as a fraction of the latency objective.
const MAX_OVERDUE_OBJECTIVE_FRACTION: f64 = 0.8;

/// What a backend must fulfil to get the next attempt of a request.
struct Criteria {
    scope: RetryScope,
    /// Factor on the limit of a backend before it is rounded down to a number of slots.
    limit_factor: f64,
    /// Time without a response after which a backend with attempts in flight is skipped.
    overdue_time: Micros,
    /// Whether the request may be the trial of an ejected backend, since it may be retried afterwards.
    is_retryable: bool,
    /// Whether this instance has no attempt in flight.
    is_idle: bool,
    /// Indices of the backends to which the request was already sent.
    tried_backends: SmallVec<[usize; 2]>,
}

/// The backend with the most free slots so far; ties are broken at random.
#[derive(Default)]
struct BestCandidate {
    backend_index: Option<usize>,
    free_slots: i64,
    ties: u32,
}

impl BestCandidate {
    fn offer(&mut self, backend_index: usize, free_slots: i64, rng: &mut fastrand::Rng) {
        let is_tie = self.backend_index.is_some() && free_slots == self.free_slots;
        if self.backend_index.is_some() && free_slots < self.free_slots {
            return;
        }
        self.ties = if is_tie { self.ties + 1 } else { 1 };
        if self.ties == 1 || rng.u32(0..self.ties) == 0 {
            self.backend_index = Some(backend_index);
            self.free_slots = free_slots;
        }
    }
}

/// The best candidates of one selection, by preference.
#[derive(Default)]
struct Candidates {
    preferred: BestCandidate,
    other_zones: BestCandidate,
    /// The backend with the largest limit, even if it is below one slot. Used only by an instance with no
    /// attempt in flight.
    fallback: Option<usize>,
    fallback_limit: f64,
}

impl Balancer {
    /// The backend with the greatest free capacity, in the local zone first.
    ///
    /// Deviation: the basic algorithm ignores zones. Here, if crossing zones has a cost, other zones are used
    /// only if the local one has no free capacity.
    ///
    /// Deviation: in the basic algorithm, a backend without a slot gets no requests. Here, an instance
    /// without a slot on any backend may have one request in flight; otherwise it could serve none.
    ///
    /// Deviation: the basic algorithm compares all backends, which costs too much on a large fleet. There, a
    /// random sample of the preferred backends is examined. If none of these has free capacity, a sample of
    /// all backends is. If one backend in ten has free capacity, a sample contains none of these in one of
    /// 800 cases; the request is then queued and selection is retried later.
    pub(super) fn select(&mut self, now: Micros, request_index: usize) -> Option<usize> {
        let criteria = self.attempt_criteria(now, request_index)?;
        let mut candidates = Candidates::default();
        let is_sampled = criteria.scope == RetryScope::Anywhere && self.fleet.ready.len() > LARGE_FLEET;
        let count = if is_sampled { 2 * SAMPLE_SIZE } else { self.fleet.ready.len() };
        for nth in 0..count {
            let position = match is_sampled {
                true if nth < SAMPLE_SIZE => self.rng.usize(self.fleet.preferred.clone()),
                true if candidates.preferred.backend_index.is_some() => break,
                true => self.rng.usize(0..self.fleet.ready.len()),
                false => nth,
            };
            self.consider(now, self.fleet.ready[position], &criteria, &mut candidates);
        }
        candidates.preferred.backend_index.or(candidates.other_zones.backend_index).or(candidates.fallback)
    }

    /// The criteria for the next attempt of a request. `None` if no backend may get it now: rule 2 forbids
    /// another attempt, or this instance has its maximum number of requests in flight.
    fn attempt_criteria(&self, now: Micros, request_index: usize) -> Option<Criteria> {
        let request = &self.requests.open[request_index];
        let scope = self.retry_scope(now, request);
        let in_flight = self.requests.in_flight;
        // Sessions count too, but must not block all other requests.
        let is_full = in_flight > 0 && in_flight + self.requests.sessions >= self.slot_budget.max_in_flight;
        if scope == RetryScope::Nowhere || is_full {
            return None;
        }
        let quota_factor = if request.is_over_quota { OVER_QUOTA_LIMIT_FRACTION } else { 1.0 };
        Some(Criteria {
            scope,
            limit_factor: self.slot_budget.limit_factor * quota_factor,
            overdue_time: self.overdue_time(request.class),
            is_retryable: request.idempotency != Idempotency::NonIdempotent,
            is_idle: in_flight == 0,
            tried_backends: request.attempts.iter().map(|attempt| attempt.backend_index).collect(),
        })
    }

    fn overdue_time(&self, class: usize) -> Micros {
        let objective = self.settings.classes[class].latency_objective as f64;
        let time = self.traffic.latencies.class_mean_us(class) * OVERDUE_MEAN_MULTIPLE;
        time.clamp(objective * MIN_OVERDUE_OBJECTIVE_FRACTION, objective * MAX_OVERDUE_OBJECTIVE_FRACTION)
            as Micros
    }

    /// Adds a backend to the candidates if it meets the criteria.
    fn consider(
        &mut self,
        now: Micros,
        backend_index: usize,
        criteria: &Criteria,
        candidates: &mut Candidates,
    ) {
        let backend = &self.fleet.backends[backend_index];
        if !criteria.scope.contains(backend.zone, backend.cell)
            || criteria.tried_backends.contains(&backend_index)
            || !self.is_available(now, backend, criteria)
        {
            return;
        }
        let remaining_limit = backend.limit * criteria.limit_factor + backend.rounding_offset;
        if criteria.is_idle && remaining_limit > candidates.fallback_limit {
            candidates.fallback = Some(backend_index);
            candidates.fallback_limit = remaining_limit;
        }
        let free_slots = free_slots(now, backend, criteria);
        if free_slots > 0 {
            let best = if self.is_preferred(backend) {
                &mut candidates.preferred
            } else {
                &mut candidates.other_zones
            };
            best.offer(backend_index, free_slots, &mut self.rng);
        }
    }

    /// Whether a backend may be selected at all, apart from its free slots.
    fn is_available(&self, now: Micros, backend: &BackendState, criteria: &Criteria) -> bool {
        if let Some(until) = backend.health.ejected_until {
            // An ejected backend gets a single trial, by a request that may be retried.
            return now >= until && !backend.health.trial_in_flight && criteria.is_retryable;
        }
        // Deviation: the basic algorithm looks at free capacity alone. Here, a backend with attempts in
        // flight and no response for a long time is skipped, since it may hang. A backend that rejects
        // requests would look the least loaded, and is skipped for about the duration of a request.
        let is_unresponsive =
            backend.in_flight > 0 && now > backend.unresponsive_since + criteria.overdue_time;
        let has_token = |budget| self.warm_up_tokens(now, backend, budget) >= 1.0;
        !is_unresponsive && now >= backend.rejecting_until && backend.warm_up.as_ref().is_none_or(has_token)
    }
}

/// Free slots of a backend; `i64::MAX` if it is due for its first use by this instance.
fn free_slots(now: Micros, backend: &BackendState, criteria: &Criteria) -> i64 {
    let used = i64::from(backend.in_flight + backend.sessions);
    let free_slots = backend.slots(criteria.limit_factor) - used;
    // Deviation: in the basic algorithm, only free capacity decides. Here, a backend that became ready or may
    // be readmitted is preferred once; otherwise, an instance with little traffic would never use it. The
    // rounding offset differs between instances, so that they do this at different times.
    let unused_time_us = now.saturating_sub(backend.unused_since) as f64;
    let is_due = unused_time_us > (1.0 - backend.rounding_offset) * FIRST_USE_WINDOW_US;
    let is_first_use = is_due && free_slots > 0 && criteria.is_idle && backend.warm_up.is_none();
    if is_first_use { i64::MAX } else { free_slots }
}
