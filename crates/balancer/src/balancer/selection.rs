//! Choice of a backend: the one with the greatest free capacity, preferred zones first.

use super::Balancer;
use crate::api::{Idempotency, Micros};
use crate::state::{BackendState, LARGE_FLEET, RetryScope};
use smallvec::SmallVec;

/// Time over which all instances take turns in using a returned backend first, microseconds.
const FIRST_USE_WINDOW: f64 = 4e6;
/// Backends that a request looks at on a large fleet, among the preferred ones and then among all.
const SAMPLE_SIZE: usize = 64;
/// Fraction of a backend's limit that requests beyond their tenant's quota may fill.
const OVER_QUOTA_LIMIT_FRACTION: f64 = 0.6;
/// An attempt is overdue at this multiple of its class's mean latency ...
const OVERDUE_MEAN_MULTIPLE: f64 = 4.0;
/// ... between these fractions of its latency objective.
const MIN_OVERDUE_FRACTION: f64 = 0.25;
const MAX_OVERDUE_FRACTION: f64 = 0.8;

/// What the next attempt of a request requires of its backend.
struct Criteria {
    scope: RetryScope,
    /// Factor on limits before they are rounded to slots.
    slot_factor: f64,
    /// Time without any response after which a backend with attempts in flight is skipped.
    overdue_time: Micros,
    /// Whether the request may be the trial of an ejected backend.
    is_retryable: bool,
    /// Whether this instance has no attempt in flight.
    is_idle: bool,
    /// Slots of the backends that the request was sent to.
    tried: SmallVec<[usize; 2]>,
}

/// The best backend so far, chosen at random among equals.
#[derive(Default)]
struct Best {
    backend: Option<usize>,
    free_slots: i64,
    ties: u32,
}

impl Best {
    fn offer(&mut self, backend: usize, free_slots: i64, rng: &mut fastrand::Rng) {
        let is_tie = self.backend.is_some() && free_slots == self.free_slots;
        if self.backend.is_some() && free_slots < self.free_slots {
            return;
        }
        self.ties = if is_tie { self.ties + 1 } else { 1 };
        if self.ties == 1 || rng.u32(0..self.ties) == 0 {
            self.backend = Some(backend);
            self.free_slots = free_slots;
        }
    }
}

/// The candidates of one selection.
#[derive(Default)]
struct Candidates {
    preferred: Best,
    other_zones: Best,
    /// The backend with the largest limit left, although less than a slot, for an instance with nothing in
    /// flight.
    fallback: Option<usize>,
    fallback_limit: f64,
}

impl Balancer {
    /// The backend with the greatest free capacity, in the local zone first.
    ///
    /// Departure: where crossing zones has a cost, other zones are used when the local one has no free
    /// capacity. An instance without a slot on any backend would serve no request; it may have one in flight.
    ///
    /// Departure: on a large fleet a request looks at a random sample, of the preferred backends and then, if
    /// none of those has free capacity, of all. A fleet with free capacity on one backend in ten is missed
    /// once in 800 times; the request is then queued, and selects again.
    pub(super) fn select(&mut self, now: Micros, slot: usize) -> Option<usize> {
        let criteria = self.criteria(now, slot)?;
        let mut candidates = Candidates::default();
        let is_sampled = criteria.scope == RetryScope::Anywhere && self.fleet.ready.len() > LARGE_FLEET;
        let looks = if is_sampled { 2 * SAMPLE_SIZE } else { self.fleet.ready.len() };
        for look in 0..looks {
            let position = match is_sampled {
                true if look < SAMPLE_SIZE => self.rng.usize(self.fleet.local.clone()),
                true if candidates.preferred.backend.is_some() => break,
                true => self.rng.usize(0..self.fleet.ready.len()),
                false => look,
            };
            self.consider(now, self.fleet.ready[position], &criteria, &mut candidates);
        }
        candidates.preferred.backend.or(candidates.other_zones.backend).or(candidates.fallback)
    }

