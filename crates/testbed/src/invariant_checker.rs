//! Checks the four rules (see [`CheckReport::violations`]) and computes the goodput from the observations of
//! clients, backends and discovery. Pure: no I/O, no clock, and no input from the proxies' own reports.

mod observation;
mod report;
mod totals;

pub use observation::{Observation, ObservationLog, ResponseKind};
pub use report::{CheckReport, ClassTotals};

use crate::links::{Link, Links};
use crate::script::{ClassSpec, Direction, IdempotencySpec, LinkEndpoints, Script, micros};
use balancer::api::Micros;
use report::Rule;
use rustc_hash::{FxHashMap, FxHashSet};

/// How long after the notification a proxy may still send to a draining or removed backend, microseconds.
pub const DRAIN_GRACE: Micros = 1_000_000;
/// A warming backend is overloaded where it receives more than this multiple of the work that it can do
/// within [`OVERLOAD_WINDOW`].
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Length of the sliding window over which the work of a warming backend is summed, microseconds.
pub const OVERLOAD_WINDOW: Micros = 2_000_000;
/// Requests beyond the slow-start limit that are tolerated: a few may arrive together by chance.
const OVERLOAD_SLACK_REQUESTS: f64 = 2.0;

/// Checks a scenario. `slack` is the scheduling delay, in microseconds, that the machine may add to each time
/// bound; it is 0 in virtual time.
#[must_use]
pub fn check(script: &Script, log: &ObservationLog, slack: Micros) -> CheckReport {
    check_ordered(script, &log.in_order(), slack)
}

/// As [`check`], for observations that are already in the order of time.
#[must_use]
pub fn check_ordered(script: &Script, observations: &[(Micros, Observation)], slack: Micros) -> CheckReport {
    let mut checker = Checker::new(script, slack);
    for &(at, observation) in observations {
        checker.observe(at, observation);
    }
    checker.finish()
}

/// A request that a backend started to process.
struct Attempt {
    at: Micros,
    backend: usize,
}

struct RequestRecord {
    class: usize,
    sent_at: Micros,
    deadline: Micros,
    proxy: usize,
    response: Option<ResponseKind>,
    responded_at: Micros,
    /// The proxy's process was killed before it responded, or had already ended when the request was written.
    proxy_killed: bool,
    /// Whether a proxy may have read it.
    accepted: bool,
    attempts: Vec<Attempt>,
}

/// Work that a backend received at one time, microseconds on one core.
struct ReceivedWork {
    at: Micros,
    work: Micros,
}

/// A backend since its last observed start, for the slow-start rule.
#[derive(Default)]
struct WarmUp {
    started_at: Option<Micros>,
    recent: Vec<ReceivedWork>,
}

/// An interval in which a proxy's process was stopped.
#[derive(Clone, Copy)]
struct Stall {
    from: Micros,
    until: Micros,
}

struct Checker<'a> {
    script: &'a Script,
    slack: Micros,
    requests: FxHashMap<u64, RequestRecord>,
    /// When a proxy was notified that a backend accepts no more requests; the key is (proxy, backend).
    not_ready_since: FxHashMap<(usize, usize), Micros>,
    /// Link faults of the script; delays on a link do not count against a proxy.
    links: Links,
    scenario_started_at: Option<Micros>,
    stalls: FxHashMap<usize, Vec<Stall>>,
    /// Proxies whose process was killed and not restarted since.
    killed_proxies: FxHashSet<usize>,
    backends: Vec<WarmUp>,
    report: CheckReport,
}

impl<'a> Checker<'a> {
    fn new(script: &'a Script, slack: Micros) -> Self {
        let mut backends = Vec::new();
        backends.resize_with(script.fleet.backends, WarmUp::default);
        let classes = vec![ClassTotals::default(); script.classes.len()];
        Self {
            script,
            slack,
            requests: FxHashMap::default(),
            not_ready_since: FxHashMap::default(),
            links: Links::new(script),
            scenario_started_at: None,
            stalls: FxHashMap::default(),
            killed_proxies: FxHashSet::default(),
            backends,
            report: CheckReport { classes, ..CheckReport::default() },
        }
    }

    /// The longest delay that link faults add to messages sent between these times, summed over `directions`.
    fn max_link_delay(&self, link: Link, directions: &[Direction], from: Micros, to: Micros) -> Micros {
        let has_faults = self.script.has_links(link.between);
        let Some(started_at) = self.scenario_started_at.filter(|_| has_faults) else { return 0 };
        let from = from.saturating_sub(started_at);
        let to = to.saturating_sub(started_at);
        directions.iter().map(|&direction| self.links.max_delay(link, direction, from, to)).sum()
    }

    /// The last stall of a proxy's process that overlaps these times.
    fn last_stall(&self, proxy: usize, from: Micros, to: Micros) -> Option<Stall> {
        let stalls = self.stalls.get(&proxy)?.iter().copied();
        stalls.filter(|stall| stall.from <= to && from <= stall.until).max_by_key(|stall| stall.until)
    }

