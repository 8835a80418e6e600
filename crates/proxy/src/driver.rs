//! Owns the [`Balancer`]: feeds it events on one clock, carries out its actions, keeps its timers and the
//! table of requests. All other tasks talk to it through a [`Handle`].

use crate::backends::{Call, Ended, Fleet, Listed, Served};
use crate::clock::Clock;
use crate::log::log;
use haventrack_decision::api::{
    Action, Backend, BackendId, Event, Membership, Micros, Outcome, Request, RequestId, Settled,
};
use haventrack_decision::balancer::Balancer;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

/// The module is told that a request's time ends this much before the client's does: the answer has to be
/// written and to travel.
pub const ANSWER_MARGIN: Micros = 20_000;
/// A request that the module has left open is failed this much before the client's time ends.
const LAST_MARGIN: Micros = 10_000;

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// A backend's answer.
    Served(Served),
    /// Turned away; trying again is harmless.
    Refused {
        /// How long the client should stay away; 0: no word.
        retry_after: Micros,
    },
    /// Failed, with no promise of its effect.
    Failed,
}

/// A request as a client sent it.
#[derive(Debug)]
pub struct Inbound {
    /// What the module is told of it. Its patience still counts in full.
    pub request: Request,
    /// When it came.
    pub arrived: Micros,
    /// What goes to a backend.
    pub call: Call,
}

/// How a list of backends is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last held.
    Cached,
    /// A call to discovery failed.
    Failed,
}

/// What the driver is told.
#[derive(Debug)]
pub enum Message {
    /// A request came in.
    Request(Box<Inbound>, oneshot::Sender<Answer>),
    /// Its client has left.
    ClientGone(RequestId),
    /// An attempt ended.
    Ended(RequestId, u16, Ended),
    /// A probe ended.
    Probed(BackendId, Ended),
    /// News of the backends.
    Listed(Scope, Vec<Listed>),
}

/// The way to the driver.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    next_id: Rc<Cell<RequestId>>,
}

impl Handle {
    /// Tells the driver something. A driver that has ended ends the process: nobody is left to tell.
    pub fn tell(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// A number for a new request.
    #[must_use]
    pub fn number(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        id
    }
}

struct Attempt {
    backend: BackendId,
    sent_at: Micros,
    /// Withdraws it; `None` once it has ended.
    cancel: Option<oneshot::Sender<()>>,
}

struct Open {
    call: Rc<Call>,
    /// `None` once the client has its final answer or has left.
    client: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
}

impl Open {
    fn is_over(&self) -> bool {
        self.client.is_none() && self.attempts.iter().all(|a| a.cancel.is_none())
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A timer of the module.
    Module(u32),
    /// The last moment for a request's answer.
    LastMoment(RequestId),
}

/// An event that the driver itself has caused and not yet handed on.
enum Pending {
    Settled { request: RequestId, attempt: u16, ended: Ended },
    Probed { backend: BackendId, ended: Ended },
}

/// Owns the balancer.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    fleet: Rc<Fleet>,
    handle: Handle,
    messages: mpsc::UnboundedReceiver<Message>,
    /// Asks discovery for changes, where it has to be asked.
    subscribe: mpsc::UnboundedSender<()>,
    max_attempts: usize,
    report_by_probe: bool,
    open: FxHashMap<RequestId, Open>,
    timers: BinaryHeap<Reverse<(Micros, Due)>>,
    pending: VecDeque<Pending>,
    actions: Vec<Action>,
}

/// The limits that the driver itself keeps.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: u16,
    /// Whether load reports come with probes alone.
    pub report_by_probe: bool,
}

impl Driver {
    /// A driver with no requests. `subscribe` is told when the module wants changes from discovery.
    #[must_use]
    pub fn new(
        balancer: Balancer,
        clock: Clock,
        fleet: Rc<Fleet>,
        limits: Limits,
        subscribe: mpsc::UnboundedSender<()>,
    ) -> (Self, Handle) {
        let (sender, messages) = mpsc::unbounded_channel();
        let handle = Handle { messages: sender, next_id: Rc::new(Cell::new(1)) };
        let driver = Self {
            balancer,
            clock,
            fleet,
            handle: handle.clone(),
            messages,
            subscribe,
            max_attempts: usize::from(limits.max_attempts),
            report_by_probe: limits.report_by_probe,
            open: FxHashMap::default(),
            timers: BinaryHeap::new(),
            pending: VecDeque::new(),
            actions: Vec::new(),
        };
        (driver, handle)
    }

