//! Every decision of the load balancer. The interface (settings, events, actions) is in `src/api.rs`.
//!
//! The ordinary path: each proxy keeps, for every ready server, its requests in flight (IFR) and an AIMD
//! limit. A request goes where room (limit - IFR) is greatest. When no server has room it is held for a
//! tenth of its time left, then refused. Departures are marked `Departure:` with the condition under which
//! they act; `docs/design.md` lists them. The four rules are kept in `scope` and `may_refuse` (effects),
//! `answer` and `send` (one answer, nothing after it), `ready` (drains) and `ColdBudget` (cold servers).

use crate::api::{
    Action, Backend, DedupGroup, Effect, Event, Membership, Micros, Outcome, Readiness, Request, RequestId,
    Settings, SettingsError, Settled,
};
use crate::state::{
    Attempt, AttemptState, Bucket, ColdBudget, CommonLimit, Latency, Open, PeakRate, Pool, Requests, Scope,
    Server, Servers, Window,
};
use std::ops::Range;

const SECOND: Micros = 1_000_000;
/// The shortest window: limits follow a load that changes within seconds.
const WINDOW: Micros = SECOND / 4;
/// Samples that a window needs; fewer say too little where work varies as much as its mean.
const MIN_REQUESTS: u32 = 6;
/// A window this many times its length without enough samples starts anew.
const WINDOW_AGE_CAP: Micros = 40;
/// The factor on a limit whose window was too slow (0.5 to under 1).
const BACKOFF_RATIO: f64 = 0.7;
/// Departure: the least step up, as a part of the limit; on a large server 1 would be lost beside a back-off.
const LARGE_STEP: f64 = 0.15;
/// A server without a slot and without a judged window for this long takes its kind's limit.
const UNSAMPLED_AFTER: Micros = 2 * SECOND;
/// Lmax as a multiple of the latency that a class shows when servers are not crowded: beyond it they queue.
const LMAX_OVER_BASE: f64 = 1.8;
/// Lmax as a part of the class's aim, at most: limits have to fall before aims are missed.
const LMAX_OVER_AIM: f64 = 0.4;
/// Growth of the uncrowded latency's estimate a second, so that it follows a fleet that got slower.
const BASE_DRIFT: f64 = 0.01;
/// Limits of all proxies together for one server: the first one, the bounds. The start must not starve large
/// servers; the floor keeps samples coming.
const INITIAL_LIMIT: f64 = 1.5;
const MIN_LIMIT: f64 = 0.8;
const MAX_LIMIT: f64 = 64.0;
/// A bad sample (an error, say), and the most that any sample counts, as multiples of Lmax.
const BAD_SAMPLE: f64 = 2.0;
const SAMPLE_CAP: f64 = 3.0;
/// The least and the most of its kind's limit that a report gives a server.
const LEAST_PART: f64 = 0.1;
const MOST_PART: f64 = 1.5;
/// How long a report's part holds.
const PART_HOLDS: Micros = 5 * SECOND;
/// A request without room waits this part of its time left.
const HOLD_PART: Micros = 10;
/// Weight of one more failure in a server's failure share, and the share at which it is ejected.
const FAILURE_WEIGHT: f64 = 0.25;
const EJECT_AT: f64 = 0.5;
/// First ejection; each further one lasts twice as long, up to 2^4 times.
const EJECTION: Micros = SECOND;
const MAX_STRIKES: u32 = 4;
/// Part of the servers that may be ejected at once.
const MAX_EJECTED: f64 = 0.6;
/// An attempt is overdue at this multiple of its class's mean latency, between these parts of its aim.
const OVERDUE_OVER_MEAN: f64 = 4.0;
const OVERDUE_OVER_AIM: (f64, f64) = (0.25, 0.8);
/// An attempt that may be repeated is given up at this part of its aim where that is at least `LOST_LEAST`
/// times its class's mean latency; elsewhere at `LOST_OVER_MEAN` times the mean.
const LOST_OVER_AIM: f64 = 0.25;
const LOST_LEAST: f64 = 5.0;
const LOST_OVER_MEAN: f64 = 24.0;
/// Part of the requests that may get a further attempt after one that may have run, and the burst.
const RETRY_SHARE: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
/// No shorter rest is to blame for a lost request: heavy work times out, and nothing drops idle ones so soon.
const MIN_REST: Micros = SECOND / 2;
/// The trusted rest after one that lost a request, as a part of it; it doubles again within a minute.
const REST_BACKOFF: f64 = 0.5;
const REST_DOUBLES: Micros = 60 * SECOND;
/// A refused client waits for its aim where a proxy has this many slots, for less where it has fewer, and for
/// this part of the aim at the least.
const CHANCE_SLOTS: f64 = 16.0;
const CHANCE_WAIT: f64 = 0.125;
/// Servers that a proxy spreads its requests over, at the least, where its limits add up to fewer slots.
const MIN_SPREAD: f64 = 3.0;
/// Part of a server's limit that requests beyond their tenant's share may fill.
const OVER_SHARE_LIMIT: f64 = 0.6;
/// Part of what tips a cold server over that all proxies together may send it.
const COLD_MARGIN: f64 = 0.3;
/// Ready servers above which a request looks at a sample of them, and how many it draws.
const SAMPLE_ABOVE: usize = 256;
const SAMPLE: usize = 64;
/// A crossing of zones that costs less than this part of a request's worth counts as free.
const FREE_CROSSING: f64 = 0.01;
/// Weight of one more latency in the averages of a class.
const LATENCY_WEIGHT: f64 = 1.0 / 16.0;
/// The golden ratio's fraction spreads the proxies' dithers evenly over 0..1, whatever their number.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// What a timer is for; the rest of its token is the request's place.
const TIMER_HOLD: u32 = 0;
const TIMER_SUBSCRIBE: u32 = 1;