    /// The latest time at which the client may receive the response. Stalls do not count: a request that was
    /// read before a stall is due when the process continues, and one that arrived during a stall has its
    /// full timeout from then on, because the process does not know how long the request was queued in the
    /// socket.
    fn latest_response_time(&self, proxy: usize, sent_at: Micros, deadline: Micros) -> Micros {
        let due = match self.last_stall(proxy, sent_at, deadline) {
            Some(stall) if sent_at >= stall.from => deadline + stall.until - sent_at,
            Some(stall) => deadline.max(stall.until),
            None => deadline,
        };
        let link = Link { between: LinkEndpoints::Clients, proxy, peer: 0 };
        due + self.max_link_delay(link, &[Direction::Out, Direction::Back], sent_at, due)
    }

    fn observe(&mut self, at: Micros, observation: Observation) {
        match observation {
            Observation::ScenarioStarted => self.scenario_started_at = Some(at),
            Observation::RequestSent { id, class, deadline: end, proxy } => {
                self.request_sent(at, id, class, end, proxy);
            }
            Observation::RequestNotAccepted { id } => self.request_not_accepted(at, id),
            Observation::ResponseReceived { id, kind } => self.response_received(at, id, kind),
            Observation::AttemptStarted { id, backend, work } => {
                self.attempt_arrived(at, id, backend);
                self.attempt_started(at, id, backend);
                self.check_slow_start(at, backend, work);
            }
            Observation::AttemptRejected { id, backend } => self.attempt_arrived(at, id, backend),
            Observation::BackendNotified { proxy, backend, ready: true } => {
                self.not_ready_since.remove(&(proxy, backend));
            }
            Observation::BackendNotified { proxy, backend, ready: false } => {
                self.not_ready_since.entry((proxy, backend)).or_insert(at);
            }
            Observation::RequestUndelivered { class } => {
                self.report.classes[class].undelivered += 1;
                self.report.classes[class].total_weight += self.script.classes[class].priority_weight;
            }
            Observation::ProxyKilled { proxy } => self.proxy_killed(proxy),
            Observation::ProxyRestarted { proxy } => {
                self.killed_proxies.remove(&proxy);
                self.not_ready_since.retain(|&(notified, _), _| notified != proxy);
            }
            Observation::ProxyStalled { proxy, until } => {
                self.stalls.entry(proxy).or_default().push(Stall { from: at, until });
            }
            Observation::BackendStarted { backend } => {
                self.backends[backend] = WarmUp { started_at: Some(at), recent: Vec::new() };
            }
            Observation::BackendConnected { .. }
            | Observation::DiscoveryCalled { .. }
            | Observation::ProxyReady { .. } => {}
        }
    }

    fn proxy_killed(&mut self, proxy: usize) {
        self.killed_proxies.insert(proxy);
        let without_response =
            self.requests.values_mut().filter(|request| request.proxy == proxy && request.response.is_none());
        without_response.for_each(|request| request.proxy_killed = true);
    }

    fn request_not_accepted(&mut self, at: Micros, id: u64) {
        let no_attempt = self.requests.get_mut(&id).is_some_and(|request| {
            request.accepted = false;
            request.attempts.is_empty()
        });
        if !no_attempt {
            let description =
                format!("request {id} reached a backend, yet its connection closed before the proxy read it");
            self.report.add_violation(Rule::FinalResponse, at, &description);
        }
    }

