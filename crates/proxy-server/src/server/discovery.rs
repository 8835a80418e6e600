//! Construction of the discovery watcher.

use admin::exclusions::Exclusions;
use http_proxy::backend_list::BackendList;
use http_proxy::config::Config;
use http_proxy::discovery::{DiscoveryWatcher, ListTranslator};
use http_proxy::poll_schedule::PollSchedule;
use http_proxy::transport::Handle;
use std::cell::{Cell, RefCell};
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// The discovery watcher, and what it shares with others.
pub(super) struct DiscoveryParts {
    pub(super) watcher: DiscoveryWatcher,
    pub(super) backend_list: Rc<RefCell<BackendList>>,
    /// Set once a backend list was received.
    pub(super) has_backend_list: Rc<Cell<bool>>,
    /// Changes the address of discovery while the proxy runs.
    pub(super) address_sender: watch::Sender<SocketAddr>,
}

impl DiscoveryParts {
    /// Creates the watcher, and gives it the backend list of the configuration, which is taken out of `config`.
    /// `poll_requests` are followed where the settings leave it to the engine when discovery is polled.
    pub(super) fn create(
        config: &mut Config,
        exclusions: Exclusions,
        poll_requests: mpsc::UnboundedReceiver<()>,
        handle: &Handle,
    ) -> Self {
        let settings = &config.settings;
        let has_backend_list = Rc::new(Cell::new(false));
        let translator = ListTranslator::new(handle.clock(), &config.names, &settings.safety);
        let (address_sender, addresses) = watch::channel(config.discovery);
        let schedule = || {
            PollSchedule::of(
                settings.instance_index,
                settings.instance_count,
                settings.safety.max_poll_interval,
            )
        };
        let polling = settings.discovery_on_request.then(|| (poll_requests, schedule()));
        let backend_list = Rc::new(RefCell::new(BackendList::new(exclusions)));
        let mut watcher = DiscoveryWatcher::new(
            addresses,
            translator,
            Rc::clone(&backend_list),
            handle.clone(),
            Rc::clone(&has_backend_list),
            polling,
        );
        watcher.start_from(mem::take(&mut config.known));
        Self { watcher, backend_list, has_backend_list, address_sender }
    }
}
