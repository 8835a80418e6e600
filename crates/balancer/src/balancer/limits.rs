//! Limits: AIMD on windows of latencies, of each server and of each kind of machine.

use super::selection::SAMPLE_ABOVE;
use super::{Balancer, SECOND};
use crate::api::{Micros, Settings};
use crate::state::{Latency, Server, Window};

/// The shortest window: limits follow a load that changes within seconds.
pub(super) const WINDOW: Micros = SECOND / 4;
/// Samples that a window needs; fewer say too little where work varies as much as its mean.
const MIN_REQUESTS: u32 = 6;
/// A window this many times its length without enough samples starts anew.
const WINDOW_AGE_CAP: Micros = 40;
/// The factor on a limit whose window was too slow (0.5 to under 1).
const BACKOFF_RATIO: f64 = 0.7;
/// Departure: the least step up, as a part of the limit; on a large server 1 would be lost beside a back-off.
const LARGE_STEP: f64 = 0.15;
/// A server without a slot and without a judged window for this long takes its kind's limit.
const UNSAMPLED_DELAY: Micros = 2 * SECOND;
/// Lmax as a multiple of a class's uncrowded latency. Departure: the first while requests are refused for
/// want of room (queues stand), the second where none is (they drain); between, by the part refused.
const LMAX_OVER_BASE: (f64, f64) = (1.8, 6.0);
/// The part of the requests refused at which queues stand, and the weight of one more request in that part.
pub(super) const STANDING: f64 = 0.1;
pub(super) const REFUSED_WEIGHT: f64 = 1.0 / 64.0;
/// Lmax as a part of the class's aim, at least: a shorter wait costs nothing, and limits that fall for it
/// refuse more, which keeps them low. At most: limits have to fall before aims are missed.
const LMAX_OVER_AIM: (f64, f64) = (0.05, 0.3);
/// Limits of all proxies together for one server: the first one, the bounds. The start must not starve large
/// servers; the floor keeps samples coming.
pub(super) const INITIAL_LIMIT: f64 = 1.5;
const MIN_LIMIT: f64 = 0.8;
const MAX_LIMIT: f64 = 64.0;
pub(super) const SAMPLE_CAP: f64 = 3.0;
/// The least and the most of its kind's limit that a report gives a server.
const MIN_PART: f64 = 0.1;
const MAX_PART: f64 = 1.5;
/// How long a report's part holds.
const PART_HOLDS: Micros = 5 * SECOND;
/// Weight of one more latency in the averages of a class.
pub(super) const LATENCY_WEIGHT: f64 = 1.0 / 16.0;

/// This proxy's part of a server: the inverse of how many proxies use it. Departure: bounds and steps of a
/// limit are the server's, not the proxy's, so that the admitted sum does not grow with the bank.
pub(super) fn share(settings: &Settings, server: &Server) -> f64 {
    let balancers = f64::from(settings.instance_count);
    let local = (balancers / f64::from(settings.zone_count)).max(1.0);
    1.0 / if server.zone == settings.zone { local } else { balancers }
}

impl Balancer {
    /// A class's mean latency over the kinds of machines.
    pub(super) fn mean(&self, class: usize) -> f64 {
        let kinds = self.kinds.len();
        self.latencies[class * kinds..(class + 1) * kinds].iter().map(|l| l.mean).sum::<f64>() / kinds as f64
    }

    /// The mean latency of the requests as they come, over all classes and kinds of machines; of what is not
    /// known yet, the first guess counts as one sample.
    pub(super) fn mean_of_all(&self) -> f64 {
        let weight = |latency: &Latency| f64::from(latency.count) + 1.0;
        let sum = self.latencies.iter().map(|latency| weight(latency) * latency.mean).sum::<f64>();
        sum / self.latencies.iter().map(weight).sum::<f64>()
    }

