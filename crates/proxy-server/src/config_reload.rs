//! Reloading of the configuration at SIGHUP: either the complete new configuration is applied or nothing
//! changes.

use crate::class_versions::SharedClassVersions;
use admin::fingerprint::fingerprint;
use balancer::api::{Micros, Settings};
use http_proxy::config::{Config, ConfigError};
use http_proxy::log::log;
use http_proxy::name_index::NameIndex;
use http_proxy::transport::EngineHandle;
use request_engine::class_registry::{ClassRegistry, SharedClasses};
use serde_json::Value;
use settings::reload::{ClassIndices, ReloadError, restart_only_keys};
use socket_io::retry::retry;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long the reading of an unreadable configuration is retried. The state that discovery reports is
/// expected to be in force 4 s after the signal.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The configuration in force, and the parts that a reload updates.
pub(crate) struct ConfigReload {
    /// The configuration file at the process's start. Some settings are applied only then and remain until
    /// the process ends.
    initial_document: Value,
    document: Value,
    settings: Settings,
    class_indices: ClassIndices,
    /// The request classes in force, which all front ends use.
    classes: SharedClasses,
    /// The names in the configuration at the process's start. A reload does not change machine kinds and
    /// zones.
    names: NameIndex,
    /// Identifies the request classes, machine kinds and zones by which limits are learned.
    fingerprint: Rc<Cell<u64>>,
    handle: EngineHandle,
    /// The longest deadline of the request classes in force, in microseconds.
    longest_deadline: Rc<Cell<Micros>>,
    /// `None` if this process can't be replaced while it serves.
    shared_versions: Option<SharedClassVersions>,
}

impl ConfigReload {
    /// Starts from the configuration in force, and from the versions of classes that an earlier process shares.
    /// `configuration_fingerprint` is set now and at each reload.
    ///
    /// # Errors
    /// If no indices can be assigned to the request classes.
    pub(crate) fn new(
        config: &Config,
        handle: EngineHandle,
        configuration_fingerprint: Rc<Cell<u64>>,
        shared_versions: Option<SharedClassVersions>,
    ) -> Result<Self, ReloadError> {
        let class_indices = ClassIndices::new(&config.names.classes)?;
        configuration_fingerprint.set(learning_fingerprint(&class_indices, &config.names));
        let longest_deadline = Rc::new(Cell::new(longest_deadline(&class_indices, &config.settings)));
        let mut classes = ClassRegistry::default();
        let now = handle.clock().now();
        classes.update(now, &config.settings, class_indices.named());
        if let Some(shared) = &shared_versions {
            classes.add_earlier(now, &shared.read());
        }
        Ok(Self {
            initial_document: config.document_without_list.clone(),
            document: config.document_without_list.clone(),
            settings: config.settings.clone(),
            class_indices,
            classes: Rc::new(RefCell::new(classes)),
            names: config.names.clone(),
            fingerprint: configuration_fingerprint,
            handle,
            longest_deadline,
            shared_versions,
        })
    }

    /// The request classes in force, which all front ends use; updated at each reload.
    #[must_use]
    pub(crate) fn classes(&self) -> SharedClasses {
        Rc::clone(&self.classes)
    }

    /// The longest deadline of the request classes in force, in microseconds; updated at each reload.
    #[must_use]
    pub(crate) fn longest_deadline(&self) -> Rc<Cell<Micros>> {
        Rc::clone(&self.longest_deadline)
    }

    /// Reloads the configuration at each signal until the process ends. After a failed reload the previous
    /// configuration remains in force.
    pub(crate) async fn reload_on_signals(
        mut self,
        mut reload: Signal,
        discovery: watch::Sender<SocketAddr>,
    ) {
        while reload.recv().await.is_some() {
            match self.reload_with_retry().await {
                Ok(address) => {
                    discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
                    self.share_versions().await;
                }
                Err(error) => {
                    log(format_args!("reload failed, the previous configuration remains in force: {error}"));
                }
            }
        }
    }

    /// Passes the versions of classes that clients may know on to a process that replaces this one.
    async fn share_versions(&self) {
        if let Some(shared) = &self.shared_versions {
            let versions = self.classes.borrow().versions(self.handle.clock().now());
            shared.write(versions).await;
        }
    }

    /// Reloads the configuration, with retries while the file cannot be read: the file's content is to be
    /// in force from the signal on.
    async fn reload_with_retry(&mut self) -> Result<SocketAddr, ConfigError> {
        let deadline = Instant::now() + READ_TIMEOUT;
        let is_unreadable = |error: &ConfigError| matches!(error, ConfigError::Unreadable(..));
        retry(Some(deadline), READ_RETRY_DELAY, is_unreadable, async || self.reload()).await
    }

    /// Reads and checks the complete configuration, and then applies it. Returns discovery's address.
    fn reload(&mut self) -> Result<SocketAddr, ConfigError> {
        let config = Config::reload(&self.document)?;
        let mut class_indices = self.class_indices.clone();
        let settings = class_indices.reload(&self.settings, &config.settings, &config.names.classes);
        let settings = settings.map_err(ConfigError::Reload)?;
        self.handle.update_settings(&settings).map_err(ConfigError::Settings)?;
        self.handle
            .transport()
            .backend_pool
            .set_timeouts(config.connect_timeout, settings.permissions.idle_connection_timeout);
        self.classes.borrow_mut().update(self.handle.clock().now(), &settings, class_indices.named());
        self.longest_deadline.set(longest_deadline(&class_indices, &settings));
        self.fingerprint.set(learning_fingerprint(&class_indices, &self.names));
        self.log_changes(&config, &settings, &class_indices);
        self.class_indices = class_indices;
        self.settings = settings;
        self.document = config.document_without_list;
        Ok(config.discovery)
    }

    fn log_changes(&self, config: &Config, settings: &Settings, classes: &ClassIndices) {
        if *settings != self.settings {
            let names: Vec<_> = classes.named().map(|(_, name)| name).collect();
            let attempts = settings.permissions.max_attempts;
            log(format_args!("settings in force: classes {}; {attempts} attempts", names.join(" ")));
        }
        let unapplied = restart_only_keys(&self.initial_document, &config.document_without_list);
        if !unapplied.is_empty() {
            log(format_args!("settings that require a restart were not applied: {}", unapplied.join(" ")));
        }
        log(format_args!("reloaded the configuration: discovery is at {}", config.discovery));
    }
}

/// The longest deadline of the request classes in force, in microseconds. Draining limits requests of classes
/// that were removed earlier to it as well.
fn longest_deadline(classes: &ClassIndices, settings: &Settings) -> Micros {
    let in_force = classes.named().filter_map(|(index, _)| settings.classes.get(index));
    in_force.map(|class| class.deadline).max().unwrap_or_default()
}

/// The fingerprint of the dimensions by which limits and latencies are learned: request classes with their
/// indices, machine kinds and zones.
fn learning_fingerprint(classes: &ClassIndices, names: &NameIndex) -> u64 {
    let classes = classes.named().flat_map(|(index, name)| [index.to_string(), name.to_owned()]);
    let kinds_and_zones = [&names.machine_kinds, &names.zones]
        .into_iter()
        .flat_map(|list| std::iter::once(String::new()).chain(list.iter().cloned()));
    let texts: Vec<String> = classes.chain(kinds_and_zones).collect();
    fingerprint(texts.iter().map(String::as_str))
}
