//! The discovery client: reads the backend list, then watches it for changes.

mod client;
mod error;
mod next_call;
mod retry_delay;
mod start_times;
mod translator;

pub use client::MAX_LIST_BYTES;
pub use error::DiscoveryError;
pub use translator::{DiscoveryList, ListTranslator};

use self::client::DiscoveryClient;
use self::next_call::{CallState, next_call};
use crate::backend_list::{BackendList, NamedBackend};
use crate::log::log;
use crate::poll_schedule::PollSchedule;
use crate::transport::{EngineHandle, UpdateKind, update_backends};
use balancer::api::{Micros, Readiness};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep, sleep_until};

/// A watch call that returned no changes within this time did not wait at the service.
const IMMEDIATE_RESPONSE_TIME: Duration = Duration::from_millis(20);
/// The delay before the next call of such a watch, well below the 200 ms within which a watch has to
/// continue.
const IMMEDIATE_RESPONSE_DELAY: Duration = Duration::from_millis(50);

/// What a discovery service that the complete fleet shares requires.
pub struct SharedDiscovery {
    /// The balancer's requests to subscribe to changes.
    pub subscribe_requests: mpsc::UnboundedReceiver<()>,
    /// The times at which this proxy may call the service.
    pub schedule: PollSchedule,
}

/// The parameters of a [`DiscoveryWatcher`].
pub struct DiscoveryWatcherOptions {
    /// The address of discovery, which a reloaded configuration may change.
    pub addresses: watch::Receiver<SocketAddr>,
    /// Parses discovery's lists.
    pub translator: ListTranslator,
    /// The listed backends and the exclusions.
    pub backend_list: Rc<RefCell<BackendList>>,
    /// The engine that receives the membership updates.
    pub handle: EngineHandle,
    /// Set to true once a backend list is available.
    pub has_backend_list: Rc<Cell<bool>>,
    /// Present if discovery is a shared service; `None` for an agent on this machine, which is watched
    /// without interruption.
    pub shared_service: Option<SharedDiscovery>,
}

/// Watches discovery and passes its lists to the engine.
pub struct DiscoveryWatcher {
    addresses: watch::Receiver<SocketAddr>,
    translator: ListTranslator,
    backend_list: Rc<RefCell<BackendList>>,
    handle: EngineHandle,
    has_backend_list: Rc<Cell<bool>>,
    shared_service: Option<SharedDiscovery>,
    client: DiscoveryClient,
    /// The revision since which changes are requested; `None` requests a snapshot.
    revision: Option<u64>,
    /// The address has changed: the next call does not wait for a subscribe request.
    address_changed: bool,
    /// The watch is running: the last call succeeded.
    is_watching: bool,
    /// The next call starts a watch. With a shared service the balancer decides when that happens.
    starts_watch: bool,
    /// The list in the configuration has a ready backend.
    cached_list_is_usable: bool,
    /// The list in the configuration, until it is passed to the balancer or replaced: an agent may deliver a
    /// newer list first.
    cached_list: Option<Vec<NamedBackend>>,
    /// Of calls for any reason.
    consecutive_failures: u32,
    /// Calls that failed for other reasons in between do not reset it.
    consecutive_oversized_lists: u32,
    call_ended: Rc<Notify>,
}

impl DiscoveryWatcher {
    /// A watcher that has not called discovery yet.
    #[must_use]
    pub fn new(options: DiscoveryWatcherOptions) -> Self {
        Self {
            addresses: options.addresses,
            translator: options.translator,
            backend_list: options.backend_list,
            handle: options.handle,
            has_backend_list: options.has_backend_list,
            shared_service: options.shared_service,
            client: DiscoveryClient::default(),
            revision: None,
            address_changed: false,
            is_watching: false,
            starts_watch: true,
            cached_list_is_usable: false,
            cached_list: None,
            consecutive_failures: 0,
            consecutive_oversized_lists: 0,
            call_ended: Rc::default(),
        }
    }