    fn request_sent(&mut self, at: Micros, id: u64, class: usize, deadline: Micros, proxy: usize) {
        let previous = self.requests.get(&id);
        let duplicate = previous.is_some_and(|request| request.accepted);
        // The timeout of the client began when it sent the request on its first connection.
        let sent_at = previous.map_or(at, |request| request.sent_at);
        let request = RequestRecord {
            class,
            sent_at,
            deadline,
            proxy,
            response: None,
            responded_at: 0,
            proxy_killed: self.killed_proxies.contains(&proxy),
            accepted: true,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        if duplicate {
            self.report.add_violation(Rule::FinalResponse, at, &format!("request {id} was sent twice"));
        }
    }

    fn response_received(&mut self, at: Micros, id: u64, kind: ResponseKind) {
        let Some(request) = self.requests.get_mut(&id) else {
            let description = format!("response to request {id}, which no client sent");
            return self.report.add_violation(Rule::FinalResponse, at, &description);
        };
        let (class, proxy) = (request.class, request.proxy);
        let (sent_at, deadline) = (request.sent_at, request.deadline);
        let attempted = !request.attempts.is_empty();
        request.responded_at = at;
        if request.response.replace(kind).is_some() {
            self.report.add_violation(
                Rule::FinalResponse,
                at,
                &format!("request {id} received two responses"),
            );
        }
        let latest = self.latest_response_time(proxy, sent_at, deadline);
        if at > latest + self.slack {
            let sent_s = sent_at as f64 / 1e6;
            let late = at - latest;
            let description = format!(
                "request {id}, sent to proxy {proxy} at {sent_s:.3} s, received its response {late} us late"
            );
            self.report.add_violation(Rule::FinalResponse, at, &description);
        }
        if kind == ResponseKind::Forged || (kind == ResponseKind::Served && !attempted) {
            let description = format!("request {id} received a response that no backend produced");
            self.report.add_violation(Rule::FinalResponse, at, &description);
        }
        let safe = self.script.classes[class].idempotency == IdempotencySpec::Idempotent;
        if kind == ResponseKind::Rejected && attempted && !safe {
            let description = format!("request {id} was rejected after a backend had started it");
            self.report.add_violation(Rule::SingleEffect, at, &description);
        }
    }

    fn attempt_arrived(&mut self, at: Micros, id: u64, backend: usize) {
        let Some(request) = self.requests.get(&id) else {
            let description = format!("backend {backend} received request {id}, which no client sent");
            return self.report.add_violation(Rule::SingleEffect, at, &description);
        };
        let proxy = request.proxy;
        self.report.classes[request.class].attempts += 1;
        self.check_drain_grace(at, proxy, backend);
    }

    /// Checks rule 3. The grace period begins when a running process could have received the notification.
    fn check_drain_grace(&mut self, at: Micros, proxy: usize, backend: usize) {
        let Some(&notified_at) = self.not_ready_since.get(&(proxy, backend)) else { return };
        let stall = self.last_stall(proxy, notified_at, notified_at + DRAIN_GRACE);
        let running_at = stall.map_or(notified_at, |stall| notified_at.max(stall.until));
        let discovery = Link { between: LinkEndpoints::Discovery, proxy, peer: 0 };
        let received_at =
            running_at + self.max_link_delay(discovery, &[Direction::Back], running_at, running_at);
        let to_backend = Link { between: LinkEndpoints::Backends, proxy, peer: backend };
        let in_transit = self.max_link_delay(to_backend, &[Direction::Out], received_at, at);
        if at > received_at + DRAIN_GRACE + self.slack + in_transit {
            let late = (at - received_at) as f64 / 1e6;
            let description = format!(
                "proxy {proxy} sent to backend {backend} {late:.2} s after the notification that it is not ready"
            );
            self.report.add_violation(Rule::DrainGrace, at, &description);
        }
    }

    /// Whether an attempt at `backend` has the effect of the request's first attempt a second time.
    fn duplicates_effect(&self, class: &ClassSpec, first: &Attempt, at: Micros, backend: usize) -> bool {
        let same_group = match class.idempotency {
            IdempotencySpec::Idempotent => return false,
            IdempotencySpec::NonIdempotent => return true,
            IdempotencySpec::KeyedZone => self.script.zone(first.backend) == self.script.zone(backend),
            IdempotencySpec::KeyedCell => self.script.cell(first.backend) == self.script.cell(backend),
        };
        !same_group || at > first.at + micros(class.dedup_s) + self.slack
    }

    fn attempt_started(&mut self, at: Micros, id: u64, backend: usize) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.script.classes[request.class];
        let duplicated =
            request.attempts.first().is_some_and(|first| self.duplicates_effect(class, first, at, backend));
        let rejected = request.response == Some(ResponseKind::Rejected)
            && class.idempotency != IdempotencySpec::Idempotent;
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(Attempt { at, backend });
        }
        if duplicated || rejected {
            let problem = if duplicated { "had its effect twice" } else { "started after it was rejected" };
            let description = format!("request {id} {problem}, at backend {backend}");
            self.report.add_violation(Rule::SingleEffect, at, &description);
        }
    }

    /// Checks rule 4: the work received within any [`OVERLOAD_WINDOW`] stays below [`OVERLOAD_MULTIPLE`]
    /// times the work that the backend can do in it with the capacity that it had at the start of the window.
    fn check_slow_start(&mut self, at: Micros, backend: usize, work: Micros) {
        let fleet = &self.script.fleet;
        let warm_up = &mut self.backends[backend];
        let Some(started_at) = warm_up.started_at else { return };
        if at > started_at + micros(fleet.warm_up_s) + OVERLOAD_WINDOW {
            return;
        }
        warm_up.recent.push(ReceivedWork { at, work });
        let from = at.saturating_sub(OVERLOAD_WINDOW).max(started_at);
        warm_up.recent.retain(|received| received.at >= from);
        let received: f64 = warm_up.recent.iter().map(|received| received.work as f64).sum();
        let progress = (from - started_at) as f64 / micros(fleet.warm_up_s).max(1) as f64;
        // A backend that is faster than the settings assume counts with a speed of 1: the bound follows the
        // settings.
        let speed = self.script.speed(backend).min(1.0);
        let capacity = fleet.cores
            * speed
            * (fleet.initial_capacity + (1.0 - fleet.initial_capacity) * progress.min(1.0));
        let limit =
            OVERLOAD_MULTIPLE * capacity * OVERLOAD_WINDOW as f64 + OVERLOAD_SLACK_REQUESTS * work as f64;
        if received > limit {
            let multiple = received / (capacity * OVERLOAD_WINDOW as f64);
            let description =
                format!("warming backend {backend} received {multiple:.1} times the work that it can do");
            self.report.add_violation(Rule::SlowStart, at, &description);
        }
    }
}

#[cfg(test)]
mod tests;
