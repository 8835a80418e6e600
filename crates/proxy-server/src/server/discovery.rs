//! Construction of the discovery watcher.

use admin::exclusions::Exclusions;
use http_proxy::backend_list::BackendList;
use http_proxy::config::Config;
use http_proxy::discovery::{DiscoveryWatcher, DiscoveryWatcherOptions, ListTranslator, SharedDiscovery};
use http_proxy::poll_schedule::PollSchedule;
use http_proxy::transport::EngineHandle;
use std::cell::{Cell, RefCell};
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// The discovery watcher, and the parts that it shares with other components.
pub(super) struct DiscoveryParts {
    pub(super) watcher: DiscoveryWatcher,
    pub(super) backend_list: Rc<RefCell<BackendList>>,
    /// Set to `true` once a backend list was received.
    pub(super) has_backend_list: Rc<Cell<bool>>,
    /// Changes discovery's address while the proxy runs.
    pub(super) address_sender: watch::Sender<SocketAddr>,
}

impl DiscoveryParts {
    /// Creates the watcher, which starts from the last known backend list in `config`; that list is moved out
    /// of `config`. `subscribe_requests` carries the engine's requests to poll discovery, which are used if
    /// the settings enable discovery on request.
    pub(super) fn create(
        config: &mut Config,
        exclusions: Exclusions,
        subscribe_requests: mpsc::UnboundedReceiver<()>,
        handle: &EngineHandle,
    ) -> Self {
        let settings = &config.settings;
        let has_backend_list = Rc::new(Cell::new(false));
        let translator = ListTranslator::new(handle.clock(), &config.names, &settings.safety);
        let (address_sender, addresses) = watch::channel(config.discovery);
        let shared_service = settings.discovery_on_request.then(|| SharedDiscovery {
            subscribe_requests,
            schedule: PollSchedule::new(
                settings.instance_index,
                settings.instance_count,
                settings.safety.max_poll_interval,
            ),
        });
        let backend_list = Rc::new(RefCell::new(BackendList::new(exclusions)));
        let mut watcher = DiscoveryWatcher::new(DiscoveryWatcherOptions {
            addresses,
            translator,
            backend_list: Rc::clone(&backend_list),
            handle: handle.clone(),
            has_backend_list: Rc::clone(&has_backend_list),
            shared_service,
        });
        watcher.set_cached_list(mem::take(&mut config.known_backends));
        Self { watcher, backend_list, has_backend_list, address_sender }
    }
}
