//! Connects the thread of the gRPC services to the engine's thread. Callers' messages arrive on a bounded
//! queue, the [decision service](crate::decision_service) handles them, and replies go to a bounded channel
//! of each caller. A caller that does not read its replies is dropped, so that it does not delay other
//! callers.

use crate::decision_request::InvalidRequest;
use crate::decision_service::{
    CallerId, CallerReply, Counts, DecisionLimits, DecisionRequest, DecisionService, LeaseEngine, MessageRef,
    Reply, ReplyDelivery, Report, Revocation,
};
use balancer::api::{BackendId, Micros, Outcome, RequestId};
use request_engine::class_registry::{RequestClass, SharedClasses};
use request_engine::driver::{EngineHandle, Transport};
use request_engine::engine::{AttemptCompletion, MessageTypes};
use request_engine::idempotency::SharedRegistry;
use request_engine::lease::{LeaseError, LeaseId};
use request_engine::lease_events::{LeaseEvent, LeaseEventQueue, RequestHandle};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// Maximum number of messages that are handled before the runtime's other tasks run.
const MAX_BATCH: usize = 64;

/// A notification that is sent to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerNotification {
    /// The reply to the caller's message with this tag.
    Reply(u64, Reply),
    /// The caller's message with this tag was invalid.
    Invalid(u64, InvalidRequest),
    /// The caller's lease was revoked.
    Revoked(LeaseId),
}

/// An operation that a caller requests.
#[derive(Debug)]
pub enum Operation {
    /// Decide where to send a request.
    Decide(Box<DecisionRequest>),
    /// Report the result of an attempt.
    Report(Report),
    /// Renew a session.
    Renew(LeaseId),
    /// End the caller's stream after all its earlier messages.
    EndStream,
}

/// A message of a caller.
#[derive(Debug)]
pub struct CallerMessage {
    /// Identifies the message for its reply.
    pub message_ref: MessageRef,
    /// The channel for notifications to the caller.
    pub reply_to: mpsc::Sender<CallerNotification>,
    /// The requested operation.
    pub operation: Operation,
}

/// How a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerEnd {
    /// A unary call received its reply.
    Answered(CallerId),
    /// A call was cancelled before a reply could be sent.
    Unanswered(CallerId),
    /// A stream ended; it may have received all its replies.
    Stream(CallerId),
}

/// The sending ends of the channels to the decision service, used by the gRPC services.
#[derive(Clone, Debug)]
pub struct DecisionSender {
    /// Callers' messages. Senders wait while the queue is full.
    pub messages: mpsc::Sender<CallerMessage>,
    /// Callers that ended. Each sends one entry, so the number of callers bounds the queue.
    pub ended_callers: mpsc::UnboundedSender<CallerEnd>,
}

/// The receiving ends of the channels to the decision service.
pub struct DecisionReceivers {
    messages: mpsc::Receiver<CallerMessage>,
    ended_callers: mpsc::UnboundedReceiver<CallerEnd>,
}

/// Creates the channels between the gRPC services and the decision service. Up to `capacity` messages are
/// queued.
#[must_use]
pub fn channels(capacity: usize) -> (DecisionSender, DecisionReceivers) {
    let (message_sender, messages) = mpsc::channel(capacity);
    let (end_sender, ended_callers) = mpsc::unbounded_channel();
    (
        DecisionSender { messages: message_sender, ended_callers: end_sender },
        DecisionReceivers { messages, ended_callers },
    )
}

/// Looks up the address of a backend; `None` if the backend is not known.
pub type EndpointLookup = Box<dyn Fn(BackendId) -> Option<SocketAddr>>;

/// The parts of the engine's thread that the decision service uses.
pub struct EngineContext<T: Transport> {
    /// The handle of the engine.
    pub handle: EngineHandle<T>,
    /// The engine's events about leased requests.
    pub lease_events: Rc<LeaseEventQueue>,
    /// Looks up the addresses of backends.
    pub endpoint_lookup: EndpointLookup,
}

struct DriverLeaseEngine<'a, T: Transport>(&'a EngineHandle<T>);

