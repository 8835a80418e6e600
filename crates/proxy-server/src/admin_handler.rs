//! What the operators on call asks of this process, and what it has to know of the others of its proxy: bans kept and followed,
//! new connections steered, limits shared. The decisions are in `admin` and `http_proxy::backend_list`.

use crate::persistence::PersistentState;
use admin::command::{ConsoleCommand, ConsoleResponse};
use admin::exclusion_store::StoreError;
use admin::exclusions::{Exclusions, TooManyExclusions};
use admin::process_replacement::steer;
use admin::process_status::ProcessStatus;
use admin::unpersisted::Change;
use http_proxy::backend_list::BackendList;
use http_proxy::clients::ClientConnections;
use http_proxy::log::{FailureLog, log};
use http_proxy::transport::{Handle, UpdateKind, update_backends};
use request_engine::driver::clock::Clock;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// How long a caller waits for the disk: its second has to hold that and the answer.
const KEPT_TIMEOUT: Duration = Duration::from_millis(800);
/// How often the other processes and what they have written are looked at: well within the second after which a ban that
/// was said to either binds both.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// At every how manieth look what was learnt is kept: each second.
const KEEP_EVERY: u32 = 10;

/// How many connections this process may hold, as long as it is alone.
#[derive(Clone, Copy, Debug)]
pub struct Sockets {
    /// With clients.
    pub clients: usize,
    /// With backends.
    pub backends: usize,
}

/// The operators's side of this process.
pub struct AdminHandler {
    files: PersistentState,
    stand: RefCell<ProcessStatus>,
    backend_list: Rc<RefCell<BackendList>>,
    held: Rc<Cell<bool>>,
    handle: Handle,
    clock: Clock,
    listener: Rc<TcpListener>,
    clients: Rc<ClientConnections>,
    sockets: Sockets,
    unkept: FailureLog,
}

/// What came of a change.
struct Changed {
    /// Whether anything changed.
    new: bool,
    /// What the caller is told where the disk has not taken it.
    unkept: String,
}

impl AdminHandler {
    /// The operators's side, before anything was asked.
    #[must_use]
    pub fn new(
        files: PersistentState,
        backend_list: Rc<RefCell<BackendList>>,
        held: Rc<Cell<bool>>,
        handle: Handle,
        listener: Rc<TcpListener>,
        clients: Rc<ClientConnections>,
        sockets: Sockets,
    ) -> Rc<Self> {
        let clock = handle.clock();
        let stand = RefCell::default();
        let unkept = FailureLog::of("a change of bans is in force and not kept");
        let admin_handler =
            Self { files, stand, backend_list, held, handle, clock, listener, clients, sockets, unkept };
        admin_handler.look_round();
        Rc::new(admin_handler)
    }

    /// Answers a call.
    pub async fn answer(self: Rc<Self>, call: ConsoleCommand) -> ConsoleResponse {
        let answer = match call {
            ConsoleCommand::Ready => {
                self.look_round();
                return self.stand.borrow().readiness();
            }
            ConsoleCommand::Exclude(id) => self.exclude(&id).await,
            ConsoleCommand::Include(id) => self.include(&id).await,
        };
        log(format_args!("console: {answer}"));
        answer
    }

    async fn exclude(self: &Rc<Self>, id: &str) -> ConsoleResponse {
        if !self.backend_list.borrow().is_known(id) {
            return ConsoleResponse::Failure(format!("no backend is called {id}"));
        }
        match self.change(Change::Exclude(id.to_owned(), self.clock.now())).await {
            Ok(Changed { new, unkept }) => {
                let still = self.backend_list.borrow().ready_count();
                let was = if new { "is" } else { "was already" };
                ConsoleResponse::Success(format!("{id} {was} out; {still} backends serve{unkept}"))
            }
            Err(error) => ConsoleResponse::Failure(format!("{id} is not taken out: {error}")),
        }
    }

    async fn include(self: &Rc<Self>, id: &str) -> ConsoleResponse {
        if !self.backend_list.borrow().is_known(id) {
            return ConsoleResponse::Failure(format!("no backend is called {id}"));
        }
        match self.change(Change::Include(id.to_owned(), self.clock.now())).await {
            Ok(Changed { new: true, unkept }) => ConsoleResponse::Success(format!("{id} may serve{unkept}")),
            Ok(Changed { new: false, unkept }) => {
                ConsoleResponse::Success(format!("{id} was not out{unkept}"))
            }
            Err(error) => ConsoleResponse::Failure(format!("{id} is not called back: {error}")),
        }
    }

