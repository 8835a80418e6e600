//! The engine between a scripted clock, a transport and callers that hold leases. It checks the four rules from what
//! the engine's commands say, after every step, and believes nothing that the engine says of itself.
#![allow(dead_code, reason = "each test file uses a part of it")]

use balancer::api::*;
use request_engine::engine::*;
use request_engine::lease::{LeaseError, LeaseId};
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// Clients whose time ended longer ago have all been looked at: none waits longer than two seconds.
const LATELY: Micros = 3 * SECOND;

/// The exchange of these tests: nothing travels but the number of the client.
#[derive(Debug, PartialEq)]
pub struct Numbers;

impl MessageTypes for Numbers {
    type OutboundRequest = ();
    type Responder = u32;
    type Response = u32;
}

fn class(effect: Idempotency) -> Class {
    Class {
        latency_objective: 500 * MS,
        objective_work_factor: 0.0,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        late_weight_fraction: 0.5,
        idempotency: effect,
    }
}

/// One proxy, one zone, three classes: safe, unsafe, keyed for a cell.
pub fn settings() -> Settings {
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone: 0,
        zone_count: 1,
        machine_kind_count: 1,
        discovery_on_request: false,
        key_affinity: false,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            class(Idempotency::Keyed { scope: DedupScope::Cell, ttl: SECOND }),
        ],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        cross_zone_cost: 0.0,
        health_check_cost: 0.0,
        load_report: LoadReportFields::default(),
        load_report_by_health_check: false,
        permissions: Permissions {
            max_attempts: 4,
            hedging: false,
            cancellation: true,
            health_checks: false,
            idle_connection_timeout: 5 * SECOND,
            streams_per_connection: 1,
            max_retry_after: Some(SECOND),
        },
        safety: SafetyLimits {
            max_poll_interval: 10 * SECOND,
            initial_capacity: 0.3,
            warm_up_duration: 8 * SECOND,
            overload_factor: 3.0,
            overload_window: 2 * SECOND,
        },
    }
}

pub fn backend(id: BackendId) -> Backend {
    let cell = (id / 3) as u16;
    Backend { id, zone: 0, machine_kind: 0, cell, readiness: Readiness::Ready, started_at: None }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    Out,
    Never,
    Maybe,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: RequestId,
    pub number: u16,
    pub backend: BackendId,
    pub sent_at: Micros,
    pub ran: Ran,
    pub session: bool,
    pub lease: Option<LeaseGrant>,
    pub revoked: bool,
}

#[derive(Debug)]
pub struct Client {
    pub class: u8,
    pub end: Micros,
    pub verdict: Option<FinalOutcome<u32>>,
    pub gone: bool,
    pub attempts: Vec<Attempt>,
}

pub struct World {
    pub now: Micros,
    pub engine: Engine<Numbers>,
    pub listed: BTreeMap<BackendId, Backend>,
    pub clients: BTreeMap<u32, Client>,
    by_request: BTreeMap<RequestId, u32>,
    classes: Vec<Class>,
    next_client: u32,
}

impl World {
    pub fn new(
        settings: Settings,
        bounds: EngineLimits,
        backends: impl IntoIterator<Item = BackendId>,
    ) -> Self {
        Self::with_life(settings, bounds, backends, 0xfeed)
    }

    pub fn with_life(
        settings: Settings,
        bounds: EngineLimits,
        backends: impl IntoIterator<Item = BackendId>,
        life: u64,
    ) -> Self {
        let classes = settings.classes.clone();
        let engine = Engine::new(settings, bounds, 7, life, SECOND).expect("good settings");
        let mut world = Self {
            now: SECOND,
            engine,
            listed: BTreeMap::new(),
            clients: BTreeMap::new(),
            by_request: BTreeMap::new(),
            classes,
            next_client: 0,
        };
        world.full(backends.into_iter().map(backend).collect());
        world
    }

    pub fn roomy() -> EngineLimits {
        EngineLimits { requests: 100_000, leases: 100_000 }
    }

    pub fn full(&mut self, list: Vec<Backend>) {
        self.listed = list.iter().map(|b| (b.id, *b)).collect();
        self.engine.update_membership(self.now, MembershipUpdate::Snapshot(&list));
        self.obey();
    }

    pub fn delta(&mut self, entry: Backend) {
        if entry.readiness == Readiness::Removed {
            self.listed.remove(&entry.id);
        } else {
            self.listed.insert(entry.id, entry);
        }
        self.engine.update_membership(self.now, MembershipUpdate::Delta(&[entry]));
        self.obey();
    }

    /// A client asks; gives its number, or `None` where the engine takes no more.
    pub fn ask(&mut self, class: u8, conduct: Dispatch<()>) -> Option<u32> {
        self.ask_for(class, conduct, 2 * SECOND)
    }

