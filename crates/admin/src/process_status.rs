//! What a process of the proxy is at a moment, beside others of the same proxy, and what follows from that: whether it is
//! ready, where new connections go, which part of the limits is its own. Pure: no I/O, no clock.
//!
//! New connections are steered by a number: the kernel keeps the listeners of one address in the order in which they began
//! to listen, and a filter names one of them. A number that no listener has leaves the choice to the kernel's hash, so
//! that a stale one can misplace a connection but lose none.

use crate::command::ConsoleResponse;

/// What this process is at the moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    /// It holds a list of backends.
    held: bool,
    /// It has been told to end.
    draining: bool,
    /// Processes of this proxy beside it.
    peers: usize,
    /// Where new connections were last steered by this process.
    steered: Option<usize>,
}

impl ProcessStatus {
    /// It holds a list of backends: from now on it can serve. Whether that is news.
    pub fn holds_list(&mut self) -> bool {
        !std::mem::replace(&mut self.held, true)
    }

    /// It has been told to end: it serves what still comes, and is not ready any more.
    pub fn drains(&mut self) {
        self.draining = true;
    }

    /// So many processes of this proxy are there beside it. Whether that is news.
    pub fn beside(&mut self, peers: usize) -> bool {
        std::mem::replace(&mut self.peers, peers) != peers
    }

    /// Whether it serves and will go on.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.held && !self.draining
    }

    /// The answer to `readyz`.
    #[must_use]
    pub fn readiness(&self) -> ConsoleResponse {
        match (self.held, self.draining) {
            (_, true) => ConsoleResponse::Failure("this process was told to end".into()),
            (false, _) => ConsoleResponse::Failure("no list of backends is held yet".into()),
            (true, false) => ConsoleResponse::Success("serving".into()),
        }
    }

    /// Which listener new connections have to be steered to now, if this process has to see to that: itself once it is
    /// ready. It came last, so its place is behind those that were there; when it is left alone it is the first, and the
    /// next process to come gets nothing before that one in turn is ready.
    pub fn steer(&mut self) -> Option<usize> {
        if !self.is_ready() {
            return None;
        }
        // Whoever is the elder does not take the connections back when a younger one comes.
        let place = match self.steered {
            None => self.peers,
            Some(_) if self.peers == 0 => 0,
            Some(place) => place,
        };
        (self.steered.replace(place) != Some(place)).then_some(place)
    }

    /// This process's part of a limit that holds for all processes of the proxy together.
    #[must_use]
    pub fn part(&self, limit: usize) -> usize {
        (limit / (self.peers + 1)).max(1)
    }
}

#[cfg(test)]
mod tests;
