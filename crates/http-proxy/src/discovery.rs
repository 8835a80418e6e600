//! The discovery client: reads the backend list, then watches for changes.

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
use crate::transport::{Handle, UpdateKind, update_backends};
use balancer::api::{Micros, Readiness};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep, sleep_until};

/// A watch that returned no change within this time did not wait at the service.
const UNWAITED_RESPONSE_TIME: Duration = Duration::from_millis(20);
/// The delay before the next call of such a watch, well within the 200 ms in which a watch has to continue.
const UNWAITED_RESPONSE_DELAY: Duration = Duration::from_millis(50);

/// How a discovery service that the whole fleet shares is called.
pub struct OnRequestDiscovery {
    /// The balancer's requests to subscribe to changes.
    pub subscribe_requests: mpsc::UnboundedReceiver<()>,
    /// When this proxy may call the service.
    pub schedule: PollSchedule,
}

/// What [`DiscoveryWatcher`] needs at its start.
pub struct DiscoveryWatcherOptions {
    /// The address of discovery; a reloaded configuration may change it.
    pub addresses: watch::Receiver<SocketAddr>,
    /// Reads discovery's lists.
    pub translator: ListTranslator,
    /// The listed backends and the exclusions.
    pub backend_list: Rc<RefCell<BackendList>>,
    /// The engine that membership updates are handed to.
    pub handle: Handle,
    /// Set once a backend list is available.
    pub has_backend_list: Rc<Cell<bool>>,
    /// How a shared service is called; `None` for an agent on this machine, which is watched all the time.
    pub on_request: Option<OnRequestDiscovery>,
}

/// Watches discovery and hands its lists to the engine.
pub struct DiscoveryWatcher {
    addresses: watch::Receiver<SocketAddr>,
    translator: ListTranslator,
    backend_list: Rc<RefCell<BackendList>>,
    handle: Handle,
    has_backend_list: Rc<Cell<bool>>,
    on_request: Option<OnRequestDiscovery>,
    client: DiscoveryClient,
    /// The revision of the list that changes are requested from; `None` requests a snapshot.
    revision: Option<u64>,
    /// The address has changed: the next call does not wait for a subscribe request.
    address_changed: bool,
    /// The watch is running: its last call succeeded.
    is_watching: bool,
    /// The next call starts a watch. With a shared service the balancer decides when.
    starts_watch: bool,
    /// The configuration's list has a ready backend.
    cached_list_is_usable: bool,
    /// The configuration's list, until it is handed to the balancer or replaced: a newer one may come from an agent first.
    cached_list: Option<Vec<NamedBackend>>,
    /// In a row.
    failures: u32,
    /// In a row.
    oversized_lists: u32,
    call_ended: Rc<Notify>,
}

impl DiscoveryWatcher {
    /// A watcher that has made no call.
    #[must_use]
    pub fn new(options: DiscoveryWatcherOptions) -> Self {
        Self {
            addresses: options.addresses,
            translator: options.translator,
            backend_list: options.backend_list,
            handle: options.handle,
            has_backend_list: options.has_backend_list,
            on_request: options.on_request,
            client: DiscoveryClient::default(),
            revision: None,
            address_changed: false,
            is_watching: false,
            starts_watch: true,
            cached_list_is_usable: false,
            cached_list: None,
            failures: 0,
            oversized_lists: 0,
            call_ended: Rc::default(),
        }
    }

    /// Notified when a call to discovery has ended. Before the first one an agent's list is unknown.
    #[must_use]
    pub fn call_ended(&self) -> Rc<Notify> {
        Rc::clone(&self.call_ended)
    }

    /// Takes the configuration's list, which may be outdated: the next call requests a snapshot. With an agent the balancer
    /// gets this list only once a call has failed.
    ///
    /// In a large fleet the next call requests the changes since that list, if it is complete, be it an empty one: that call
    /// starts the watch as well, and a fleet that restarts has more calls to make than its service can answer in time.
    pub fn start_from(&mut self, known_backends: Value) {
        let list = self.translator.list(known_backends).unwrap_or_else(|error| {
            log(format_args!("`known`: {error}"));
            DiscoveryList {
                revision: 0,
                is_complete: false,
                backends: Vec::new(),
                unreadable_names: Vec::new(),
            }
        });
        let is_ready = |named: &NamedBackend| named.listed.backend.readiness == Readiness::Ready;
        self.cached_list_is_usable = list.backends.iter().any(is_ready);
        let is_large_fleet =
            self.on_request.as_ref().is_some_and(|on_request| on_request.schedule.is_large_fleet());
        if is_large_fleet {
            self.revision = list.is_complete.then_some(list.revision);
            self.has_backend_list.set(self.cached_list_is_usable);
        }
        self.cached_list = Some(list.backends);
        // Also an empty list: the balancer requests a subscription in response.
        if self.on_request.is_some() {
            self.publish_cached_list();
        }
    }

