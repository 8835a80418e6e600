//! The state of a client connection: whether it is idle, a head is arriving or a request is open, and since when. Timeouts
//! and eviction are decided here from times that are passed in.

mod framing;
mod presence;
mod read_ahead_buffer;
pub mod socket_state;
mod stream;

pub use presence::ClientPresence;
pub use stream::ClientStream;

use self::framing::Framing;
use self::read_ahead_buffer::ReadAheadBuffer;
use self::socket_state::{is_quiet, is_read_closed};
use crate::size_limits::MAX_REQUEST_HEAD_BYTES;
use crate::stall_detector::StallDetector;
use socket_io::time_since_last_data;
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

/// How long a connection may be idle, from connecting or from its last response on.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a head may take from its first byte on. Slow clients are promised 2 s.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// After this time a head exceeds what clients are promised, and its connection may be evicted.
const PROMISED_HEAD_TIME: Duration = Duration::from_millis(2_100);
/// A new connection is expected to send its first request within this time.
const JUST_CONNECTED_TIME: Duration = Duration::from_millis(50);
/// How long a client may read nothing of a response that waits for it.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a new connection may take for its first request during shutdown. Shorter than the minimum time that a shutdown
/// takes.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// The bytes that are read ahead while a request is open, to see the client's close behind them.
const MAX_READ_AHEAD_BYTES: usize = MAX_REQUEST_HEAD_BYTES;
/// The bytes that are read ahead at a time.
const READ_AHEAD_CHUNK_BYTES: usize = 2_048;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No byte of a request has arrived since the last response.
    Idle,
    /// A part of a head has arrived.
    ReadingHead,
    /// A request is open.
    Serving,
}

/// How suitable a connection is for eviction, the most suitable first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionClass {
    /// It is idle.
    Idle,
    /// Its head takes longer than clients are promised.
    HeadOverdue,
    /// It was just opened.
    JustConnected,
    /// A head is arriving.
    ReadingHead,
}

/// The order in which connections are evicted; `since` breaks ties, the oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionRank {
    /// How suitable the connection is.
    pub class: EvictionClass,
    /// When its present activity began.
    pub since: Instant,
}

/// The state of a client connection.
#[derive(Debug)]
pub struct ClientConnection {
    activity: Cell<Activity>,
    activity_since: Cell<Instant>,
    /// Since when bytes wait that the client does not read.
    write_stalled_since: Cell<Option<Instant>>,
    framing: RefCell<Framing>,
    last_byte_at: Cell<Instant>,
    stall_detector: Rc<StallDetector>,
    had_request: Cell<bool>,
    had_response: Cell<bool>,
    /// What arrives now does not belong to the open request.
    request_is_complete: Cell<bool>,
    read_ahead: RefCell<ReadAheadBuffer>,
    /// When the kernel was last asked whether the client has disconnected.
    presence_checked_at: Cell<Option<Instant>>,
    disconnected: Cell<bool>,
    disconnect: Notify,
    /// Asks the connection to close in favour of another one.
    pub eviction: Notify,
}

impl ClientConnection {
    /// A connection that was accepted at `now`.
    #[must_use]
    pub fn new(now: Instant, stall_detector: Rc<StallDetector>) -> Rc<Self> {
        Rc::new(Self {
            activity: Cell::new(Activity::Idle),
            activity_since: Cell::new(now),
            write_stalled_since: Cell::new(None),
            framing: RefCell::default(),
            last_byte_at: Cell::new(now),
            stall_detector,
            had_request: Cell::new(false),
            had_response: Cell::new(false),
            request_is_complete: Cell::new(false),
            read_ahead: RefCell::default(),
            presence_checked_at: Cell::new(None),
            disconnected: Cell::new(false),
            disconnect: Notify::new(),
            eviction: Notify::new(),
        })
    }

    /// What it is doing.
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

    /// The earliest moment at which bytes may have arrived that were just read.
    fn earliest_arrival(&self, stream: &TcpStream) -> Instant {
        let now = Instant::now();
        let earliest = self.stall_detector.earliest(now);
        if self.had_response.get() {
            return earliest;
        }
        // The connection may have waited in the listener's queue with them. Only the kernel knows for how long.
        let age = time_since_last_data(stream).unwrap_or_default();
        now.checked_sub(age).map_or(earliest, |received_at| received_at.min(earliest))
    }

