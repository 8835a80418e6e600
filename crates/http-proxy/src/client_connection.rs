//! A client's connection as its bytes show it: whether it rests, a head is on its way or a request is open, and since
//! when. What it may still take, and whether it may be closed, is decided here by times that are given in; the socket is
//! only passed through.

mod framing;
mod read_ahead_buffer;

use self::framing::Framing;
use self::read_ahead_buffer::Ahead;
use crate::stall_detector::StallDetector;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a client may say nothing, from connecting or from its last answer on.
pub const REST: Duration = Duration::from_millis(2_500);
/// How long a head may take from its first byte on. Slow clients are promised 2 s.
pub const HEAD: Duration = Duration::from_millis(2_500);
/// What clients are promised for a head.
const HEAD_PROMISED: Duration = Duration::from_millis(2_100);
/// A client that has just come is about to say something.
const JUST_COME: Duration = Duration::from_millis(50);
/// How long a client may take no byte of an answer that waits for it.
pub const STUCK: Duration = Duration::from_secs(10);
/// How long a client may take for its first word while the process ends: it has connected in order to ask, and a connection
/// that closes with no answer was not taken for nothing. Within what an ending process has at the least.
const FIRST_WORD: Duration = Duration::from_millis(700);
/// The bytes that are read ahead while a request is open, so that its client's leaving is seen behind them.
const AHEAD: usize = crate::size_limits::REQUEST_HEAD_CAP;
/// For how long a look that found the client there is good enough for an attempt to begin: the first one begins in the turn
/// in which its request was looked at, and one more system call for each request would be for nothing. A twentieth of the
/// time after which an attempt may not begin any more.
const LOOK_HOLDS: Duration = Duration::from_millis(5);
/// The bytes that are read ahead at a time.
const AHEAD_STEP: usize = 2_048;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doing {
    /// No byte of a request has come since the last answer.
    Resting,
    /// A part of a head has come.
    Heading,
    /// A request is open.
    Asking,
}

/// How well a connection can be spared, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Spared {
    /// It says nothing.
    Idle,
    /// Its head takes longer than any client is promised.
    Overdue,
    /// It has only just come.
    JustCome,
    /// A head is on its way.
    Heading,
}

/// What is known of a client's connection.
#[derive(Debug)]
pub struct ClientConnection {
    doing: Cell<Doing>,
    /// Since when it is doing that.
    since: Cell<Instant>,
    /// Since when bytes wait that the client does not take.
    stuck: Cell<Option<Instant>>,
    /// Which of the bytes that came belong to which request.
    framing: RefCell<Framing>,
    /// The earliest moment at which the last of them may have come.
    heard_at: Cell<Instant>,
    /// Since when it may have waited with bytes on it before it was accepted.
    waited_since: Cell<Option<Instant>>,
    monitor: Rc<StallDetector>,
    /// A request came on it.
    asked: Cell<bool>,
    /// The open request is whole, so that what comes now is no part of it.
    whole: Cell<bool>,
    /// What was read of the next requests.
    ahead: RefCell<Ahead>,
    /// When the kernel was last asked whether the client has left.
    looked: Cell<Option<Instant>>,
    /// The client has left, and who waits to hear of it.
    left: Cell<bool>,
    leaves: Notify,
    /// Ends the connection.
    pub closes: Notify,
}

impl ClientConnection {
    /// A connection that has just come; `waited_since`: since when it may have stood with bytes on it.
    #[must_use]
    pub fn new(now: Instant, monitor: Rc<StallDetector>, waited_since: Option<Instant>) -> Rc<Self> {
        Rc::new(Self {
            doing: Cell::new(Doing::Resting),
            since: Cell::new(now),
            stuck: Cell::new(None),
            framing: RefCell::default(),
            heard_at: Cell::new(now),
            waited_since: Cell::new(waited_since),
            monitor,
            asked: Cell::new(false),
            whole: Cell::new(false),
            ahead: RefCell::default(),
            looked: Cell::new(None),
            left: Cell::new(false),
            leaves: Notify::new(),
            closes: Notify::new(),
        })
    }

    fn turn(&self, doing: Doing, now: Instant) {
        self.doing.set(doing);
        self.since.set(now);
    }

    /// Bytes have come, at this moment at the earliest.
    fn heard(&self, bytes: &[u8], now: Instant, came: Instant) {
        if self.doing.get() == Doing::Resting {
            self.turn(Doing::Heading, now);
        }
        self.heard_at.set(came);
        self.framing.borrow_mut().came(bytes);
    }

