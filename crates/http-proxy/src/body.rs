//! Bodies on their way through: kept whole where they are small, passed on as they come where they are not.

use crate::client_connection::ClientConnection;
use crate::size_limits::BODY_MOST;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderMap;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep};

/// How long a backend may fall silent within an answer that is being passed on.
const SILENCE: Duration = Duration::from_secs(10);

/// Why a body broke off on its way.
#[derive(Debug, Error)]
pub enum BrokenOff {
    /// The connection that it came on failed.
    #[error("its connection failed: {0}")]
    Source(#[from] hyper::Error),
    /// Nothing came for too long.
    #[error("nothing came for too long")]
    Silence,
    /// It is larger than anything that is passed on.
    #[error("more than {BODY_MOST} bytes")]
    TooLarge,
}

/// What large bodies that are kept may hold at a time, until their last byte has gone. Those within the protocol's
/// usual size are bounded by the connections.
#[derive(Clone, Debug)]
pub struct Large(Arc<AtomicUsize>);

impl Large {
    /// So many bytes for all of them.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Room for one, where there is.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Reserved> {
        let left = self.0.load(Ordering::Relaxed).checked_sub(bytes)?;
        self.0.store(left, Ordering::Relaxed);
        Some(Reserved { bytes, of: self.clone() })
    }
}

/// Room for a large body, until it is dropped.
#[derive(Debug)]
pub struct Reserved {
    bytes: usize,
    of: Large,
}

