//! A box as a model: cores that its requests share, a bound on what it holds, a cold start, and what can be wrong with
//! it. No I/O and no clock; both modes of the rig use it.

use balancer::api::Micros;

/// While a box warms up, its speed is looked at this often.
const WARM_STEP: Micros = 50_000;

/// What a box is.
#[derive(Clone, Copy, Debug)]
pub struct BackendSpec {
    /// Work that runs at full speed at a time.
    pub cores: f64,
    /// Speed of a core beside the usual one.
    pub speed: f64,
    /// Requests that it holds at the most.
    pub capacity: usize,
    /// Part of its capacity with which it starts.
    pub initial_capacity: f64,
    /// After how long it is warm.
    pub warm_up_duration: Micros,
}

/// What became of a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs and will be answered.
    Accepted,
    /// It was taken and will never be answered.
    Swallowed,
    /// Turned away unseen.
    Rejected,
}

struct Job {
    id: u64,
    left: f64,
}

/// A box's process.
pub struct BackendModel {
    spec: BackendSpec,
    now: Micros,
    /// `None`: long ago.
    started: Option<Micros>,
    jobs: Vec<Job>,
    swallowed: usize,
    slow: f64,
    hangs: bool,
    stands: bool,
    drains: bool,
}

impl BackendModel {
    /// A process that began to run at `started`; `None`: long ago.
    #[must_use]
    pub fn new(spec: BackendSpec, now: Micros, started: Option<Micros>) -> Self {
        let (jobs, swallowed, slow) = (Vec::new(), 0, 1.0);
        Self { spec, now, started, jobs, swallowed, slow, hangs: false, stands: false, drains: false }
    }

    /// Its capacity at a time, in cores.
    #[must_use]
    pub fn capacity(&self, at: Micros) -> f64 {
        self.spec.cores * self.warmth(at)
    }

    fn warmth(&self, at: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = at.saturating_sub(started) as f64 / self.spec.warm_up_duration.max(1) as f64;
        self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * age.min(1.0)
    }

    /// The speed of each request now, in work a second of time.
    fn speed(&self) -> f64 {
        if self.stands || self.jobs.is_empty() {
            return 0.0;
        }
        (self.capacity(self.now) / self.jobs.len() as f64).min(1.0) * self.spec.speed / self.slow
    }

    /// A request with so much work (microseconds on a core) arrives.
    pub fn arrive(&mut self, now: Micros, id: u64, work: Micros) -> Admission {
        debug_assert!(now >= self.now, "advance comes first");
        if self.drains || self.jobs.len() + self.swallowed >= self.spec.capacity {
            return Admission::Rejected;
        }
        if self.hangs {
            self.swallowed += 1;
            return Admission::Swallowed;
        }
        self.jobs.push(Job { id, left: work as f64 });
        Admission::Accepted
    }

    /// Lets time pass; gives the requests that are done, in the order in which they ended.
    pub fn advance(&mut self, now: Micros) -> Vec<u64> {
        let mut done = Vec::new();
        while self.now < now {
            let next = self.next().unwrap_or(now).min(now).max(self.now + 1);
            let worked = self.speed() * (next - self.now) as f64;
            self.now = next;
            // Half a microsecond's work is what rounding leaves.
            self.jobs.iter_mut().for_each(|job| job.left -= worked);
            done.extend(self.jobs.extract_if(.., |job| job.left < 0.5).map(|job| job.id));
        }
        done
    }

    /// When to look again.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        let least = self.jobs.iter().map(|job| job.left).min_by(f64::total_cmp)?;
        let speed = self.speed();
        if speed == 0.0 {
            return None;
        }
        let done = self.now + (least / speed).ceil().max(1.0) as Micros;
        let warming = self.started.is_some_and(|s| self.now < s + self.spec.warm_up_duration);
        Some(if warming { done.min(self.now + WARM_STEP) } else { done })
    }

    /// Requests that it holds.
    #[must_use]
    pub fn held(&self) -> usize {
        self.jobs.len() + self.swallowed
    }

    /// Everything takes this many times as long.
    pub fn set_slow(&mut self, factor: f64) {
        self.slow = factor.max(1.0);
    }

    /// Whether it takes requests and answers none. What it has swallowed is let go when that ends.
    pub fn set_hangs(&mut self, hangs: bool) {
        self.hangs = hangs;
        if !hangs {
            self.swallowed = 0;
        }
    }

    /// Whether it stands still.
    pub fn set_stands(&mut self, stands: bool) {
        self.stands = stands;
    }

    /// Whether it wants nothing new.
    pub fn set_drains(&mut self, drains: bool) {
        self.drains = drains;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPEC: BackendSpec = BackendSpec {
        cores: 2.0,
        speed: 1.0,
        capacity: 4,
        initial_capacity: 0.5,
        warm_up_duration: 1_000_000,
    };

    #[test]
    fn requests_share_the_cores() {
        let mut model = BackendModel::new(SPEC, 0, None);
        for id in 0..4 {
            assert_eq!(model.arrive(0, id, 10_000), Admission::Accepted);
        }
        assert_eq!(model.arrive(0, 4, 10_000), Admission::Rejected);
        assert!(model.advance(19_999).is_empty());
        assert_eq!(model.advance(20_001), [0, 1, 2, 3]);
        assert_eq!(model.arrive(20_001, 5, 10_000), Admission::Accepted);
        assert_eq!(model.next(), Some(30_001), "alone it has a core to itself");
    }

    #[test]
    fn a_cold_box_is_slower_and_warms_up() {
        let mut model = BackendModel::new(SPEC, 0, Some(0));
        assert_eq!((model.capacity(0), model.capacity(500_000), model.capacity(9_000_000)), (1.0, 1.5, 2.0));
        model.arrive(0, 1, 100_000);
        model.arrive(0, 2, 100_000);
        let end = (100_000..400_000).step_by(1_000).find(|&t| !model.advance(t).is_empty());
        assert!(end.is_some_and(|t| (150_000..200_000).contains(&t)), "{end:?}");
    }

    #[test]
    fn a_hung_box_swallows_a_standing_one_goes_on_later() {
        let mut model = BackendModel::new(SPEC, 0, None);
        model.set_hangs(true);
        assert_eq!(model.arrive(0, 1, 10), Admission::Swallowed);
        assert!(model.advance(1_000_000).is_empty());
        model.set_hangs(false);
        model.arrive(1_000_000, 2, 10_000);
        model.set_stands(true);
        assert_eq!((model.next(), model.advance(2_000_000)), (None, Vec::new()));
        model.set_stands(false);
        assert_eq!(model.advance(2_010_001), [2]);
    }
}
