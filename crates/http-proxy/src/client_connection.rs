//! The state of a client connection: whether it is idle, a head is arriving or a request is open, and since
//! when. Timeouts and eviction are derived from times that are passed in.

mod arrival_log;
mod final_response;
mod framing;
mod presence;
mod read_ahead_buffer;
pub mod socket_state;
mod stream;

pub use final_response::MAX_FINAL_RESPONSE_TIME;
pub use presence::ClientPresence;
pub use stream::ClientStream;

use self::arrival_log::{ArrivalLog, UnreadBytes};
use self::final_response::{FinalResponseLimit, SentBytes};
use self::framing::Framing;
use self::read_ahead_buffer::ReadAheadBuffer;
use self::socket_state::{is_input_empty, is_read_closed};
use crate::connection_events::{ConnectionEvent, ConnectionEvents};
use crate::size_limits::MAX_REQUEST_HEAD_BYTES;
use crate::stall_detector::StallDetector;
use hyper::header::HeaderValue;
use socket_io::{acknowledged_bytes, received_data};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::Context;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The maximum idle time of a connection, counted from its accept or its last response.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The maximum time for a head, counted from its first byte. Slow clients are promised 2 s.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// After this time a head has taken longer than clients are promised, and its connection may be evicted.
const PROMISED_HEAD_TIME: Duration = Duration::from_millis(2_100);
/// A new connection is expected to send its first request within this time.
const NEW_CONNECTION_TIME: Duration = Duration::from_millis(50);
/// After this time without a byte, a request's body has stopped arriving. Slower clients are served as long as
/// no other client needs their connection.
const BODY_STALL_TIME: Duration = Duration::from_millis(300);
/// The time for which a connection that could not be evicted is not selected again, so that others are.
const EVICTION_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The time in which a response reaches its client after it was written.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(100);
/// The maximum time for which a client may read nothing of a response that is ready to be sent.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum time until the first request of a new connection during shutdown. It is shorter than the
/// minimum time that a shutdown takes.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum number of bytes that are read ahead while a request is open, to detect a close by the client
/// behind them.
const MAX_READ_AHEAD_BYTES: usize = MAX_REQUEST_HEAD_BYTES;
/// The number of bytes that are read ahead at a time.
const READ_AHEAD_CHUNK_BYTES: usize = 2_048;

/// How much of a request's body has arrived, in whichever buffer it lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyArrival {
    /// The complete body, of which the last byte arrived at this time.
    Complete(Instant),
    /// A part that the kernel holds, since the backend does not read on.
    Unread(UnreadBody),
    /// A part that the kernel does not hold any more: the client has to send on.
    Read,
}

/// The part of a request's body that has arrived and is not read, since its backend does not read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadBody {
    /// When its last byte arrived.
    pub last_arrival: Instant,
    /// The number of its bytes.
    pub count: u64,
    /// The number of all bytes that have arrived since the connection was established.
    pub received: u64,
    /// The number of bytes of the body that have not arrived, if its length is known.
    pub not_arrived: Option<u64>,
}

/// The activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No byte of a request has arrived since the connection was accepted or its last response ended.
    Idle,
    /// A part of a request's head has arrived.
    ReadingHead,
    /// A request is open: its head is complete and its response has not ended.
    Serving,
    /// The last response was written, and late bytes are read before the connection closes.
    Closing,
}

/// How suitable a connection is for eviction, the most suitable first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionClass {
    /// Its last response has had time to reach the client.
    Closing,
    /// It is idle and not new.
    Idle,
    /// Its head is taking longer than clients are promised.
    HeadOverdue,
    /// It was just accepted and is expected to send its first request.
    JustConnected,
    /// A head is arriving within the promised time.
    ReadingHead,
    /// The body of its request has stopped arriving.
    BodyStalled,
}

/// The rank of a connection in the order of eviction, lowest first; `since` breaks ties, the oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionRank {
    /// The main criterion.
    pub class: EvictionClass,
    /// The start of its present activity.
    pub since: Instant,
}

