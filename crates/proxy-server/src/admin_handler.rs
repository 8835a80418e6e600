//! Execution of console commands, and coordination with the other processes of the same proxy. The decisions are in `admin`
//! and in `http_proxy::backend_list`.

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
use http_proxy::transport::{Handle, UpdateKind, update_backends};
use request_engine::driver::clock::Clock;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// How long a command waits for the disk. With this wait it is still answered within a second.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(800);

/// The connections that this process may have open while it is alone; divided among the processes of the proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// With clients.
    pub(crate) clients: usize,
    /// With backends.
    pub(crate) backends: usize,
}

/// The parts of the process that the admin handler reads and controls.
pub(crate) struct AdminContext {
    pub(crate) state: PersistentState,
    pub(crate) backend_list: Rc<RefCell<BackendList>>,
    /// Set once a backend list was received.
    pub(crate) has_backend_list: Rc<Cell<bool>>,
    pub(crate) handle: Handle,
    pub(crate) listener: Rc<TcpListener>,
    pub(crate) clients: Rc<ClientConnections>,
    pub(crate) limits: ConnectionLimits,
}

/// Executes console commands and follows the other processes of this proxy.
pub(crate) struct AdminHandler {
    context: AdminContext,
    status: RefCell<ProcessStatus>,
    clock: Clock,
    persist_failures: FailureLog,
}

/// The result of an accepted change.
struct ChangeOutcome {
    /// Whether the backend's state changed.
    has_changed: bool,
    /// What the response adds where the change is not persisted yet; empty otherwise.
    persistence_note: String,
}

impl AdminHandler {
    /// Creates the handler, and counts the other processes for the first time.
    #[must_use]
    pub(crate) fn new(context: AdminContext) -> Rc<Self> {
        let admin_handler = Self {
            clock: context.handle.clock(),
            context,
            status: RefCell::default(),
            persist_failures: FailureLog::of("a change of exclusions is in force and not persisted"),
        };
        admin_handler.update_status();
        Rc::new(admin_handler)
    }

    /// Executes a command.
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

    /// Whether this process is ready, and why requests ended without a backend's response so far, if any did.
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

    /// Changes the exclusions: the change is in force at once, whatever the state of the disk, and is then persisted so that
    /// it outlives this process.
    async fn change(self: &Rc<Self>, change: ExclusionChange) -> Result<ChangeOutcome, TooManyExclusions> {
        let mut exclusions = self.context.backend_list.borrow().exclusions().clone();
        let has_changed = self.context.state.change(&mut exclusions, change)?;
        self.apply(exclusions);
        // A task of its own, so that it goes on after the client has disconnected or the wait has ended.
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

    /// Puts these exclusions in force.
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