    /// The earliest moment at which bytes may have come that the kernel gives at `now`.
    fn came(&self, now: Instant) -> Instant {
        self.waited_since.take().unwrap_or_else(|| self.monitor.earliest(now))
    }

    /// The earliest moment at which the last byte that was read may have come.
    #[must_use]
    pub fn heard_at(&self) -> Instant {
        self.heard_at.get()
    }

    /// The head of a request is whole.
    pub fn asks(&self, now: Instant) {
        self.asked.set(true);
        self.framing.borrow_mut().head_was_read();
        self.turn(Doing::Asking, now);
    }

    /// The request has its answer.
    pub fn answered(&self, now: Instant) {
        let mut framing = self.framing.borrow_mut();
        framing.was_answered();
        self.whole.set(false);
        self.turn(if framing.has_more() { Doing::Heading } else { Doing::Resting }, now);
    }

    /// All of the open request that can be waited for has come.
    pub fn is_whole(&self) {
        self.whole.set(true);
    }

    /// Whether what comes now is read ahead.
    fn listens(&self) -> bool {
        let open = self.doing() == Doing::Asking && self.whole.get() && !self.left.get();
        open && self.ahead.borrow().len() < AHEAD
    }

    fn leave(&self) {
        self.left.set(true);
        self.leaves.notify_one();
    }

    /// Whether the client has left: it has closed its connection, or ended its sending, which looks the same from here.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.left.get()
    }

    /// Waits until the client has left.
    pub async fn left(&self) {
        while !self.left.get() {
            self.leaves.notified().await;
        }
    }

    /// Reads ahead what the kernel has, whether or not the runtime has been told of it.
    pub fn look_ahead(&self, stream: &TcpStream) {
        while self.listens() {
            if self.read_ahead(stream).is_err() {
                self.looked.set(Some(Instant::now()));
                return;
            }
        }
    }

    /// Reads ahead what comes while a request is open, so that the end of the client's sending is seen: the HTTP library
    /// does not look while it has bytes of a further request.
    pub fn listen(&self, stream: &TcpStream, cx: &mut Context<'_>) {
        while self.listens() && stream.poll_read_ready(cx).is_ready() {
            // Nothing there: the next turn registers for what comes.
            let _ = stream.try_io(Interest::READABLE, || self.read_ahead(stream));
        }
    }

    /// A client whose bytes are not read ahead, since they are a part of the open request or too many, may have left all
    /// the same: the kernel tells of its end of sending behind what waits.
    pub fn look_behind(&self, stream: &TcpStream) {
        if self.doing() == Doing::Asking && !self.listens() && !self.left.get() && has_ended(stream) {
            self.leave();
        }
    }

    fn read_ahead(&self, stream: &TcpStream) -> io::Result<()> {
        let mut bytes = [0; AHEAD_STEP];
        match io::Read::read(&mut &*SockRef::from(stream), &mut bytes) {
            Ok(0) => self.leave(),
            Ok(count) => self.ahead.borrow_mut().push(&bytes[..count], self.came(Instant::now())),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(error),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => self.leave(),
        }
        Ok(())
    }

    /// Whether nothing of a request has come that was not answered, neither here nor in the kernel. The runtime may not
    /// have seen yet what the kernel knows already.
    #[must_use]
    pub fn is_quiet(&self, stream: &TcpStream) -> bool {
        self.ahead.borrow().is_empty() && is_quiet(stream)
    }

    /// Whether more has come than the open request: its client is owed an answer to that as well.
    #[must_use]
    pub fn has_more(&self, stream: &TcpStream) -> bool {
        self.framing.borrow().has_more() || !self.is_quiet(stream)
    }

    /// Whether the head that came holds both a length and an encoding. The HTTP library drops the length unseen.
    #[must_use]
    pub fn has_length_and_encoding(&self) -> bool {
        self.framing.borrow().has_length_and_encoding()
    }

    /// Whether its time is over.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.since.get());
        let stuck = self.stuck.get().is_some_and(|at| now.saturating_duration_since(at) >= STUCK);
        match self.doing.get() {
            Doing::Resting => since >= REST,
            Doing::Heading => since >= HEAD,
            Doing::Asking => stuck,
        }
    }

    /// How soon it may make room for another, the least first: those that say nothing, then heads that take longer than
    /// any client is promised, then those that have only just come, and then other heads; among those the eldest. A
    /// request that is open never gives way.
    #[must_use]
    pub fn spare_rank(&self, now: Instant) -> Option<(Spared, Instant)> {
        let since = self.since.get();
        let age = now.saturating_duration_since(since);
        let turn = match self.doing.get() {
            Doing::Resting if age >= JUST_COME => Spared::Idle,
            Doing::Heading if age >= HEAD_PROMISED => Spared::Overdue,
            Doing::Resting => Spared::JustCome,
            Doing::Heading => Spared::Heading,
            Doing::Asking => return None,
        };
        Some((turn, since))
    }

    /// Whether nothing of a request and nothing of an answer is on its way.
    fn is_at_rest(&self) -> bool {
        self.doing.get() == Doing::Resting && self.stuck.get().is_none()
    }

    /// Whether it may make room: nobody waits for an answer here.
    #[must_use]
    pub fn may_close(&self) -> bool {
        self.doing.get() == Doing::Heading || self.is_at_rest()
    }

    /// Whether it may end with its process: it rests, and a client that has just connected had time to say why.
    #[must_use]
    pub fn can_end(&self, now: Instant) -> bool {
        let waits = !self.asked.get() && now.saturating_duration_since(self.since.get()) < FIRST_WORD;
        self.is_at_rest() && !waits
    }

    /// What it is doing.
    #[must_use]
    pub fn doing(&self) -> Doing {
        self.doing.get()
    }
}

