//! The gRPC service for Envoy's `ext_proc` filter, which opens one stream per HTTP request.

use super::shared::{CallerGuard, Shared, shutting_down};
use crate::bridge::{CallerEnd, CallerMessage, CallerNotification, Operation};
use crate::decision_service::{CallerId, MessageRef, Reply, Report};
use crate::envoy::{ProcessingStream, StreamAction};
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_server::ExternalProcessor;
use envoy_types::pb::envoy::service::ext_proc::v3::{ProcessingRequest, ProcessingResponse};
use std::ops::ControlFlow;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Response, Status, Streaming};

/// Capacity of a stream's queues of replies. Enough, since Envoy has one message in flight at a time, or one
/// chunk of each body.
const REPLY_QUEUE: usize = 8;
/// The tag of all messages of a stream, of which at most one is in flight.
const STREAM_TAG: u64 = 1;

pub(super) struct EnvoyHandler(pub(super) Arc<Shared>);

#[tonic::async_trait]
impl ExternalProcessor for EnvoyHandler {
    type ProcessStream = ReceiverStream<Result<ProcessingResponse, Status>>;

    async fn process(
        &self,
        request: tonic::Request<Streaming<ProcessingRequest>>,
    ) -> Result<Response<Self::ProcessStream>, Status> {
        let (responses, response_stream) = mpsc::channel(REPLY_QUEUE);
        tokio::spawn(handle_stream(Arc::clone(&self.0), request.into_inner(), responses));
        Ok(Response::new(ReceiverStream::new(response_stream)))
    }
}

type ResponseSender = mpsc::Sender<Result<ProcessingResponse, Status>>;

/// Handles one stream to its end.
async fn handle_stream(
    shared: Arc<Shared>,
    mut messages: Streaming<ProcessingRequest>,
    responses: ResponseSender,
) {
    let caller = shared.allocate_caller();
    let mut guard = CallerGuard::new(&shared.decisions, CallerEnd::Unanswered(caller));
    // The channel is dropped before the guard: the bridge ignores queued messages whose channel is closed.
    let (reply_to, mut notifications) = mpsc::channel(REPLY_QUEUE);
    let stream = ProcessingStream::new(&shared.parser, &shared.settings.envoy);
    let mut handler = StreamHandler {
        shared: &shared,
        caller,
        guard: &mut guard,
        reply_to,
        stream,
        is_decided: false,
        responses: &responses,
    };
    loop {
        let flow = tokio::select! {
            biased;
            () = responses.closed() => return,
            notification = notifications.recv() => match notification {
                Some(notification) => handler.handle_notification(notification).await,
                None => return,
            },
            message = messages.message() => match message {
                Ok(Some(message)) => handler.handle_message(message).await,
                Ok(None) | Err(_) => return,
            },
        };
        if flow.is_break() {
            return;
        }
    }
}

/// One stream and its channels. The methods return `Break` if the stream has to end.
struct StreamHandler<'a> {
    shared: &'a Shared,
    caller: CallerId,
    guard: &'a mut CallerGuard,
    reply_to: mpsc::Sender<CallerNotification>,
    stream: ProcessingStream<'a>,
    /// Whether the reply to the request for a decision has arrived.
    is_decided: bool,
    responses: &'a ResponseSender,
}

impl StreamHandler<'_> {
    async fn handle_notification(&mut self, notification: CallerNotification) -> ControlFlow<()> {
        let now = self.shared.clock.now();
        let response = match notification {
            CallerNotification::Reply(_, reply) if !self.is_decided => {
                self.is_decided = true;
                if let Reply::Send(_) = reply {
                    // From here on, Envoy may have made the attempt.
                    self.guard.end = CallerEnd::Stream(self.caller);
                }
                self.stream.handle_decision_reply(now, reply)
            }
            CallerNotification::Reply(_, reply) => self.stream.handle_report_reply(now, reply),
            // Envoy makes the attempt at once after the decision, so a revocation comes too late.
            CallerNotification::Revoked(_) | CallerNotification::Invalid(..) => {
                return ControlFlow::Continue(());
            }
        };
        self.respond(Ok(*response)).await
    }

    async fn handle_message(&mut self, message: ProcessingRequest) -> ControlFlow<()> {
        let operation = match self.stream.handle_message(self.shared.clock.now(), message) {
            Ok(StreamAction::Decide(request)) => Operation::Decide(request),
            Ok(StreamAction::Report { lease, outcome, load_report }) => {
                let load_report = self.shared.parse_load_report(&load_report);
                Operation::Report(Report { lease, outcome: Some(outcome), endpoint: None, load_report })
            }
            Ok(StreamAction::None) => return ControlFlow::Continue(()),
            Ok(StreamAction::Respond(response)) => return self.respond(Ok(*response)).await,
            Err(error) => {
                let _ = self.respond(Err(Status::failed_precondition(error.to_string()))).await;
                return ControlFlow::Break(());
            }
        };
        let message_ref = MessageRef { caller: self.caller, tag: STREAM_TAG };
        let message = CallerMessage { message_ref, reply_to: self.reply_to.clone(), operation };
        if self.shared.decisions.messages.send(message).await.is_err() {
            let _ = self.respond(Err(shutting_down())).await;
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    async fn respond(&self, response: Result<ProcessingResponse, Status>) -> ControlFlow<()> {
        match self.responses.send(response).await {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }
}