    /// Notified when a call to discovery has ended. Until the first call ends, an agent's list is unknown.
    #[must_use]
    pub fn call_ended(&self) -> Rc<Notify> {
        Rc::clone(&self.call_ended)
    }

    /// Sets the last known list, which the configuration contains and which may be outdated: the next call
    /// requests a snapshot. With an agent the balancer gets this list only after a call has failed.
    ///
    /// In a large fleet, if the last known list is complete (even if it is empty), the next call requests the
    /// changes since that list instead of a snapshot. That call starts the watch as well; a large fleet that
    /// restarts would otherwise make more calls than its service can answer in time.
    pub fn set_cached_list(&mut self, known_backends: Value) {
        let list = self.translator.list(known_backends).unwrap_or_else(|error| {
            log(format_args!("cannot read the backend list `known` of the configuration: {error}"));
            DiscoveryList { revision: 0, is_complete: false, backends: Vec::new(), invalid_names: Vec::new() }
        });
        let is_ready = |named: &NamedBackend| named.listed.backend.readiness == Readiness::Ready;
        self.cached_list_is_usable = list.backends.iter().any(is_ready);
        let is_large_fleet = self
            .shared_service
            .as_ref()
            .is_some_and(|shared_service| shared_service.schedule.is_large_fleet());
        if is_large_fleet {
            self.revision = list.is_complete.then_some(list.revision);
            self.has_backend_list.set(self.cached_list_is_usable);
        }
        self.cached_list = Some(list.backends);
        // An empty list is published as well: in response the balancer requests a subscription.
        if self.shared_service.is_some() {
            self.publish_cached_list();
        }
    }

    fn publish_cached_list(&mut self) {
        if let Some(backends) = self.cached_list.take() {
            let updates = self.backend_list.borrow_mut().apply(true, backends);
            update_backends(&self.handle, UpdateKind::CachedSnapshot, &updates);
        }
    }

    /// Watches discovery until the process ends, also after its address changes.
    pub async fn run(mut self) {
        let mut addresses = self.addresses.clone();
        addresses.mark_unchanged();
        loop {
            tokio::select! {
                () = self.watch() => return,
                Ok(()) = addresses.changed() => self.reset_for_new_address(),
            }
        }
    }

    /// Ends the watch immediately, since the previous service is about to close it, and resets the revision:
    /// the revisions of one service are meaningless to another. The present list stays in use until the new
    /// one arrives.
    fn reset_for_new_address(&mut self) {
        self.client.disconnect();
        (self.revision, self.address_changed, self.starts_watch) = (None, true, true);
        (self.is_watching, self.consecutive_failures, self.consecutive_oversized_lists) = (false, 0, 0);
        if let Some(shared_service) = &mut self.shared_service {
            shared_service.schedule.address_changed();
        }
    }

    /// Watches discovery at its present address until the process ends.
    async fn watch(&mut self) {
        loop {
            if std::mem::take(&mut self.starts_watch) {
                if !std::mem::take(&mut self.address_changed) {
                    self.wait_for_subscribe_request().await;
                }
                self.wait_for_slot().await;
            }
            let started_at = self.handle.clock().now();
            match self.call().await {
                Ok(list) => self.on_list(list, started_at).await,
                Err(error) => {
                    let duration = self.handle.clock().now().saturating_sub(started_at);
                    let delay = self.record_failure(&error, duration);
                    self.recover(delay).await;
                }
            }
        }
    }

    async fn wait_for_subscribe_request(&mut self) {
        if let Some(shared_service) = &mut self.shared_service {
            // The engine ends only with the process.
            if shared_service.subscribe_requests.recv().await.is_none() {
                std::future::pending::<()>().await;
            }
            while shared_service.subscribe_requests.try_recv().is_ok() {}
        }
    }

    async fn wait_for_slot(&mut self) {
        let Some(shared_service) = &mut self.shared_service else { return };
        let clock = self.handle.clock();
        let at = shared_service.schedule.next_call_at(clock.now(), self.has_backend_list.get());
        sleep_until(clock.instant(at)).await;
        shared_service.schedule.call_started(at);
    }