/// Whether nothing waits unread in the kernel. The runtime may not have seen yet what the kernel knows already.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the other side has ended its sending, also behind bytes that wait unread.
fn has_ended(stream: &TcpStream) -> bool {
    let mut ready = std::pin::pin!(stream.ready(Interest::READABLE));
    let polled = ready.as_mut().poll(&mut Context::from_waker(std::task::Waker::noop()));
    matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// The client of an open request, as its connection shows it. It does not keep the connection.
#[derive(Debug)]
pub struct Requester {
    connection: Rc<ClientConnection>,
    stream: Weak<RefCell<TcpStream>>,
}

impl Requester {
    /// The client on this connection.
    #[must_use]
    pub fn new(connection: &Rc<ClientConnection>, stream: &Rc<RefCell<TcpStream>>) -> Self {
        Self { connection: Rc::clone(connection), stream: Rc::downgrade(stream) }
    }

    /// Whether the client has left by now. The runtime may not have heard yet what the kernel knows: after a process stood,
    /// timers are told first, and a connection that has come up is used in the turn in which the close is heard.
    pub async fn has_left(&self) -> bool {
        let connection = &self.connection;
        if connection.has_left() || connection.looked.get().is_some_and(|at| at.elapsed() < LOOK_HOLDS) {
            return connection.has_left();
        }
        match self.stream.upgrade() {
            None => return true,
            Some(stream) => connection.look_ahead(&stream.borrow()),
        }
        if !connection.listens() {
            // Only the runtime is told of an end behind unread bytes: it asks the kernel before this task has its turn again.
            tokio::task::yield_now().await;
            match self.stream.upgrade() {
                None => return true,
                Some(stream) => connection.look_behind(&stream.borrow()),
            }
            connection.looked.set(Some(Instant::now()));
        }
        connection.has_left()
    }
}

/// A client's socket that tells its connection what passes.
pub struct ClientStream {
    stream: Rc<RefCell<TcpStream>>,
    connection: Rc<ClientConnection>,
}

impl ClientStream {
    /// The socket of this connection.
    #[must_use]
    pub fn new(stream: Rc<RefCell<TcpStream>>, connection: Rc<ClientConnection>) -> Self {
        Self { stream, connection }
    }

    fn write(&self, poll: impl FnOnce(&TcpStream) -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let polled = poll(&self.stream.borrow());
        match polled {
            Poll::Pending if self.connection.stuck.get().is_none() => {
                self.connection.stuck.set(Some(Instant::now()));
            }
            Poll::Pending => {}
            Poll::Ready(_) => self.connection.stuck.set(None),
        }
        polled
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let ahead = self.connection.ahead.borrow_mut().take(buf.remaining());
        let came = if let Some((bytes, came)) = ahead {
            buf.put_slice(&bytes);
            came
        } else {
            ready!(socket_io::poll_read(&self.stream.borrow(), cx, buf))?;
            self.connection.came(Instant::now())
        };
        let bytes = &buf.filled()[before..];
        if !bytes.is_empty() {
            self.connection.heard(bytes, Instant::now(), came);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(|stream| socket_io::poll_write(stream, cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(|stream| socket_io::poll_write_vectored(stream, cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
