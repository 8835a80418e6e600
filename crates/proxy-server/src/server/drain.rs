//! Draining: after the stop signal, requests in flight and connections that still arrive are finished within a bounded time.

use balancer::api::Micros;
use http_proxy::clients::{BacklogDrain, ClientConnections, ShutdownPhase};
use http_proxy::transport::Handle;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// How long the proxy accepts connections at least after the stop signal: some still arrive.
const MIN_DRAIN: Duration = Duration::from_millis(800);
/// How long connections arrive after the stop signal. With short deadlines this and the deadline replace [`MIN_DRAIN`].
const ARRIVAL_GRACE: Duration = Duration::from_millis(400);
/// How long no connection may have arrived before idle ones are closed.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// How often the progress of draining is polled.
pub(super) const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The delay after a failed examination of the listener's queue.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// The longest deadline that draining waits for. The platform kills the process 0.7 s later.
const MAX_DRAIN_DEADLINE: Duration = Duration::from_secs(3);
/// How long after the longest deadline each request has its response at the latest.
const RESPONSE_SLACK: Duration = Duration::from_millis(450);
/// How long after the longest deadline the process ends, with clients still connected: the time beyond [`RESPONSE_SLACK`] is
/// for writing the responses.
pub(super) const DRAIN_SLACK: Duration = Duration::from_millis(550);

/// The draining of the HTTP front end.
pub(super) struct Drain<'a> {
    pub(super) clients: &'a Rc<ClientConnections>,
    pub(super) handle: &'a Handle,
    pub(super) listener: &'a TcpListener,
    pub(super) phase: &'a watch::Sender<ShutdownPhase>,
    /// The earliest time at which the stop signal may have come.
    pub(super) stop_requested_at: Instant,
    /// The longest deadline of the classes in force.
    pub(super) longest_deadline: Duration,
}

impl Drain<'_> {
    /// Finishes the requests in flight and those that still arrive. Each has its response before the platform kills the
    /// process: the later a request arrives, the less time it has.
    pub(super) async fn run(self) {
        let longest_deadline = self.longest_deadline.min(MAX_DRAIN_DEADLINE);
        let response_deadline =
            self.handle.clock().at(self.stop_requested_at) + micros(longest_deadline + RESPONSE_SLACK);
        self.handle.set_response_deadline(response_deadline);
        let _ = self.phase.send(ShutdownPhase::Draining);
        self.wait_for_arrivals(longest_deadline).await;
        let _ = self.phase.send(ShutdownPhase::Closing);
        self.close_connections(self.stop_requested_at + longest_deadline + DRAIN_SLACK).await;
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
            while self.clients.open() > 0 {
                if timeout_at(end, self.clients.connection_closed()).await.is_err() {
                    return;
                }
            }
            // The exit resets connections in the listener's queue. After this check only those are lost that the kernel
            // completes in the moment before the exit.
            match self.clients.drain_backlog(self.listener) {
                BacklogDrain::Accepted => {}
                BacklogDrain::Failed if Instant::now() < end => sleep(ACCEPT_RETRY_DELAY).await,
                BacklogDrain::Empty | BacklogDrain::Failed => return,
            }
        }
    }
}

fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
