//! Execution of console commands, and coordination with the other processes of the same proxy. The logic is
//! in `admin` and in `http_proxy::backend_list`; this module connects it to the running proxy.

mod peers;

use crate::persistence::PersistentState;
use admin::command::{ConsoleCommand, ConsoleResponse};
use admin::exclusion_store::StoreError;
use admin::exclusions::{Exclusions, TooManyExclusions};
use admin::process_status::ProcessStatus;
use admin::unpersisted::ExclusionChange;
use http_proxy::backend_list::BackendList;
use http_proxy::clients::ClientConnections;
use http_proxy::log::{FailureLog, log};
use http_proxy::shared_claims::SharedClaims;
use http_proxy::transport::{EngineHandle, UpdateKind, update_backends};
use request_engine::driver::clock::Clock;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// How long a command waits until its change is persisted. Commands have to be answered within a second.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum numbers of open connections of all processes of this proxy together; each process gets an
/// equal quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// With clients.
    pub(crate) clients: usize,
    /// With backends.
    pub(crate) backends: usize,
}

/// The components that the admin handler reads and controls.
pub(crate) struct AdminContext {
    pub(crate) state: PersistentState,
    /// The claims that are shared with the peers.
    pub(crate) claims: Rc<SharedClaims>,
    pub(crate) backend_list: Rc<RefCell<BackendList>>,
    /// Set to `true` once a backend list was received.
    pub(crate) has_backend_list: Rc<Cell<bool>>,
    pub(crate) handle: EngineHandle,
    pub(crate) listener: Rc<TcpListener>,
    pub(crate) clients: Rc<ClientConnections>,
    pub(crate) limits: ConnectionLimits,
}

/// Executes console commands, and polls the other processes of this proxy.
pub(crate) struct AdminHandler {
    context: AdminContext,
    status: RefCell<ProcessStatus>,
    clock: Clock,
    persist_failures: FailureLog,
}

/// The result of a change that is in force.
struct ChangeOutcome {
    /// Whether the backend's state changed.
    has_changed: bool,
    /// Appended to the response if the change is not persisted yet; empty otherwise.
    persistence_note: String,
}

impl AdminHandler {
    /// Creates the handler, and updates the process status for the first time.
    #[must_use]
    pub(crate) fn new(context: AdminContext) -> Rc<Self> {
        let admin_handler = Self {
            clock: context.handle.clock(),
            context,
            status: RefCell::default(),
            persist_failures: FailureLog::new("a change of exclusions is in force but not persisted"),
        };
        admin_handler.update_status();
        Rc::new(admin_handler)
    }

    pub(crate) async fn execute(self: Rc<Self>, command: ConsoleCommand) -> ConsoleResponse {
        let response = match command {
            ConsoleCommand::Ready => {
                self.update_status();
                return self.readiness_response();
            }
            ConsoleCommand::Exclude(id) => self.exclude(&id).await,
            ConsoleCommand::Include(id) => self.include(&id).await,
        };
        log(format_args!("console: {response}"));
        response
    }

    /// Records that this process is draining.
    pub(crate) fn begin_draining(&self) {
        self.status.borrow_mut().begin_draining();
    }

    /// Reports whether this process is ready. If requests ended without a backend's response, their counts by
    /// cause are appended.
    fn readiness_response(&self) -> ConsoleResponse {
        let unserved = self.context.handle.counts().unserved;
        match self.status.borrow().readiness_response() {
            ConsoleResponse::Success(text) if unserved.total() > 0 => {
                ConsoleResponse::Success(format!("{text}; without a backend's response: {unserved}"))
            }
            response => response,
        }
    }

    async fn exclude(self: &Rc<Self>, id: &str) -> ConsoleResponse {
        if !self.context.backend_list.borrow().is_known(id) {
            return unknown_backend(id);
        }
        match self.change(ExclusionChange::Exclude(id.to_owned(), self.clock.now())).await {
            Ok(ChangeOutcome { has_changed, persistence_note }) => {
                let serving = self.context.backend_list.borrow().ready_count();
                let verb = if has_changed { "is" } else { "was already" };
                ConsoleResponse::Success(format!(
                    "{id} {verb} out; {serving} backends serve{persistence_note}"
                ))
            }
            Err(error) => ConsoleResponse::Failure(format!("{id} is not taken out: {error}")),
        }
    }

    async fn include(self: &Rc<Self>, id: &str) -> ConsoleResponse {
        if !self.context.backend_list.borrow().is_known(id) {
            return unknown_backend(id);
        }
        match self.change(ExclusionChange::Include(id.to_owned(), self.clock.now())).await {
            Ok(ChangeOutcome { has_changed: true, persistence_note }) => {
                ConsoleResponse::Success(format!("{id} may serve{persistence_note}"))
            }
            Ok(ChangeOutcome { has_changed: false, persistence_note }) => {
                ConsoleResponse::Success(format!("{id} was not out{persistence_note}"))
            }
            Err(error) => ConsoleResponse::Failure(format!("{id} is not called back: {error}")),
        }
    }

    /// Changes the exclusions. The change is in force immediately, even if the disk fails, and is then
    /// persisted for the processes that replace this one.
    async fn change(self: &Rc<Self>, change: ExclusionChange) -> Result<ChangeOutcome, TooManyExclusions> {
        let mut exclusions = self.context.backend_list.borrow().exclusions().clone();
        let has_changed = self.context.state.change(&mut exclusions, change)?;
        self.apply(exclusions);
        // A separate task, so that it continues after the client has disconnected or the wait has timed out.
        let admin_handler = Rc::clone(self);
        let persisting = tokio::task::spawn_local(async move { admin_handler.persist_changes().await });
        let persistence_note = match timeout(PERSIST_TIMEOUT, persisting).await {
            Ok(Ok(Ok(()))) => String::new(),
            Ok(Ok(Err(error))) => format!("; not kept yet, and tried again: {error}"),
            Ok(Err(_)) | Err(_) => "; not kept yet, and tried again".to_owned(),
        };
        Ok(ChangeOutcome { has_changed, persistence_note })
    }

    async fn persist_changes(&self) -> Result<(), StoreError> {
        let current = self.context.backend_list.borrow().exclusions().clone();
        let exclusions = self.context.state.persist_changes(&current, self.clock.now()).await?;
        self.apply(exclusions);
        Ok(())
    }

    /// Puts these exclusions in force, and logs them if they differ from the previous ones.
    fn apply(&self, exclusions: Exclusions) {
        let backend_list = &self.context.backend_list;
        if backend_list.borrow().exclusions().differing_ids(&exclusions).is_empty() {
            return;
        }
        let ids = exclusions.excluded_ids().collect::<Vec<_>>().join(" ");
        log(format_args!("excluded backends now: {}", if ids.is_empty() { "none" } else { &ids }));
        let changed = backend_list.borrow_mut().set_exclusions(exclusions);
        if !changed.is_empty() {
            update_backends(&self.context.handle, UpdateKind::Delta, &changed);
        }
    }
}

fn unknown_backend(id: &str) -> ConsoleResponse {
    ConsoleResponse::Failure(format!("no backend is called {id}"))
}