impl Reserved {
    /// Takes room for so many bytes more. False where there is none.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(more) = self.of.reserve(bytes) else { return false };
        self.bytes += std::mem::ManuallyDrop::new(more).bytes;
        true
    }

    /// The bytes, with their room for as long as anybody holds them.
    #[must_use]
    pub fn hold(self, body: Bytes) -> Bytes {
        Bytes::from_owner(Held { body, _reserved: self })
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.of.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

struct Held {
    body: Bytes,
    _reserved: Reserved,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// A request's body that is not kept: it can go to one backend only, and only once.
#[derive(Debug)]
pub struct Upload {
    first: RefCell<VecDeque<Bytes>>,
    rest: RefCell<Incoming>,
    /// Its whole length, where the client told it.
    length: Option<u64>,
    /// Room that what has come takes.
    _room: Option<Reserved>,
    passed: Cell<u64>,
    /// When its last piece came.
    heard_at: Cell<Instant>,
    /// When its last byte was passed on.
    ended: Cell<Option<Instant>>,
    /// The client's connection failed within it.
    failed: Cell<bool>,
}

impl Upload {
    /// What has come of it, with the room that it takes, and what has not. `length` is that of the whole.
    #[must_use]
    pub fn new(
        first: VecDeque<Bytes>,
        room: Option<Reserved>,
        rest: Incoming,
        length: Option<u64>,
    ) -> Rc<Self> {
        Rc::new(Self {
            first: RefCell::new(first),
            rest: RefCell::new(rest),
            length,
            _room: room,
            passed: Cell::new(0),
            heard_at: Cell::new(Instant::now()),
            ended: Cell::new(None),
            failed: Cell::new(false),
        })
    }

    /// When its last byte was passed on.
    #[must_use]
    pub fn ended(&self) -> Option<Instant> {
        self.ended.get()
    }

    /// Whether it is the client that broke it off.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// When its last piece came.
    #[must_use]
    pub fn heard_at(&self) -> Instant {
        self.heard_at.get()
    }

    /// The bytes that were passed on so far.
    #[must_use]
    pub fn passed(&self) -> u64 {
        self.passed.get()
    }

    /// Whether a part of it has gone, so that it can't be sent again.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        self.passed.get() > 0 || self.ended.get().is_some()
    }
}

impl Stream for Rc<Upload> {
    fn length(&self) -> Option<u64> {
        self.length
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if let Some(bytes) = self.first.borrow_mut().pop_front() {
            self.passed.set(self.passed.get() + bytes.len() as u64);
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let mut rest = self.rest.borrow_mut();
        loop {
            let frame = match std::task::ready!(Pin::new(&mut *rest).poll_frame(cx)) {
                None => {
                    self.ended.set(Some(Instant::now()));
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    self.failed.set(true);
                    return Poll::Ready(Some(Err(error.into())));
                }
                Some(Ok(frame)) => frame,
            };
            // Trailers speak of the client's framing, which ends here.
            let Ok(bytes) = frame.into_data() else { continue };
            self.passed.set(self.passed.get() + bytes.len() as u64);
            self.heard_at.set(Instant::now());
            if self.passed.get() > BODY_MOST {
                self.failed.set(true);
                return Poll::Ready(Some(Err(BrokenOff::TooLarge)));
            }
            if self.length == Some(self.passed.get()) {
                self.ended.set(Some(Instant::now()));
            }
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
    }
}

/// What is passed on as it comes.
pub trait Stream: Unpin {
    /// The next piece, as a body gives it.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>>;

    /// The length of the whole, where it was told.
    fn length(&self) -> Option<u64>;
}

/// A body on its way out.
#[derive(Debug)]
pub enum Carried<S> {
    /// Kept.
    Whole(Full<Bytes>),
    /// Passed on as it comes.
    Passed(S),
}

/// A request's body as it goes to a backend; one that is kept can be sent again.
pub type Outgoing = Carried<Rc<Upload>>;
/// An answer's body as it goes to the client.
pub type Content = Carried<Box<Passing>>;

impl<S> Carried<S> {
    /// These bytes.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl<S: Stream> Body for Carried<S> {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never: Infallible| match never {}),
            Self::Passed(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Passed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Passed(stream) => stream.length().map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// What is left to do with the connection of an answer once it is through.
pub type AtEnd = Box<dyn FnOnce()>;

/// An answer that is passed on as it comes.
pub struct Passing {
    first: VecDeque<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    passed: u64,
    silence: Pin<Box<Sleep>>,
    at_end: Option<AtEnd>,
}

impl fmt::Debug for Passing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Passing")
            .field("length", &self.length)
            .field("passed", &self.passed)
            .finish_non_exhaustive()
    }
}

impl Passing {
    /// What has come, and what has not. `at_end` is called when the last byte has come; dropped uncalled, it takes the
    /// connection with it.
    #[must_use]
    pub fn new(first: VecDeque<Bytes>, rest: Incoming, length: Option<u64>, at_end: AtEnd) -> Self {
        Self { first, rest, length, passed: 0, silence: Box::pin(sleep(SILENCE)), at_end: Some(at_end) }
    }
}

impl Stream for Box<Passing> {
    fn length(&self) -> Option<u64> {
        self.length
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if let Some(bytes) = self.first.pop_front() {
            self.passed += bytes.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.passed += bytes.len() as u64;
                    if self.passed > BODY_MOST {
                        return Poll::Ready(Some(Err(BrokenOff::TooLarge)));
                    }
                    self.silence.as_mut().reset(Instant::now() + SILENCE);
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error.into()))),
                Poll::Ready(None) => {
                    if let Some(at_end) = self.at_end.take() {
                        at_end();
                    }
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    std::task::ready!(self.silence.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(BrokenOff::Silence)));
                }
            }
        }
    }
}

/// An answer's body that tells its connection when it is through.
pub struct Tracked {
    content: Content,
    connection: Rc<ClientConnection>,
}

impl Tracked {
    /// The answer to the request that is open on this connection.
    #[must_use]
    pub fn new(content: Content, connection: Rc<ClientConnection>) -> Self {
        Self { content, connection }
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.connection.answered(Instant::now());
    }
}

impl Body for Tracked {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        Pin::new(&mut self.content).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}

/// What a body's head says of its size.
#[must_use]
pub fn exact_size(body: &Incoming, headers: &HeaderMap) -> Option<u64> {
    body.size_hint().exact().filter(|_| !headers.contains_key(hyper::header::TRANSFER_ENCODING))
}

/// The next piece of a body; `None` at its end.
///
/// # Errors
/// Where its connection failed.
pub async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    loop {
        match std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
            None => return Ok(None),
            Some(Err(error)) => return Err(error),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}
