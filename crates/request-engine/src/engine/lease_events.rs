//! Leases of external clients: reports, sessions, expiry and revocation.

use super::{Engine, SESSION_LEASE_DURATION};
use crate::lease::{Lease, LeaseError, LeaseId, LeaseStage};
use crate::messages::{AttemptCompletion, Command, MessageTypes};
use crate::timers::TimerKind;
use balancer::api::{Backend, BackendId, MembershipUpdate, Micros, Outcome, Readiness};
use rustc_hash::FxHashSet;

impl<M: MessageTypes> Engine<M> {
    /// Handles a lease holder's report of the end of its attempt, which settles the lease.
    ///
    /// # Errors
    /// The lease is not active; nothing has changed then.
    pub fn report_result(
        &mut self,
        now: Micros,
        id: LeaseId,
        end: AttemptCompletion<M::Response>,
    ) -> Result<(), LeaseError> {
        let now = self.monotonic(now);
        self.leases.find(now, id)?;
        if let Some(Lease { request, attempt, .. }) = self.leases.settle_reported(id.serial) {
            self.finish_attempt(now, request, attempt, end);
            self.finish_unsent_attempts(now);
        }
        Ok(())
    }

    /// Handles a lease holder's report that its attempt has become a session. Returns the time at which the
    /// session expires unless it is renewed.
    ///
    /// # Errors
    /// The lease is not active or already a session; nothing has changed then.
    pub fn establish_session(&mut self, now: Micros, id: LeaseId) -> Result<Micros, LeaseError> {
        let now = self.monotonic(now);
        let expires_at = now.saturating_add(SESSION_LEASE_DURATION);
        let lease = self.leases.find(now, id)?;
        if lease.stage == LeaseStage::Session {
            self.leases.counts.wrong_state += 1;
            return Err(LeaseError::WrongState);
        }
        (lease.stage, lease.expires_at) = (LeaseStage::Session, expires_at);
        let (request, attempt) = (lease.request, lease.attempt);
        self.start_session(now, request, attempt, None);
        Ok(expires_at)
    }

    /// Renews a session. Returns the time at which it expires unless it is renewed once more.
    ///
    /// # Errors
    /// The lease is not active or not a session; nothing has changed then.
    pub fn renew_session(&mut self, now: Micros, id: LeaseId) -> Result<Micros, LeaseError> {
        let now = self.monotonic(now);
        let lease = self.leases.find(now, id)?;
        if lease.stage != LeaseStage::Session {
            self.leases.counts.wrong_state += 1;
            return Err(LeaseError::WrongState);
        }
        lease.expires_at = now.saturating_add(SESSION_LEASE_DURATION);
        Ok(lease.expires_at)
    }

    /// Rule 2: without a report it is unknown whether the attempt ran, so it counts as timed out.
    pub(super) fn expire_lease(&mut self, now: Micros, serial: u64) {
        match self.leases.expire(now, serial) {
            Ok(Some(Lease { request, attempt, .. })) => {
                self.finish_attempt(now, request, attempt, Outcome::Timeout.into());
                self.finish_unsent_attempts(now);
            }
            Ok(None) => {}
            Err(renewed_until) => self.schedule_timer(renewed_until, TimerKind::LeaseExpiry(serial)),
        }
    }

    /// Serial numbers of the leases whose attempts may not have started and whose backends this update drains
    /// or removes.
    pub(super) fn unsent_leases(&self, now: Micros, update: MembershipUpdate<'_>) -> Vec<u64> {
        match update {
            MembershipUpdate::Delta(entries) => {
                let leaving = backends_by_readiness(entries, false);
                self.leases.unsent_on_backends(now, |backend| leaving.contains(&backend))
            }
            MembershipUpdate::Snapshot(entries) | MembershipUpdate::CachedSnapshot(entries) => {
                let ready = backends_by_readiness(entries, true);
                self.leases.unsent_on_backends(now, |backend| !ready.contains(&backend))
            }
            MembershipUpdate::Failed => Vec::new(),
        }
    }

    pub(super) fn revoke_lease(&mut self, serial: u64) {
        let lease = self.leases.id(serial);
        if let Some(request) = self.leases.revoke(serial) {
            self.commands.push_back(Command::RevokeLease { request, lease });
        }
    }
}

fn backends_by_readiness(entries: &[Backend], is_ready: bool) -> FxHashSet<BackendId> {
    let matching = entries.iter().filter(|entry| (entry.readiness == Readiness::Ready) == is_ready);
    matching.map(|entry| entry.id).collect()
}
