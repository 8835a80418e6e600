//! The upstream end of connections: accepts them, handles received messages, and sends each subscriber its
//! next message. Each connection has one outgoing message at a time; the next one is determined after it has
//! been written.

use super::{Clock, accept, escape_for_log};
use crate::codec::{CodecError, FrameReader, FrameWriter};
use crate::message::Message;
use crate::publisher::{PublisherAction, SubscriberId};
use crate::session::SessionError;
use crate::upstream::Upstream;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};
use tracing::{debug, info, warn};

/// Timeout for the first message on a connection.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for writing a message. A subscriber that stalls for longer has to reconnect and resume.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for writing a close notice.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the other side to read a close notice and to close. After that, unread input may reset the
/// connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between a change and the notification of all connections, so that a burst of writes wakes each
/// connection once. It is short compared with the four seconds within which a change has to reach all agents.
const COALESCE_DELAY: Duration = Duration::from_millis(10);
/// Size of a socket's send buffer, bytes. It is limited because its content becomes stale for a slow
/// subscriber, and because it takes kernel memory.
const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Maximum number of rejected connections that are sent a close notice at the same time; others are closed
/// without one.
const MAX_CLOSE_NOTICES: usize = 16;
/// Number of file descriptors reserved for files, connections to sources and the async runtime.
const RESERVED_DESCRIPTORS: usize = 64;

/// Notifies all connections of changes, once for all changes within `COALESCE_DELAY`.
#[derive(Clone, Debug)]
pub struct ChangeNotifier {
    pending: Rc<Notify>,
    changed: watch::Sender<()>,
}

impl Default for ChangeNotifier {
    fn default() -> Self {
        Self { pending: Rc::default(), changed: watch::Sender::new(()) }
    }
}

impl ChangeNotifier {
    /// Reports that records may have changed. Does not block.
    pub fn notify(&self) {
        self.pending.notify_one();
    }

    async fn run(self) {
        loop {
            self.pending.notified().await;
            sleep(COALESCE_DELAY).await;
            self.changed.send_replace(());
        }
    }
}

/// Why a connection ended. The texts are sent in close notices.
#[derive(Debug, thiserror::Error)]
enum DisconnectReason {
    #[error("closed by the other side")]
    Closed,
    #[error("ended by the other side: {0}")]
    CloseNotice(String),
    #[error("no first message within {} ms; begin with `Hello` or `Write`", FIRST_MESSAGE_TIMEOUT.as_millis())]
    FirstMessageTimeout,
    #[error("a message was not taken within {} ms", WRITE_TIMEOUT.as_millis())]
    WriteTimeout,
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error(transparent)]
    Session(#[from] SessionError),
}

impl DisconnectReason {
    /// Whether to send a close notice: the connection works, and the other side may not know the reason.
    fn needs_close_notice(&self) -> bool {
        match self {
            Self::Closed | Self::CloseNotice(_) | Self::WriteTimeout | Self::Codec(CodecError::Io(_)) => {
                false
            }
            Self::FirstMessageTimeout | Self::Codec(_) | Self::Session(_) => true,
        }
    }
}

/// Serves the connections of subscribers and writers of a source or relay.
pub struct Server<U> {
    upstream: Rc<RefCell<U>>,
    notifier: ChangeNotifier,
    clock: Clock,
    open_connections: Rc<Cell<usize>>,
    /// Number of rejected connections to which a close notice is being sent.
    close_notices: Rc<Cell<usize>>,
    max_connections: usize,
}

impl<U> Clone for Server<U> {
    fn clone(&self) -> Self {
        Self {
            upstream: Rc::clone(&self.upstream),
            notifier: self.notifier.clone(),
            clock: self.clock,
            open_connections: Rc::clone(&self.open_connections),
            close_notices: Rc::clone(&self.close_notices),
            max_connections: self.max_connections,
        }
    }
}

/// The number of connections for which the process has file descriptors, at most `configured`.
fn limit_by_descriptors(configured: usize) -> usize {
    let limit = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
    let limit = limit.map_or(usize::MAX, |(soft, _)| usize::try_from(soft).unwrap_or(usize::MAX));
    let available = limit.saturating_sub(RESERVED_DESCRIPTORS).max(1);
    if available < configured {
        warn!(
            "accepting {available} connections instead of `connections` = {configured}: the limit of file descriptors \
             is {limit}"
        );
    }
    configured.min(available)
}

