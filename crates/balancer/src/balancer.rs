//! Every decision of the load balancer; each kind has a file under `balancer/`. The ordinary path: a proxy
//! keeps for every ready server its requests in flight (IFR) and an AIMD limit; a request goes where room
//! (limit - IFR) is greatest; without room it is held for a tenth of its time left, then refused. Departures
//! are marked (`docs/design.md`). Rules: `scope`, `may_refuse`, `answer`, `send`, `ready`, `ColdBudget`.

mod health;
mod learned_state;
mod limits;
mod membership;
mod selection;
mod slow_start;

mod retries;

use crate::api::{Action, AttemptResult, Event, Micros, Request, RequestId, Settings, SettingsError};
use crate::state::{
    Attempt, AttemptState, Bucket, ColdBudget, CommonLimit, Latency, Open, PeakRate, Pool, Requests, Scope,
    Servers, Window,
};
use limits::{INITIAL_LIMIT, REFUSED_WEIGHT, STANDING, WINDOW};
use retries::{RETRY_BURST, RETRY_SHARE};
use smallvec::SmallVec;
use std::ops::Range;

const SECOND: Micros = 1_000_000;
/// A request without room waits this part of its time left.
const HOLD_PART: Micros = 10;
/// A refused client waits for its aim where a proxy has this many slots, for less where it has fewer, and for
/// this part of the aim at the least.
const CHANCE_SLOTS: f64 = 16.0;
const CHANCE_WAIT: f64 = 0.125;
/// A crossing of zones that costs less than this part of a request's worth counts as free.
const FREE_CROSSING: f64 = 0.01;
/// The golden ratio's fraction spreads the proxies' dithers evenly over 0..1, whatever their number.
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// What a timer is for; the rest of its token is the request's place.
const TIMER_HOLD: u32 = 0;
const TIMER_SUBSCRIBE: u32 = 1;

