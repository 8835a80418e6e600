//! The gRPC service `Decisions`: unary calls with one message, and streams with many.

use super::shared::{CallerGuard, Shared, shutting_down};
use crate::bridge::{CallerEnd, CallerMessage, Notified, Operation};
use crate::decision_request::InvalidRequest;
use crate::decision_service::{CallerId, RequestRef};
use crate::generated as pb;
use crate::generated::decisions_server::Decisions;
use crate::generated::question::Question;
use crate::grpc_codec;
use request_engine::driver::clock::Clock;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;
use tokio_stream::Stream;
use tonic::{Response, Status, Streaming};

/// The tag of a unary call's only message.
const UNARY_TAG: u64 = 1;

#[derive(Clone)]
pub(super) struct DecisionsHandler(pub(super) Arc<Shared>);

/// The answers of one stream. When it is dropped, its channel closes first, and then its open requests are withdrawn.
pub(super) struct AnswerStream {
    notifications: mpsc::Receiver<Notified>,
    clock: Clock,
    _guard: CallerGuard,
}

impl Stream for AnswerStream {
    type Item = Result<pb::TaggedAnswer, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let notified = ready!(self.notifications.poll_recv(cx));
        let tagged = |tag, answer| pb::TaggedAnswer { tag, answer: Some(answer) };
        Poll::Ready(notified.map(|notified| {
            Ok(match notified {
                Notified::Reply(tag, reply) => tagged(tag, grpc_codec::encode_reply(self.clock.now(), reply)),
                Notified::Invalid(tag, error) => tagged(tag, grpc_codec::encode_invalid(&error)),
                Notified::Revoked(lease) => grpc_codec::encode_revocation(lease),
            })
        }))
    }
}

impl DecisionsHandler {
    fn decode(&self, message: pb::Question) -> Result<Operation, InvalidRequest> {
        if message.tag == 0 {
            let problem = "0 is not allowed".into();
            return Err(InvalidRequest::InvalidValue { field: "tag".into(), problem });
        }
        match message.question {
            None => Err(InvalidRequest::Missing("question".into())),
            Some(Question::Decide(request)) => self.decode_request(&request),
            Some(Question::Report(report)) => grpc_codec::decode_report(&report).map(Operation::Report),
            Some(Question::Renew(renewal)) => grpc_codec::decode_renewal(&renewal).map(Operation::Renew),
        }
    }

    fn decode_request(&self, request: &pb::DecideRequest) -> Result<Operation, InvalidRequest> {
        let shared = &*self.0;
        let now = shared.clock.now();
        let request = grpc_codec::decode_request(now, request, &shared.catalog, &shared.field_names)?;
        Ok(Operation::Decide(Box::new(request)))
    }

    /// Forwards the messages of a stream until it ends. It owns the sender of replies only until the first message is
    /// forwarded: from then on the bridge owns it, which may drop the caller.
    async fn forward_messages(
        self,
        caller: CallerId,
        reply_to: mpsc::Sender<Notified>,
        mut messages: Streaming<pb::Question>,
    ) {
        let weak_sender = reply_to.downgrade();
        let mut own_sender = Some(reply_to);
        loop {
            let message = messages.message().await.ok().flatten();
            let Some(reply_to) = own_sender.take().or_else(|| weak_sender.upgrade()) else { return };
            let tag = message.as_ref().map_or(0, |message| message.tag);
            let operation = match message.map(|message| self.decode(message)) {
                None => Operation::EndStream,
                Some(Ok(operation)) => operation,
                Some(Err(error)) => {
                    // A caller that sends invalid messages and does not read the replies is dropped.
                    if reply_to.try_send(Notified::Invalid(tag, error)).is_err() {
                        return;
                    }
                    own_sender = Some(reply_to);
                    continue;
                }
            };
            let is_last = matches!(operation, Operation::EndStream);
            let request_ref = RequestRef { caller, tag };
            let message = CallerMessage { request_ref, reply_to, operation };
            if self.0.decisions.messages.send(message).await.is_err() || is_last {
                return;
            }
        }
    }

    /// Handles a unary call: one message, one answer.
    async fn call(
        &self,
        operation: Result<Operation, InvalidRequest>,
    ) -> Result<Response<pb::Answer>, Status> {
        let operation = match operation {
            Ok(operation) => operation,
            Err(error) => return Ok(Response::new(grpc_codec::encode_invalid(&error))),
        };
        let caller = self.0.allocate_caller();
        let mut guard = CallerGuard::new(&self.0.decisions, CallerEnd::Unanswered(caller));
        // Dropped before the guard: the bridge ignores a queued message whose channel is closed.
        let (reply_to, mut notifications) = mpsc::channel(1);
        let request_ref = RequestRef { caller, tag: UNARY_TAG };
        let message = CallerMessage { request_ref, reply_to, operation };
        self.0.decisions.messages.send(message).await.map_err(|_| shutting_down())?;
        match notifications.recv().await {
            Some(Notified::Reply(_, reply)) => {
                guard.end = CallerEnd::Answered(caller);
                Ok(Response::new(grpc_codec::encode_reply(self.0.clock.now(), reply)))
            }
            Some(Notified::Invalid(_, error)) => Ok(Response::new(grpc_codec::encode_invalid(&error))),
            Some(Notified::Revoked(_)) | None => Err(shutting_down()),
        }
    }
}

#[tonic::async_trait]
impl Decisions for DecisionsHandler {
    type ConverseStream = AnswerStream;

    async fn decide(
        &self,
        request: tonic::Request<pb::DecideRequest>,
    ) -> Result<Response<pb::Answer>, Status> {
        self.call(self.decode_request(request.get_ref())).await
    }

    async fn report(
        &self,
        request: tonic::Request<pb::ReportRequest>,
    ) -> Result<Response<pb::Answer>, Status> {
        self.call(grpc_codec::decode_report(request.get_ref()).map(Operation::Report)).await
    }

    async fn renew(&self, request: tonic::Request<pb::RenewRequest>) -> Result<Response<pb::Answer>, Status> {
        self.call(grpc_codec::decode_renewal(request.get_ref()).map(Operation::Renew)).await
    }

    async fn converse(
        &self,
        request: tonic::Request<Streaming<pb::Question>>,
    ) -> Result<Response<AnswerStream>, Status> {
        let caller = self.0.allocate_caller();
        let (reply_to, notifications) = mpsc::channel(self.0.settings.bounds.per_caller);
        tokio::spawn(self.clone().forward_messages(caller, reply_to, request.into_inner()));
        let guard = CallerGuard::new(&self.0.decisions, CallerEnd::Stream(caller));
        Ok(Response::new(AnswerStream { notifications, clock: self.0.clock, _guard: guard }))
    }
}
