//! The gRPC service `Decisions`: unary calls with one message, and streams with many messages.

use super::shared::{CallerGuard, Shared, shutting_down};
use crate::bridge::{CallerEnd, CallerMessage, CallerNotification, Operation};
use crate::decision_request::InvalidRequest;
use crate::decision_service::{CallerId, MessageRef};
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

/// The tag of the only message of a unary call.
const UNARY_TAG: u64 = 1;

#[derive(Clone)]
pub(super) struct DecisionsHandler(pub(super) Arc<Shared>);

/// The replies of one stream. On drop, the channel is closed before the guard reports the caller's end, which
/// withdraws its open requests.
pub(super) struct AnswerStream {
    notifications: mpsc::Receiver<CallerNotification>,
    clock: Clock,
    _guard: CallerGuard,
}

impl Stream for AnswerStream {
    type Item = Result<pb::TaggedAnswer, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let notification = ready!(self.notifications.poll_recv(cx));
        let tagged = |tag, answer| pb::TaggedAnswer { tag, answer: Some(answer) };
        Poll::Ready(notification.map(|notification| {
            Ok(match notification {
                CallerNotification::Reply(tag, reply) => {
                    tagged(tag, grpc_codec::encode_reply(self.clock.now(), reply))
                }
                CallerNotification::Invalid(tag, error) => tagged(tag, grpc_codec::encode_invalid(&error)),
                CallerNotification::Revoked(lease) => grpc_codec::encode_revocation(lease),
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
        let request = grpc_codec::decode_request(now, request, &shared.parser, &shared.field_names)?;
        Ok(Operation::Decide(Box::new(request)))
    }

    /// Forwards the messages of a stream until it ends. Keeps a sender of notifications only until the first
    /// message is forwarded. From then on only the bridge has one, so that it can end the stream by dropping
    /// the caller.
    async fn forward_messages(
        self,
        caller: CallerId,
        reply_to: mpsc::Sender<CallerNotification>,
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
                    // A caller that sends invalid messages without reading the replies is dropped.
                    if reply_to.try_send(CallerNotification::Invalid(tag, error)).is_err() {
                        return;
                    }
                    own_sender = Some(reply_to);
                    continue;
                }
            };
            let is_last = matches!(operation, Operation::EndStream);
            let message_ref = MessageRef { caller, tag };
            let message = CallerMessage { message_ref, reply_to, operation };
            if self.0.decisions.messages.send(message).await.is_err() || is_last {
                return;
            }
        }
    }

    /// Handles a unary call: sends its operation to the decision service and waits for the reply.
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
        // The channel is dropped before the guard: the bridge ignores queued messages whose channel is
        // closed.
        let (reply_to, mut notifications) = mpsc::channel(1);
        let message_ref = MessageRef { caller, tag: UNARY_TAG };
        let message = CallerMessage { message_ref, reply_to, operation };
        self.0.decisions.messages.send(message).await.map_err(|_| shutting_down())?;
        match notifications.recv().await {
            Some(CallerNotification::Reply(_, reply)) => {
                guard.end = CallerEnd::Answered(caller);
                Ok(Response::new(grpc_codec::encode_reply(self.0.clock.now(), reply)))
            }
            Some(CallerNotification::Invalid(_, error)) => {
                Ok(Response::new(grpc_codec::encode_invalid(&error)))
            }
            Some(CallerNotification::Revoked(_)) | None => Err(shutting_down()),
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
        let (reply_to, notifications) = mpsc::channel(self.0.settings.limits.open_decisions_per_caller);
        tokio::spawn(self.clone().forward_messages(caller, reply_to, request.into_inner()));
        let guard = CallerGuard::new(&self.0.decisions, CallerEnd::Stream(caller));
        Ok(Response::new(AnswerStream { notifications, clock: self.0.clock, _guard: guard }))
    }
}
