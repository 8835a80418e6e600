//! Attempts of requests on backends.
//!
//! An attempt writes its request once. The balancer decides about retries; for this it has to know whether
//! the complete request was written.

use super::connect::ConnectError;
use super::connection::BackendConnection;
use super::upload_deadline::wait_for_upload_deadline;
use super::{AttemptCompletion, BackendPool, PooledBackend};
use crate::connection_events::ConnectionEvent;
use crate::exchange::{
    ExchangeError, ForwardedRequest, RequestBody, ResponseDeadlines, build_request, exchange, min_head_size,
};
use balancer::api::Outcome;
use request_engine::driver::AttemptTimes;
use request_engine::driver::cancellation::CancellationSignal;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The minimum time that has to be left when an attempt starts.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);
/// The number of polls by the runtime until a response that the kernel has received reaches the attempt:
/// sockets, head, body, and one in reserve. They take microseconds.
const FINAL_POLLS: u32 = 4;

/// An attempt that has a connection and may write its request.
struct StartedAttempt {
    connection: BackendConnection,
    started_at: Instant,
    time_left: Duration,
}

impl BackendPool {
    /// Makes an attempt of a request on a backend. It ends at `times.timeout_at` or when it is cancelled. The
    /// time limit of a streamed upload counts from its last byte, so that its attempt may end later.
    pub async fn attempt(
        self: Rc<Self>,
        backend: Rc<PooledBackend>,
        request: Rc<ForwardedRequest>,
        times: AttemptTimes,
        cancellation: Rc<CancellationSignal>,
    ) -> AttemptCompletion {
        match self.start(&backend, &request, &times, &cancellation).await {
            Ok(started) => self.perform(started, backend, &request, times.timeout_at, &cancellation).await,
            Err(outcome) => outcome.into(),
        }
    }

    /// Gets a connection and checks that the attempt may still start. Otherwise returns the outcome of the
    /// attempt.
    async fn start(
        self: &Rc<Self>,
        backend: &Rc<PooledBackend>,
        request: &ForwardedRequest,
        times: &AttemptTimes,
        cancellation: &CancellationSignal,
    ) -> Result<StartedAttempt, Outcome> {
        // The client may have disconnected during the same poll of the runtime.
        if cancellation.is_start_cancelled() || request.has_client_disconnected().await {
            return Err(Outcome::NotSent);
        }
        let connection = self.connect_unless_cancelled(backend, times.timeout_at, cancellation).await?;
        // During the connect the backend may have started to drain, or may have been replaced: it must not
        // get further requests.
        if !backend.is_ready.get() || connection.incarnation != backend.incarnation.get() {
            return Err(Outcome::NotSent);
        }
        // During the connect the client may have disconnected, which has not been noticed yet.
        if request.has_client_disconnected().await {
            backend.release(connection);
            return Err(Outcome::NotSent);
        }
        let started_at = Instant::now();
        let time_left = times.timeout_at.saturating_duration_since(started_at).min(request.timeout);
        // During the connect the time in which a retry may start may have passed: a later retry could be
        // executed twice.
        let is_late = times.start_by.is_some_and(|start_by| started_at >= start_by);
        if is_late || time_left < MIN_TIME_LEFT || request.body.is_consumed() {
            backend.release(connection);
            return Err(Outcome::NotSent);
        }
        Ok(StartedAttempt { connection, started_at, time_left })
    }

    async fn connect_unless_cancelled(
        &self,
        backend: &PooledBackend,
        deadline: Instant,
        cancellation: &CancellationSignal,
    ) -> Result<BackendConnection, Outcome> {
        if let Some(connection) = self.take_idle(backend) {
            return Ok(connection);
        }
        tokio::select! {
            biased;
            () = cancellation.start_cancelled() => Err(Outcome::NotSent),
            connected = self.connect(backend, deadline) => {
                connected.map_err(|error: ConnectError| error.outcome())
            }
        }
    }

