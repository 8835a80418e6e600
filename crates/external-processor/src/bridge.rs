//! Between the services' thread and the engine's: questions come over a bounded queue, the [decision service](crate::decision_service) decides,
//! replies go to each caller's own bounded channel. A caller that does not take its replies is dropped; nobody else
//! waits for it.

use crate::decision_request::Unusable;
use crate::decision_service::{
    Bounds, CallerId, Counts, DecisionService, Port, Reply, Report, Request, RequestRef,
};
use balancer::api::{BackendId, Micros, Outcome, RequestId, Settings};
use request_engine::driver::clock::Clock;
use request_engine::driver::{Handle, Transport};
use request_engine::engine::{AttemptEnd, MessageTypes};
use request_engine::idempotency;
use request_engine::lease::{LeaseError, LeaseId};
use request_engine::lease_events::{LeaseEvent, LeaseEventQueue, RequestHandle};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// Questions that are taken from the queue before the runtime's other tasks have their turn.
const IN_ONE_GO: usize = 64;

/// What a caller hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Notified {
    /// The reply to its question of this tag.
    Reply(u64, Reply),
    /// Its question of this tag was none.
    Invalid(u64, Unusable),
    /// A lease is asked back.
    Revoked(LeaseId),
}

/// What a caller asks.
#[derive(Debug)]
pub enum Ask {
    /// For a request.
    Decide(Box<Request>),
    /// What follows from this end.
    Report(Report),
    /// To go on with a session.
    Renew(LeaseId),
    /// Nothing more: its stream has ended in good order.
    End,
}

/// A question on its way.
#[derive(Debug)]
pub struct Question {
    /// Whose.
    pub asked: RequestRef,
    /// Where its reply goes.
    pub to: mpsc::Sender<Notified>,
    /// What.
    pub ask: Ask,
}

/// How a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gone {
    /// A call that has its answer.
    Answered(CallerId),
    /// A call whose answer never left.
    Unheard(CallerId),
    /// A stream.
    Stream(CallerId),
}

/// The services' end of the way to the desk.
#[derive(Clone, Debug)]
pub struct DecisionSender {
    /// Questions; whoever finds it full waits.
    pub questions: mpsc::Sender<Question>,
    /// Callers that ended: one word for each, so that it is bounded by the callers there may be.
    pub gone: mpsc::UnboundedSender<Gone>,
}

/// The desk's end.
pub struct DecisionReceivers {
    questions: mpsc::Receiver<Question>,
    gone: mpsc::UnboundedReceiver<Gone>,
}

/// Both ends of a way on which so many questions may be.
#[must_use]
pub fn way(most: usize) -> (DecisionSender, DecisionReceivers) {
    let (questions, asked) = mpsc::channel(most);
    let (gone, ended) = mpsc::unbounded_channel();
    (DecisionSender { questions, gone }, DecisionReceivers { questions: asked, gone: ended })
}

/// Where a backend listens, while it is known.
pub type Endpoints = Box<dyn Fn(BackendId) -> Option<SocketAddr>>;

struct EnginePort<'a, T: Transport>(&'a Handle<T>);

impl<T: Transport> Port for EnginePort<'_, T>
where
    <T::Messages as MessageTypes>::Responder: From<RequestHandle>,
{
    fn admit(&mut self, request: &Request, ticket: RequestHandle) -> Option<RequestId> {
        self.0.admit(request.arrival(), ticket.into()).ok()
    }

    fn report(&mut self, lease: LeaseId, outcome: Outcome, load: Vec<f32>) -> Result<(), LeaseError> {
        self.0.report_result(lease, AttemptEnd { outcome, response: None, load_report: load, client_wait: 0 })
    }

    fn establish(&mut self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.0.establish_session(lease)
    }

    fn renew(&mut self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.0.renew_session(lease)
    }

    fn client_gone(&mut self, request: RequestId) {
        self.0.client_disconnected(request);
    }
}

struct Inner<T: Transport> {
    desk: RefCell<DecisionService>,
    handle: Handle<T>,
    inbox: Rc<LeaseEventQueue>,
    endpoints: Endpoints,
    callers: RefCell<FxHashMap<CallerId, mpsc::Sender<Notified>>>,
    /// Callers that did not take their replies and whose end is not told yet.
    cut: RefCell<FxHashSet<CallerId>>,
}

/// The desk on the engine's thread.
pub struct Bridge<T: Transport>(Rc<Inner<T>>);

