//! The request engines of the proxies in virtual time: their commands, attempts and leases.

use super::{Attempt, Event, MAX_SLOW_SEND_DELAY, SEND_DELAY, Simulation};
use crate::invariant_checker::{Observation, ResponseKind};
use balancer::api::{BackendId, Micros, Outcome, RequestId};
use request_engine::engine::{AttemptCompletion, Command, FinalOutcome, LeaseGrant};

impl Simulation<'_> {
    pub(super) fn run_commands(&mut self, proxy: usize) {
        while let Some(command) = self.proxies[proxy].next_command() {
            match command {
                Command::StartAttempt { request, attempt, backend, schedule, outbound_request: client } => {
                    let timeout_at = schedule.timeout_at;
                    let index = self.record_attempt(proxy, client, (request, attempt), backend, timeout_at);
                    let latency = self.latency(index);
                    self.after(latency, Event::BackendReceives(index));
                    self.at(timeout_at, Event::AttemptTimeout(index));
                }
                Command::GrantLease(grant) => self.lease_granted(proxy, grant),
                Command::RevokeLease { lease, .. } => {
                    if let Some(&index) = self.by_lease.get(&lease) {
                        self.attempts[index].revoked = true;
                    }
                }
                Command::Respond { responder, outcome, .. } => {
                    let kind = match outcome {
                        FinalOutcome::Served(_) => ResponseKind::Served,
                        FinalOutcome::Rejected { .. } => ResponseKind::Rejected,
                        FinalOutcome::Failed => ResponseKind::Failed,
                    };
                    self.log.add(self.now, Observation::ResponseReceived { id: responder, kind });
                }
                Command::CancelAttempt { .. }
                | Command::CancelUnsentAttempt { .. }
                | Command::Subscribe
                | Command::CheckHealth(_)
                | Command::CloseIdleConnections(_)
                | Command::Log(_) => {}
            }
        }
        if let Some(due) = self.proxies[proxy].next_timer().map(|due| due.max(self.now))
            && due < self.proxy_due[proxy]
        {
            self.proxy_due[proxy] = due;
            self.at(due, Event::ProxyTimer(proxy));
        }
    }

    pub(super) fn lease_granted(&mut self, proxy: usize, grant: LeaseGrant) {
        let LeaseGrant { lease, request, attempt, backend, send_by, timeout_at } = grant;
        // Where the client already has its response, the lease is left to expire.
        let Some(&client) = self.proxies[proxy].responder(request) else { return };
        let index = self.record_attempt(proxy, client, (request, attempt), backend, timeout_at);
        (self.attempts[index].lease, self.attempts[index].send_by) = (Some(lease), send_by);
        self.by_lease.insert(lease, index);
        let is_slow = self.rng.f64() < self.script.traffic.delayed_send_fraction;
        let delay = if is_slow { self.rng.u64(0..MAX_SLOW_SEND_DELAY) } else { SEND_DELAY };
        self.after(delay, Event::LeaseHolderSends(index));
    }

    pub(super) fn record_attempt(
        &mut self,
        proxy: usize,
        client: u64,
        (request, number): (RequestId, u16),
        backend: BackendId,
        timeout_at: Micros,
    ) -> usize {
        self.attempts.push(Attempt {
            proxy,
            incarnation: self.processes[proxy].incarnation,
            client,
            request,
            number,
            backend: backend as usize,
            lease: None,
            send_by: Micros::MAX,
            timeout_at,
            revoked: false,
            finished: false,
            malformed: false,
        });
        self.attempts.len() - 1
    }

    /// Reports the result of an attempt to its engine; later calls for the same attempt have no effect.
    pub(super) fn finish_attempt(&mut self, index: usize, outcome: Outcome) {
        let attempt = &mut self.attempts[index];
        if std::mem::replace(&mut attempt.finished, true) {
            return;
        }
        let (proxy, request, number, lease) = (attempt.proxy, attempt.request, attempt.number, attempt.lease);
        if attempt.incarnation != self.processes[proxy].incarnation || !self.processes[proxy].is_running() {
            return;
        }
        let attempt_end = AttemptCompletion {
            outcome,
            response: (outcome == Outcome::Ok).then_some(()),
            load_report: Vec::new(),
            client_wait: 0,
        };
        match lease {
            None => self.proxies[proxy].attempt_finished(self.now, request, number, attempt_end),
            Some(lease) => {
                self.by_lease.remove(&lease);
                if self.rng.f64() < self.script.traffic.lost_report_fraction {
                    return;
                }
                // Fails for a late report, which the engine counts and ignores.
                let _ = self.proxies[proxy].report_result(self.now, lease, attempt_end);
            }
        }
        self.run_commands(proxy);
    }
}
