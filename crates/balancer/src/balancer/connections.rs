//! Idle connections: which ones are reused, and which ones are closed before a send.

use super::Balancer;
use crate::api::{Action, Micros};
use crate::state::MIN_SUSPECT_IDLE_TIME;

impl Balancer {
    /// Idle time of the connection that the next attempt on a backend uses; 0 for a new connection. If it
    /// exceeds the limit, the backend's idle connections are closed first.
    ///
    /// Assumes that attempts use the connections of a backend from the first one on, so that the last ones
    /// have been idle for longest.
    pub(super) fn reuse_connection(
        &mut self,
        now: Micros,
        backend_index: usize,
        out: &mut Vec<Action>,
    ) -> Micros {
        let streams = self.streams_per_connection();
        let limit_us = self.idle_time_limit.current_us(now);
        let backend = &mut self.fleet.backends[backend_index];
        let connection = (backend.in_flight / streams) as usize;
        let used_at = backend.connections_idle_since.get(connection).copied().unwrap_or(now);
        if connection >= backend.connections_idle_since.len() {
            backend.connections_idle_since.push(now);
        }
        let idle_time = if backend.in_flight.is_multiple_of(streams) { now - used_at } else { 0 };
        if idle_time > MIN_SUSPECT_IDLE_TIME && idle_time as f64 > limit_us {
            backend.connections_idle_since.truncate(connection + 1);
            out.push(Action::CloseIdleConnections(backend.id));
            return 0;
        }
        idle_time
    }

    /// Records that an attempt ended, and that its connection is idle from now on.
    pub(super) fn mark_connection_idle(&mut self, now: Micros, backend_index: usize) {
        let streams = self.streams_per_connection();
        let backend = &mut self.fleet.backends[backend_index];
        let connection = (backend.in_flight / streams) as usize;
        if let Some(idle_since) = backend.connections_idle_since.get_mut(connection) {
            *idle_since = now;
        }
    }

    fn streams_per_connection(&self) -> u32 {
        self.settings.permissions.streams_per_connection.max(1)
    }
}