    /// Runs for as long as the proxy does.
    pub async fn run(mut self) {
        loop {
            let next = self.timers.peek().map(|Reverse((due, _))| self.clock.instant(*due));
            let message = match next {
                None => self.messages.recv().await,
                Some(due) => tokio::select! {
                    biased;
                    message = self.messages.recv() => message,
                    () = sleep_until(due) => {
                        self.ring();
                        continue;
                    }
                },
            };
            let Some(message) = message else { return };
            self.take(message);
            // Under a steady stream of messages the timers still have their turn.
            self.ring();
        }
    }

    /// Hands on the timers that are due.
    fn ring(&mut self) {
        let now = self.clock.now();
        while let Some(&Reverse((due, what))) = self.timers.peek() {
            if due > now {
                return;
            }
            self.timers.pop();
            match what {
                Due::Module(token) => self.feed(now, Event::Timer(token)),
                Due::LastMoment(request) => self.last_moment(now, request),
            }
        }
    }

    /// Rule 1: whatever the module is waiting for, the client gets an answer before its time ends.
    fn last_moment(&mut self, now: Micros, request: RequestId) {
        let Some(client) = self.open.get_mut(&request).and_then(|open| open.client.take()) else { return };
        let _ = client.send(Answer::Failed);
        self.feed(now, Event::ClientGone(request));
        self.forget(request);
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Request(inbound, client) => self.on_request(now, *inbound, client),
            Message::ClientGone(request) => {
                if let Some(open) = self.open.get_mut(&request)
                    && open.client.take().is_some()
                {
                    self.feed(now, Event::ClientGone(request));
                    self.forget(request);
                }
            }
            Message::Ended(request, attempt, ended) => {
                self.pending.push_back(Pending::Settled { request, attempt, ended });
                self.settle(now);
            }
            Message::Probed(backend, ended) => {
                self.pending.push_back(Pending::Probed { backend, ended });
                self.settle(now);
            }
            Message::Listed(scope, entries) => self.on_list(now, scope, &entries),
        }
    }

    fn on_request(&mut self, now: Micros, inbound: Inbound, client: oneshot::Sender<Answer>) {
        let Inbound { mut request, arrived, call } = inbound;
        let end = arrived.saturating_add(request.patience);
        let left = end.saturating_sub(now);
        // A client with hardly any time at all is not robbed of what it has.
        request.patience = left.saturating_sub(ANSWER_MARGIN.min(left / 2));
        let last = now + left.saturating_sub(LAST_MARGIN.min(left / 4));
        let open = Open { call: Rc::new(call), client: Some(client), attempts: Vec::new() };
        self.open.insert(request.id, open);
        self.timers.push(Reverse((last, Due::LastMoment(request.id))));
        self.feed(now, Event::Request(request));
    }

    fn on_list(&mut self, now: Micros, scope: Scope, entries: &[Listed]) {
        // The sockets learn of it first, so that an attempt which this very list starts finds its backend.
        if matches!(scope, Scope::Full | Scope::Cached) {
            let listed: FxHashSet<_> = entries.iter().map(|e| e.backend.id).collect();
            self.fleet.retain(|id| listed.contains(&id));
        }
        for Listed { backend, address } in entries {
            self.fleet.update(backend.id, *address, backend.readiness, backend.started);
        }
        let backends: Vec<Backend> = entries.iter().map(|e| e.backend).collect();
        let news = match scope {
            Scope::Delta => Membership::Delta(&backends),
            Scope::Full => Membership::Full(&backends),
            Scope::Cached => Membership::Cached(&backends),
            Scope::Failed => Membership::Failed,
        };
        self.feed(now, Event::Membership(news));
    }

    /// Gives the module an event, and then whatever its actions have caused at once.
    fn feed(&mut self, now: Micros, event: Event<'_>) {
        self.balancer.handle(now, event, &mut self.actions);
        self.act(now);
        self.settle(now);
    }

    fn settle(&mut self, now: Micros) {
        while let Some(pending) = self.pending.pop_front() {
            match pending {
                Pending::Probed { backend, ended } => {
                    let event = Event::Probed { backend, outcome: ended.outcome, report: &ended.report };
                    self.balancer.handle(now, event, &mut self.actions);
                }
                Pending::Settled { request, attempt, ended } => self.on_ended(now, request, attempt, ended),
            }
            self.act(now);
        }
    }

    fn on_ended(&mut self, now: Micros, request: RequestId, number: u16, ended: Ended) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(attempt) = open.attempts.get_mut(usize::from(number)) else { return };
        // Each send settles once.
        if attempt.cancel.take().is_none() {
            return;
        }
        let (backend, elapsed) = (attempt.backend, now.saturating_sub(attempt.sent_at));
        // The first answer of a backend reaches the client without being asked for, as on the simulator.
        if let Some(served) = ended.served
            && let Some(client) = open.client.take()
        {
            let _ = client.send(Answer::Served(served));
        }
        let closed = open.client.is_none();
        let (outcome, report) = (ended.outcome, ended.report.as_slice());
        let settled = Settled { request, backend, attempt: number, outcome, closed, elapsed, report };
        self.balancer.handle(now, Event::Settled(settled), &mut self.actions);
        self.act(now);
        self.forget(request);
    }

    /// Removes a request for which nothing more can come.
    fn forget(&mut self, request: RequestId) {
        if self.open.get(&request).is_some_and(Open::is_over) {
            self.open.remove(&request);
        }
    }

    fn act(&mut self, now: Micros) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, backend, give_up_at } => self.send(now, request, backend, give_up_at),
                Action::Refuse { request, retry_after } => {
                    self.answer(request, Answer::Refused { retry_after });
                }
                Action::Fail { request } => self.answer(request, Answer::Failed),
                Action::Cancel { request, attempt } => self.cancel(request, attempt),
                Action::SetTimer { after, token } => {
                    self.timers.push(Reverse((now.saturating_add(after), Due::Module(token))));
                }
                Action::Subscribe => {
                    let _ = self.subscribe.send(());
                }
                Action::Probe(backend) => self.probe(backend),
                Action::CloseIdle(backend) => self.fleet.close_idle(backend),
                Action::Log(line) => log(format_args!("{line}")),
            }
        }
        self.actions = actions;
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some(client) = self.open.get_mut(&request).and_then(|open| open.client.take()) {
            let _ = client.send(answer);
            self.forget(request);
        }
    }

    fn send(&mut self, now: Micros, request: RequestId, backend: BackendId, give_up_at: Micros) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let number = open.attempts.len() as u16;
        let (cancel, cancelled) = oneshot::channel();
        open.attempts.push(Attempt { backend, sent_at: now, cancel: Some(cancel) });
        let may_go = open.client.is_some() && usize::from(number) < self.max_attempts && give_up_at > now;
        let Some(server) = self.fleet.server(backend).filter(|_| may_go) else {
            let ended = Outcome::Moot.into();
            self.pending.push_back(Pending::Settled { request, attempt: number, ended });
            return;
        };
        let (fleet, call, handle) = (Rc::clone(&self.fleet), Rc::clone(&open.call), self.handle.clone());
        let give_up = self.clock.instant(give_up_at);
        tokio::task::spawn_local(async move {
            let ended = fleet.attempt(server, call, give_up, cancelled).await;
            handle.tell(Message::Ended(request, number, ended));
        });
    }

    fn cancel(&mut self, request: RequestId, attempt: u16) {
        let open = self.open.get_mut(&request);
        if let Some(attempt) = open.and_then(|o| o.attempts.get_mut(usize::from(attempt)))
            && let Some(cancel) = attempt.cancel.take()
        {
            let _ = cancel.send(());
            // It still owes its outcome.
            attempt.cancel = Some(oneshot::channel().0);
        }
    }

    fn probe(&self, backend: BackendId) {
        let Some(server) = self.fleet.server(backend) else { return };
        let (fleet, handle, deep) = (Rc::clone(&self.fleet), self.handle.clone(), self.report_by_probe);
        tokio::task::spawn_local(async move {
            let ended = fleet.probe(server, deep).await;
            handle.tell(Message::Probed(backend, ended));
        });
    }
}
