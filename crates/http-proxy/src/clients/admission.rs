//! Submits parsed requests to the engine and waits for their outcomes.

use super::ClientConnections;
use super::guards::{DisconnectGuard, OpenRequestId};
use super::local_responses::{RejectedRequest, failure_response, overload_response};
use super::read_request::{IDEMPOTENCY_KEY, ParsedRequest};
use crate::body::ResponseBody;
use crate::client_connection::ClientConnection;
use crate::exchange::{BackendResponse, ForwardedRequest};
use crate::idempotency_claim::{ClaimRejection, IdempotencyClaim, RequestIdentity};
use crate::shared_claims::claim_of;
use crate::transport::Responder;
use admin::claim_file::Claim;
use balancer::api::Micros;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use request_engine::class_registry::RequestClass;
use request_engine::engine::{AdmissionError, Dispatch, FinalOutcome, IncomingRequest};
use std::rc::Rc;
use tokio::sync::oneshot;

/// The delay after which a client may retry when a limit of this proxy was reached, in microseconds.
const OVERLOAD_RETRY_DELAY: Micros = 1_000_000;

impl ClientConnections {
    /// Submits a request to the engine and waits for its response.
    pub(super) async fn submit(
        &self,
        parsed: ParsedRequest,
        connection: &ClientConnection,
    ) -> Result<Response<ResponseBody>, RejectedRequest> {
        // Nothing of it was executed.
        if connection.has_disconnected() {
            return Ok(overload_response(0));
        }
        let ParsedRequest { request, class, correlation_id } = parsed;
        // A second request with the same id could be a duplicate of the first, and must not be executed
        // beside it.
        let Some(open_id) = OpenRequestId::acquire(&self.open_request_ids, correlation_id) else {
            return Err(RejectedRequest::new(StatusCode::CONFLICT, "a request of this id is open\n"));
        };
        let shared_claim = claim_of(request.identity, &class);
        if !self.claim_among_peers(shared_claim) {
            return Err(RejectedRequest::new(StatusCode::CONFLICT, "another process has this request\n"));
        }
        match self.claim(&request, class, &open_id.id) {
            Ok(claim) => {
                let outcome = self.await_outcome(request, claim, connection).await;
                if matches!(outcome, Ok(FinalOutcome::Rejected { .. })) {
                    self.release_among_peers(shared_claim);
                }
                Ok(response(outcome))
            }
            Err(ClaimRejection::RetryAfter(delay)) => Ok(overload_response(delay)),
            Err(ClaimRejection::Conflict(reason)) => Err(RejectedRequest::new(StatusCode::CONFLICT, reason)),
            Err(ClaimRejection::Invalid(reason)) => Err(RejectedRequest::bad_request(reason)),
        }
    }

    /// Submits a request, waits for its final outcome and settles its claim.
    async fn await_outcome(
        &self,
        request: IncomingRequest<Rc<ForwardedRequest>>,
        claim: Option<IdempotencyClaim<'_>>,
        connection: &ClientConnection,
    ) -> Result<FinalOutcome<BackendResponse>, NoOutcome> {
        let (sender, outcome) = oneshot::channel();
        let request = match self.handle.admit(request, Responder::HttpClient(sender)) {
            Ok(request) => request,
            // Nothing of it was executed.
            Err(AdmissionError::Requests(_) | AdmissionError::Leases(_)) => {
                let outcome = FinalOutcome::Rejected { retry_after: OVERLOAD_RETRY_DELAY };
                if let Some(claim) = claim {
                    claim.settle(Some(&outcome));
                }
                return Ok(outcome);
            }
        };
        let guard = DisconnectGuard::new(&self.handle, request);
        let outcome = tokio::select! {
            biased;
            outcome = outcome => outcome,
            // The dropped guard notifies the engine. A client that closed only its sending side still gets a
            // final response.
            () = connection.disconnected() => return Err(NoOutcome),
        };
        guard.disarm();
        if let Some(claim) = claim {
            claim.settle(outcome.as_ref().ok());
        }
        outcome.map_err(|_| NoOutcome)
    }

    /// Claims a request for this process. Returns false if another process of this proxy has it.
    fn claim_among_peers(&self, claim: Option<Claim>) -> bool {
        let claims = self.shared_claims.as_ref().zip(claim);
        claims.is_none_or(|(claims, claim)| claims.claim(claim))
    }

    fn release_among_peers(&self, claim: Option<Claim>) {
        if let Some((claims, claim)) = self.shared_claims.as_ref().zip(claim) {
            claims.release(claim);
        }
    }

    /// Claims a request in the idempotency registry, if one is shared with the gRPC front end.
    fn claim(
        &self,
        request: &IncomingRequest<Rc<ForwardedRequest>>,
        class: RequestClass,
        correlation_id: &HeaderValue,
    ) -> Result<Option<IdempotencyClaim<'_>>, ClaimRejection> {
        let (Some(registry), Dispatch::Proxied(forwarded)) = (&self.idempotency_registry, &request.dispatch)
        else {
            return Ok(None);
        };
        let key = forwarded.headers.get(IDEMPOTENCY_KEY).map(HeaderValue::as_bytes);
        let identity = RequestIdentity { id: correlation_id.as_bytes(), class, key };
        IdempotencyClaim::acquire(registry, self.clock, &identity)
    }
}

/// The engine ended a request without a final outcome, or its client has disconnected.
#[derive(Clone, Copy, Debug)]
struct NoOutcome;

fn response(outcome: Result<FinalOutcome<BackendResponse>, NoOutcome>) -> Response<ResponseBody> {
    match outcome {
        Ok(FinalOutcome::Served(Some(served))) => served_response(served),
        Ok(FinalOutcome::Rejected { retry_after }) => overload_response(retry_after),
        Ok(FinalOutcome::Served(None) | FinalOutcome::Failed) | Err(NoOutcome) => failure_response(),
    }
}

fn served_response(served: BackendResponse) -> Response<ResponseBody> {
    let mut response = Response::new(served.body);
    if let Some(content_type) = served.content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}
