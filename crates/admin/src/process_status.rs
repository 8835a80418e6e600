//! The state of this process beside the other processes of the same proxy, and what follows from it: readiness, where new
//! connections are steered, and this process's quota of each limit. Pure: no I/O, no clock.
//!
//! The kernel numbers the listeners of one address in the order in which they began to listen, and a socket filter selects
//! one of them by its index. With an index that no listener has, the kernel falls back to its hash: a stale index can
//! misdirect a connection but never lose one.

use crate::command::ConsoleResponse;

/// The state of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    has_backend_list: bool,
    is_draining: bool,
    /// Other running processes of this proxy.
    peer_count: usize,
    /// The listener index to which this process last steered new connections.
    steered_to: Option<usize>,
}

impl ProcessStatus {
    /// Records that a backend list was received: the process can serve. Returns whether it is the first one.
    pub fn set_backend_list_received(&mut self) -> bool {
        !std::mem::replace(&mut self.has_backend_list, true)
    }

    /// Records that the process was ordered to end: it finishes its requests and is not ready any more.
    pub fn begin_draining(&mut self) {
        self.is_draining = true;
    }

    /// Records the number of other processes of this proxy. Returns whether it changed.
    pub fn set_peer_count(&mut self, peer_count: usize) -> bool {
        std::mem::replace(&mut self.peer_count, peer_count) != peer_count
    }

    /// Whether the process has a backend list and is not draining.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.has_backend_list && !self.is_draining
    }

    /// The response to `readyz`.
    #[must_use]
    pub fn readiness_response(&self) -> ConsoleResponse {
        match (self.has_backend_list, self.is_draining) {
            (_, true) => ConsoleResponse::Failure("this process was told to end".into()),
            (false, _) => ConsoleResponse::Failure("no list of backends is held yet".into()),
            (true, false) => ConsoleResponse::Success("serving".into()),
        }
    }

    /// The listener index to which this process has to steer new connections now, if that changed and the process is ready.
    ///
    /// The process started last, so its listener's index is the number of its peers. Once it is alone its index is 0, and a
    /// successor gets no connections before it is ready and steers them itself.
    pub fn steer(&mut self) -> Option<usize> {
        if !self.is_ready() {
            return None;
        }
        // A process with a successor keeps its index: it must not reclaim connections from the successor.
        let listener_index = match self.steered_to {
            None => self.peer_count,
            Some(_) if self.peer_count == 0 => 0,
            Some(current) => current,
        };
        (self.steered_to.replace(listener_index) != Some(listener_index)).then_some(listener_index)
    }

    /// This process's quota of a limit that holds for all processes of the proxy together; at least 1.
    #[must_use]
    pub fn quota_of(&self, limit: usize) -> usize {
        (limit / (self.peer_count + 1)).max(1)
    }
}

#[cfg(test)]
mod tests;
