//! Connects the gRPC services' thread to the engine's: callers' messages arrive on a bounded queue, the [decision
//! service](crate::decision_service) decides, and replies go to each caller's own bounded channel. A caller that does
//! not read its replies is dropped, so that it delays no other caller.

use crate::decision_request::InvalidRequest;
use crate::decision_service::{
    CallerId, CallerReply, Counts, DecisionLimits, DecisionRequest, DecisionService, LeaseEngine, Reply,
    ReplyDelivery, Report, RequestRef, Revocation,
};
use balancer::api::{BackendId, Micros, Outcome, RequestId, Settings};
use request_engine::driver::{Handle, Transport};
use request_engine::engine::{AttemptEnd, MessageTypes};
use request_engine::idempotency::SharedRegistry;
use request_engine::lease::{LeaseError, LeaseId};
use request_engine::lease_events::{LeaseEvent, LeaseEventQueue, RequestHandle};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// Messages that are handled before the runtime's other tasks run.
const MAX_BATCH: usize = 64;

/// A message to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Notified {
    /// The reply to its message with this tag.
    Reply(u64, Reply),
    /// Its message with this tag was invalid.
    Invalid(u64, InvalidRequest),
    /// A lease is revoked.
    Revoked(LeaseId),
}

/// What a caller wants.
#[derive(Debug)]
pub enum Operation {
    /// A decision for a request.
    Decide(Box<DecisionRequest>),
    /// To report the result of an attempt.
    Report(Report),
    /// To renew a session.
    Renew(LeaseId),
    /// To end its stream in good order.
    EndStream,
}

/// A message of a caller.
#[derive(Debug)]
pub struct CallerMessage {
    /// Identifies the message for its reply.
    pub request_ref: RequestRef,
    /// Where replies to the caller go.
    pub reply_to: mpsc::Sender<Notified>,
    /// What the caller wants.
    pub operation: Operation,
}

/// How a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerEnd {
    /// A unary call that has its answer.
    Answered(CallerId),
    /// A call that ended before its answer was sent.
    Unanswered(CallerId),
    /// A stream, which may have received all its replies.
    Stream(CallerId),
}

/// The gRPC services' ends of the channels to the decision service.
#[derive(Clone, Debug)]
pub struct DecisionSender {
    /// Callers' messages. A sender waits while the queue is full.
    pub messages: mpsc::Sender<CallerMessage>,
    /// Ended callers. One entry for each, and so bounded by the number of callers.
    pub ended_callers: mpsc::UnboundedSender<CallerEnd>,
}

/// The decision service's ends of the channels.
pub struct DecisionReceivers {
    messages: mpsc::Receiver<CallerMessage>,
    ended_callers: mpsc::UnboundedReceiver<CallerEnd>,
}

/// The channels between the gRPC services and the decision service, with a queue of `capacity` messages.
#[must_use]
pub fn channels(capacity: usize) -> (DecisionSender, DecisionReceivers) {
    let (message_sender, messages) = mpsc::channel(capacity);
    let (end_sender, ended_callers) = mpsc::unbounded_channel();
    (
        DecisionSender { messages: message_sender, ended_callers: end_sender },
        DecisionReceivers { messages, ended_callers },
    )
}

/// Looks up where a backend listens; `None` if it is not known.
pub type EndpointLookup = Box<dyn Fn(BackendId) -> Option<SocketAddr>>;

/// The engine's thread as the decision service needs it.
pub struct EngineContext<T: Transport> {
    /// The engine.
    pub handle: Handle<T>,
    /// The engine's events about leased requests.
    pub lease_events: Rc<LeaseEventQueue>,
    /// The backends' addresses.
    pub endpoints: EndpointLookup,
}

struct EngineHandle<'a, T: Transport>(&'a Handle<T>);

impl<T: Transport> LeaseEngine for EngineHandle<'_, T>
where
    <T::Messages as MessageTypes>::Responder: From<RequestHandle>,
{
    fn admit(&mut self, request: &DecisionRequest, handle: RequestHandle) -> Option<RequestId> {
        self.0.admit(request.to_incoming(), handle.into()).ok()
    }

    fn report_result(
        &mut self,
        lease: LeaseId,
        outcome: Outcome,
        load_report: Vec<f32>,
    ) -> Result<(), LeaseError> {
        self.0.report_result(lease, AttemptEnd { outcome, response: None, load_report, client_wait: 0 })
    }

    fn establish_session(&mut self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.0.establish_session(lease)
    }

    fn renew_session(&mut self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.0.renew_session(lease)
    }

    fn client_disconnected(&mut self, request: RequestId) {
        self.0.client_disconnected(request);
    }
}

struct Inner<T: Transport> {
    service: RefCell<DecisionService>,
    engine: EngineContext<T>,
    callers: RefCell<FxHashMap<CallerId, mpsc::Sender<Notified>>>,
    /// Callers that were dropped for not reading their replies and whose [`CallerEnd`] has not arrived yet.
    dropped_callers: RefCell<FxHashSet<CallerId>>,
}