/// The state of a client connection.
#[derive(Debug)]
pub struct ClientConnection {
    activity: Cell<Activity>,
    activity_since: Cell<Instant>,
    /// The time since which bytes are ready to be sent that the client does not read.
    write_stalled_since: Cell<Option<Instant>>,
    /// The bytes of streamed responses that were passed on.
    forwarded_bytes: Cell<u64>,
    /// Set once the process would end without its response.
    final_response: Cell<Option<FinalResponseLimit>>,
    framing: RefCell<Framing>,
    last_byte_at: Cell<Instant>,
    arrivals: RefCell<ArrivalLog>,
    stall_detector: Rc<StallDetector>,
    events: Rc<ConnectionEvents>,
    /// The correlation id of the last request.
    request_id: RefCell<Option<HeaderValue>>,
    had_request: Cell<bool>,
    /// Bytes that arrive now do not belong to the open request.
    request_is_complete: Cell<bool>,
    read_ahead: RefCell<ReadAheadBuffer>,
    /// The time at which the kernel was last asked whether the client has disconnected.
    presence_checked_at: Cell<Option<Instant>>,
    disconnected: Cell<bool>,
    disconnect: Notify,
    /// When it was last selected for eviction in vain.
    eviction_postponed_at: Cell<Option<Instant>>,
    /// Notified to ask this connection to close in favour of another one.
    pub eviction: Notify,
}

impl ClientConnection {
    /// A connection that was accepted at `now`. `events` counts what happens to its requests.
    #[must_use]
    pub fn new(now: Instant, stall_detector: Rc<StallDetector>, events: Rc<ConnectionEvents>) -> Rc<Self> {
        Rc::new(Self {
            activity: Cell::new(Activity::Idle),
            activity_since: Cell::new(now),
            write_stalled_since: Cell::new(None),
            forwarded_bytes: Cell::new(0),
            final_response: Cell::new(None),
            framing: RefCell::default(),
            last_byte_at: Cell::new(now),
            arrivals: RefCell::default(),
            stall_detector,
            events,
            request_id: RefCell::default(),
            had_request: Cell::new(false),
            request_is_complete: Cell::new(false),
            read_ahead: RefCell::default(),
            presence_checked_at: Cell::new(None),
            disconnected: Cell::new(false),
            disconnect: Notify::new(),
            eviction_postponed_at: Cell::new(None),
            eviction: Notify::new(),
        })
    }

    /// Its present activity.
    #[must_use]
    pub fn activity(&self) -> Activity {
        self.activity.get()
    }

    fn set_activity(&self, activity: Activity, now: Instant) {
        self.activity.set(activity);
        self.activity_since.set(now);
    }

    /// Records bytes that were read at `now` and arrived at `arrived_at` at the earliest.
    fn receive(&self, bytes: &[u8], now: Instant, arrived_at: Instant) {
        if self.activity() == Activity::Idle {
            self.set_activity(Activity::ReadingHead, now);
        }
        self.last_byte_at.set(arrived_at);
        self.framing.borrow_mut().receive(bytes);
    }

    /// Records what the kernel has received so far. All of it had arrived when its last data did, even if it
    /// is read much later.
    pub fn record_arrivals(&self, stream: &TcpStream) {
        if let Ok(received) = received_data(stream)
            && let Some(arrived_by) = Instant::now().checked_sub(received.last_data_age)
        {
            self.arrivals.borrow_mut().record(received.bytes, arrived_by);
        }
    }

    /// The earliest moment at which the bytes that were just read may have arrived.
    fn earliest_arrival(&self, stream: &TcpStream, byte_count: usize) -> Instant {
        self.record_arrivals(stream);
        let earliest = self.stall_detector.earliest_event_time(Instant::now());
        let arrived_by = self.arrivals.borrow_mut().read(byte_count);
        arrived_by.map_or(earliest, |arrived_by| arrived_by.min(earliest))
    }

    /// How much of the open request's body has arrived.
    #[must_use]
    pub fn body_arrival(&self, stream: &TcpStream) -> BodyArrival {
        self.record_arrivals(stream);
        let framing = self.framing.borrow();
        if framing.is_body_complete() {
            // Its end may lie in the buffer of the HTTP library.
            return BodyArrival::Complete(self.last_byte_at());
        }
        let Some(UnreadBytes { count, last_arrival, received }) = self.arrivals.borrow().unread() else {
            return BodyArrival::Read;
        };
        let not_arrived = framing.remaining_length().map(|remaining| remaining.saturating_sub(count));
        if not_arrived == Some(0) {
            return BodyArrival::Complete(last_arrival);
        }
        BodyArrival::Unread(UnreadBody { last_arrival, count, received, not_arrived })
    }

    /// The earliest moment at which the last byte may have arrived.
    #[must_use]
    pub fn last_byte_at(&self) -> Instant {
        self.last_byte_at.get()
    }

    /// Counts an event that concerns the open request, or the last one if none is open.
    pub fn record_event(&self, event: ConnectionEvent, reason: &str) {
        self.events.record(event, self.request_id.borrow().as_ref(), reason);
    }

