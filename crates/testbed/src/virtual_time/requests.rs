//! Client requests in virtual time: arrival at a proxy, and sending by lease holders.

use super::{Event, START, Simulation};
use crate::invariant_checker::{Observation, ResponseKind};
use balancer::api::Outcome;
use request_engine::engine::{AdmissionError, Dispatch, IncomingRequest};

impl Simulation<'_> {
    pub(super) fn schedule_request(&mut self, index: usize) {
        if let Some(arrival) = self.plan.arrivals.get(index) {
            self.at(START + arrival.at, Event::RequestArrives(index));
        }
    }

    pub(super) fn request_arrives(&mut self, index: usize) {
        let arrival = self.plan.arrivals[index];
        let (class, client) = (usize::from(arrival.class), index as u64);
        let Some(proxy) = self.route(usize::from(arrival.proxy)) else {
            return self.log.add(self.now, Observation::RequestUndelivered { class });
        };
        let timeout = self.script.classes[class].deadline_ms * 1_000;
        self.log.add(
            self.now,
            Observation::RequestSent { id: client, class, deadline: self.now + timeout, proxy },
        );
        self.proxy_receives(proxy, index);
    }

    /// Admits a request at its proxy, which has read it completely.
    pub(super) fn proxy_receives(&mut self, proxy: usize, index: usize) {
        if self.processes[proxy].queue_if_stopped(index) {
            return;
        }
        let arrival = self.plan.arrivals[index];
        let is_leased = self.rng.f64() < self.script.traffic.leased_fraction;
        let client = index as u64;
        let arrival = IncomingRequest {
            class: arrival.class,
            idempotency: None,
            tenant: arrival.tenant,
            key: None,
            arrived_at: self.now,
            timeout: self.script.classes[usize::from(arrival.class)].deadline_ms * 1_000,
            expected_work: None,
            is_retry: false,
            upload_time: 0,
            identity: None,
            dispatch: if is_leased { Dispatch::Leased } else { Dispatch::Proxied(client) },
        };
        if let Err(AdmissionError::Requests(client) | AdmissionError::Leases(client)) =
            self.proxies[proxy].admit(self.now, arrival, client)
        {
            self.log
                .add(self.now, Observation::ResponseReceived { id: client, kind: ResponseKind::Rejected });
        }
        self.run_commands(proxy);
    }

    pub(super) fn lease_holder_sends(&mut self, index: usize) {
        let attempt = &self.attempts[index];
        if attempt.revoked || self.now > attempt.send_by {
            return self.finish_attempt(index, Outcome::NotSent);
        }
        let (latency, timeout_at) = (self.latency(index), attempt.timeout_at);
        self.after(latency, Event::BackendReceives(index));
        self.at(timeout_at, Event::AttemptTimeout(index));
    }
}