    pub fn ask_for(&mut self, class: u8, conduct: Dispatch<()>, patience: Micros) -> Option<u32> {
        let client = self.next_client;
        self.next_client += 1;
        let arrival = IncomingRequest {
            class,
            tenant: 0,
            key: None,
            arrived_at: self.now,
            timeout: patience,
            expected_work: None,
            is_retry: false,
            dispatch: conduct,
        };
        let end = self.now + patience;
        let facts = Client { class, end, verdict: None, gone: false, attempts: Vec::new() };
        self.clients.insert(client, facts);
        match self.engine.admit(self.now, arrival, client) {
            Ok(request) => {
                self.by_request.insert(request, client);
                self.obey();
                Some(client)
            }
            Err(Overload::Requests(back) | Overload::Leases(back)) => {
                assert_eq!(back, client, "the reply comes back");
                self.clients.remove(&client);
                self.obey();
                None
            }
        }
    }

    pub fn lease(&mut self, class: u8) -> (u32, Option<LeaseGrant>) {
        let client = self.ask(class, Dispatch::Leased).expect("there is room");
        (client, self.granted(client))
    }

    /// The latest lease of a client that is not settled.
    pub fn granted(&self, client: u32) -> Option<LeaseGrant> {
        self.clients[&client].attempts.iter().rev().find(|a| a.ran == Ran::Out).and_then(|a| a.lease)
    }

    /// The attempts that are out, in the order of clients: (client, number).
    pub fn out(&self) -> Vec<(u32, u16)> {
        let of = |(&client, facts): (&u32, &Client)| {
            let out = facts.attempts.iter().filter(|a| a.ran == Ran::Out);
            out.map(|a| (client, a.number)).collect::<Vec<_>>()
        };
        self.clients.iter().flat_map(of).collect()
    }

    pub fn attempt_is_out(&self, client: u32) -> bool {
        self.clients[&client].attempts.iter().any(|a| a.ran == Ran::Out)
    }

    pub fn attempt(&self, (client, number): (u32, u16)) -> &Attempt {
        &self.clients[&client].attempts[usize::from(number)]
    }

    /// Ends an attempt that is out, as its transport or the holder of its lease would.
    pub fn end(&mut self, which: (u32, u16), outcome: Outcome) -> Result<(), LeaseError> {
        let attempt = self.attempt(which).clone();
        let payload = (outcome == Outcome::Ok && attempt.lease.is_none()).then_some(which.0);
        let ended = AttemptEnd { outcome, response: payload, load_report: Vec::new(), client_wait: 0 };
        // What the world then knows counts before the engine's commands are looked at.
        let accepted = match attempt.lease {
            None => {
                self.engine.attempt_finished(self.now, attempt.request, attempt.number, ended);
                Ok(())
            }
            Some(grant) => self.engine.report_result(self.now, grant.lease, ended),
        };
        if accepted.is_ok() {
            self.mark(which, if outcome.never_executed() { Ran::Never } else { Ran::Maybe });
        }
        self.obey();
        accepted
    }

    pub fn establish(&mut self, which: (u32, u16)) -> Result<(), LeaseError> {
        let attempt = self.attempt(which).clone();
        let done = match attempt.lease {
            None => {
                self.engine.session_established(self.now, attempt.request, attempt.number, which.0);
                Ok(())
            }
            Some(grant) => self.engine.establish_session(self.now, grant.lease).map(|_| ()),
        };
        if done.is_ok() {
            self.slot(which).session = true;
        }
        self.obey();
        done
    }

    fn slot(&mut self, (client, number): (u32, u16)) -> &mut Attempt {
        let facts = self.clients.get_mut(&client).expect("a client that is known");
        &mut facts.attempts[usize::from(number)]
    }

    fn mark(&mut self, which: (u32, u16), ran: Ran) {
        self.slot(which).ran = ran;
    }

    pub fn leave(&mut self, client: u32) {
        let facts = self.clients.get_mut(&client).expect("a client that is known");
        facts.gone |= facts.verdict.is_none();
        let request =
            self.by_request.iter().find(|(_, c)| **c == client).map(|(r, _)| *r).expect("its request");
        self.engine.client_disconnected(self.now, request);
        self.obey();
    }