    fn publish_cached_list(&mut self) {
        if let Some(backends) = self.cached_list.take() {
            let updates = self.backend_list.borrow_mut().apply(true, backends);
            update_backends(&self.handle, UpdateKind::CachedSnapshot, &updates);
        }
    }

    /// Watches discovery until the process ends, across changes of its address.
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

    /// Ends the watch at once, since the old service is about to close it, and forgets the revision: revisions of one service
    /// mean nothing to another. The present list stays in use until the new one has arrived.
    fn reset_for_new_address(&mut self) {
        self.client.disconnect();
        (self.revision, self.address_changed, self.starts_watch) = (None, true, true);
        (self.is_watching, self.failures, self.oversized_lists) = (false, 0, 0);
        if let Some(on_request) = &mut self.on_request {
            on_request.schedule.address_changed();
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
        if let Some(on_request) = &mut self.on_request {
            // The engine ends only with the process.
            if on_request.subscribe_requests.recv().await.is_none() {
                std::future::pending::<()>().await;
            }
            while on_request.subscribe_requests.try_recv().is_ok() {}
        }
    }

    async fn wait_for_slot(&mut self) {
        let Some(on_request) = &mut self.on_request else { return };
        let clock = self.handle.clock();
        let at = on_request.schedule.next_call_at(clock.now(), self.has_backend_list.get());
        sleep_until(clock.instant(at)).await;
        on_request.schedule.call_started(at);
    }

    async fn call(&mut self) -> Result<DiscoveryList, DiscoveryError> {
        let call = next_call(CallState {
            schedule: self.on_request.as_ref().map(|on_request| &on_request.schedule),
            revision: self.revision,
            is_watching: self.is_watching,
            failures: self.failures,
        });
        let address = *self.addresses.borrow();
        let list = self.client.get(address, &call.target, call.timeout).await?;
        self.translator.list(serde_json::from_slice(&list).map_err(DiscoveryError::Malformed)?)
    }

    /// Hands on a list and pauses where the service did not wait for changes.
    async fn on_list(&mut self, list: DiscoveryList, started_at: Micros) {
        (self.is_watching, self.failures, self.oversized_lists) = (true, 0, 0);
        if let Some(on_request) = &mut self.on_request {
            on_request.schedule.call_succeeded();
        }
        let has_no_changes = !list.is_complete && list.backends.is_empty();
        self.publish(list);
        self.call_ended.notify_one();
        let duration = self.handle.clock().now().saturating_sub(started_at);
        if has_no_changes && Duration::from_micros(duration) < UNWAITED_RESPONSE_TIME {
            sleep(UNWAITED_RESPONSE_DELAY).await;
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
        updates.extend(backend_list.mark_draining(&list.unreadable_names));
        drop(backend_list);
        if list.is_complete {
            update_backends(&self.handle, UpdateKind::Snapshot, &updates);
        } else if !updates.is_empty() {
            update_backends(&self.handle, UpdateKind::Delta, &updates);
        }
    }

    /// Counts a failure of a call that took `duration` (microseconds). An outage is logged once, and so is a series of
    /// oversized lists, whatever fails in between. Returns the delay after an oversized list.
    fn record_failure(&mut self, error: &DiscoveryError, duration: Micros) -> Option<Duration> {
        let is_oversized = matches!(error, DiscoveryError::Oversized(_));
        let is_first = if is_oversized { self.oversized_lists == 0 } else { self.failures == 0 };
        if is_first {
            log(format_args!("discovery: {error}"));
        }
        self.oversized_lists = self.oversized_lists.saturating_add(u32::from(is_oversized));
        self.failures = self.failures.saturating_add(1);
        if let Some(on_request) = &mut self.on_request {
            on_request.schedule.call_failed(error.as_call_failure(self.is_watching, duration));
        }
        self.client.disconnect();
        (self.starts_watch, self.is_watching) = (true, false);
        is_oversized.then(|| retry_delay::after_oversized_lists(self.oversized_lists, fastrand::f64()))
    }

    /// Prepares the next call. The balancer decides when a shared service is called; an agent is called after a delay, for a
    /// snapshot, since another agent may count its revisions anew.
    async fn recover(&mut self, oversized_delay: Option<Duration>) {
        self.publish_cached_list();
        // Without discovery an outdated list is better than none.
        if self.cached_list_is_usable {
            self.has_backend_list.set(true);
        }
        self.call_ended.notify_one();
        if self.on_request.is_some() {
            if let Some(delay) = oversized_delay {
                sleep(delay).await;
            }
            return update_backends(&self.handle, UpdateKind::Failed, &[]);
        }
        self.revision = None;
        sleep(oversized_delay.unwrap_or(retry_delay::after_failures(self.failures))).await;
    }
}