    /// Departure: a proxy with few slots meets a server once in many seconds, too seldom for windows. Where
    /// answers tell the server's service time of late, the limit is at once the kind's, scaled by how the
    /// server compares with its kind: servers that are slower, for whatever cause, get less from all proxies
    /// alike. The mark fades when the server has given no answer for a while.
    pub(super) fn follow_report(&mut self, now: Micros, index: usize, report: &[f32]) {
        let told =
            self.settings.load_report.mean_service_ms.and_then(|i| report.get(i)).map(|&ms| f64::from(ms));
        let Some(told) = told.filter(|ms| ms.is_finite() && *ms > 0.0) else { return };
        let share = share(&self.settings, &self.servers[index]);
        let server = &mut self.servers[index];
        let common = &mut self.kinds[usize::from(server.kind)];
        let usual = if common.service > 0.0 { common.service } else { told };
        common.service = usual + (told.min(usual * SAMPLE_CAP) - usual) * LATENCY_WEIGHT;
        server.part = ((usual / told).clamp(MIN_PART, MAX_PART), now);
        if server.probing && common.limit * share < 1.0 {
            server.limit = common.limit * share * server.part.0;
        }
    }

    /// Departure: a limit is also kept for each kind of machine, by the same AIMD on the samples of all its
    /// servers, and doubling until its first back-off. Servers that gave no sample for a while have this
    /// limit: each of many proxies holds a slot on few servers, and the limits of the others would freeze.
    pub(super) fn judge_kind(&mut self, now: Micros, kind: usize, sample: f64) {
        let common = &mut self.kinds[kind];
        let before = common.limit;
        common.window.add(sample);
        let age = now - common.window.since;
        if common.window.count < MIN_REQUESTS || (!common.growing && age < WINDOW) {
            return;
        }
        if common.window.mean() > 1.0 {
            common.growing = false;
            common.limit *= BACKOFF_RATIO;
        } else if common.window.filled {
            common.limit *= if common.growing { 2.0 } else { 1.0 + LARGE_STEP };
        }
        common.limit = common.limit.clamp(MIN_LIMIT, MAX_LIMIT);
        let limit = common.limit;
        common.window = Window { since: now, ..Window::default() };
        if limit == before && self.servers.len() > SAMPLE_ABOVE {
            return;
        }
        for (_, server) in self.servers.iter_mut() {
            let share = share(&self.settings, server);
            let unsampled = server.probing
                || (server.slots(self.pool.spread) == 0 && now > server.window.since + UNSAMPLED_DELAY);
            if unsampled && usize::from(server.kind) == kind {
                let (part, told_at) = server.part;
                let told = limit * share < 1.0 && now < told_at + PART_HOLDS;
                server.limit = limit * share * if told { part } else { 1.0 };
                server.probing = true;
            }
        }
    }

    /// The AIMD step. Departure: a window stays open until it has enough samples, up to an age cap.
    pub(super) fn judge_window(&mut self, now: Micros, index: usize, sample: f64) {
        let share = share(&self.settings, &self.servers[index]);
        let server = &mut self.servers[index];
        let window = &mut server.window;
        window.add(sample);
        let age = now - window.since;
        if age < WINDOW || (window.count < MIN_REQUESTS && age < WINDOW * WINDOW_AGE_CAP) {
            return;
        }
        let enough = window.count >= MIN_REQUESTS;
        if enough && window.mean() > 1.0 {
            server.limit *= BACKOFF_RATIO;
            server.probing = false;
        } else if enough && window.filled && !server.probing {
            server.limit += share.max(server.limit * LARGE_STEP);
        }
        server.limit = server.limit.clamp(MIN_LIMIT * share, MAX_LIMIT * share);
        server.window = Window { since: now, ..Window::default() };
    }
}

impl Window {
    pub(super) fn add(&mut self, sample: f64) {
        self.count += 1;
        self.sum += sample;
    }

    pub(super) fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}

impl Latency {
    /// Takes one more latency; the base grows by the part `growth` a second.
    pub(super) fn add(&mut self, elapsed: f64, now: Micros, weight: f64, growth: f64) {
        self.count += 1;
        self.mean += (elapsed - self.mean) * weight.max(1.0 / f64::from(self.count));
        let drift = 1.0 + growth * (now - self.base_at) as f64 / 1e6;
        self.base_at = now;
        if f64::from(self.count) * weight >= 1.0 {
            self.base = (self.base * drift).min(self.mean);
        }
    }

    /// The latency above which a limit backs off, where this part of the requests is refused.
    pub(super) fn lmax(&self, aim: f64, refused: f64) -> f64 {
        let (standing, draining) = LMAX_OVER_BASE;
        let over_base = draining + (standing - draining) * (refused / STANDING).min(1.0);
        (self.base * over_base).clamp(aim * LMAX_OVER_AIM.0, aim * LMAX_OVER_AIM.1)
    }
}
