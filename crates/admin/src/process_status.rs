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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ready(peers: usize) -> ProcessStatus {
        let mut stand = ProcessStatus::default();
        stand.beside(peers);
        stand.holds_list();
        stand
    }

    #[test]
    fn it_is_ready_while_it_serves_only() {
        let mut stand = ProcessStatus::default();
        assert!(matches!(stand.readiness(), ConsoleResponse::Failure(_)));
        assert_eq!(stand.steer(), None);
        stand.holds_list();
        assert!(matches!(stand.readiness(), ConsoleResponse::Success(_)));
        stand.drains();
        assert!(matches!(stand.readiness(), ConsoleResponse::Failure(_)) && !stand.is_ready());
        assert_eq!(stand.steer(), None, "the successor has the connections");
    }

    #[test]
    fn a_successor_takes_the_connections_once_ready_and_keeps_them_when_alone() {
        let mut old = ready(0);
        assert_eq!(old.steer(), Some(0));
        assert!(old.beside(1));
        assert_eq!(old.steer(), None, "the successor is not ready, or has them already");
        let mut new = ready(1);
        assert_eq!((new.steer(), new.steer()), (Some(1), None));
        assert!(new.beside(0) && !new.beside(0));
        assert_eq!((new.steer(), new.steer()), (Some(0), None), "its place moved when the old one left");
        assert!(new.beside(1));
        assert_eq!(new.steer(), None);
    }

    #[test]
    fn a_process_whose_successor_died_takes_the_connections_again() {
        let mut old = ready(0);
        old.steer();
        old.beside(1);
        old.beside(0);
        // The filter may name the place of the dead: no listener has it, and the kernel finds the one there is.
        assert_eq!(old.steer(), None);
    }

    proptest! {
        #[test]
        fn the_parts_of_all_processes_fit_into_a_limit(limit in 8_usize..100_000, processes in 1_usize..4) {
            let parts = (0..processes).map(|_| ready(processes - 1).part(limit));
            prop_assert!(parts.sum::<usize>() <= limit);
        }
    }
}
