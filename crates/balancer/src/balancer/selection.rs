//! The choice of a server: most room wins, near ones first.

use super::{Balancer, FREE_CROSSING, GOLDEN, limits::STANDING};
use crate::api::{Idempotency, Micros};
use crate::state::{Scope, Server};

/// Servers that a proxy spreads its requests over, at the least, where its limits add up to fewer slots, and
/// what one of several may have out beyond its limits; both only as far as hardly any request is refused.
const MIN_SPREAD: f64 = 3.0;
const CALM_MORE: f64 = 2.0;
/// Microseconds in which all proxies have their turns to use a server first that came back.
const FIRST_TIMEOUT: f64 = 4e6;
/// Ready servers above which a request looks at a sample of them, and how many it draws.
pub(super) const SAMPLE_ABOVE: usize = 256;
const SAMPLE: usize = 64;
/// Part of a server's limit that requests beyond their tenant's share may fill.
const OVER_SHARE_LIMIT: f64 = 0.6;
/// An attempt is overdue at this multiple of its class's mean latency, between these parts of its aim.
const OVERDUE_OVER_MEAN: f64 = 4.0;
const OVERDUE_OVER_AIM: (f64, f64) = (0.25, 0.8);

impl Server {
    /// The whole-number limit, cut off: `floor` costs. Departure: below 1 the dither decides which proxies
    /// hold a slot, so that the admitted sum does not grow with their number. A cold server's budget sees to
    /// that alone: with both, hardly any of many proxies ever sent it anything.
    pub(super) fn slots(&self, part: f64) -> i64 {
        ((self.limit * part + self.dither) as i64).max(i64::from(self.cold.is_some()))
    }
}

impl Balancer {
    /// Departure: where a proxy's limits add up to few slots (many proxies with little traffic each), another
    /// request at the same time finds no room although the fleet has plenty. Its slots then spread over more
    /// servers, while the sum of its limits, with the square root of it for the chance that requests come
    /// together, bounds what it has out. The dithers keep those with a slot on a server equally many.
    pub(super) fn judge_pool(&mut self, now: Micros) {
        let own = self.ready.iter().map(|&s| &self.servers[s]).filter(|s| self.near(s));
        let slots = own.map(|s| s.limit).sum::<f64>();
        let turn = (f64::from(self.settings.instance_index) * GOLDEN).fract();
        (self.pool.judged_at, self.pool.slots) = (Some(now), slots);
        let calm = 1.0 - (self.refused / STANDING).min(1.0);
        let wide = 1.0 + (MIN_SPREAD - 1.0) * calm;
        self.pool.spread = if slots > 0.0 { (wide / slots).max(1.0) } else { 1.0 };
        let more = if self.settings.instance_count > 1 { CALM_MORE * calm } else { 0.0 };
        let most = slots + slots.sqrt() + turn + more;
        self.pool.most = if self.pool.spread > 1.0 { (most as u32).max(1) } else { u32::MAX };
    }

    /// Whether a server can be sent to without a price for the way.
    fn near(&self, server: &Server) -> bool {
        server.zone == self.settings.zone || self.settings.cross_zone_cost <= FREE_CROSSING
    }

    fn overdue(&self, class: usize) -> Micros {
        let aim = self.settings.classes[class].latency_objective as f64;
        (self.mean(class) * OVERDUE_OVER_MEAN).clamp(aim * OVERDUE_OVER_AIM.0, aim * OVERDUE_OVER_AIM.1)
            as Micros
    }

    /// The server with the greatest room, in the own zone first. Departure: on a large fleet a request looks
    /// at a sample, of the near servers and then, where none of those has room, of all. A fleet with room on
    /// one server in ten is missed once in 800 times; the request is then held, and looks again.
    pub(super) fn pick(&mut self, now: Micros, slot: usize) -> Option<usize> {
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
        let repeatable = self.settings.classes[open.class].idempotency != Idempotency::NonIdempotent;
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
            let out_of_scope = matches!(scope, Scope::Zone(zone) if zone != server.zone)
                || matches!(scope, Scope::Cell(cell) if cell != server.cell);
            if out_of_scope
                || self.open[slot].attempts.iter().any(|a| a.server == index)
                || !self.available(now, server, repeatable, overdue)
            {
                continue;
            }
            let room = server.slots(part) - i64::from(server.in_flight + server.sessions);
            // Departure: one that came back and has room goes first, once; a quiet fleet would never try it.
            let due = now.saturating_sub(server.unused_since) as f64 > (1.0 - server.dither) * FIRST_TIMEOUT;
            let first = due && room > 0 && self.in_flight == 0 && server.cold.is_none();
            let room = if first { i64::MAX } else { room };
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
        // Departure: a proxy without a slot on any server would serve nobody. It may have one request out.
        best[0].or(best[1]).map(|(_, server)| server).or(spare.map(|(_, server)| server))
    }

    /// Whether a server may be chosen at all, apart from its room.
    fn available(&self, now: Micros, server: &Server, repeatable: bool, overdue: Micros) -> bool {
        if let Some(until) = server.ejected_until {
            // Departure: an ejected server gets one trial, of a request that can be repeated.
            return now >= until && !server.trial_out && repeatable;
        }
        // Departure: a server that owes answers and has long been silent may hang: nothing more goes there.
        // One that turns requests away looks the emptiest; it is left alone for a request's time.
        let silent = server.in_flight > 0 && now > server.silent_since + overdue;
        let warm = |cold| self.cold_tokens(now, server, cold) >= 1.0;
        !silent && now >= server.full_until && server.cold.as_ref().is_none_or(warm)
    }
}
