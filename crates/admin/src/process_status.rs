//! The status of this process among the processes of the same proxy, and what depends on it: readiness, the
//! steering of new connections, and this process's quota of each limit. Does no I/O and reads no clock.
//!
//! The kernel numbers the listeners of one address in the order in which they began to listen, and a socket
//! filter selects one of them by its index. If no listener has the index, the kernel selects one by a hash: a
//! stale index can misdirect a connection but never lose one.

use crate::command::ConsoleResponse;

/// The status of this process, and the number of its peers: the other processes of the same proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    has_backend_list: bool,
    is_draining: bool,
    peer_count: usize,
    /// The listener index to which this process last steered new connections.
    steered_to: Option<usize>,
}

impl ProcessStatus {
    /// Records that a backend list was received, so that the process can serve. Returns whether it is the
    /// first one.
    pub fn set_backend_list_received(&mut self) -> bool {
        !std::mem::replace(&mut self.has_backend_list, true)
    }

    /// Records that the process is draining: it completes its requests and is no longer ready.
    pub fn begin_draining(&mut self) {
        self.is_draining = true;
    }

    /// Records the number of other running processes of this proxy. Returns whether it changed.
    pub fn set_peer_count(&mut self, peer_count: usize) -> bool {
        std::mem::replace(&mut self.peer_count, peer_count) != peer_count
    }

    /// Whether the process has a backend list and is not draining.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.has_backend_list && !self.is_draining
    }

    /// The response to the console command `readyz`, with the reason if the process is not ready.
    #[must_use]
    pub fn readiness_response(&self) -> ConsoleResponse {
        match (self.has_backend_list, self.is_draining) {
            (_, true) => ConsoleResponse::Failure("this process was told to end".into()),
            (false, _) => ConsoleResponse::Failure("no list of backends is held yet".into()),
            (true, false) => ConsoleResponse::Success("serving".into()),
        }
    }

    /// Updates the listener index to which this process steers new connections. Returns the index if it
    /// changed and the process is ready; the caller then has to steer to it.
    ///
    /// A process that becomes ready started last, so the index of its listener is the number of its peers.
    /// Once it is alone, the index is 0: a successor then receives no connections until it is ready and
    /// steers them to itself.
    pub fn update_steering(&mut self) -> Option<usize> {
        if !self.is_ready() {
            return None;
        }
        // A process with peers does not change its index: it must not take connections back from a successor.
        let listener_index = match self.steered_to {
            None => self.peer_count,
            Some(_) if self.peer_count == 0 => 0,
            Some(current) => current,
        };
        (self.steered_to.replace(listener_index) != Some(listener_index)).then_some(listener_index)
    }

    /// This process's equal quota of a limit on all processes of the proxy together; at least 1.
    #[must_use]
    pub fn quota_of(&self, limit: usize) -> usize {
        (limit / (self.peer_count + 1)).max(1)
    }
}

#[cfg(test)]
mod tests;