    /// Records that the head of a request is complete. `id` is its correlation id.
    pub fn start_request(&self, now: Instant, id: Option<HeaderValue>) {
        self.request_id.replace(id);
        self.had_request.set(true);
        self.framing.borrow_mut().start_request();
        self.set_activity(Activity::Serving, now);
    }

    /// Records that the request's response has ended.
    pub fn finish_request(&self, now: Instant) {
        let mut framing = self.framing.borrow_mut();
        framing.finish_request();
        self.request_is_complete.set(false);
        let activity = if framing.has_pipelined_bytes() { Activity::ReadingHead } else { Activity::Idle };
        self.set_activity(activity, now);
    }

    /// Records that the open request was received completely. Until then nothing is read ahead, since bytes
    /// that arrive belong to its body.
    pub fn mark_request_complete(&self) {
        self.request_is_complete.set(true);
    }

    fn can_read_ahead(&self) -> bool {
        let is_open = self.activity() == Activity::Serving
            && self.request_is_complete.get()
            && !self.has_disconnected();
        is_open && self.read_ahead.borrow().len() < MAX_READ_AHEAD_BYTES
    }

    fn set_disconnected(&self) {
        self.disconnected.set(true);
        self.disconnect.notify_one();
    }

    /// Whether the client has closed its connection or only its sending side; the two cannot be
    /// distinguished.
    #[must_use]
    pub fn has_disconnected(&self) -> bool {
        self.disconnected.get()
    }

    /// Waits until the client has disconnected.
    pub async fn disconnected(&self) {
        while !self.has_disconnected() {
            self.disconnect.notified().await;
        }
    }

    /// Reads ahead the bytes that the kernel has, whether or not the runtime has polled the socket.
    pub fn read_ahead(&self, stream: &TcpStream) {
        while self.can_read_ahead() {
            if self.read_ahead_chunk(stream).is_err() {
                self.presence_checked_at.set(Some(Instant::now()));
                return;
            }
        }
    }

    /// Reads ahead while a request is open, to detect a close by the client: the HTTP library does not read
    /// while it has bytes of a pipelined request.
    pub fn poll_read_ahead(&self, stream: &TcpStream, cx: &mut Context<'_>) {
        while self.can_read_ahead() && stream.poll_read_ready(cx).is_ready() {
            // If there is nothing to read, the next iteration registers for readiness.
            let _ = stream.try_io(Interest::READABLE, || self.read_ahead_chunk(stream));
        }
    }

    /// Detects the close by a client whose bytes are not read ahead, either because they belong to the open
    /// request or because they are too many. The kernel reports the close even behind unread bytes.
    pub fn check_closed_behind_unread(&self, stream: &TcpStream) {
        let may_be_unnoticed =
            self.activity() == Activity::Serving && !self.can_read_ahead() && !self.has_disconnected();
        if may_be_unnoticed && is_read_closed(stream) {
            self.set_disconnected();
        }
    }

    fn read_ahead_chunk(&self, stream: &TcpStream) -> io::Result<()> {
        let mut bytes = [0; READ_AHEAD_CHUNK_BYTES];
        match io::Read::read(&mut &*SockRef::from(stream), &mut bytes) {
            Ok(0) => self.set_disconnected(),
            Ok(count) => {
                let arrived_at = self.earliest_arrival(stream, count);
                self.read_ahead.borrow_mut().push(&bytes[..count], arrived_at);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(error),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => self.set_disconnected(),
        }
        Ok(())
    }

    /// Whether no byte beyond the open request has arrived, neither read ahead nor in the kernel.
    #[must_use]
    pub fn is_input_empty(&self, stream: &TcpStream) -> bool {
        self.read_ahead.borrow().is_empty() && is_input_empty(stream)
    }

    /// Whether bytes beyond the open request have arrived. They are part of another request, which needs a
    /// response as well.
    #[must_use]
    pub fn has_pipelined_bytes(&self, stream: &TcpStream) -> bool {
        self.framing.borrow().has_pipelined_bytes() || !self.is_input_empty(stream)
    }

    /// Whether the head has both a Content-Length and a Transfer-Encoding header. The HTTP library drops the
    /// length silently.
    #[must_use]
    pub fn has_length_and_encoding(&self) -> bool {
        self.framing.borrow().has_length_and_encoding()
    }

    /// Whether the body of the open request violates the chunked transfer coding. The HTTP library accepts
    /// more than RFC 9112 allows.
    #[must_use]
    pub fn is_body_malformed(&self) -> bool {
        self.framing.borrow().is_body_malformed()
    }

    /// Whether the target of the open request has a fragment. The HTTP library drops it silently.
    #[must_use]
    pub fn has_target_fragment(&self) -> bool {
        self.framing.borrow().has_target_fragment()
    }

    /// Whether its present activity has timed out at `now`.
    #[must_use]
    pub fn has_timed_out(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.activity_since.get());
        let is_write_stalled = self
            .write_stalled_since
            .get()
            .is_some_and(|since| now.saturating_duration_since(since) >= WRITE_STALL_TIMEOUT);
        match self.activity() {
            Activity::Idle => elapsed >= IDLE_TIMEOUT,
            Activity::ReadingHead => elapsed >= HEAD_TIMEOUT,
            Activity::Serving => is_write_stalled,
            Activity::Closing => false,
        }
    }