impl Server {
    /// The whole-number limit. Departure: below 1 (many proxies, small servers) the dither decides which
    /// proxies hold a slot, so that the admitted sum does not grow with their number.
    fn slots(&self, part: f64) -> i64 {
        // Cut off, which is rounded down: neither is below 0, and a call of `floor` for each server costs.
        (self.limit * part + self.dither) as i64
    }
}

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
}

impl Balancer {
    /// A balancer that knows no backends yet.
    ///
    /// # Errors
    /// The first of the settings that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.validate()?;
        let latency =
            |aim: Micros| Latency { count: 0, mean: aim as f64 / 4.0, base: f64::MAX, base_at: now };
        let kinds = usize::from(settings.kinds).max(1);
        let latencies = settings.classes.iter().flat_map(|c| vec![latency(c.aim); kinds]).collect();
        let window = Window { since: now, ..Window::default() };
        let common = CommonLimit { limit: INITIAL_LIMIT, growing: true, window, service: 0.0 };
        let share = f64::from(settings.balancers);
        let bucket =
            |t: &crate::api::Tenant| Bucket { tokens: t.allowance_per_s / share, at: now, asked: 0.0 };
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
            rest: (settings.permissions.conn_idle as f64, now),
            pool: Pool { slots: 0.0, spread: 1.0, most: u32::MAX, judged_at: None },
            served: PeakRate { count: 0.0, since: now, peak: 0.0 },
            subscribe_failures: 0,
            settings,
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Membership(news) => self.on_membership(now, news, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::Settled(settled) => self.on_settled(now, settled, out),
            Event::Occupied { request, attempt } => self.on_occupied(now, request, attempt, out),
            Event::FirstByte { request, .. } => {
                if let Some(slot) = self.open.find(request) {
                    self.open[slot].streaming = true;
                }
            }
            Event::ClientGone(request) => {
                if let Some(slot) = self.open.find(request) {
                    self.close(slot);
                }
            }
            Event::Probed { .. } => {}
            Event::Timer(token) => self.on_timer(now, token, out),
        }
    }

    /// The limit and the requests in flight of each ready server, for operators.
    pub fn limits(&self) -> impl Iterator<Item = (f64, u32)> {
        self.ready.iter().map(|&s| (self.servers[s].limit, self.servers[s].in_flight))
    }

    // ---- Discovery ----

    fn on_membership(&mut self, now: Micros, news: Membership<'_>, out: &mut Vec<Action>) {
        let (entries, complete) = match news {
            Membership::Delta(entries) => (entries, false),
            Membership::Full(entries) => (entries, true),
            Membership::Cached(entries) => {
                if self.settings.discovery_on_request {
                    out.push(Action::Subscribe);
                }
                (entries, true)
            }
            Membership::Failed => return self.resubscribe_later(out),
        };
        self.subscribe_failures = 0;
        if complete {
            self.servers.unlist_all();
        }
        for entry in entries {
            self.update(now, entry);
        }
        self.servers.forget_gone();
        self.ready.clear();
        self.ready.extend((0..self.servers.len()).filter(|&s| self.servers[s].ready));
        self.place_dithers();
        let (zone, servers) = (self.settings.zone, &self.servers);
        let first = self.ready.partition_point(|&s| servers[s].zone < zone);
        let end = self.ready.partition_point(|&s| servers[s].zone <= zone);
        let free = self.settings.cross_zone_price <= FREE_CROSSING;
        self.own = if free || first == end { 0..self.ready.len() } else { first..end };
        self.serve_held(now, out);
    }

    /// Spaces a proxy's dithers evenly over the servers of a zone and kind, and the proxies' evenly over each
    /// server. Drawn by chance for each server they left some proxies without a slot for good.
    fn place_dithers(&mut self) {
        let (servers, me) = (&mut self.servers, f64::from(self.settings.me));
        let group = |s: &Server| (s.zone, s.kind);
        self.ready.sort_unstable_by_key(|&s| (group(&servers[s]), servers[s].id));
        let groups: Vec<_> = self.ready.chunk_by(|&a, &b| group(&servers[a]) == group(&servers[b])).collect();
        for alike in groups {
            for (rank, &s) in alike.iter().enumerate() {
                servers[s].dither = (rank as f64 / alike.len() as f64 + me * GOLDEN).fract();
            }
        }
    }

    /// A call failed or the subscription broke: ask again, later each time and not all proxies at once.
    fn resubscribe_later(&mut self, out: &mut Vec<Action>) {
        let wait = (SECOND / 8) << self.subscribe_failures.min(4);
        self.subscribe_failures += 1;
        let after = wait + self.rng.u64(0..=wait);
        out.push(Action::SetTimer { after, token: TIMER_SUBSCRIBE });
    }

    fn update(&mut self, now: Micros, entry: &Backend) {
        let ready = entry.readiness == Readiness::Ready;
        let listed = entry.readiness != Readiness::Gone;
        let index = match self.servers.find(entry.id) {
            Some(index) => index,
            None if !listed => return,
            None => {
                let kind = entry.kind.min(self.settings.kinds.saturating_sub(1));
                let index = self.servers.insert(Server {
                    id: entry.id,
                    zone: entry.zone,
                    kind,
                    cell: entry.cell,
                    started: entry.started,
                    silent_since: now,
                    part: (1.0, now),
                    ..Server::default()
                });
                self.restarted(now, index);
                index
            }
        };
        let server = &mut self.servers[index];
        (server.listed, server.ready) = (listed, ready);
        if server.started != entry.started {
            server.started = entry.started;
            self.restarted(now, index);
        }
    }

    /// A server's process is new: what was known of the old one counts no more.
    fn restarted(&mut self, now: Micros, index: usize) {
        let kind = usize::from(self.servers[index].kind);
        let limit = self.kinds[kind].limit * self.share(&self.servers[index]);
        let tokens = self.rng.f64();
        let server = &mut self.servers[index];
        server.limit = limit;
        server.window = Window { since: now, ..Window::default() };
        server.rested.clear();
        server.failures = 0.0;
        server.ejected_until = None;
        server.strikes = 0;
        server.probing = true;
        let started = server.started.filter(|&t| now < t.saturating_add(self.settings.safety.cold_time));
        server.cold = started.map(|started| ColdBudget { started, tokens, filled_at: now });
    }

    /// This proxy's part of a server: the inverse of how many proxies use it. Departure: bounds and steps
    /// of a limit are the server's, not the proxy's, so that the admitted sum does not grow with the bank.
    fn share(&self, server: &Server) -> f64 {
        let balancers = f64::from(self.settings.balancers);
        let local = (balancers / f64::from(self.settings.zones)).max(1.0);
        1.0 / if server.zone == self.settings.zone { local } else { balancers }
    }

    // ---- Requests ----

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
            deadline: now + request.patience,
            over_share,
            carried: request.carried,
            answered: false,
            streaming: false,
            held_until: None,
            attempts: Vec::new(),
        };
        let slot = self.open.insert(open);
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(RETRY_BURST);
        if self.pool.judged_at.is_none_or(|at| now >= at + WINDOW) {
            self.judge_pool(now);
        }
        self.dispatch(now, slot, out);
    }

    /// Whether a tenant is beyond its share; a request within it takes a token. A proxy knows only its own
    /// part of the traffic, and that is more than one in `balancers` where others died: a tenant without a
    /// token is over its share only if it also asks for more of its allowance here than the tenants do on
    /// the whole.
    fn over_share(&mut self, now: Micros, tenant: usize) -> bool {
        let allowance = |tenant: usize| self.settings.tenants[tenant].allowance_per_s;
        let Some(bucket) = self.tenants.get_mut(tenant) else { return false };
        let rate = allowance(tenant) / f64::from(self.settings.balancers);
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
        if open.over_share || self.scope(now, open) == Scope::Nowhere || self.too_late(now, open) {
            return self.expire(now, slot, out);
        }
        self.hold(now, slot, out);
    }

    fn hold(&mut self, now: Micros, slot: usize, out: &mut Vec<Action>) {
        let wait = self.open[slot].deadline.saturating_sub(now) / HOLD_PART;
        self.kinds.iter_mut().for_each(|s| s.window.filled = true);
        self.open[slot].held_until = Some(now + wait);
        self.held.push(slot);
        out.push(Action::SetTimer { after: wait, token: (slot as u32) << 2 | TIMER_HOLD });
    }

    /// The hold is over, or there was none.
    fn expire(&mut self, now: Micros, slot: usize, out: &mut Vec<Action>) {
        let open = &self.open[slot];
        if !self.too_late(now, open)
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
        out.push(if self.may_refuse(open) {
            let wait = self.retry_after(open.class);
            Action::Refuse {
                request,
                retry_after: self.settings.permissions.retry_after.map_or(0, |m| m.min(wait)),
            }
        } else {
            Action::Fail { request }
        });
        self.close(slot);
    }

    /// How long a refused client should stay away. Departure: a proxy with few slots refuses mostly because
    /// requests came together there, and the client's next try, likely at another proxy, can still meet the
    /// aim. With many slots to a proxy a refusal means that the fleet is full.
    fn retry_after(&self, class: usize) -> Micros {
        let part = (self.pool.slots / CHANCE_SLOTS).clamp(CHANCE_WAIT, 1.0);
        (self.settings.classes[class].aim as f64 * part) as Micros
    }

    /// The request is over for the client; its place stays until its attempts have ended.
    fn close(&mut self, slot: usize) {
        self.unhold(slot);
        self.open[slot].answered = true;
        if self.open[slot].out() == 0 {
            self.open[slot].attempts.iter().for_each(|a| self.servers.let_go(a.server));
            self.open.release(slot);
        }
    }

    /// Rule 2: where a further attempt may go. Attempts that are out count as such that may have run.
    fn scope(&self, now: Micros, open: &Open) -> Scope {
        let permissions = &self.settings.permissions;
        let out = open.out();
        if open.answered || open.streaming || open.attempts.len() >= usize::from(permissions.max_attempts) {
            return Scope::Nowhere;
        }
        if out > 0 && !permissions.second_copies {
            return Scope::Nowhere;
        }
        let Some(first) = open.attempts.iter().find(|a| a.state != AttemptState::NeverRan) else {
            return Scope::Anywhere;
        };
        match self.settings.classes[open.class].effect {
            Effect::Safe => Scope::Anywhere,
            Effect::Unsafe => Scope::Nowhere,
            Effect::Keyed { ttl, .. } if now >= first.sent_at.saturating_add(ttl) => Scope::Nowhere,
            Effect::Keyed { group: DedupGroup::All, .. } => Scope::Anywhere,
            Effect::Keyed { group: DedupGroup::Zone, .. } => Scope::Zone(self.servers[first.server].zone),
            Effect::Keyed { group: DedupGroup::Cell, .. } => Scope::Cell(self.servers[first.server].cell),
        }
    }

    /// Rule 2: whether the client may be told that trying again is harmless.
    fn may_refuse(&self, open: &Open) -> bool {
        let may_have_run = open.attempts.iter().any(|a| a.state != AttemptState::NeverRan);
        match self.settings.classes[open.class].effect {
            Effect::Safe | Effect::Keyed { group: DedupGroup::All, .. } => true,
            Effect::Keyed { .. } | Effect::Unsafe => !may_have_run,
        }
    }

    /// Whether an attempt started now would come too late to be worth anything.
    fn too_late(&self, now: Micros, open: &Open) -> bool {
        let class = &self.settings.classes[open.class];
        let last =
            if class.late_worth > 0.0 { open.deadline } else { open.deadline.min(open.arrived + class.aim) };
        now + (self.mean(open.class) / 2.0) as Micros >= last
    }

    // ---- Choice of a server ----

    /// Departure: where a proxy's limits add up to few slots (many proxies with little traffic each), the one
    /// or two servers on which it holds a whole slot get all it has, and a second request at the same time
    /// finds no room although the fleet has plenty. Its slots then spread over more servers, while the sum of
    /// its limits, with the square root of it for the chance that requests come together, bounds what it has
    /// out in all. The dithers keep the proxies that hold a slot on a server equally many.
    fn judge_pool(&mut self, now: Micros) {
        let own = self.ready.iter().map(|&s| &self.servers[s]).filter(|s| self.near(s));
        let slots = own.map(|s| s.limit).sum::<f64>();
        let turn = (f64::from(self.settings.me) * GOLDEN).fract();
        self.pool.judged_at = Some(now);
        self.pool.slots = slots;
        self.pool.spread = if slots > 0.0 { (MIN_SPREAD / slots).max(1.0) } else { 1.0 };
        let most = if self.pool.spread > 1.0 { (slots + slots.sqrt() + turn) as u32 } else { u32::MAX };
        self.pool.most = most.max(1);
    }

    /// Whether a server can be sent to without a price for the way.
    fn near(&self, server: &Server) -> bool {
        server.zone == self.settings.zone || self.settings.cross_zone_price <= FREE_CROSSING
    }

    /// A class's mean latency over the kinds of machines.
    fn mean(&self, class: usize) -> f64 {
        let kinds = self.kinds.len();
        self.latencies[class * kinds..(class + 1) * kinds].iter().map(|l| l.mean).sum::<f64>() / kinds as f64
    }

    fn overdue(&self, class: usize) -> Micros {
        let aim = self.settings.classes[class].aim as f64;
        (self.mean(class) * OVERDUE_OVER_MEAN).clamp(aim * OVERDUE_OVER_AIM.0, aim * OVERDUE_OVER_AIM.1)
            as Micros
    }

    /// The server with the greatest room, in the own zone first. Departure: on a large fleet a request looks
    /// at a sample, of the near servers and then, where none of those has room, of all. A fleet with room on
    /// one server in ten is missed once in 800 times; the request is then held, and looks again.
    fn pick(&mut self, now: Micros, slot: usize) -> Option<usize> {
        let open = &self.open[slot];
        let scope = self.scope(now, open);
        // Sessions count, but must not keep every other request out.
        let full = self.in_flight > 0 && self.in_flight + self.sessions >= self.pool.most;
        if scope == Scope::Nowhere || full {
            return None;
        }
        // The server with most of its limit left although no whole slot, for a proxy that has nothing out.
        let mut spare: Option<(f64, usize)> = None;
        let part = self.pool.spread * if open.over_share { OVER_SHARE_LIMIT } else { 1.0 };
        let overdue = self.overdue(open.class);
        let repeatable = self.settings.classes[open.class].effect != Effect::Unsafe;
        let mut best: [Option<(i64, usize)>; 2] = [None, None];
        let mut ties = [0_u32; 2];
        let sampled = scope == Scope::Anywhere && self.ready.len() > SAMPLE_ABOVE;
        for look in 0..if sampled { 2 * SAMPLE } else { self.ready.len() } {
            let index = match sampled {
                false => self.ready[look],
                true if look < SAMPLE => self.ready[self.rng.usize(self.own.clone())],
                true if best[0].is_some() => break,
                true => self.ready[self.rng.usize(0..self.ready.len())],
            };
            let server = &self.servers[index];
            let in_scope = match scope {
                Scope::Zone(zone) => server.zone == zone,
                Scope::Cell(cell) => server.cell == cell,
                Scope::Anywhere | Scope::Nowhere => true,
            };
            if !in_scope
                || self.open[slot].attempts.iter().any(|a| a.server == index)
                || !self.available(now, server, repeatable, overdue)
            {
                continue;
            }
            let room = server.slots(part) - i64::from(server.in_flight + server.sessions);
            let left = server.limit * part + server.dither;
            if self.in_flight == 0 && left > spare.map_or(0.0, |(most, _)| most) {
                spare = Some((left, index));
            }
            let far = usize::from(!self.near(server));
            if room <= 0 || best[far].is_some_and(|(most, _)| room < most) {
                continue;
            }
            ties[far] = if best[far].is_some_and(|(most, _)| room == most) { ties[far] + 1 } else { 1 };
            if ties[far] == 1 || self.rng.u32(0..ties[far]) == 0 {
                best[far] = Some((room, index));
            }
        }
        // Departure: a proxy that holds no slot on any server would serve nobody. It may have one request
        // out.
        best[0].or(best[1]).map(|(_, server)| server).or(spare.map(|(_, server)| server))
    }

    /// Whether a server may be chosen at all, apart from its room.
    fn available(&self, now: Micros, server: &Server, repeatable: bool, overdue: Micros) -> bool {
        if let Some(until) = server.ejected_until {
            // Departure: an ejected server gets one trial, of a request that can be repeated.
            return now >= until && !server.trial_out && repeatable;
        }
        // Departure: a server that owes answers and has been silent for long may hang: nothing more goes
        // there.
        if server.in_flight > 0 && now > server.silent_since + overdue {
            return false;
        }
        // Departure: a server that turns requests away answers at once and so looks the emptiest of all. It
        // is left alone for about the time in which one of its requests ends.
        if now < server.full_until {
            return false;
        }
        server.cold.as_ref().is_none_or(|cold| self.cold_tokens(now, server, cold) >= 1.0)
    }

    /// The tokens that a cold server's budget holds now. Its capacity is judged from what a warm server of
    /// its size takes: the best seconds of this proxy, for all proxies, over all servers.
    fn cold_tokens(&self, now: Micros, server: &Server, cold: &ColdBudget) -> f64 {
        let safety = &self.settings.safety;
        let age = now.saturating_sub(cold.started) as f64 / safety.cold_time.max(1) as f64;
        let part = safety.cold_from + (1.0 - safety.cold_from) * age.min(1.0);
        let bank = self.served.peak * f64::from(self.settings.balancers) / self.ready.len().max(1) as f64;
        let single = SECOND as f64 / self.mean(0);
        let rate =
            (safety.fall_multiple * COLD_MARGIN).min(1.0) * part * bank.max(single) * self.share(server);
        (cold.tokens + rate * (now - cold.filled_at) as f64 / SECOND as f64).min(1.0_f64.max(rate / 4.0))
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
            if now >= cold.started.saturating_add(self.settings.safety.cold_time) {
                server.cold = None;
            }
        }
        if server.in_flight == 0 {
            server.silent_since = now;
        }
        server.trial_out = server.ejected_until.is_some();
        server.in_flight += 1;
        self.in_flight += 1;
        server.window.filled |= i64::from(server.in_flight) * 4 >= server.slots(self.pool.spread) * 3;
        let (give_up_at, early) = self.give_up_at(now, &self.open[slot]);
        let open = &mut self.open[slot];
        let state = AttemptState::Out;
        open.attempts.push(Attempt { server: index, sent_at: now, rested, early, state });
        self.servers[index].held += 1;
        let backend = self.servers[index].id;
        out.push(Action::Send { request: open.id, backend, give_up_at });
    }

    /// When an attempt that starts now is given up, and whether that tells that it was lost. Departure:
    /// where work takes a small part of the time that clients wait, an attempt without an answer long after
    /// its time is lost (its connection fell silent, say). Waited for to the deadline it would leave no time
    /// for another one, hold its slot, and make a server that answers all else look silent.
    fn give_up_at(&self, now: Micros, open: &Open) -> (Micros, bool) {
        let class = &self.settings.classes[open.class];
        let last = open.attempts.len() + 1 >= usize::from(self.settings.permissions.max_attempts);
        if last || class.effect == Effect::Unsafe || self.retry_tokens < 1.0 {
            return (open.deadline, false);
        }
        let (mean, soon) = (self.mean(open.class), class.aim as f64 * LOST_OVER_AIM);
        let early = mean * LOST_LEAST <= soon;
        let lost = if early { soon } else { mean * LOST_OVER_MEAN };
        (open.deadline.min(now.saturating_add(lost as Micros)), early)
    }

    /// How long the connection that the next attempt on a server takes has rested; 0 for a new one. The
    /// attempts of a server take its connections from the first on, so the last ones rest longest.
    ///
    /// Departure: something between here and a server (a firewall, a balancer's own limit) may drop a resting
    /// connection unseen, and what is sent on it gets no answer. A connection that rested for longer than is
    /// trusted is closed before the send. The trust starts at the time after which idle connections close by
    /// themselves and backs off at each request that got no answer on a rested one. It can cost handshakes
    /// where servers hang or restart.
    fn connection(&mut self, now: Micros, index: usize, out: &mut Vec<Action>) -> Micros {
        let multiplex = self.settings.permissions.multiplex.max(1);
        let trusted = self.trusted_rest(now);
        let server = &mut self.servers[index];
        let number = (server.in_flight / multiplex) as usize;
        let used_at = server.rested.get(number).copied().unwrap_or(now);
        if number >= server.rested.len() {
            server.rested.push(now);
        }
        let rested = if server.in_flight.is_multiple_of(multiplex) { now - used_at } else { 0 };
        if rested > MIN_REST && rested as f64 > trusted {
            server.rested.truncate(number + 1);
            out.push(Action::CloseIdle(server.id));
            return 0;
        }
        rested
    }

    fn trusted_rest(&self, now: Micros) -> f64 {
        self.rest.0 * ((now - self.rest.1) as f64 / REST_DOUBLES as f64).exp2()
    }

    /// A request got no answer. Where its connection had rested, that is what failed, not the server: true.
    fn blame_rest(&mut self, now: Micros, rested: Micros) -> bool {
        if rested <= MIN_REST {
            return false;
        }
        let safe = (rested as f64 * REST_BACKOFF).max(MIN_REST as f64);
        self.rest = (self.trusted_rest(now).min(safe), now);
        true
    }

    // ---- Outcomes ----

    fn on_settled(&mut self, now: Micros, settled: Settled<'_>, out: &mut Vec<Action>) {
        let Some(slot) = self.open.find(settled.request) else { return };
        let open = &mut self.open[slot];
        let Some(attempt) = open.attempts.get_mut(usize::from(settled.attempt)) else { return };
        let was = attempt.state;
        let never_ran = settled.outcome.never_ran() && was == AttemptState::Out;
        match was {
            AttemptState::Out | AttemptState::Session if never_ran => attempt.state = AttemptState::NeverRan,
            AttemptState::Out | AttemptState::Session => attempt.state = AttemptState::MayHaveRun,
            AttemptState::NeverRan | AttemptState::MayHaveRun => return,
        }
        let (attempt, class) = (*attempt, open.class);
        if was == AttemptState::Session {
            self.servers[attempt.server].sessions -= 1;
            self.sessions -= 1;
        } else {
            self.observe(now, class, attempt, &settled, out);
        }
        if settled.closed || self.open[slot].answered {
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

    /// An attempt failed and the client waits: another one, if the rules and the budget allow it.
    fn again(&mut self, now: Micros, slot: usize, never_ran: bool, out: &mut Vec<Action>) {
        if self.open[slot].out() > 0 || self.open[slot].held_until.is_some() {
            return;
        }
        let open = &self.open[slot];
        let hopeless = self.scope(now, open) == Scope::Nowhere || self.too_late(now, open);
        if hopeless || (!never_ran && self.retry_tokens < 1.0) {
            return self.give_up(slot, out);
        }
        self.retry_tokens -= f64::from(u8::from(!never_ran));
        self.dispatch(now, slot, out);
    }

    /// What an outcome tells of its server.
    fn observe(&mut self, now: Micros, class: usize, to: Attempt, end: &Settled<'_>, out: &mut Vec<Action>) {
        let index = to.server;
        let kinds = self.kinds.len();
        let server = &mut self.servers[index];
        let kind = usize::from(server.kind);
        let latency = &mut self.latencies[class * kinds + kind];
        let known = latency.base < f64::MAX || self.pool.spread > 1.0;
        let elapsed = end.elapsed as f64;
        server.in_flight = server.in_flight.saturating_sub(1);
        self.in_flight = self.in_flight.saturating_sub(1);
        let silent = server.silent_since <= to.sent_at;
        if end.outcome == Outcome::Moot {
            // It was never sent: another request may be the trial of an ejected server.
            server.trial_out = false;
            return;
        }
        let aim = self.settings.classes[class].aim as f64;
        let lmax = latency.lmax(aim);
        let multiplex = self.settings.permissions.multiplex.max(1);
        if let Some(at) = server.rested.get_mut((server.in_flight / multiplex) as usize) {
            *at = now;
        }
        // Departure: a failure is a bad sample however quick it was, so that quick errors can't raise a
        // limit.
        let sample = match end.outcome {
            Outcome::Ok => elapsed / lmax,
            _ => (elapsed / lmax).max(BAD_SAMPLE),
        };
        let failed = match end.outcome {
            Outcome::Ok => {
                latency.add(elapsed, now, LATENCY_WEIGHT, BASE_DRIFT);
                self.served.add(now);
                server.silent_since = now;
                false
            }
            // A server that answered others meanwhile is not hung; the request was heavy.
            Outcome::Timeout | Outcome::Cancelled => silent,
            Outcome::Error | Outcome::Spoilt | Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Full => {
                server.full_until = now + latency.mean as Micros;
                false
            }
            Outcome::Moot => false,
        };
        let lost = matches!(end.outcome, Outcome::Timeout | Outcome::Reset) && failed;
        if lost && self.blame_rest(now, to.rested) {
            return;
        }
        let server = &mut self.servers[index];
        let weight = if matches!(end.outcome, Outcome::ConnectFailed | Outcome::Reset) { 2.0 } else { 1.0 };
        let target = f64::from(u8::from(failed));
        server.failures += (target - server.failures) * FAILURE_WEIGHT * weight;
        self.judge_health(now, index, failed, out);
        // A spoilt answer, or one that was lost on the way, says nothing of how crowded its server is: a few
        // must not shrink the limits of all.
        if end.outcome == Outcome::Spoilt || (end.outcome == Outcome::Timeout && to.early) {
            return;
        }
        // Errors and lost connections say nothing of how crowded the servers of a kind are.
        let broken = matches!(end.outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        if known && !broken {
            self.judge_kind(now, kind, sample.min(SAMPLE_CAP));
        }
        self.judge_window(now, index, sample.min(SAMPLE_CAP));
        self.follow_report(now, index, end.report);
    }

    /// Departure: a server whose requests fail is ejected, and readmitted when a single trial succeeds.
    fn judge_health(&mut self, now: Micros, index: usize, failed: bool, out: &mut Vec<Action>) {
        let ejected = || self.ready.iter().filter(|&&s| self.servers[s].ejected_until.is_some()).count();
        let may_eject = failed && ejected() < (self.ready.len() as f64 * MAX_EJECTED) as usize;
        let jitter = 0.75 + self.rng.f64() / 2.0;
        let server = &mut self.servers[index];
        let was_ejected = server.ejected_until.is_some();
        let trial_failed = was_ejected && failed && server.trial_out;
        if !failed && was_ejected {
            (server.ejected_until, server.trial_out) = (None, false);
            server.failures = server.failures.min(EJECT_AT * 0.6);
            out.push(Action::Log(format!("readmitted server {} after a trial", server.id)));
        } else if trial_failed || (!was_ejected && server.failures >= EJECT_AT && may_eject) {
            let time = (EJECTION << server.strikes.min(MAX_STRIKES)) as f64 * jitter;
            server.ejected_until = Some(now + time as Micros);
            server.trial_out = false;
            server.strikes += 1;
            if !was_ejected {
                out.push(Action::Log(format!("ejected server {}: its requests fail", server.id)));
            }
        }
    }

    /// Departure: a proxy with few slots meets a server once in many seconds, too seldom for windows. Where
    /// answers tell the server's service time of late, the limit is at once the kind's, scaled by how the
    /// server compares with its kind: servers that are slower, for whatever cause, get less from all proxies
    /// alike. The mark fades when the server has given no answer for a while.
    fn follow_report(&mut self, now: Micros, index: usize, report: &[f32]) {
        let told = self.settings.report.avg_ms.and_then(|i| report.get(i)).map(|&ms| f64::from(ms));
        let Some(told) = told.filter(|ms| ms.is_finite() && *ms > 0.0) else { return };
        let share = self.share(&self.servers[index]);
        let server = &mut self.servers[index];
        let common = &mut self.kinds[usize::from(server.kind)];
        let usual = if common.service > 0.0 { common.service } else { told };
        common.service = usual + (told.min(usual * SAMPLE_CAP) - usual) * LATENCY_WEIGHT;
        server.part = ((usual / told).clamp(LEAST_PART, MOST_PART), now);
        if server.probing && common.limit * share < 1.0 {
            server.limit = common.limit * share * server.part.0;
        }
    }

    /// Departure: a limit is also kept for each kind of machine, by the same AIMD on the samples of all its
    /// servers, and doubling until its first back-off. Servers that gave no sample for a while have this
    /// limit: each of many proxies holds a slot on few servers, and the limits of the others would freeze.
    fn judge_kind(&mut self, now: Micros, kind: usize, sample: f64) {
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
        for i in 0..self.servers.len() {
            let share = self.share(&self.servers[i]);
            let server = &mut self.servers[i];
            let unsampled = server.probing
                || (server.slots(self.pool.spread) == 0 && now > server.window.since + UNSAMPLED_AFTER);
            if unsampled && usize::from(server.kind) == kind {
                let (part, told_at) = server.part;
                let told = limit * share < 1.0 && now < told_at + PART_HOLDS;
                server.limit = limit * share * if told { part } else { 1.0 };
                server.probing = true;
            }
        }
    }

    /// The AIMD step. Departure: a window stays open until it has enough samples, up to an age cap.
    fn judge_window(&mut self, now: Micros, index: usize, sample: f64) {
        let share = self.share(&self.servers[index]);
        let server = &mut self.servers[index];
        let window = &mut server.window;
        window.add(sample);
        let age = now - window.since;
        if age < WINDOW || (window.count < MIN_REQUESTS && age < WINDOW * WINDOW_AGE_CAP) {
            return;
        }
        if window.count >= MIN_REQUESTS {
            if window.mean() > 1.0 {
                server.limit *= BACKOFF_RATIO;
                server.probing = false;
            } else if window.filled && !server.probing {
                server.limit += share.max(server.limit * LARGE_STEP);
            }
        }
        server.limit = server.limit.clamp(MIN_LIMIT * share, MAX_LIMIT * share);
        server.window = Window { since: now, ..Window::default() };
    }

    /// Room may have come free: the held request of the highest worth per work goes first.
    fn serve_held(&mut self, now: Micros, out: &mut Vec<Action>) {
        while !self.held.is_empty() {
            let value = |slot: usize| self.value(&self.open[slot]);
            let Some(best) = self.held.iter().copied().reduce(|a, b| if value(b) > value(a) { b } else { a })
            else {
                return;
            };
            let Some(server) = self.pick(now, best) else { return };
            self.send(now, best, server, out);
        }
    }

    fn value(&self, open: &Open) -> f64 {
        let share = if open.over_share { self.settings.over_share_worth } else { 1.0 };
        self.settings.classes[open.class].worth * share / self.mean(open.class)
    }

    // ---- Timers ----

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

impl Window {
    fn add(&mut self, sample: f64) {
        self.count += 1;
        self.sum += sample;
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}

impl Latency {
    /// Takes one more latency; the base grows by the part `growth` a second.
    fn add(&mut self, elapsed: f64, now: Micros, weight: f64, growth: f64) {
        self.count += 1;
        self.mean += (elapsed - self.mean) * weight.max(1.0 / f64::from(self.count));
        let drift = 1.0 + growth * (now - self.base_at) as f64 / 1e6;
        self.base_at = now;
        if f64::from(self.count) * weight >= 1.0 {
            self.base = (self.base * drift).min(self.mean);
        }
    }

    /// The latency above which a limit backs off.
    fn lmax(&self, aim: f64) -> f64 {
        (self.base * LMAX_OVER_BASE).min(aim * LMAX_OVER_AIM)
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

impl PeakRate {
    fn add(&mut self, now: Micros) {
        self.count += 1.0;
        let span = (now - self.since) as f64 / 1e6;
        if span >= 4.0 {
            self.peak = (self.count / span).max(self.peak * 0.95);
            (self.count, self.since) = (0.0, now);
        }
    }
}