    /// `None` if no attempt may start now.
    fn criteria(&self, now: Micros, slot: usize) -> Option<Criteria> {
        let request = &self.requests.open[slot];
        let scope = self.retry_scope(now, request);
        let in_flight = self.requests.in_flight;
        // Sessions count, but must not keep every other request out.
        let is_full = in_flight > 0 && in_flight + self.requests.sessions >= self.slot_budget.max_in_flight;
        if scope == RetryScope::Nowhere || is_full {
            return None;
        }
        let quota_factor = if request.is_over_quota { OVER_QUOTA_LIMIT_FRACTION } else { 1.0 };
        let class = &self.settings.classes[request.class];
        Some(Criteria {
            scope,
            slot_factor: self.slot_budget.spread * quota_factor,
            overdue_time: self.overdue_time(request.class),
            is_retryable: class.idempotency != Idempotency::NonIdempotent,
            is_idle: in_flight == 0,
            tried: request.attempts.iter().map(|attempt| attempt.backend).collect(),
        })
    }

    fn overdue_time(&self, class: usize) -> Micros {
        let objective = self.settings.classes[class].latency_objective as f64;
        let time = self.traffic.latencies.class_mean(class) * OVERDUE_MEAN_MULTIPLE;
        time.clamp(objective * MIN_OVERDUE_FRACTION, objective * MAX_OVERDUE_FRACTION) as Micros
    }

    /// Adds a backend to the candidates if it meets the criteria.
    fn consider(&mut self, now: Micros, index: usize, criteria: &Criteria, candidates: &mut Candidates) {
        let backend = &self.fleet.backends[index];
        if !criteria.scope.contains(backend.zone, backend.cell)
            || criteria.tried.contains(&index)
            || !self.is_available(now, backend, criteria)
        {
            return;
        }
        let remaining_limit = backend.limit * criteria.slot_factor + backend.dither;
        if criteria.is_idle && remaining_limit > candidates.fallback_limit {
            candidates.fallback = Some(index);
            candidates.fallback_limit = remaining_limit;
        }
        let free_slots = free_slots(now, backend, criteria);
        if free_slots > 0 {
            let best = if self.is_preferred(backend) {
                &mut candidates.preferred
            } else {
                &mut candidates.other_zones
            };
            best.offer(index, free_slots, &mut self.rng);
        }
    }

    /// Whether a backend may be selected at all, apart from its free slots.
    fn is_available(&self, now: Micros, backend: &BackendState, criteria: &Criteria) -> bool {
        if let Some(until) = backend.health.ejected_until {
            // Departure: an ejected backend gets one trial, of a request that can be retried.
            return now >= until && !backend.health.trial_in_flight && criteria.is_retryable;
        }
        // Departure: a backend with attempts in flight that has long been silent may hang, and gets nothing
        // more. One that rejects requests looks the least loaded; it is skipped for the time of a request.
        let is_silent = backend.in_flight > 0 && now > backend.silent_since + criteria.overdue_time;
        let has_token = |budget| self.warm_up_tokens(now, backend, budget) >= 1.0;
        !is_silent && now >= backend.rejecting_until && backend.warm_up.as_ref().is_none_or(has_token)
    }
}

/// Free slots of a backend; `i64::MAX` where this instance is to use it first.
fn free_slots(now: Micros, backend: &BackendState, criteria: &Criteria) -> i64 {
    let used = i64::from(backend.in_flight + backend.sessions);
    let free_slots = backend.slots(criteria.slot_factor) - used;
    // Departure: a returned backend with free capacity is used first, once; a quiet fleet would never try
    // it.
    let unused_time = now.saturating_sub(backend.unused_since) as f64;
    let is_due = unused_time > (1.0 - backend.dither) * FIRST_USE_WINDOW;
    let is_first_use = is_due && free_slots > 0 && criteria.is_idle && backend.warm_up.is_none();
    if is_first_use { i64::MAX } else { free_slots }
}
