//! Attempts of requests.
//!
//! An attempt writes its request once. Whether the request may be retried is decided by the balancer, which has to know
//! whether the complete request was written.

use super::connect::ConnectError;
use super::connection::BackendConnection;
use super::{AttemptEnd, BackendPool, PooledBackend};
use crate::exchange::{ExchangeError, ForwardedRequest, RequestBody, build_request, exchange, min_head_size};
use crate::min_transfer_rate;
use balancer::api::Outcome;
use request_engine::driver::AttemptTimes;
use request_engine::driver::cancellation::CancellationSignal;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// The shortest time that an attempt may have left at its start.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);
/// How often the progress of a streamed upload is checked.
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How often the runtime polls until a response that the kernel has reaches the attempt: sockets, head, body, and one in
/// reserve. Takes microseconds.
const FINAL_POLLS: u32 = 4;

/// An attempt that may write its request.
struct StartedAttempt {
    connection: BackendConnection,
    started_at: Instant,
    time_left: Duration,
}

impl BackendPool {
    /// Makes an attempt of a request on a backend. Ends at `times.give_up_at` (later for a streamed upload, whose time counts
    /// from its last byte), or when it is cancelled.
    pub async fn attempt(
        self: Rc<Self>,
        backend: Rc<PooledBackend>,
        request: Rc<ForwardedRequest>,
        times: AttemptTimes,
        cancellation: Rc<CancellationSignal>,
    ) -> AttemptEnd {
        match self.start(&backend, &request, &times, &cancellation).await {
            Ok(started) => self.perform(started, backend, &request, times.give_up_at, &cancellation).await,
            Err(outcome) => outcome.into(),
        }
    }

    /// Gets a connection and checks that the attempt may still start; otherwise returns its outcome.
    async fn start(
        self: &Rc<Self>,
        backend: &Rc<PooledBackend>,
        request: &ForwardedRequest,
        times: &AttemptTimes,
        cancellation: &CancellationSignal,
    ) -> Result<StartedAttempt, Outcome> {
        // The client may have disconnected in the same poll of the runtime.
        if cancellation.is_start_cancelled() || request.is_abandoned().await {
            return Err(Outcome::NotSent);
        }
        let connection = self.connect_unless_cancelled(backend, times.give_up_at, cancellation).await?;
        // Rule 3: while connecting, the backend may have started to drain or have been replaced.
        if !backend.is_ready.get() || connection.incarnation != backend.incarnation.get() {
            return Err(Outcome::NotSent);
        }
        // While connecting, the client may have disconnected, which nothing here has noticed yet.
        if request.is_abandoned().await {
            backend.release(connection);
            return Err(Outcome::NotSent);
        }
        let started_at = Instant::now();
        let time_left = times.give_up_at.saturating_duration_since(started_at).min(request.timeout);
        // Rule 2: while connecting, the time in which a retry may start may have ended.
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
        give_up_at: Instant,
        cancellation: &CancellationSignal,
    ) -> AttemptEnd {
        let StartedAttempt { mut connection, started_at, time_left } = started;
        let outbound = build_request(request, backend.address.get(), time_left);
        let socket = Rc::clone(&connection.socket);
        let written_before = socket.written();
        let head_end = written_before + min_head_size(&outbound);
        let cancelled = async {
            cancellation.start_cancelled().await;
            // Once written in part, the request continues without its client unless the balancer cancels the attempt.
            if socket.written() > written_before {
                cancellation.cancelled().await;
            }
        };
        let exchanged = tokio::select! {
            biased;
            exchanged = exchange(&mut connection.sender, outbound) => exchanged,
            () = cancelled => Err(ExchangeError::Cancelled),
            () = time_over_and_responses_polled(request, give_up_at) => Err(ExchangeError::TimedOut),
        };
        // Rule 2: a request that the socket did not take completely can't be executed; otherwise nothing is certain. Between
        // reading the count and dropping the connection nothing is awaited, so nothing more is written.
        let body_size = request.body.min_wire_size();
        let all_written = body_size.is_some_and(|size| connection.socket.written() >= head_end + size);
        let mut end = match exchanged {
            Ok(response) => self.response_end(response, backend, connection),
            Err(error) => failure_outcome(error, all_written, &request.body).into(),
        };
        if let RequestBody::Streamed(upload) = &request.body {
            let upload_end = upload.completed_at().unwrap_or_else(Instant::now);
            let waited = upload_end.saturating_duration_since(started_at);
            end.client_wait = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
        }
        end
    }
}

/// The outcome of an attempt without a response.
fn failure_outcome(error: ExchangeError, all_written: bool, body: &RequestBody) -> Outcome {
    let is_upload_incomplete = || {
        matches!(body, RequestBody::Streamed(upload)
            if upload.has_client_failed() || upload.completed_at().is_none())
    };
    match error {
        // Also before the complete request was written: the meaning of an early response is unknown.
        ExchangeError::Malformed => Outcome::Malformed,
        ExchangeError::Cancelled if all_written => Outcome::Cancelled,
        ExchangeError::TimedOut if all_written => Outcome::Timeout,
        ExchangeError::ConnectionFailed if all_written => Outcome::Reset,
        ExchangeError::Cancelled => Outcome::NotSent,
        // The client aborted the upload, or was too slow: not the backend's fault.
        _ if is_upload_incomplete() => Outcome::NotSent,
        _ => Outcome::ConnectFailed,
    }
}

/// Waits until the time of an attempt is over and everything that its backend has sent by then was read: after a stall the
/// runtime runs timers before it polls sockets.
async fn time_over_and_responses_polled(request: &ForwardedRequest, give_up_at: Instant) {
    time_over(request, give_up_at).await;
    for _ in 0..FINAL_POLLS {
        tokio::task::yield_now().await;
    }
}

/// Waits until the time of an attempt is over. That of a streamed upload counts from its last byte; until then its client has
/// to reach the minimum transfer rate.
async fn time_over(request: &ForwardedRequest, give_up_at: Instant) {
    let RequestBody::Streamed(upload) = &request.body else { return sleep_until(give_up_at).await };
    let started_at = Instant::now();
    let completed_at = loop {
        if let Some(completed_at) = upload.completed_at() {
            break completed_at;
        }
        let silence_end = upload.last_chunk_at().max(started_at) + min_transfer_rate::SILENCE_TIMEOUT;
        let rate_end = started_at + min_transfer_rate::timeout_after(upload.forwarded_bytes());
        if Instant::now() > rate_end.min(silence_end) {
            return;
        }
        sleep(UPLOAD_CHECK_INTERVAL).await;
    };
    sleep_until(completed_at + request.timeout).await;
}