    /// Writes the request and waits for the response.
    async fn perform(
        self: &Rc<Self>,
        started: StartedAttempt,
        backend: Rc<PooledBackend>,
        request: &ForwardedRequest,
        timeout_at: Instant,
        cancellation: &CancellationSignal,
    ) -> AttemptCompletion {
        let StartedAttempt { mut connection, started_at, time_left } = started;
        let outbound = build_request(request, backend.address.get(), time_left);
        let socket = Rc::clone(&connection.socket);
        let written_before = socket.written();
        let head_end = written_before + min_head_size(&outbound);
        let cancelled = async {
            cancellation.start_cancelled().await;
            // Once a part of it is written, the request continues without its client unless the balancer
            // cancels the attempt.
            if socket.written() > written_before {
                cancellation.cancelled().await;
            }
        };
        let deadlines = ResponseDeadlines {
            attempt: wait_for_deadline_and_final_polls(request, timeout_at),
            client: request.deadline,
        };
        let exchanged = tokio::select! {
            biased;
            exchanged = exchange(&mut connection.sender, outbound, deadlines) => exchanged,
            () = cancelled => Err(ExchangeError::Cancelled),
        };
        // A request that the socket has not accepted completely can't be executed, so that a retry is safe;
        // otherwise it may have been executed. Nothing is awaited between reading the count and dropping the
        // connection, so nothing more is written.
        let body_size = request.body.min_wire_size();
        let is_fully_written = body_size.is_some_and(|size| connection.socket.written() >= head_end + size);
        let mut end = match exchanged {
            Ok(response) => self.response_end(response, backend, connection),
            Err(error) => {
                record_failure(error, request);
                failure_outcome(error, is_fully_written, &request.body).into()
            }
        };
        if let RequestBody::Streamed(upload) = &request.body {
            let upload_end = upload.completed_at().unwrap_or_else(Instant::now);
            let waited = upload_end.saturating_duration_since(started_at);
            end.client_wait = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
        }
        end
    }
}

/// Counts why an attempt was given up within its response or its request.
fn record_failure(error: ExchangeError, request: &ForwardedRequest) {
    let Some(client) = &request.client else { return };
    match (error, &request.body) {
        (ExchangeError::ResponseIncomplete(progress), _) => {
            client.record_event(ConnectionEvent::IncompleteResponse, &progress.to_string());
        }
        (ExchangeError::TimedOut, RequestBody::Streamed(upload)) if upload.completed_at().is_none() => {
            let event = if upload.is_blocked() {
                ConnectionEvent::BlockedUpload
            } else {
                ConnectionEvent::LateUpload
            };
            let forwarded = upload.forwarded_bytes();
            client.record_event(event, &format!("{forwarded} bytes of the body were passed on"));
        }
        _ => {}
    }
}

/// The outcome of an attempt without a response.
fn failure_outcome(error: ExchangeError, is_fully_written: bool, body: &RequestBody) -> Outcome {
    let is_upload_incomplete = || {
        matches!(body, RequestBody::Streamed(upload)
            if upload.has_client_failed() || (upload.completed_at().is_none() && !upload.is_blocked()))
    };
    match error {
        // Also if the request was not written completely: the meaning of an early response is unknown.
        ExchangeError::Malformed => Outcome::Malformed,
        ExchangeError::Cancelled if is_fully_written => Outcome::Cancelled,
        ExchangeError::TimedOut | ExchangeError::ResponseIncomplete(_) if is_fully_written => {
            Outcome::Timeout
        }
        ExchangeError::ConnectionFailed if is_fully_written => Outcome::Reset,
        ExchangeError::Cancelled => Outcome::NotSent,
        // The client aborted the upload or was too slow: not a failure of the backend.
        _ if is_upload_incomplete() => Outcome::NotSent,
        _ => Outcome::ConnectFailed,
    }
}

/// Waits until the time limit of an attempt has passed and everything that its backend has sent by then is
/// read: after a stall the runtime runs timers before it polls sockets.
async fn wait_for_deadline_and_final_polls(request: &ForwardedRequest, timeout_at: Instant) {
    match &request.body {
        RequestBody::Buffered(_) => sleep_until(timeout_at).await,
        RequestBody::Streamed(upload) => wait_for_upload_deadline(request, upload).await,
    }
    for _ in 0..FINAL_POLLS {
        tokio::task::yield_now().await;
    }
}
