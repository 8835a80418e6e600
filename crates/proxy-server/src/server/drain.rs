//! Draining: after the stop signal, requests in flight and those on connections that still arrive are
//! completed within a bounded time. Responses that are under way then, and go on, are completed as well.

use balancer::api::Micros;
use http_proxy::client_connection::MAX_FINAL_RESPONSE_TIME;
use http_proxy::clients::{AcceptQueueResult, ClientConnections, ShutdownPhase};
use http_proxy::log::log;
use http_proxy::transport::EngineHandle;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The minimum time for which the proxy accepts connections after the stop signal, since some still arrive.
const MIN_DRAIN: Duration = Duration::from_millis(800);
/// How long connections are expected to arrive after the stop signal. If the sum of the longest deadline and
/// this time is shorter than [`MIN_DRAIN`], it replaces [`MIN_DRAIN`].
const ARRIVAL_GRACE: Duration = Duration::from_millis(400);
/// How long no connection must have arrived before idle connections are closed.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// The interval at which the progress of draining is polled.
pub(super) const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The delay after a failed accept from the listener's queue.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// The maximum deadline that draining waits for; longer ones are cut to it. The platform kills the process
/// 0.7 s after it.
const MAX_DRAIN_DEADLINE: Duration = Duration::from_secs(3);
/// How long after the longest deadline the last response is due.
const RESPONSE_SLACK: Duration = Duration::from_millis(450);
/// How long after the longest deadline the process ends even if clients are still connected, unless responses
/// are under way. The difference to [`RESPONSE_SLACK`] is the time for writing the responses.
pub(super) const DRAIN_SLACK: Duration = Duration::from_millis(550);

/// Drains the HTTP front end.
pub(super) struct Drain<'a> {
    pub(super) clients: &'a Rc<ClientConnections>,
    pub(super) handle: &'a EngineHandle,
    pub(super) listener: &'a TcpListener,
    pub(super) phase: &'a watch::Sender<ShutdownPhase>,
    /// The earliest time at which the stop signal may have arrived.
    pub(super) stop_requested_at: Instant,
    /// The longest deadline of the classes in force.
    pub(super) longest_deadline: Duration,
}

impl Drain<'_> {
    /// Completes the requests in flight and those that still arrive. The response deadline of all of them
    /// lies before the time at which the platform kills the process, so a request that arrives later has less
    /// time.
    pub(super) async fn run(self) {
        let longest_deadline = self.longest_deadline.min(MAX_DRAIN_DEADLINE);
        let response_deadline =
            self.handle.clock().at(self.stop_requested_at) + micros(longest_deadline + RESPONSE_SLACK);
        self.handle.set_response_deadline(response_deadline);
        let _ = self.phase.send(ShutdownPhase::Draining);
        self.wait_for_arrivals(longest_deadline).await;
        let _ = self.phase.send(ShutdownPhase::Closing);
        self.close_connections(self.stop_requested_at + longest_deadline + DRAIN_SLACK).await;
        if self.clients.responding_connections() > 0 {
            self.finish_responses().await;
        }
    }

    /// Refuses new connections, and waits until each response that is under way is complete, or is cut off for its
    /// slowness.
    async fn finish_responses(&self) {
        log(format_args!("draining: {} responses are under way", self.clients.responding_connections()));
        let _ = self.phase.send(ShutdownPhase::Finishing);
        self.clients.stop_listening(self.listener);
        let all_complete = async {
            while self.clients.responding_connections() > 0 {
                let _ = timeout(DRAIN_POLL_INTERVAL, self.clients.connection_closed()).await;
            }
        };
        let _ = timeout(MAX_FINAL_RESPONSE_TIME + DRAIN_SLACK, all_complete).await;
        // The last ones are closing.
        let all_closed = async {
            while self.clients.open_connections() > 0 {
                self.clients.connection_closed().await;
            }
        };
        let _ = timeout(DRAIN_SLACK, all_closed).await;
    }

    async fn wait_for_arrivals(&self, longest_deadline: Duration) {
        let min_drain = MIN_DRAIN.min(longest_deadline + ARRIVAL_GRACE);
        while self.stop_requested_at.elapsed() < min_drain
            || (self.clients.time_since_accept() < QUIET_PERIOD
                && self.stop_requested_at.elapsed() < longest_deadline)
        {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Waits until all connections are closed and the listener's queue is empty, at most until `end`.
    async fn close_connections(&self, end: Instant) {
        loop {
            while self.clients.open_connections() > 0 {
                if timeout_at(end, self.clients.connection_closed()).await.is_err() {
                    return;
                }
            }
            // The kernel resets connections in the listener's queue when the process exits. After this check,
            // only those are lost that the kernel completes between the check and the exit.
            match self.clients.accept_queued(self.listener) {
                AcceptQueueResult::Accepted => {}
                AcceptQueueResult::Failed if Instant::now() < end => sleep(ACCEPT_RETRY_DELAY).await,
                AcceptQueueResult::Empty | AcceptQueueResult::Failed => return,
            }
        }
    }
}

fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