impl<U: Upstream + 'static> Server<U> {
    /// Creates a server with at most `max_connections` open connections, or fewer if the process may not open
    /// enough file descriptors.
    #[must_use]
    pub fn new(
        upstream: Rc<RefCell<U>>,
        notifier: ChangeNotifier,
        clock: Clock,
        max_connections: usize,
    ) -> Self {
        Self {
            upstream,
            notifier,
            clock,
            open_connections: Rc::default(),
            close_notices: Rc::default(),
            max_connections: limit_by_descriptors(max_connections),
        }
    }

    /// A live counter of open connections.
    #[must_use]
    pub fn open_connections(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.open_connections)
    }

    /// Accepts and serves connections until the future is dropped. Has to run within a
    /// [`LocalSet`](tokio::task::LocalSet).
    pub async fn run(self, listener: TcpListener) {
        spawn_local(self.notifier.clone().run());
        let mut next_id: SubscriberId = 1;
        loop {
            let (stream, address) = accept(&listener).await;
            let id = next_id;
            next_id += 1;
            if self.open_connections.get() >= self.max_connections {
                self.reject(stream, address);
                continue;
            }
            self.open_connections.set(self.open_connections.get() + 1);
            let server = self.clone();
            spawn_local(async move {
                server.serve(id, stream, address).await;
                server.open_connections.set(server.open_connections.get() - 1);
            });
        }
    }

    /// Closes a connection that exceeds the limit, with a close notice if possible.
    fn reject(&self, stream: TcpStream, address: SocketAddr) {
        let reason = SessionError::TooManySubscribers(self.max_connections);
        warn!(%address, "connection rejected: {reason}");
        if self.close_notices.get() >= MAX_CLOSE_NOTICES {
            return;
        }
        self.close_notices.set(self.close_notices.get() + 1);
        let close_notices = Rc::clone(&self.close_notices);
        spawn_local(async move {
            let (reader, writer) = stream.into_split();
            close(FrameReader::new(reader), FrameWriter::new(writer), reason.to_string()).await;
            close_notices.set(close_notices.get() - 1);
        });
    }

    async fn serve(&self, id: SubscriberId, stream: TcpStream, address: SocketAddr) {
        // These options improve latency and memory use, but are not required.
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
        let _ = socket.set_tcp_user_timeout(Some(WRITE_TIMEOUT));
        let (reader, writer) = stream.into_split();
        let (reader, writer) = (FrameReader::new(reader), FrameWriter::new(writer));
        let mut connection = Connection { server: self, id, reader, writer, has_subscribed: false };
        debug!(%address, id, "connected");
        let Err(reason) = connection.run().await;
        self.upstream.borrow_mut().disconnect(id);
        if !reason.needs_close_notice() {
            debug!(%address, id, "disconnected: {reason}");
            return;
        }
        warn!(%address, id, "disconnected: {reason}");
        close(connection.reader, connection.writer, reason.to_string()).await;
    }
}

struct Connection<'a, U> {
    server: &'a Server<U>,
    id: SubscriberId,
    reader: FrameReader<OwnedReadHalf>,
    writer: FrameWriter<OwnedWriteHalf>,
    has_subscribed: bool,
}

impl<U: Upstream + 'static> Connection<'_, U> {
    async fn run(&mut self) -> Result<Infallible, DisconnectReason> {
        let mut changed = self.server.notifier.changed.subscribe();
        let first = timeout(FIRST_MESSAGE_TIMEOUT, self.reader.read()).await;
        self.on_message(first.map_err(|_| DisconnectReason::FirstMessageTimeout)??).await?;
        loop {
            // Only later changes wake the connection; `next_action` takes account of all earlier ones.
            changed.mark_unchanged();
            let action = self.server.upstream.borrow_mut().next_action(self.id, self.server.clock.now());
            let wake_at = match action {
                PublisherAction::Send(message) => {
                    self.send(&message).await?;
                    None
                }
                PublisherAction::WaitUntil(until) => Some(self.server.clock.instant(until)),
            };
            tokio::select! {
                biased;
                message = self.reader.read() => self.on_message(message?).await?,
                () = async { if let Some(wake_at) = wake_at { sleep_until(wake_at).await } } => {}
                _ = changed.changed() => {}
            }
        }
    }

    /// Handles a message. The responses are sent before the next message is read, so that a peer that does
    /// not read its responses can't send further requests.
    async fn on_message(&mut self, message: Option<Message>) -> Result<(), DisconnectReason> {
        let message = match message.ok_or(DisconnectReason::Closed)? {
            Message::Close { reason } => return Err(DisconnectReason::CloseNotice(escape_for_log(&reason))),
            message => message,
        };
        if let Message::Hello { name, .. } = &message
            && !std::mem::replace(&mut self.has_subscribed, true)
        {
            info!(id = self.id, "subscribed: {}", escape_for_log(name));
        }
        let is_write = matches!(message, Message::Write { .. });
        let now = self.server.clock.now();
        let replies = self.server.upstream.borrow_mut().on_message(self.id, message, now)?;
        if is_write {
            self.server.notifier.notify();
        }
        for reply in &replies {
            self.send(reply).await?;
        }
        Ok(())
    }

    async fn send(&mut self, message: &Message) -> Result<(), DisconnectReason> {
        let written = timeout(WRITE_TIMEOUT, self.writer.write(message)).await;
        Ok(written.map_err(|_| DisconnectReason::WriteTimeout)??)
    }
}

/// Sends a close notice, shuts down the sending side and discards input: closing a socket with unread input
/// would reset the connection, and the notice would be lost.
async fn close(reader: FrameReader<OwnedReadHalf>, mut writer: FrameWriter<OwnedWriteHalf>, reason: String) {
    let written = timeout(CLOSE_TIMEOUT, writer.write(&Message::Close { reason })).await;
    if matches!(written, Ok(Ok(()))) {
        writer.shutdown().await;
        let _ = timeout(LINGER_TIMEOUT, reader.drain()).await;
    }
}