    /// The earliest moment at which the last byte may have arrived.
    #[must_use]
    pub fn last_byte_at(&self) -> Instant {
        self.last_byte_at.get()
    }

    /// Records that the head of a request is complete.
    pub fn start_request(&self, now: Instant) {
        self.had_request.set(true);
        self.framing.borrow_mut().start_request();
        self.set_activity(Activity::Serving, now);
    }

    /// Records that the request's response has ended.
    pub fn finish_request(&self, now: Instant) {
        let mut framing = self.framing.borrow_mut();
        framing.finish_request();
        self.had_response.set(true);
        self.request_is_complete.set(false);
        let activity = if framing.has_pipelined_bytes() { Activity::ReadingHead } else { Activity::Idle };
        self.set_activity(activity, now);
    }

    /// Records that the open request was received completely. Until then nothing is read ahead.
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

    /// Whether the client has closed its connection or only its sending side: the two can't be told apart.
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

    /// Reads ahead what the kernel has, whether or not the runtime has polled the socket.
    pub fn read_ahead(&self, stream: &TcpStream) {
        while self.can_read_ahead() {
            if self.read_ahead_chunk(stream).is_err() {
                self.presence_checked_at.set(Some(Instant::now()));
                return;
            }
        }
    }

    /// Reads ahead while a request is open, to see the client's close: the HTTP library does not read while it has bytes of a
    /// pipelined request.
    pub fn poll_read_ahead(&self, stream: &TcpStream, cx: &mut Context<'_>) {
        while self.can_read_ahead() && stream.poll_read_ready(cx).is_ready() {
            // With nothing to read, the next iteration registers for readiness.
            let _ = stream.try_io(Interest::READABLE, || self.read_ahead_chunk(stream));
        }
    }

    /// Detects the close of a client whose bytes are not read ahead, since they belong to the open request or are too many:
    /// the kernel reports the close even behind unread bytes.
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
                let arrived_at = self.earliest_arrival(stream);
                self.read_ahead.borrow_mut().push(&bytes[..count], arrived_at);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(error),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => self.set_disconnected(),
        }
        Ok(())
    }

    /// Whether no unanswered byte has arrived, neither read ahead nor in the kernel.
    #[must_use]
    pub fn is_quiet(&self, stream: &TcpStream) -> bool {
        self.read_ahead.borrow().is_empty() && is_quiet(stream)
    }

    /// Whether bytes beyond the open request have arrived, which need a response as well.
    #[must_use]
    pub fn has_pipelined_bytes(&self, stream: &TcpStream) -> bool {
        self.framing.borrow().has_pipelined_bytes() || !self.is_quiet(stream)
    }

    /// Whether the head has both a length and a transfer encoding. The HTTP library drops the length silently.
    #[must_use]
    pub fn has_length_and_encoding(&self) -> bool {
        self.framing.borrow().has_length_and_encoding()
    }

    /// Whether its present activity has timed out.
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
        }
    }

    /// Its place in the order of eviction; `None` while a request is open, which is never evicted.
    #[must_use]
    pub fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let since = self.activity_since.get();
        let elapsed = now.saturating_duration_since(since);
        let class = match self.activity() {
            Activity::Idle if elapsed >= JUST_CONNECTED_TIME => EvictionClass::Idle,
            Activity::ReadingHead if elapsed >= PROMISED_HEAD_TIME => EvictionClass::HeadOverdue,
            Activity::Idle => EvictionClass::JustConnected,
            Activity::ReadingHead => EvictionClass::ReadingHead,
            Activity::Serving => return None,
        };
        Some(EvictionRank { class, since })
    }

    fn is_idle(&self) -> bool {
        self.activity() == Activity::Idle && self.write_stalled_since.get().is_none()
    }

    /// Whether it may be evicted: no request is open.
    #[must_use]
    pub fn can_be_evicted(&self) -> bool {
        self.activity() == Activity::ReadingHead || self.is_idle()
    }

    /// Whether it may close during shutdown: it is idle, and a new connection had time for its first request.
    #[must_use]
    pub fn can_close(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.activity_since.get());
        let awaits_first_request = !self.had_request.get() && elapsed < FIRST_REQUEST_TIMEOUT;
        self.is_idle() && !awaits_first_request
    }
}

#[cfg(test)]
mod tests;
