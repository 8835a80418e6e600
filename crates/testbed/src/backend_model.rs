//! Model of a backend: its requests share its cores, their number is bounded, it warms up after a start, and
//! faults can be injected. Pure: no I/O and no clock; used in virtual time and on sockets.

use balancer::api::Micros;

/// Interval at which the speed of a warming backend is recomputed, microseconds.
const WARM_UP_STEP: Micros = 50_000;

/// Properties of a backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendSpec {
    /// Number of requests that can run in parallel at full speed.
    pub cores: f64,
    /// Speed of a core, relative to a core of speed 1, in which work is expressed.
    pub speed: f64,
    /// Largest number of requests at a time; further ones are rejected.
    pub capacity: usize,
    /// Fraction of its cores, 0 to 1, that is usable right after a start; it rises linearly to 1 during the
    /// warm-up.
    pub initial_capacity: f64,
    /// Warm-up time, microseconds.
    pub warm_up_duration: Micros,
}

/// Admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is running; [`BackendModel::advance`] returns it when it has finished.
    Accepted,
    /// The request was accepted, but never finishes.
    Swallowed,
    /// The request was rejected without being processed.
    Rejected,
}

struct Job {
    id: u64,
    /// Remaining work, microseconds on a core of speed 1.
    remaining: f64,
}

/// The state of an emulated backend process.
pub struct BackendModel {
    spec: BackendSpec,
    now: Micros,
    /// `None` where its warm-up has already ended.
    started_at: Option<Micros>,
    jobs: Vec<Job>,
    swallowed_requests: usize,
    /// Factor by which requests take longer, at least 1.
    slowdown: f64,
    hanging: bool,
    paused: bool,
    draining: bool,
}

impl BackendModel {
    /// Creates a process without requests that started at `started_at`, or, for `None`, so long ago that its
    /// warm-up has ended. Times are in microseconds.
    #[must_use]
    pub fn new(spec: BackendSpec, now: Micros, started_at: Option<Micros>) -> Self {
        Self {
            spec,
            now,
            started_at,
            jobs: Vec::new(),
            swallowed_requests: 0,
            slowdown: 1.0,
            hanging: false,
            paused: false,
            draining: false,
        }
    }

    /// Usable capacity at a time, in cores.
    #[must_use]
    pub fn capacity(&self, at: Micros) -> f64 {
        self.spec.cores * self.warm_up_fraction(at)
    }

    fn warm_up_fraction(&self, at: Micros) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age = at.saturating_sub(started_at) as f64 / self.spec.warm_up_duration.max(1) as f64;
        self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * age.min(1.0)
    }

    /// Speed at which each running request progresses: work done per unit of time.
    fn speed(&self) -> f64 {
        if self.paused || self.jobs.is_empty() {
            return 0.0;
        }
        (self.capacity(self.now) / self.jobs.len() as f64).min(1.0) * self.spec.speed / self.slowdown
    }

    /// Admits or rejects a request that takes `work` microseconds on a core of speed 1. The model must have
    /// been advanced to `now`.
    pub fn arrive(&mut self, now: Micros, id: u64, work: Micros) -> Admission {
        debug_assert!(now >= self.now, "advance must be called first");
        if self.draining || self.jobs.len() + self.swallowed_requests >= self.spec.capacity {
            return Admission::Rejected;
        }
        if self.hanging {
            self.swallowed_requests += 1;
            return Admission::Swallowed;
        }
        self.jobs.push(Job { id, remaining: work as f64 });
        Admission::Accepted
    }

    /// Advances the model to `now`, and returns the ids of the requests that have finished, in the order in
    /// which they did.
    pub fn advance(&mut self, now: Micros) -> Vec<u64> {
        let mut finished = Vec::new();
        while self.now < now {
            let next = self.next().unwrap_or(now).min(now).max(self.now + 1);
            let work_done = self.speed() * (next - self.now) as f64;
            self.now = next;
            // A job that is due has up to half a microsecond of work left, due to rounding.
            self.jobs.iter_mut().for_each(|job| job.remaining -= work_done);
            finished.extend(self.jobs.extract_if(.., |job| job.remaining < 0.5).map(|job| job.id));
        }
        finished
    }

    /// When [`BackendModel::advance`] has to be called next, microseconds; `None` where no request
    /// progresses.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        let shortest_remaining = self.jobs.iter().map(|job| job.remaining).min_by(f64::total_cmp)?;
        let speed = self.speed();
        if speed == 0.0 {
            return None;
        }
        let finished_at = self.now + (shortest_remaining / speed).ceil().max(1.0) as Micros;
        let warming =
            self.started_at.is_some_and(|started_at| self.now < started_at + self.spec.warm_up_duration);
        Some(if warming { finished_at.min(self.now + WARM_UP_STEP) } else { finished_at })
    }

    /// Number of accepted requests without a response.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.jobs.len() + self.swallowed_requests
    }

    /// Sets the factor by which requests take longer; at least 1.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(1.0);
    }

    /// Sets whether requests are accepted but never finish. Those accepted meanwhile are dropped when this
    /// ends.
    pub fn set_hanging(&mut self, hanging: bool) {
        self.hanging = hanging;
        if !hanging {
            self.swallowed_requests = 0;
        }
    }

    /// Sets whether the process makes no progress.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Sets whether new requests are rejected.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }
}

#[cfg(test)]
mod tests;
