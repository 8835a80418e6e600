//! Adapts the real engine to the interface that the decision service uses.

use balancer::api::{Micros, Outcome, RequestId};
use external_processor::decision_service::{DecisionRequest, LeaseEngine};
use request_engine::class_registry::RequestClass;
use request_engine::engine::{AttemptCompletion, Command, Engine, MessageTypes};
use request_engine::lease::{LeaseError, LeaseId};
use request_engine::lease_events::{LeaseEvent, RequestHandle};
use std::collections::VecDeque;

/// The engine's messages without contents: the harness needs only the request's handle.
#[derive(Debug, PartialEq)]
pub struct NoMessages;

impl MessageTypes for NoMessages {
    type OutboundRequest = ();
    type Responder = RequestHandle;
    type Response = ();
}

/// The engine with the harness's clock. The events that a call causes are queued at once, as the driver does.
pub struct EngineWithClock<'a> {
    pub engine: &'a mut Engine<NoMessages>,
    pub now: Micros,
    pub events: &'a mut VecDeque<LeaseEvent>,
}

impl EngineWithClock<'_> {
    /// Queues the events of the commands since the last call.
    pub fn queue_events(&mut self) {
        while let Some(command) = self.engine.next_command() {
            let handle = |request| self.engine.responder(request).copied();
            let event = match command {
                Command::GrantLease(grant) => {
                    handle(grant.request).map(|handle| LeaseEvent::Granted(handle, grant))
                }
                Command::RevokeLease { request, lease } => {
                    handle(request).map(|handle| LeaseEvent::Revoked(handle, lease))
                }
                Command::Respond { responder, outcome, .. } => {
                    Some(LeaseEvent::RequestCompleted(responder, outcome))
                }
                _ => None,
            };
            self.events.extend(event);
        }
    }
}

impl LeaseEngine for EngineWithClock<'_> {
    fn admit(
        &mut self,
        request: &DecisionRequest,
        class: &RequestClass,
        handle: RequestHandle,
    ) -> Option<RequestId> {
        let admitted = self.engine.admit(self.now, request.to_incoming(class), handle).ok();
        self.queue_events();
        admitted
    }

    fn report_result(
        &mut self,
        lease: LeaseId,
        outcome: Outcome,
        load_report: Vec<f32>,
    ) -> Result<(), LeaseError> {
        let end = AttemptCompletion { outcome, response: None, load_report, client_wait: 0 };
        let result = self.engine.report_result(self.now, lease, end);
        self.queue_events();
        result
    }

    fn establish_session(&mut self, lease: LeaseId) -> Result<Micros, LeaseError> {
        let result = self.engine.establish_session(self.now, lease).map(|expires_at| expires_at - self.now);
        self.queue_events();
        result
    }

    fn renew_session(&mut self, lease: LeaseId) -> Result<Micros, LeaseError> {
        self.engine.renew_session(self.now, lease).map(|expires_at| expires_at - self.now)
    }

    fn client_disconnected(&mut self, request: RequestId) {
        self.engine.client_disconnected(self.now, request);
        self.queue_events();
    }
}