/// The decisions of one proxy.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    servers: Servers,
    /// The servers that may be sent to. Rule 3: a draining or gone server is not in here.
    ready: Vec<usize>,
    /// Those in `ready` that are near; all where none is.
    own: Range<usize>,
    open: Requests,
    held: Vec<usize>,
    in_flight: u32,
    sessions: u32,
    latencies: Vec<Latency>,
    /// What the servers of each kind of machine take.
    kinds: Vec<CommonLimit>,
    tenants: Vec<Bucket>,
    retry_tokens: f64,
    /// How long a connection may have rested and is still used, as of a point in time.
    rest: (f64, Micros),
    pool: Pool,
    /// Requests served a second.
    served: PeakRate,
    subscribe_failures: u32,
    /// The part of the requests that fails at servers that serve.
    usual_failures: f64,
    /// The part of the requests that is refused for want of room.
    refused: f64,
    /// Servers ejected so far.
    ejections: u64,
}
impl Balancer {
    /// A balancer that knows no backends yet, or the first of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.validate()?;
        let kinds = usize::from(settings.machine_kind_count).max(1);
        let latencies = settings
            .classes
            .iter()
            .flat_map(|c| vec![Latency::new(c.latency_objective, now); kinds])
            .collect();
        let window = Window { since: now, ..Window::default() };
        let common = CommonLimit { limit: INITIAL_LIMIT, growing: true, window, service: 0.0 };
        let tokens = |t: &crate::api::Tenant| t.quota_per_s / f64::from(settings.instance_count);
        let bucket = |t| Bucket { tokens: tokens(t), at: now, asked: 0.0 };
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            servers: Servers::default(),
            ready: Vec::new(),
            own: 0..0,
            open: Requests::default(),
            held: Vec::new(),
            in_flight: 0,
            sessions: 0,
            latencies,
            kinds: vec![common; kinds],
            tenants: settings.tenants.iter().map(bucket).collect(),
            retry_tokens: RETRY_BURST,
            rest: (settings.permissions.idle_connection_timeout as f64, now),
            pool: Pool { slots: 0.0, spread: 1.0, most: u32::MAX, judged_at: None },
            served: PeakRate { count: 0.0, since: now, peak: 0.0 },
            subscribe_failures: 0,
            usual_failures: 0.0,
            refused: 0.0,
            ejections: 0,
            settings,
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Membership(news) => self.on_membership(now, news, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::AttemptFinished(settled) => self.on_settled(now, settled, out),
            Event::SessionEstablished { request, attempt } => self.on_occupied(now, request, attempt, out),
            Event::ResponseStarted { request, .. } => {
                self.open.find(request).into_iter().for_each(|slot| self.open[slot].streaming = true);
            }
            Event::ClientDisconnected(request) => {
                self.open.find(request).into_iter().for_each(|slot| self.close(slot));
            }
            Event::HealthCheckFinished { .. } => {}
            Event::SettingsChanged(settings) => self.on_retune(now, settings),
            Event::TimerExpired(token) => self.on_timer(now, token, out),
        }
    }

    /// Other settings hold for what comes from now on. New classes stand behind those that were there.
    fn on_retune(&mut self, now: Micros, settings: &Settings) {
        let (kinds, new) = (self.kinds.len(), settings.classes.iter().skip(self.settings.classes.len()));
        self.latencies.extend(new.flat_map(|c| vec![Latency::new(c.latency_objective, now); kinds]));
        self.settings.clone_from(settings);
    }

    /// How often a server was ejected.
    #[must_use]
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// The limit and the requests in flight of each ready server, for operators.
    pub fn limits(&self) -> impl Iterator<Item = (f64, u32)> {
        self.ready.iter().map(|&s| (self.servers[s].limit, self.servers[s].in_flight))
    }

    fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        if self.open.find(request.id).is_some() {
            return;
        }
        let class = usize::from(request.class).min(self.settings.classes.len() - 1);
        let over_share = self.over_share(now, usize::from(request.tenant));
        let open = Open {
            id: request.id,
            class,
            arrived: now,
            deadline: now + request.timeout,
            max_attempts: usize::from(self.settings.permissions.max_attempts),
            over_share,
            carried: request.is_proxied,
            answered: false,
            streaming: false,
            held_until: None,
            attempts: SmallVec::new(),
        };
        let slot = self.open.add(open.id, open);
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(RETRY_BURST);
        if self.pool.judged_at.is_none_or(|at| now >= at + WINDOW) {
            self.judge_pool(now);
        }
        self.dispatch(now, slot, out);
    }

    /// Whether a tenant is beyond its share; a request within it takes a token. A proxy's own part of the
    /// traffic is more than one in `balancers` where others died: a tenant without a token is over its share
    /// only if it also asks for more of its allowance here than the tenants do on the whole.
    fn over_share(&mut self, now: Micros, tenant: usize) -> bool {
        let allowance = |tenant: usize| self.settings.tenants[tenant].quota_per_s;
        let Some(bucket) = self.tenants.get_mut(tenant) else { return false };
        let rate = allowance(tenant) / f64::from(self.settings.instance_count);
        if bucket.take(now, rate, rate.max(1.0)) {
            return false;
        }
        let own = bucket.recent(now);
        let all = self.tenants.iter().map(|b| b.recent(now)).sum::<f64>();
        own * (0..self.tenants.len()).map(allowance).sum::<f64>() > all * allowance(tenant)
    }

    /// Sends a request where there is room, or holds it, or ends it. Departure: where crossing zones is
    /// priced, other zones are used when the own one has no room.
    fn dispatch(&mut self, now: Micros, slot: usize, out: &mut Vec<Action>) {
        if let Some(server) = self.pick(now, slot) {
            return self.send(now, slot, server, out);
        }
        let open = &self.open[slot];
        let gives_way = open.over_share && self.refused >= STANDING;
        if gives_way || self.scope(now, open) == Scope::Nowhere || self.too_late(now, open) {
            return self.give_up(slot, out);
        }
        self.hold(now, slot, out);
    }

    fn hold(&mut self, now: Micros, slot: usize, out: &mut Vec<Action>) {
        let wait = self.open[slot].deadline.saturating_sub(now) / HOLD_PART;
        self.kinds.iter_mut().for_each(|s| s.window.filled = true);
        self.open[slot].held_until = Some(now + wait);
        self.held.push(slot);
        out.push(Action::SetTimer { delay: wait, token: (slot as u32) << 2 | TIMER_HOLD });
    }

    /// The hold is over, or there was none.
    fn expire(&mut self, now: Micros, slot: usize, out: &mut Vec<Action>) {
        if !self.too_late(now, &self.open[slot])
            && let Some(server) = self.pick(now, slot)
        {
            return self.send(now, slot, server, out);
        }
        self.unhold(slot);
        self.give_up(slot, out);
    }

    fn unhold(&mut self, slot: usize) {
        if self.open[slot].held_until.take().is_some() {
            self.held.retain(|&s| s != slot);
        }
    }

    /// Nothing more can be started for the request: it ends unless an attempt is still out.
    fn give_up(&mut self, slot: usize, out: &mut Vec<Action>) {
        if self.open[slot].out() == 0 {
            self.answer(slot, out);
        }
    }

    /// The only place where a final answer is given (rule 1).
    fn answer(&mut self, slot: usize, out: &mut Vec<Action>) {
        let open = &self.open[slot];
        if open.answered {
            return;
        }
        let request = open.id;
        let crowded = !open.over_share && open.attempts.iter().all(|a| a.state == AttemptState::NeverRan);
        out.push(if self.may_refuse(open) {
            let most = self.settings.permissions.max_retry_after;
            Action::Reject { request, retry_after: most.map_or(0, |m| m.min(self.retry_after(open.class))) }
        } else {
            Action::Fail { request }
        });
        if crowded {
            self.refused += (1.0 - self.refused) * REFUSED_WEIGHT;
        }
        self.close(slot);
    }

    /// How long a refused client should stay away. Departure: a proxy with few slots refuses mostly because
    /// requests came together there, and the client's next try, likely at another proxy, can still meet the
    /// aim. With many slots to a proxy a refusal means that the fleet is full.
    fn retry_after(&self, class: usize) -> Micros {
        let part = (self.pool.slots / CHANCE_SLOTS).clamp(CHANCE_WAIT, 1.0);
        (self.settings.classes[class].latency_objective as f64 * part) as Micros
    }

    /// The request is over for the client; its place stays until its attempts have ended.
    fn close(&mut self, slot: usize) {
        self.unhold(slot);
        self.open[slot].answered = true;
        if self.open[slot].out() == 0 {
            self.open[slot].attempts.iter().for_each(|a| self.servers.let_go(a.server));
            self.open.release(self.open[slot].id);
        }
    }

    /// The only place where an attempt starts. `pick` has made sure that the server may have it.
    fn send(&mut self, now: Micros, slot: usize, index: usize, out: &mut Vec<Action>) {
        self.unhold(slot);
        let rested = if self.open[slot].carried { self.connection(now, index, out) } else { 0 };
        let cold = self.servers[index].cold;
        let tokens = cold.map(|cold| self.cold_tokens(now, &self.servers[index], &cold));
        let server = &mut self.servers[index];
        if let (Some(cold), Some(tokens)) = (server.cold.as_mut(), tokens) {
            *cold = ColdBudget { tokens: tokens - 1.0, filled_at: now, ..*cold };
            if now >= cold.started.saturating_add(self.settings.safety.warm_up_duration) {
                server.cold = None;
            }
        }
        if server.in_flight == 0 {
            server.silent_since = now;
        }
        (server.trial_out, server.unused_since) = (server.ejected_until.is_some(), Micros::MAX);
        server.in_flight += 1;
        self.in_flight += 1;
        server.window.filled |= i64::from(server.in_flight) * 4 >= server.slots(self.pool.spread) * 3;
        let (give_up_at, early) = self.give_up_at(now, &self.open[slot]);
        let begin_by = self.begin_by(&self.open[slot]);
        let open = &mut self.open[slot];
        let state = AttemptState::Out;
        let (zone, cell) = (self.servers[index].zone, self.servers[index].cell);
        open.attempts.push(Attempt { server: index, zone, cell, sent_at: now, rested, early, state });
        self.servers[index].held += 1;
        let (request, backend) = (open.id, self.servers[index].id);
        out.push(Action::Send { request, backend, start_by: begin_by, give_up_at });
    }

    fn on_settled(&mut self, now: Micros, settled: AttemptResult<'_>, out: &mut Vec<Action>) {
        let Some(slot) = self.open.find(settled.request) else { return };
        let open = &mut self.open[slot];
        let Some(attempt) = open.attempts.get_mut(usize::from(settled.attempt)) else { return };
        let was = attempt.state;
        let never_ran = settled.outcome.never_executed() && was == AttemptState::Out;
        if !matches!(was, AttemptState::Out | AttemptState::Session) {
            return;
        }
        attempt.state = if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        let (attempt, class) = (*attempt, open.class);
        if settled.is_answered {
            self.refused -= self.refused * REFUSED_WEIGHT;
        }
        if was == AttemptState::Session {
            self.servers[attempt.server].sessions -= 1;
            self.sessions -= 1;
        } else {
            self.observe(now, class, attempt, &settled, out);
        }
        if settled.is_answered || self.open[slot].answered {
            self.close(slot);
        } else {
            self.again(now, slot, never_ran, out);
        }
        self.serve_held(now, out);
    }

    /// A session holds its slot, but is no request that owes an answer and has no latency.
    fn on_occupied(&mut self, now: Micros, request: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let Some(slot) = self.open.find(request) else { return };
        let attempt = self.open[slot].attempts.get_mut(usize::from(attempt));
        let Some(attempt) = attempt.filter(|a| a.state == AttemptState::Out) else { return };
        attempt.state = AttemptState::Session;
        let index = attempt.server;
        let server = &mut self.servers[index];
        (server.in_flight, server.sessions) = (server.in_flight.saturating_sub(1), server.sessions + 1);
        server.silent_since = now;
        (self.in_flight, self.sessions) = (self.in_flight.saturating_sub(1), self.sessions + 1);
        self.judge_health(now, index, false, out);
        self.close(slot);
        self.serve_held(now, out);
    }

    /// Room may have come free: the held request of the highest worth per work goes first.
    fn serve_held(&mut self, now: Micros, out: &mut Vec<Action>) {
        let better = |this: &Self, a, b| if this.value(b) > this.value(a) { b } else { a };
        while let Some(best) = self.held.iter().copied().reduce(|a, b| better(self, a, b)) {
            let Some(server) = self.pick(now, best) else { return };
            self.send(now, best, server, out);
        }
    }

    fn value(&self, slot: usize) -> f64 {
        let open = &self.open[slot];
        let share = if open.over_share { self.settings.over_quota_weight } else { 1.0 };
        self.settings.classes[open.class].priority_weight * share / self.mean(open.class)
    }

    fn on_timer(&mut self, now: Micros, token: u32, out: &mut Vec<Action>) {
        let slot = (token >> 2) as usize;
        let held = self.open.get(slot).and_then(|o| o.held_until).is_some_and(|until| until <= now);
        match token & 3 {
            TIMER_SUBSCRIBE => out.push(Action::Subscribe),
            TIMER_HOLD if held => self.expire(now, slot, out),
            _ => {}
        }
    }
}

impl Bucket {
    /// What was asked for within the last seconds.
    fn recent(&self, now: Micros) -> f64 {
        self.asked * (1.0 - (now - self.at) as f64 / 4e6).max(0.0)
    }

    /// Takes a token if there is one; `rate` come in a second, up to `most`.
    fn take(&mut self, now: Micros, rate: f64, most: f64) -> bool {
        self.asked = self.recent(now) + 1.0;
        self.tokens = (self.tokens + rate * (now - self.at) as f64 / 1e6).min(most);
        self.at = now;
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(taken));
        taken
    }
}