    async fn call(&mut self) -> Result<DiscoveryList, DiscoveryError> {
        let call = next_call(CallState {
            schedule: self.shared_service.as_ref().map(|shared_service| &shared_service.schedule),
            revision: self.revision,
            is_watching: self.is_watching,
            consecutive_failures: self.consecutive_failures,
        });
        let address = *self.addresses.borrow();
        let list = self.client.get(address, &call.target, call.timeout).await?;
        self.translator.list(serde_json::from_slice(&list).map_err(DiscoveryError::Malformed)?)
    }

    /// Publishes a list, and pauses if the service did not wait for changes.
    async fn on_list(&mut self, list: DiscoveryList, started_at: Micros) {
        (self.is_watching, self.consecutive_failures, self.consecutive_oversized_lists) = (true, 0, 0);
        if let Some(shared_service) = &mut self.shared_service {
            shared_service.schedule.call_succeeded();
        }
        let has_no_changes = !list.is_complete && list.backends.is_empty();
        self.publish(list);
        self.call_ended.notify_one();
        let duration = self.handle.clock().now().saturating_sub(started_at);
        if has_no_changes && Duration::from_micros(duration) < IMMEDIATE_RESPONSE_TIME {
            sleep(IMMEDIATE_RESPONSE_DELAY).await;
        }
    }

    fn publish(&mut self, list: DiscoveryList) {
        self.revision = Some(list.revision);
        self.has_backend_list.set(true);
        if list.is_complete {
            self.cached_list = None;
        } else {
            self.publish_cached_list();
        }
        let mut backend_list = self.backend_list.borrow_mut();
        let mut updates = backend_list.apply(list.is_complete, list.backends);
        updates.extend(backend_list.mark_draining(&list.invalid_names));
        drop(backend_list);
        if list.is_complete {
            update_backends(&self.handle, UpdateKind::Snapshot, &updates);
        } else if !updates.is_empty() {
            update_backends(&self.handle, UpdateKind::Delta, &updates);
        }
    }

    /// Records the failure of a call that took `duration` (microseconds). Only the first failure of an outage
    /// is logged, and only the first of consecutive oversized lists, even if calls fail for other reasons in
    /// between. Returns the delay that an oversized list requires.
    fn record_failure(&mut self, error: &DiscoveryError, duration: Micros) -> Option<Duration> {
        let is_oversized = matches!(error, DiscoveryError::Oversized(_));
        let is_first =
            if is_oversized { self.consecutive_oversized_lists == 0 } else { self.consecutive_failures == 0 };
        if is_first {
            log(format_args!("discovery: {error}"));
        }
        self.consecutive_oversized_lists =
            self.consecutive_oversized_lists.saturating_add(u32::from(is_oversized));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if let Some(shared_service) = &mut self.shared_service {
            shared_service.schedule.call_failed(error.as_call_failure(self.is_watching, duration));
        }
        self.client.disconnect();
        (self.starts_watch, self.is_watching) = (true, false);
        is_oversized
            .then(|| retry_delay::after_oversized_lists(self.consecutive_oversized_lists, fastrand::f64()))
    }

    /// Prepares the next call. The balancer decides when a shared service is called. An agent is called after
    /// a delay and for a snapshot, since another agent may have replaced it and counts its revisions from the
    /// start.
    async fn recover(&mut self, oversized_delay: Option<Duration>) {
        self.publish_cached_list();
        // While discovery is unavailable, an outdated list is better than none.
        if self.cached_list_is_usable {
            self.has_backend_list.set(true);
        }
        self.call_ended.notify_one();
        if self.shared_service.is_some() {
            if let Some(delay) = oversized_delay {
                sleep(delay).await;
            }
            return update_backends(&self.handle, UpdateKind::Failed, &[]);
        }
        self.revision = None;
        sleep(oversized_delay.unwrap_or(retry_delay::after_failures(self.consecutive_failures))).await;
    }
}