    /// Changes the bans: in force at once, since that is owed from the call on whatever the disk does, and then kept, so that
    /// it outlives this process.
    async fn change(self: &Rc<Self>, change: Change) -> Result<Changed, TooManyExclusions> {
        let mut bans = self.backend_list.borrow().exclusions().clone();
        let new = self.files.change(&mut bans, change)?;
        self.govern(bans);
        // It goes on where the caller has gone, or its second is over.
        let admin_handler = Rc::clone(self);
        let kept = tokio::task::spawn_local(async move { admin_handler.keep_pending().await });
        let unkept = match timeout(KEPT_TIMEOUT, kept).await {
            Ok(Ok(Ok(()))) => String::new(),
            Ok(Ok(Err(error))) => format!("; not kept yet, and tried again: {error}"),
            Ok(Err(_)) | Err(_) => "; not kept yet, and tried again".to_owned(),
        };
        Ok(Changed { new, unkept })
    }

    async fn keep_pending(&self) -> Result<(), StoreError> {
        let held = self.backend_list.borrow().exclusions().clone();
        let bans = self.files.keep_pending(&held, self.clock.now()).await?;
        self.govern(bans);
        Ok(())
    }

    /// Tries on until the file has all that is in force.
    async fn keep_trying(self: Rc<Self>) {
        loop {
            sleep(LOOK_INTERVAL).await;
            if self.files.owes()
                && let Err(error) = self.keep_pending().await
            {
                self.unkept.note(&error);
            }
        }
    }

    fn govern(&self, bans: Exclusions) {
        let out = bans.out().collect::<Vec<_>>().join(" ");
        if self.backend_list.borrow().exclusions().changed(&bans).is_empty() {
            return;
        }
        log(format_args!("out of service now: {}", if out.is_empty() { "none" } else { &out }));
        let changed = self.backend_list.borrow_mut().set_exclusions(bans);
        if !changed.is_empty() {
            update_backends(&self.handle, UpdateKind::Delta, &changed);
        }
    }

    /// Looks at the other processes, for as long as this one runs.
    pub async fn follow(self: Rc<Self>) {
        tokio::task::spawn_local(Rc::clone(&self).keep_trying());
        let mut looks = 0_u32;
        loop {
            sleep(LOOK_INTERVAL).await;
            self.look_round();
            looks += 1;
            if looks.is_multiple_of(KEEP_EVERY) && self.stand.borrow().is_ready() {
                self.files.keep(self.clock.now(), || self.handle.learned_state());
            }
            if let Some(bans) = self.files.news() {
                self.govern(bans);
            }
        }
    }

    /// From now on this process ends.
    pub fn drains(&self) {
        self.stand.borrow_mut().drains();
    }

    /// Goes on from what the process has learnt whose place this one takes, now that there is a list to apply it to.
    fn go_on(&self) {
        match self.files.learnt(self.clock.now()).map(|learnt| self.handle.restore(&learnt)) {
            Ok(true) => log(format_args!("goes on from the limits that were learnt")),
            Ok(false) => log(format_args!("learns limits anew: classes or kinds are others")),
            Err(error) => log(format_args!("learns limits anew: {error}")),
        }
    }

    fn look_round(&self) {
        let mut stand = self.stand.borrow_mut();
        let peers = self.files.peers();
        if stand.beside(peers) {
            log(format_args!("{peers} further processes of this proxy run"));
            self.clients.set_max_connections(stand.part(self.sockets.clients));
            self.handle.transport().backend_pool.set_max_sockets(stand.part(self.sockets.backends));
        }
        if self.held.get() && stand.holds_list() && peers > 0 {
            self.go_on();
        }
        if let Some(place) = stand.steer() {
            match steer(&*self.listener, place) {
                Ok(()) => log(format_args!("new connections come here, as listener {place}")),
                Err(error) => log(format_args!("new connections are not steered: {error}")),
            }
        }
    }
}
