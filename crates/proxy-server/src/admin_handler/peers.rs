//! Coordination with the peers, the other processes of the same proxy: shared exclusions and learned limits,
//! quotas, and the steering of new connections.

use super::AdminHandler;
use admin::process_replacement::steer_new_connections;
use http_proxy::log::log;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The interval at which the peers and the shared files are polled. An exclusion that one process has
/// accepted has to be in force in the others within a second.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The number of polls between two snapshots of the learned limits; one snapshot per second.
const POLLS_PER_SNAPSHOT: u32 = 10;

impl AdminHandler {
    /// Polls the peers and the shared files until the process ends, and writes the snapshots of learned
    /// limits.
    pub(crate) async fn poll_peers(self: Rc<Self>) {
        tokio::task::spawn_local(Rc::clone(&self).retry_persisting());
        let mut polls = 0_u32;
        loop {
            sleep(PEER_POLL_INTERVAL).await;
            self.update_status();
            polls += 1;
            if polls.is_multiple_of(POLLS_PER_SNAPSHOT) && self.status.borrow().is_ready() {
                let handle = &self.context.handle;
                self.context.state.write_snapshot(self.clock.now(), || handle.learned_state());
            }
            if let Some(exclusions) = self.context.state.reload_if_changed() {
                self.apply(exclusions);
            }
        }
    }

    /// Persists changes that are in force but not in the file, with retries, until the process ends.
    async fn retry_persisting(self: Rc<Self>) {
        loop {
            sleep(PEER_POLL_INTERVAL).await;
            if self.context.state.has_unpersisted_changes()
                && let Err(error) = self.persist_changes().await
            {
                self.persist_failures.record(&error);
            }
        }
    }

    /// Updates this process's status, and what depends on it: the quotas, the restoring of learned limits,
    /// and the steering of connections.
    pub(super) fn update_status(&self) {
        let mut status = self.status.borrow_mut();
        let peer_count = self.context.state.peer_count();
        if status.set_peer_count(peer_count) {
            log(format_args!("{peer_count} other processes of this proxy are running"));
            let limits = self.context.limits;
            self.context.clients.set_max_connections(status.quota_of(limits.clients));
            self.context.handle.transport().backend_pool.set_max_sockets(status.quota_of(limits.backends));
        }
        if self.context.has_backend_list.get() && status.set_backend_list_received() && peer_count > 0 {
            self.restore_learned_limits();
        }
        // A request of a peer's client must not come here before the peer's claims are known.
        self.context.claims.share_with(peer_count);
        if self.context.claims.are_peers_known()
            && let Some(listener_index) = status.update_steering()
        {
            self.steer_to(listener_index);
        }
    }

    /// Restores the limits that another process of this proxy has learned. Requires that a backend list was
    /// received, since the limits apply to its backends.
    fn restore_learned_limits(&self) {
        let context = &self.context;
        match context
            .state
            .read_snapshot(self.clock.now())
            .map(|learned| context.handle.restore_learned_state(&learned))
        {
            Ok(true) => log(format_args!("restored learned limits from the snapshot")),
            Ok(false) => log(format_args!("learned limits were not restored: classes or kinds differ")),
            Err(error) => log(format_args!("learned limits were not restored: {error}")),
        }
    }

    fn steer_to(&self, listener_index: usize) {
        match steer_new_connections(&*self.context.listener, listener_index) {
            Ok(()) => {
                log(format_args!("steering new connections to this process, listener {listener_index}"));
            }
            Err(error) => log(format_args!("new connections could not be steered to this process: {error}")),
        }
    }
}
