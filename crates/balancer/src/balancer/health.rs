//! Health: what outcomes tell of servers, of connections that rested, and who is ejected.

use super::limits::{LATENCY_WEIGHT, SAMPLE_CAP};
use super::{Balancer, SECOND};
use crate::api::{Action, AttemptResult, Micros, Outcome};
use crate::state::Attempt;

/// A bad sample (an error, say), and the most that any sample counts, as multiples of Lmax.
const BAD_SAMPLE: f64 = 2.0;
/// Growth of the uncrowded latency's estimate a second, so that it follows a fleet that got slower.
const BASE_DRIFT: f64 = 0.01;
/// Departure: a server is ejected by evidence (Page's test): each outcome adds the logarithm of how much
/// likelier it is from a sick server, which fails this part of its requests, than from a usual one. A failure
/// counts much where hardly any fail and little where connections break everywhere. The sum is 0 or more.
const SICK: f64 = 0.6;
/// The sum at which a server is ejected: the third failure in a row where one in fifty is usual, or the
/// second that was waited for in vain, which counts so much more.
const EJECT_AT: f64 = 8.0;
const WAITED: f64 = 1.25;
/// The least and the most that is taken as usual, and the weight of one more outcome in that figure.
const USUAL: (f64, f64) = (0.02, 0.45);
const USUAL_WEIGHT: f64 = 1.0 / 32.0;
/// A server that was not ejected for this long loses a strike.
const STRIKE_FADES: Micros = 30 * SECOND;
/// First ejection; each further one lasts twice as long, up to 2^4 times.
const EJECTION: Micros = SECOND;
const MAX_STRIKES: u32 = 4;
/// Part of the servers that may be ejected at once.
const MAX_EJECTED: f64 = 0.6;
/// No shorter rest is to blame for a lost request: heavy work times out, and nothing drops idle ones so soon.
const MIN_REST: Micros = SECOND / 2;
/// The trusted rest after one that lost a request, as a part of it; it doubles again within a minute.
const REST_BACKOFF: f64 = 0.5;
const REST_DOUBLES: Micros = 60 * SECOND;

impl Balancer {
    /// What an outcome tells of its server.
    pub(super) fn observe(
        &mut self,
        now: Micros,
        class: usize,
        to: Attempt,
        end: &AttemptResult<'_>,
        out: &mut Vec<Action>,
    ) {
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
        if end.outcome == Outcome::NotSent {
            // It was never sent: another request may be the trial of an ejected server.
            (server.trial_out, server.unused_since) = (false, now);
            return;
        }
        let lmax = latency.lmax(self.settings.classes[class].latency_objective as f64, self.refused);
        let multiplex = self.settings.permissions.streams_per_connection.max(1);
        if let Some(at) = server.rested.get_mut((server.in_flight / multiplex) as usize) {
            *at = now;
        }
        // Departure: a failure is a bad sample however quick, so that quick errors can't raise a limit.
        let least = if end.outcome == Outcome::Ok { 0.0 } else { BAD_SAMPLE };
        let sample = (elapsed / lmax).clamp(least, SAMPLE_CAP);
        let failed = match end.outcome {
            Outcome::Ok => {
                latency.add(elapsed, now, LATENCY_WEIGHT, BASE_DRIFT);
                self.served.add(now);
                server.silent_since = now;
                false
            }
            // A server that answered others meanwhile is not hung; the request was heavy.
            Outcome::Timeout | Outcome::Cancelled => silent,
            Outcome::Error | Outcome::Malformed | Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Rejected | Outcome::NotSent => {
                server.full_until = now + latency.mean as Micros;
                false
            }
        };
        let lost = matches!(end.outcome, Outcome::Timeout | Outcome::Reset) && failed;
        if lost && self.blame_rest(now, to.rested) {
            return;
        }
        self.weigh(index, failed, if end.outcome == Outcome::Timeout { WAITED } else { 1.0 });
        self.judge_health(now, index, failed, out);
        // What broke or was lost on the way says nothing of how crowded its server is.
        let broken = matches!(end.outcome, Outcome::Malformed | Outcome::ConnectFailed | Outcome::Reset);
        if broken || (end.outcome == Outcome::Timeout && to.early) {
            return;
        }
        // Errors say nothing of how crowded the servers of a kind are.
        if known && end.outcome != Outcome::Error {
            self.judge_kind(now, kind, sample);
        }
        self.judge_window(now, index, sample);
        self.follow_report(now, index, end.load_report);
    }

    /// Weighs one more outcome. A server's failures count as usual only once it has served again: those of a
    /// sick one must not excuse the others.
    fn weigh(&mut self, index: usize, failed: bool, weight: f64) {
        let server = &mut self.servers[index];
        let usual = self.usual_failures.clamp(USUAL.0, USUAL.1);
        let ratio = if failed { SICK / usual } else { (1.0 - SICK) / (1.0 - usual) };
        server.evidence = (server.evidence + ratio.ln() * weight).max(0.0);
        if failed {
            server.unproven += 1;
        } else {
            for outcome in std::iter::repeat_n(1.0, std::mem::take(&mut server.unproven)).chain([0.0]) {
                self.usual_failures += (outcome - self.usual_failures) * USUAL_WEIGHT;
            }
        }
    }

    /// Departure: a server whose requests fail is ejected, and readmitted when a single trial succeeds.
    pub(super) fn judge_health(&mut self, now: Micros, index: usize, failed: bool, out: &mut Vec<Action>) {
        let ejected = || self.ready.iter().filter(|&&s| self.servers[s].ejected_until.is_some()).count();
        let may_eject = failed && ejected() < (self.ready.len() as f64 * MAX_EJECTED) as usize;
        let jitter = 0.75 + self.rng.f64() / 2.0;
        let server = &mut self.servers[index];
        let was_ejected = server.ejected_until.is_some();
        let trial_failed = was_ejected && failed && server.trial_out;
        if !failed && was_ejected {
            (server.ejected_until, server.trial_out) = (None, false);
            (server.evidence, server.in_service) = (EJECT_AT / 2.0, now);
            out.push(Action::Log(format!("readmitted server {} after a trial", server.id)));
        } else if trial_failed || (!was_ejected && server.evidence >= EJECT_AT && may_eject) {
            let faded = if was_ejected { 0 } else { (now - server.in_service) / STRIKE_FADES };
            server.strikes = server.strikes.saturating_sub(faded.min(64) as u32);
            let time = (EJECTION << server.strikes.min(MAX_STRIKES)) as f64 * jitter;
            server.ejected_until = Some(now + time as Micros);
            (server.trial_out, server.unused_since, server.unproven) = (false, now, 0);
            server.strikes += 1;
            if !was_ejected {
                self.ejections += 1;
                out.push(Action::Log(format!("ejected server {}: its requests fail", server.id)));
            }
        }
    }

    /// How long the connection that the next attempt on a server takes has rested; 0 for a new one. The
    /// attempts of a server take its connections from the first on, so the last ones rest longest. Departure:
    /// something between here and a server (a firewall, a balancer's own limit) may drop a resting connection
    /// unseen: no answer comes. One that rested for longer than is trusted is closed before the send. The
    /// trust starts at the time after which idle connections close by themselves and backs off at each
    /// request that got no answer on a rested one. It can cost handshakes where servers hang or restart.
    pub(super) fn connection(&mut self, now: Micros, index: usize, out: &mut Vec<Action>) -> Micros {
        let multiplex = self.settings.permissions.streams_per_connection.max(1);
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
            out.push(Action::CloseIdleConnections(server.id));
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
}