impl<T: Transport> Clone for Bridge<T> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<T: Transport> Bridge<T>
where
    <T::Messages as MessageTypes>::Responder: From<RequestHandle>,
{
    /// A desk before this engine, whose words come to `inbox`.
    #[must_use]
    pub fn new(
        settings: &Settings,
        bounds: Bounds,
        claims: idempotency::SharedRegistry,
        handle: Handle<T>,
        inbox: Rc<LeaseEventQueue>,
        endpoints: Endpoints,
    ) -> Self {
        let desk = RefCell::new(DecisionService::new(settings, bounds, claims));
        Self(Rc::new(Inner {
            desk,
            handle,
            inbox,
            endpoints,
            callers: RefCell::default(),
            cut: RefCell::default(),
        }))
    }

    /// Serves the services' thread until it ends.
    pub async fn run(self, ends: DecisionReceivers) {
        let DecisionReceivers { mut questions, mut gone } = ends;
        let inner = &*self.0;
        let mut taken = Vec::with_capacity(IN_ONE_GO);
        loop {
            tokio::select! {
                biased;
                Some(gone) = gone.recv() => inner.gone(gone),
                () = inner.inbox.wait() => {}
                count = questions.recv_many(&mut taken, IN_ONE_GO) => {
                    if count == 0 {
                        return;
                    }
                    taken.drain(..).for_each(|question| inner.ask(question));
                }
            }
            inner.settle();
            // A flood of questions must not keep this thread from the requests of clients.
            tokio::task::yield_now().await;
        }
    }

    /// From now on no request is taken.
    pub fn drain(&self) {
        self.0.desk.borrow_mut().drain();
    }

    /// Requests that callers hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.desk.borrow().len()
    }

    /// What has become of the questions.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.0.desk.borrow().counts()
    }
}

impl<T: Transport> Inner<T>
where
    <T::Messages as MessageTypes>::Responder: From<RequestHandle>,
{
    fn now(&self) -> Micros {
        let clock: Clock = self.handle.clock();
        clock.now()
    }

    fn ask(&self, question: Question) {
        let Question { asked, to, ask } = question;
        // Its caller ended while the question was on its way, and that has been told already.
        if to.is_closed() || self.cut.borrow().contains(&asked.caller) {
            return;
        }
        if let Ask::End = ask {
            return self.gone(Gone::Stream(asked.caller));
        }
        self.callers.borrow_mut().entry(asked.caller).or_insert(to);
        let (now, mut port) = (self.now(), EnginePort(&self.handle));
        {
            let mut desk = self.desk.borrow_mut();
            match ask {
                Ask::Decide(request) => desk.ask(now, asked, &request, &mut port),
                Ask::Report(report) => desk.report(now, asked, report, &mut port),
                Ask::Renew(lease) => desk.renew(asked, lease, &mut port),
                Ask::End => {}
            }
        }
        self.settle();
    }

    fn gone(&self, gone: Gone) {
        let (Gone::Answered(caller) | Gone::Unheard(caller) | Gone::Stream(caller)) = gone;
        self.callers.borrow_mut().remove(&caller);
        self.cut.borrow_mut().remove(&caller);
        let (now, mut port) = (self.now(), EnginePort(&self.handle));
        let mut desk = self.desk.borrow_mut();
        match gone {
            Gone::Answered(_) => desk.answered(caller),
            Gone::Unheard(_) => desk.gone(now, caller, false, &mut port),
            Gone::Stream(_) => desk.gone(now, caller, true, &mut port),
        }
    }

    /// Takes the engine's words until there are none, and tells callers what follows.
    fn settle(&self) {
        let mut port = EnginePort(&self.handle);
        while let Some(word) = self.inbox.pop() {
            let endpoint = match &word {
                LeaseEvent::Granted(_, grant) => (self.endpoints)(grant.backend),
                LeaseEvent::Revoked(..) | LeaseEvent::Completed(..) => None,
            };
            let now = self.now();
            self.desk.borrow_mut().word(now, word, endpoint, &mut port);
        }
        let (replies, revoked) = {
            let mut desk = self.desk.borrow_mut();
            (desk.take_replies(), desk.take_revoked())
        };
        for (asked, reply) in replies {
            self.tell(asked.caller, Notified::Reply(asked.tag, reply));
        }
        for (caller, lease) in revoked {
            self.tell(caller, Notified::Revoked(lease));
        }
    }

    /// A caller whose channel is full does not take its replies: its stream ends, and is told of as gone by itself.
    fn tell(&self, caller: CallerId, told: Notified) {
        let mut callers = self.callers.borrow_mut();
        let Some(to) = callers.get(&caller) else { return };
        if let Err(error) = to.try_send(told) {
            callers.remove(&caller);
            if matches!(error, TrySendError::Full(_)) {
                self.cut.borrow_mut().insert(caller);
            }
        }
    }
}
