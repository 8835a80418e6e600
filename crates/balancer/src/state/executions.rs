//! The executions of requests that must not take effect twice, by what identifies a request: a client that
//! left may come again with its id or its idempotency key.

use crate::api::{Idempotency, Micros, RequestId, RequestIdentity};
use crate::state::SECOND;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// How long an id or a key is remembered at least. Ids are new with every request, so this only bounds the
/// memory; a key may come again under a version of its class that has a longer time to live.
const MIN_RETENTION: Micros = 30 * SECOND;
/// Maximum number of remembered ids, and of remembered keys. At the maximum, the oldest are forgotten.
const MAX_REMEMBERED: usize = 8_192;

/// The first attempt that may have executed for an id or a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Execution {
    /// Zone of its backend at the time of the send.
    pub(crate) zone: u16,
    /// Cell of its backend at the time of the send.
    pub(crate) cell: u16,
    pub(crate) sent_at: Micros,
    /// The rules of its request.
    pub(crate) idempotency: Idempotency,
    /// Whether the attempt was unfinished when this was last recorded.
    pub(crate) is_unfinished: bool,
}

/// The request that an execution belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Remembered {
    request: RequestId,
    execution: Execution,
    key_ttl: Micros,
    expires_at: Micros,
}

impl Remembered {
    /// Whether a backend may still remember the key, by the time to live of either of two versions of its
    /// class.
    fn is_key_valid(&self, now: Micros, key_ttl: Micros) -> bool {
        now < self.execution.sent_at.saturating_add(self.key_ttl.max(key_ttl))
    }
}

/// Executions by the hash of one kind of name.
#[derive(Default)]
struct ExecutionTable {
    by_name: FxHashMap<u64, Remembered>,
    /// The names in the order in which they were recorded, with the time at which each expires.
    recorded: VecDeque<(u64, Micros)>,
}

impl ExecutionTable {
    fn find(&self, now: Micros, name: u64) -> Option<&Remembered> {
        self.by_name.get(&name).filter(|remembered| now < remembered.expires_at)
    }

    fn record(&mut self, now: Micros, name: u64, remembered: Remembered) {
        while self.recorded.front().is_some_and(|&(_, expires_at)| expires_at <= now) {
            self.forget_oldest();
        }
        if self.recorded.len() >= MAX_REMEMBERED {
            self.forget_oldest();
        }
        self.by_name.insert(name, remembered);
        self.recorded.push_back((name, remembered.expires_at));
    }

    fn forget_oldest(&mut self) {
        let Some((name, expires_at)) = self.recorded.pop_front() else { return };
        // The name may have been recorded once more since.
        if self.by_name.get(&name).is_some_and(|remembered| remembered.expires_at == expires_at) {
            self.by_name.remove(&name);
        }
    }

    fn remembered_for(&mut self, name: u64, request: RequestId) -> Option<&mut Remembered> {
        self.by_name.get_mut(&name).filter(|remembered| remembered.request == request)
    }

    fn forget(&mut self, name: u64, request: RequestId) {
        if self.remembered_for(name, request).is_some() {
            self.by_name.remove(&name);
        }
    }
}

/// The executions that are remembered by id and by idempotency key.
#[derive(Default)]
pub(crate) struct Executions {
    ids: ExecutionTable,
    keys: ExecutionTable,
}

impl Executions {
    /// The execution for the id or the key of a request that arrives now, if there is one. The attempt counts
    /// as finished if only the key is the same: another request may have an attempt beside it.
    pub(crate) fn find(&self, now: Micros, identity: RequestIdentity) -> Option<Execution> {
        let by_id = self.ids.find(now, identity.id).map(|remembered| remembered.execution);
        let by_key = || {
            let remembered = self.keys.find(now, identity.key?)?;
            let is_valid = remembered.is_key_valid(now, identity.key_ttl);
            is_valid.then_some(Execution { is_unfinished: false, ..remembered.execution })
        };
        by_id.or_else(by_key)
    }

    /// Records an attempt that starts now and may execute.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        identity: RequestIdentity,
        request: RequestId,
        execution: Execution,
    ) {
        let retention = MIN_RETENTION.max(identity.key_ttl);
        let remembered = Remembered {
            request,
            execution,
            key_ttl: identity.key_ttl,
            expires_at: execution.sent_at.saturating_add(retention),
        };
        self.ids.record(now, identity.id, remembered);
        if let Some(key) = identity.key {
            self.keys.record(now, key, remembered);
        }
    }

    /// Marks the attempt that was recorded for this request as finished.
    pub(crate) fn mark_finished(&mut self, identity: RequestIdentity, request: RequestId) {
        if let Some(remembered) = self.ids.remembered_for(identity.id, request) {
            remembered.execution.is_unfinished = false;
        }
    }

    /// Forgets the attempt that was recorded for this request, since it never executed.
    pub(crate) fn forget(&mut self, identity: RequestIdentity, request: RequestId) {
        self.ids.forget(identity.id, request);
        if let Some(key) = identity.key {
            self.keys.forget(key, request);
        }
    }
}

#[cfg(test)]
#[path = "executions_tests.rs"]
mod tests;
