//! Claims of requests that must not run twice, shared with the other processes of this proxy while it is
//! replaced.

use crate::log::FailureLog;
use admin::claim_file::{Claim, ClaimFile};
use admin::machine_time::MachineTime;
use balancer::api::{DedupScope, Idempotency, Micros, RequestIdentity};
use request_engine::class_registry::RequestClass;
use request_engine::driver::clock::Clock;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a starting process waits for the claims of its peers, which poll for it, before it accepts
/// requests. A peer of an earlier version shares none.
const PEER_CLAIMS_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval at which it looks for them.
const PEER_CLAIMS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The claims of this process and of its peers. If their files fail, requests are served without them.
pub struct SharedClaims {
    file: RefCell<ClaimFile>,
    clock: Clock,
    machine_time: MachineTime,
    started_at: Instant,
    peer_count: Cell<usize>,
    failures: FailureLog,
}

impl SharedClaims {
    /// Claims that are kept in this file.
    #[must_use]
    pub fn new(file: ClaimFile, clock: Clock) -> Self {
        let machine_time = MachineTime::new(clock.now());
        let failures = FailureLog::new("claims were not shared with other processes");
        Self {
            file: RefCell::new(file),
            clock,
            machine_time,
            started_at: Instant::now(),
            peer_count: Cell::new(0),
            failures,
        }
    }

    /// Shares the claims while there is a peer.
    pub fn share_with(&self, peer_count: usize) {
        self.peer_count.set(peer_count);
        let mut file = self.file.borrow_mut();
        if peer_count == 0 {
            return file.stop_sharing(self.now());
        }
        if !file.is_shared()
            && let Err(error) = file.share(self.now())
        {
            self.failures.record(&error);
        }
    }

    /// Whether the claims of the peers that were running at the start are known, or are not waited for any
    /// longer.
    #[must_use]
    pub fn are_peers_known(&self) -> bool {
        let have_shared = self.file.borrow().have_peers_shared(self.peer_count.get());
        have_shared || self.started_at.elapsed() >= PEER_CLAIMS_TIMEOUT
    }

    /// Waits until [the claims of the peers are known](Self::are_peers_known).
    pub async fn wait_for_peers(&self) {
        while !self.are_peers_known() {
            sleep(PEER_CLAIMS_POLL_INTERVAL).await;
        }
    }

    /// Claims a request. Returns false if a peer may execute it or have executed it.
    #[must_use]
    pub fn claim(&self, claim: Claim) -> bool {
        let claimed = self.file.borrow_mut().claim(self.now(), claim);
        claimed.unwrap_or_else(|error| {
            self.failures.record(&error);
            true
        })
    }

    /// Releases a claim whose request was not executed.
    pub fn release(&self, claim: Claim) {
        if let Err(error) = self.file.borrow_mut().release(claim) {
            self.failures.record(&error);
        }
    }

    fn now(&self) -> Micros {
        self.machine_time.to_machine_time(self.clock.now())
    }
}

/// The claim of a request; `None` if all backends drop a second execution.
#[must_use]
pub fn claim_of(identity: Option<RequestIdentity>, class: &RequestClass) -> Option<Claim> {
    let RequestIdentity { id, key, key_ttl } = identity?;
    match class.idempotency {
        Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => None,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => Some(Claim { id, key, key_ttl }),
    }
}