impl<T: Transport> LeaseEngine for DriverLeaseEngine<'_, T>
where
    <T::Messages as MessageTypes>::Responder: From<RequestHandle>,
{
    fn admit(
        &mut self,
        request: &DecisionRequest,
        class: &RequestClass,
        handle: RequestHandle,
    ) -> Option<RequestId> {
        self.0.admit(request.to_incoming(class), handle.into()).ok()
    }

    fn report_result(
        &mut self,
        lease: LeaseId,
        outcome: Outcome,
        load_report: Vec<f32>,
    ) -> Result<(), LeaseError> {
        self.0
            .report_result(lease, AttemptCompletion { outcome, response: None, load_report, client_wait: 0 })
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
    callers: RefCell<FxHashMap<CallerId, mpsc::Sender<CallerNotification>>>,
    /// Callers that were dropped because they did not read their replies, and whose [`CallerEnd`] is
    /// outstanding.
    dropped_callers: RefCell<FxHashSet<CallerId>>,
}

/// Runs the decision service on the engine's thread. Clones refer to the same service.
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
    /// Creates a decision service for this engine.
    #[must_use]
    pub fn new(
        limits: DecisionLimits,
        registry: SharedRegistry,
        classes: SharedClasses,
        engine: EngineContext<T>,
    ) -> Self {
        Self(Rc::new(Inner {
            service: RefCell::new(DecisionService::new(limits, registry, classes)),
            engine,
            callers: RefCell::default(),
            dropped_callers: RefCell::default(),
        }))
    }

    /// Handles messages until all senders of the gRPC services are dropped.
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
            // A steady flow of messages must not starve the other tasks of this thread.
            tokio::task::yield_now().await;
        }
    }

    /// Rejects new requests from now on; open requests continue.
    pub fn drain(&self) {
        self.0.service.borrow_mut().drain();
    }

    /// Number of requests that callers own and that have no final outcome yet.
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
        let CallerMessage { message_ref, reply_to, operation } = message;
        // The caller ended while this message was queued; its end is handled separately.
        if reply_to.is_closed() || self.dropped_callers.borrow().contains(&message_ref.caller) {
            return;
        }
        if let Operation::EndStream = operation {
            return self.handle_caller_end(CallerEnd::Stream(message_ref.caller));
        }
        self.callers.borrow_mut().entry(message_ref.caller).or_insert(reply_to);
        let (now, mut engine) = (self.now(), DriverLeaseEngine(&self.engine.handle));
        {
            let mut service = self.service.borrow_mut();
            match operation {
                Operation::Decide(request) => service.decide(now, message_ref, &request, &mut engine),
                Operation::Report(report) => service.report(now, message_ref, report, &mut engine),
                Operation::Renew(lease) => service.renew(message_ref, lease, &mut engine),
                Operation::EndStream => {}
            }
        }
        self.handle_lease_events();
    }

    fn handle_caller_end(&self, end: CallerEnd) {
        let (CallerEnd::Answered(caller) | CallerEnd::Unanswered(caller) | CallerEnd::Stream(caller)) = end;
        self.callers.borrow_mut().remove(&caller);
        self.dropped_callers.borrow_mut().remove(&caller);
        let (now, mut engine) = (self.now(), DriverLeaseEngine(&self.engine.handle));
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

    /// Handles all queued events of the engine, and sends the resulting replies and revocations to callers.
    fn handle_lease_events(&self) {
        let mut engine = DriverLeaseEngine(&self.engine.handle);
        while let Some(event) = self.engine.lease_events.pop() {
            let endpoint = match &event {
                LeaseEvent::Granted(_, grant) => (self.engine.endpoint_lookup)(grant.backend),
                LeaseEvent::Revoked(..) | LeaseEvent::RequestCompleted(..) => None,
            };
            let now = self.now();
            self.service.borrow_mut().handle_event(now, event, endpoint, &mut engine);
        }
        let (replies, revocations) = {
            let mut service = self.service.borrow_mut();
            (service.take_replies(), service.take_revocations())
        };
        for CallerReply { message_ref, reply } in replies {
            self.notify(message_ref.caller, CallerNotification::Reply(message_ref.tag, reply));
        }
        for Revocation { caller, lease } in revocations {
            self.notify(caller, CallerNotification::Revoked(lease));
        }
    }

    /// Sends a notification to a caller. A full channel means that the caller does not read its replies: it
    /// is dropped, which ends its stream, and its [`CallerEnd`] follows.
    fn notify(&self, caller: CallerId, notification: CallerNotification) {
        let mut callers = self.callers.borrow_mut();
        let Some(reply_to) = callers.get(&caller) else { return };
        if let Err(error) = reply_to.try_send(notification) {
            callers.remove(&caller);
            if matches!(error, TrySendError::Full(_)) {
                self.dropped_callers.borrow_mut().insert(caller);
            }
        }
    }
}
