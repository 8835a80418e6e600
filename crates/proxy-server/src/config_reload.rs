//! At SIGHUP the configuration is read again and takes the place of the present one as a whole, or not at all.

use admin::exclusion_store::fingerprint;
use balancer::api::{Micros, Settings};
use http_proxy::class_registry::ClassRegistry;
use http_proxy::clients::ClientConnections;
use http_proxy::config::{Config, ConfigError};
use http_proxy::log::log;
use http_proxy::name_index::NameIndex;
use http_proxy::transport::Handle;
use serde_json::Value;
use settings::reload::{ClassIndices, ReloadError, restart_only_keys};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// For how long a configuration that can't be read is tried, and how often. What discovery has counts as told 4 s after the
/// signal.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The present configuration, and where another one goes.
pub struct ConfigReload {
    /// The configuration that the process started with, of which some holds until it ends.
    start: Value,
    shape: Value,
    settings: Settings,
    classes: ClassIndices,
    /// What the settings name, as the process started with it.
    names: NameIndex,
    /// The fingerprint of what is learnt of.
    learns: Rc<Cell<u64>>,
    handle: Handle,
    /// The longest that a client waits, of the classes that hold.
    longest: Rc<Cell<Micros>>,
}

impl ConfigReload {
    /// The configuration that the proxy starts with. `learns` is kept at the fingerprint of what is learnt of.
    ///
    /// # Errors
    /// Where its classes can't be told apart.
    pub fn new(
        shape: Value,
        settings: Settings,
        names: NameIndex,
        handle: Handle,
        learns: Rc<Cell<u64>>,
    ) -> Result<Self, ReloadError> {
        let classes = ClassIndices::new(&names.classes)?;
        learns.set(learnt_of(&classes, &names));
        let longest = Rc::new(Cell::new(longest(&classes, &settings)));
        Ok(Self { start: shape.clone(), shape, settings, classes, names, learns, handle, longest })
    }

    /// The classes as clients name them.
    #[must_use]
    pub fn client_classes(&self, now: Micros) -> ClassRegistry {
        let mut classes = ClassRegistry::default();
        classes.update(now, &self.settings, self.classes.named());
        classes
    }

    /// The longest that a client waits.
    #[must_use]
    pub fn longest(&self) -> Rc<Cell<Micros>> {
        Rc::clone(&self.longest)
    }

    /// Reads the configuration again at each SIGHUP, for as long as the proxy runs. Serving goes on meanwhile; a file that
    /// can't be used changes nothing.
    pub async fn follow(
        mut self,
        mut reload: Signal,
        discovery: watch::Sender<SocketAddr>,
        clients: Rc<ClientConnections>,
    ) {
        while reload.recv().await.is_some() {
            match self.renew_once_readable(&clients).await {
                Ok(address) => {
                    discovery.send_if_modified(|now| std::mem::replace(now, address) != address);
                }
                Err(error) => log(format_args!("kept the old configuration: {error}")),
            }
        }
    }

    /// A file that can't be read for a moment is read again: what it says counts from the signal on.
    async fn renew_once_readable(&mut self, clients: &ClientConnections) -> Result<SocketAddr, ConfigError> {
        let end = Instant::now() + READ_TIMEOUT;
        loop {
            match self.renew(clients) {
                Err(ConfigError::Unreadable(..)) if Instant::now() < end => sleep(READ_RETRY_DELAY).await,
                renewed => return renewed,
            }
        }
    }

    /// Everything is read and checked before anything changes; then all of it changes in one step.
    fn renew(&mut self, clients: &ClientConnections) -> Result<SocketAddr, ConfigError> {
        let config = Config::reload(&self.shape)?;
        let mut classes = self.classes.clone();
        let settings = classes.renew(&self.settings, &config.settings, &config.names.classes);
        let settings = settings.map_err(ConfigError::Reload)?;
        self.handle.update_settings(&settings).map_err(ConfigError::Settings)?;
        self.handle
            .transport()
            .backend_pool
            .set_timeouts(config.connect_timeout, settings.permissions.idle_connection_timeout);
        clients.classes().borrow_mut().update(self.handle.clock().now(), &settings, classes.named());
        self.longest.set(longest(&classes, &settings));
        self.learns.set(learnt_of(&classes, &self.names));
        if settings != self.settings {
            let names: Vec<_> = classes.named().map(|(_, name)| name).collect();
            let attempts = settings.permissions.max_attempts;
            log(format_args!("settings now: classes {}; {attempts} attempts", names.join(" ")));
        }
        let kept = restart_only_keys(&self.start, &config.shape);
        if !kept.is_empty() {
            log(format_args!("these stay as they were until a restart: {}", kept.join(" ")));
        }
        log(format_args!("read the configuration again: discovery is at {}", config.discovery));
        (self.classes, self.settings, self.shape) = (classes, settings, config.shape);
        Ok(config.discovery)
    }
}

/// The longest that a client of the classes that hold waits. Whoever ends the process goes by these, and what came under
/// others before has its answer by then as well.
fn longest(classes: &ClassIndices, settings: &Settings) -> Micros {
    let held = classes.named().filter_map(|(place, _)| settings.classes.get(place));
    held.map(|class| class.deadline).max().unwrap_or_default()
}

/// Limits and latencies are learnt by class, kind and zone: figures of others by the same places are another's.
fn learnt_of(classes: &ClassIndices, names: &NameIndex) -> u64 {
    let classes = classes.named().flat_map(|(place, name)| [place.to_string(), name.to_owned()]);
    let others = [&names.kinds, &names.zones]
        .into_iter()
        .flat_map(|list| std::iter::once(String::new()).chain(list.iter().cloned()));
    let all: Vec<String> = classes.chain(others).collect();
    fingerprint(all.iter().map(String::as_str))
}
