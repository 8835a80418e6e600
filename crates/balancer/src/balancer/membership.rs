//! The list of servers: who may be sent to, and what is forgotten of those that restarted or went.

use super::limits::share;
use super::{Balancer, FREE_CROSSING, GOLDEN, SECOND, TIMER_SUBSCRIBE};
use crate::api::{Action, Backend, MembershipUpdate, Micros, Readiness};
use crate::state::{ColdBudget, Server, Window};

impl Balancer {
    pub(super) fn on_membership(&mut self, now: Micros, news: MembershipUpdate<'_>, out: &mut Vec<Action>) {
        let (entries, complete) = match news {
            MembershipUpdate::Delta(entries) => (entries, false),
            MembershipUpdate::Snapshot(entries) => (entries, true),
            MembershipUpdate::CachedSnapshot(entries) => {
                if self.settings.discovery_on_request {
                    out.push(Action::Subscribe);
                }
                (entries, true)
            }
            MembershipUpdate::Failed => return self.resubscribe_later(out),
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
        self.ready.extend(self.servers.iter().filter(|(_, server)| server.ready).map(|(place, _)| place));
        self.place_dithers();
        let (zone, servers) = (self.settings.zone, &self.servers);
        let first = self.ready.partition_point(|&s| servers[s].zone < zone);
        let end = self.ready.partition_point(|&s| servers[s].zone <= zone);
        let free = self.settings.cross_zone_cost <= FREE_CROSSING;
        self.own = if free || first == end { 0..self.ready.len() } else { first..end };
        self.serve_held(now, out);
    }

    /// Spaces a proxy's dithers evenly over the servers of a zone and kind, and the proxies' evenly over each
    /// server. Drawn by chance for each server they left some proxies without a slot for good.
    fn place_dithers(&mut self) {
        let (servers, me) = (&mut self.servers, f64::from(self.settings.instance_index));
        let group = |s: &Server| (s.zone, s.kind);
        self.ready.sort_unstable_by_key(|&s| (group(&servers[s]), servers[s].id));
        let groups: Vec<_> = self.ready.chunk_by(|&a, &b| group(&servers[a]) == group(&servers[b])).collect();
        for alike in groups {
            for (rank, &s) in alike.iter().enumerate() {
                servers[s].dither = (rank as f64 / alike.len() as f64 + me * GOLDEN).fract();
            }
        }
    }

    /// A call failed: ask again, later each time (2 s at most, `proxy::turns`) and not all proxies at once.
    fn resubscribe_later(&mut self, out: &mut Vec<Action>) {
        let wait = (SECOND / 8) << self.subscribe_failures.min(3);
        self.subscribe_failures += 1;
        let after = wait + self.rng.u64(0..=wait);
        out.push(Action::SetTimer { delay: after, token: TIMER_SUBSCRIBE });
    }

    fn update(&mut self, now: Micros, entry: &Backend) {
        let ready = entry.readiness == Readiness::Ready;
        let listed = entry.readiness != Readiness::Removed;
        let index = match self.servers.find(entry.id) {
            Some(index) => index,
            None if !listed => return,
            None => {
                let kind = entry.machine_kind.min(self.settings.machine_kind_count.saturating_sub(1));
                let server = Server {
                    id: entry.id,
                    zone: entry.zone,
                    kind,
                    cell: entry.cell,
                    started: entry.started_at,
                    silent_since: now,
                    part: (1.0, now),
                    ..Server::default()
                };
                let index = self.servers.add(entry.id, server);
                self.restarted(now, index);
                index
            }
        };
        let server = &mut self.servers[index];
        server.unused_since = if server.ready { server.unused_since } else { now };
        (server.listed, server.ready) = (listed, ready);
        (server.zone, server.cell) = (entry.zone, entry.cell);
        if server.started != entry.started_at {
            server.started = entry.started_at;
            self.restarted(now, index);
        }
    }

    /// A server's process is new: what was known of the old one counts no more.
    fn restarted(&mut self, now: Micros, index: usize) {
        let kind = usize::from(self.servers[index].kind);
        let limit = self.kinds[kind].limit * share(&self.settings, &self.servers[index]);
        let tokens = self.rng.f64();
        let server = &mut self.servers[index];
        server.window = Window { since: now, ..Window::default() };
        server.rested.clear();
        (server.evidence, server.unproven, server.in_service) = (0.0, 0, now);
        (server.ejected_until, server.strikes, server.unused_since) = (None, 0, now);
        (server.limit, server.probing) = (limit, true);
        let started =
            server.started.filter(|&t| now < t.saturating_add(self.settings.safety.warm_up_duration));
        server.cold = started.map(|started| ColdBudget { started, tokens, filled_at: now });
    }
}
