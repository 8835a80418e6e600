//! Idle connections: which are reused, and which are closed before a send.

use super::Balancer;
use crate::api::{Action, Micros};
use crate::state::MIN_BLAMED_IDLE_TIME;

impl Balancer {
    /// How long the connection that the next attempt on a backend takes has been idle; 0 for a new one. One
    /// that was idle for longer than is trusted is closed first.
    ///
    /// The attempts on a backend take its connections from the first one on, so that the last ones are idle
    /// longest.
    pub(super) fn reuse_connection(&mut self, now: Micros, index: usize, out: &mut Vec<Action>) -> Micros {
        let streams = self.streams_per_connection();
        let trusted = self.idle_trust.trusted(now);
        let backend = &mut self.fleet.backends[index];
        let connection = (backend.in_flight / streams) as usize;
        let used_at = backend.connections_idle_since.get(connection).copied().unwrap_or(now);
        if connection >= backend.connections_idle_since.len() {
            backend.connections_idle_since.push(now);
        }
        let idle_time = if backend.in_flight.is_multiple_of(streams) { now - used_at } else { 0 };
        if idle_time > MIN_BLAMED_IDLE_TIME && idle_time as f64 > trusted {
            backend.connections_idle_since.truncate(connection + 1);
            out.push(Action::CloseIdleConnections(backend.id));
            return 0;
        }
        idle_time
    }

    /// An attempt ended, so that its connection is idle from now on.
    pub(super) fn mark_connection_idle(&mut self, now: Micros, index: usize) {
        let streams = self.streams_per_connection();
        let backend = &mut self.fleet.backends[index];
        let connection = (backend.in_flight / streams) as usize;
        if let Some(idle_since) = backend.connections_idle_since.get_mut(connection) {
            *idle_since = now;
        }
    }

    fn streams_per_connection(&self) -> u32 {
        self.settings.permissions.streams_per_connection.max(1)
    }
}