    /// Its rank in the order of eviction; `None` if it must not be evicted: its request has arrived and its
    /// response has not, or the one or the other is still on its way.
    #[must_use]
    pub fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let since = self.activity_since.get();
        let elapsed = now.saturating_duration_since(since);
        if self.eviction_postponed_at.get().is_some_and(|at| now < at + EVICTION_RETRY_DELAY) {
            return None;
        }
        let class = match self.activity() {
            Activity::Idle if elapsed >= NEW_CONNECTION_TIME => EvictionClass::Idle,
            Activity::ReadingHead if elapsed >= PROMISED_HEAD_TIME => EvictionClass::HeadOverdue,
            Activity::Idle => EvictionClass::JustConnected,
            Activity::ReadingHead => EvictionClass::ReadingHead,
            Activity::Closing if elapsed >= RESPONSE_TRANSIT_TIME => EvictionClass::Closing,
            Activity::Serving if self.is_body_stalled(now) => {
                return Some(EvictionRank { class: EvictionClass::BodyStalled, since: self.last_byte_at() });
            }
            Activity::Serving | Activity::Closing => return None,
        };
        Some(EvictionRank { class, since })
    }

    fn is_idle(&self) -> bool {
        self.activity() == Activity::Idle && self.write_stalled_since.get().is_none()
    }

    /// Whether the open request's body is incomplete and has stopped arriving.
    fn is_body_stalled(&self, now: Instant) -> bool {
        let pause = now.saturating_duration_since(self.last_byte_at());
        pause >= BODY_STALL_TIME && self.framing.borrow().is_body_incomplete()
    }

    /// Whether it may be evicted: no complete request is open.
    #[must_use]
    pub fn can_be_evicted(&self, now: Instant) -> bool {
        match self.activity() {
            Activity::ReadingHead => true,
            Activity::Idle => self.is_idle(),
            Activity::Serving | Activity::Closing => self.eviction_rank(now).is_some(),
        }
    }

    /// Records that it was selected for eviction and has bytes that wait to be read.
    pub fn postpone_eviction(&self, now: Instant) {
        self.eviction_postponed_at.set(Some(now));
    }

    /// Records that a part of a streamed response was passed on.
    pub fn record_forwarded(&self, bytes: usize) {
        self.forwarded_bytes.set(self.forwarded_bytes.get() + bytes as u64);
    }

    /// Whether a request is open, or a response is not written completely.
    #[must_use]
    pub fn is_responding(&self) -> bool {
        self.activity() == Activity::Serving || self.write_stalled_since.get().is_some()
    }

    /// Whether the response that is under way at the end of the process is too slow at `now` to be waited for.
    /// The first call starts its time limit.
    #[must_use]
    pub fn has_final_response_timed_out(&self, now: Instant, stream: &TcpStream) -> bool {
        let acknowledged = acknowledged_bytes(stream).unwrap_or_default();
        let sent = SentBytes { forwarded: self.forwarded_bytes.get(), acknowledged };
        let limit = self.final_response.get().unwrap_or_else(|| FinalResponseLimit::new(now, sent));
        self.final_response.set(Some(limit));
        limit.is_exceeded(now, sent)
    }

    /// Records that its last response was written.
    pub fn start_closing(&self, now: Instant) {
        self.set_activity(Activity::Closing, now);
    }

    /// Waits until it is evicted while it closes.
    pub async fn evicted_while_closing(&self) {
        loop {
            self.eviction.notified().await;
            if self.can_be_evicted(Instant::now()) {
                return;
            }
        }
    }

    /// Whether it may close during shutdown: it is idle, and if it is new, it has had enough time for its
    /// first request.
    #[must_use]
    pub fn can_close(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.activity_since.get());
        let awaits_first_request = !self.had_request.get() && elapsed < FIRST_REQUEST_TIMEOUT;
        self.is_idle() && !awaits_first_request
    }
}

#[cfg(test)]
mod tests;