    /// Lets time pass from one due timer to the next.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(due) = self.engine.next_timer().filter(|&due| due <= end) {
            self.now = self.now.max(due);
            self.expire_leases();
            self.engine.advance(self.now);
            self.obey();
            self.check_answers();
        }
        self.now = end;
        self.check_answers();
    }

    /// A holder that has said nothing by the end of its lease has lost it, whatever it did.
    fn expire_leases(&mut self) {
        let now = self.now;
        let lately = self.clients.values_mut().rev().take_while(|c| now < c.end + LATELY);
        for attempt in lately.flat_map(|c| &mut c.attempts) {
            let over = |g: LeaseGrant| now >= g.give_up_at + REPORT_GRACE;
            if attempt.ran == Ran::Out && !attempt.session && attempt.lease.is_some_and(over) {
                attempt.ran = Ran::Maybe;
            }
        }
    }

    /// Rule 1: nobody waits beyond the end of its time.
    pub fn check_answers(&self) {
        for (client, facts) in self.clients.iter().rev().take_while(|(_, c)| self.now < c.end + LATELY) {
            let waits = facts.verdict.is_none() && !facts.gone;
            assert!(!waits || self.now <= facts.end, "rule 1: client {client} has no answer in its time");
        }
    }

    fn obey(&mut self) {
        while let Some(command) = self.engine.next_command() {
            match command {
                Command::StartAttempt { request, attempt, backend, schedule, .. } => {
                    assert!(schedule.start_by > self.now, "it may not begin any more");
                    self.check_send(request, attempt, backend, schedule.give_up_at, None);
                }
                Command::GrantLease(grant) => {
                    self.check_send(
                        grant.request,
                        grant.attempt,
                        grant.backend,
                        grant.give_up_at,
                        Some(grant),
                    );
                }
                Command::RevokeLease { request, lease } => self.check_revoke(request, lease),
                Command::Respond { responder: reply, outcome: verdict, .. } => {
                    self.check_answer(reply, verdict);
                }
                Command::CancelAttempt { .. }
                | Command::CancelUnsentAttempt { .. }
                | Command::Subscribe
                | Command::CheckHealth(_)
                | Command::CloseIdleConnections(_)
                | Command::Log(_) => {}
            }
        }
    }

    fn check_send(
        &mut self,
        request: RequestId,
        number: u16,
        backend: BackendId,
        give_up_at: Micros,
        lease: Option<LeaseGrant>,
    ) {
        let client = self.by_request[&request];
        let listed = self.listed.get(&backend).copied();
        let ready = listed.is_some_and(|b| b.readiness == Readiness::Ready);
        assert!(ready, "rule 3: sent to {backend}, which drains or is gone");
        let facts = self.clients.get_mut(&client).expect("a client that is known");
        assert!(facts.verdict.is_none() && !facts.gone, "rule 1: sent for client {client} after its end");
        assert!(give_up_at <= facts.end && self.now < facts.end, "an attempt outlasts its client");
        assert_eq!(usize::from(number), facts.attempts.len(), "attempts count from 0");
        assert!(facts.attempts.len() < 4, "more attempts than are allowed");
        for earlier in facts.attempts.iter().filter(|a| a.ran != Ran::Never) {
            assert_ne!(earlier.ran, Ran::Out, "rule 2: a second copy");
            match self.classes[usize::from(facts.class)].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("rule 2: an unsafe request is sent again"),
                Idempotency::Keyed { ttl, .. } => {
                    assert!(self.now <= earlier.sent_at + ttl, "rule 2: the key is forgotten");
                    assert_eq!(backend / 3, earlier.backend / 3, "rule 2: another cell");
                }
            }
        }
        if let Some(grant) = lease {
            assert!(grant.send_by <= self.now + SEND_WINDOW && grant.send_by <= grant.give_up_at);
        }
        let (ran, sent_at) = (Ran::Out, self.now);
        facts.attempts.push(Attempt {
            request,
            number,
            backend,
            sent_at,
            ran,
            session: false,
            lease,
            revoked: false,
        });
    }

    fn check_revoke(&mut self, request: RequestId, lease: LeaseId) {
        let client = self.by_request[&request];
        let facts = self.clients.get_mut(&client).expect("a client that is known");
        let attempt = facts.attempts.iter_mut().find(|a| a.lease.is_some_and(|g| g.lease == lease));
        let attempt = attempt.expect("a lease that was granted");
        assert!(attempt.ran == Ran::Out && !attempt.revoked, "asked back what is not out");
        attempt.revoked = true;
    }

    fn check_answer(&mut self, client: u32, verdict: FinalOutcome<u32>) {
        let classes = &self.classes;
        let facts = self.clients.get_mut(&client).expect("a client that is known");
        assert!(facts.verdict.is_none() && !facts.gone, "rule 1: client {client} is answered twice");
        assert!(self.now <= facts.end, "rule 1: client {client} is answered after its time");
        if matches!(verdict, FinalOutcome::Rejected { .. }) {
            let may_have_run = facts.attempts.iter().any(|a| a.ran != Ran::Never);
            let safe = classes[usize::from(facts.class)].idempotency == Idempotency::Idempotent;
            assert!(safe || !may_have_run, "rule 2: refused what may have run");
        }
        facts.verdict = Some(verdict);
    }

    /// Ends all that is out and lets all time pass: nothing may be left.
    pub fn finish(&mut self) {
        self.pass(4 * SECOND);
        while let Some(&which) = self.out().iter().find(|w| self.attempt(**w).lease.is_none()) {
            let _ = self.end(which, Outcome::Reset);
        }
        self.pass(SESSION_LEASE + 4 * SECOND);
        self.check_answers();
        assert_eq!(
            (self.engine.open_requests(), self.engine.active_leases()),
            (0, 0),
            "something is left open"
        );
        let (counts, leases) = (self.engine.counts(), self.engine.lease_counts());
        assert_eq!(
            counts.admitted,
            counts.served + counts.rejected + counts.failed + counts.client_disconnected
        );
        assert_eq!(leases.granted, leases.reported + leases.expired);
    }
}