/// The decision service on the engine's thread.
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
    /// A decision service for this engine.
    #[must_use]
    pub fn new(
        settings: &Settings,
        limits: DecisionLimits,
        registry: SharedRegistry,
        engine: EngineContext<T>,
    ) -> Self {
        Self(Rc::new(Inner {
            service: RefCell::new(DecisionService::new(settings, limits, registry)),
            engine,
            callers: RefCell::default(),
            dropped_callers: RefCell::default(),
        }))
    }

    /// Handles messages until the gRPC services have ended.
    pub async fn run(self, receivers: DecisionReceivers) {
        let DecisionReceivers { mut messages, mut ended_callers } = receivers;
        let inner = &*self.0;
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            tokio::select! {
                biased;
                Some(end) = ended_callers.recv() => inner.handle_caller_end(end),
                () = inner.engine.lease_events.wait() => {}
                count = messages.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|message| inner.handle_message(message));
                }
            }
            inner.handle_lease_events();
            // Many messages must not keep this thread from other requests.
            tokio::task::yield_now().await;
        }
    }

    /// Rejects requests from now on; open requests continue.
    pub fn drain(&self) {
        self.0.service.borrow_mut().drain();
    }

    /// Number of requests that callers own.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.0.service.borrow().len()
    }

    /// Totals over all messages since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.0.service.borrow().counts()
    }
}

impl<T: Transport> Inner<T>
where
    <T::Messages as MessageTypes>::Responder: From<RequestHandle>,
{
    fn now(&self) -> Micros {
        self.engine.handle.clock().now()
    }

    fn handle_message(&self, message: CallerMessage) {
        let CallerMessage { request_ref, reply_to, operation } = message;
        // Its caller ended while the message was in the queue, and that has been handled already.
        if reply_to.is_closed() || self.dropped_callers.borrow().contains(&request_ref.caller) {
            return;
        }
        if let Operation::EndStream = operation {
            return self.handle_caller_end(CallerEnd::Stream(request_ref.caller));
        }
        self.callers.borrow_mut().entry(request_ref.caller).or_insert(reply_to);
        let (now, mut engine) = (self.now(), EngineHandle(&self.engine.handle));
        {
            let mut service = self.service.borrow_mut();
            match operation {
                Operation::Decide(request) => service.decide(now, request_ref, &request, &mut engine),
                Operation::Report(report) => service.report(now, request_ref, report, &mut engine),
                Operation::Renew(lease) => service.renew(request_ref, lease, &mut engine),
                Operation::EndStream => {}
            }
        }
        self.handle_lease_events();
    }

    fn handle_caller_end(&self, end: CallerEnd) {
        let (CallerEnd::Answered(caller) | CallerEnd::Unanswered(caller) | CallerEnd::Stream(caller)) = end;
        self.callers.borrow_mut().remove(&caller);
        self.dropped_callers.borrow_mut().remove(&caller);
        let (now, mut engine) = (self.now(), EngineHandle(&self.engine.handle));
        let mut service = self.service.borrow_mut();
        match end {
            CallerEnd::Answered(_) => service.call_answered(caller),
            CallerEnd::Unanswered(_) => {
                service.caller_ended(now, caller, ReplyDelivery::None, &mut engine);
            }
            CallerEnd::Stream(_) => {
                service.caller_ended(now, caller, ReplyDelivery::Possible, &mut engine);
            }
        }
    }

    /// Handles all queued events of the engine, and sends callers what follows from them.
    fn handle_lease_events(&self) {
        let mut engine = EngineHandle(&self.engine.handle);
        while let Some(event) = self.engine.lease_events.pop() {
            let endpoint = match &event {
                LeaseEvent::Granted(_, grant) => (self.engine.endpoints)(grant.backend),
                LeaseEvent::Revoked(..) | LeaseEvent::Completed(..) => None,
            };
            let now = self.now();
            self.service.borrow_mut().handle_event(now, event, endpoint, &mut engine);
        }
        let (replies, revocations) = {
            let mut service = self.service.borrow_mut();
            (service.take_replies(), service.take_revocations())
        };
        for CallerReply { request_ref, reply } in replies {
            self.notify(request_ref.caller, Notified::Reply(request_ref.tag, reply));
        }
        for Revocation { caller, lease } in revocations {
            self.notify(caller, Notified::Revoked(lease));
        }
    }

    /// Sends a message to a caller. One whose channel is full does not read its replies: its stream is dropped, and its
    /// [`CallerEnd`] follows.
    fn notify(&self, caller: CallerId, message: Notified) {
        let mut callers = self.callers.borrow_mut();
        let Some(reply_to) = callers.get(&caller) else { return };
        if let Err(error) = reply_to.try_send(message) {
            callers.remove(&caller);
            if matches!(error, TrySendError::Full(_)) {
                self.dropped_callers.borrow_mut().insert(caller);
            }
        }
    }
}
