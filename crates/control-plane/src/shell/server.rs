//! The upstream end of connections: takes them, answers what they say, and tells each what comes next for it. One message
//! at a time is on its way to a connection; what comes after it is looked up when that one has been taken.

use super::{Clock, accept, said};
use crate::codec::{CodecError, FrameReader, FrameWriter};
use crate::feed::{Next, SubscriberId};
use crate::message::Message;
use crate::source::{Refusal, Upstream};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};
use tracing::{debug, info, warn};

/// How long a connection may take for its first message.
const FIRST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a message may take to be accepted; whoever stands longer comes back and says how far it is.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the reason for an end may take.
const GOODBYE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a goodbye waits for the other side to read it and end the connection, before it may be torn down by what came in
/// and was not read.
const LINGER: Duration = Duration::from_millis(500);
/// How long a changed record waits for further ones before everybody is told: a burst of writes wakes each connection
/// once, and a change has four seconds to arrive everywhere.
const COALESCE: Duration = Duration::from_millis(10);
/// What the system holds for one connection on the way out, bytes: what is in there is old to a slow subscriber, and it is
/// memory that nobody else has.
const SEND_BUFFER: usize = 128 << 10;
/// Connections beyond the bound that are told so at a time; others just end.
const MAX_REFUSED: usize = 16;
/// Descriptors that are no connections from downstream: files, links to sources, the runtime.
const OTHER_DESCRIPTORS: usize = 64;

/// Tells all connections that something changed, a moment later, once for all that changed until then.
#[derive(Clone, Debug)]
pub struct Changes {
    noticed: Rc<Notify>,
    told: watch::Sender<()>,
}

impl Default for Changes {
    fn default() -> Self {
        Self { noticed: Rc::default(), told: watch::Sender::new(()) }
    }
}

impl Changes {
    /// Something changed.
    pub fn notice(&self) {
        self.noticed.notify_one();
    }

    async fn pass_on(self) {
        loop {
            self.noticed.notified().await;
            sleep(COALESCE).await;
            self.told.send_replace(());
        }
    }
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum End {
    #[error("closed by the other side")]
    Closed,
    #[error("ended by the other side: {0}")]
    Goodbye(String),
    #[error("no first message within {} ms; begin with `Hello` or `Write`", FIRST_TIMEOUT.as_millis())]
    NoFirst,
    #[error("a message was not taken within {} ms", WRITE_TIMEOUT.as_millis())]
    NotTaken,
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error(transparent)]
    Refused(#[from] Refusal),
}

impl End {
    /// Whether the other side is told.
    fn is_told(&self) -> bool {
        match self {
            Self::Closed | Self::Goodbye(_) | Self::NotTaken | Self::Codec(CodecError::Io(_)) => false,
            Self::NoFirst | Self::Codec(_) | Self::Refused(_) => true,
        }
    }
}

/// Serves connections.
pub struct Server<U> {
    upstream: Rc<RefCell<U>>,
    changes: Changes,
    clock: Clock,
    open: Rc<Cell<usize>>,
    refused: Rc<Cell<usize>>,
    most: usize,
}

impl<U> Clone for Server<U> {
    fn clone(&self) -> Self {
        Self {
            upstream: Rc::clone(&self.upstream),
            changes: self.changes.clone(),
            clock: self.clock,
            open: Rc::clone(&self.open),
            refused: Rc::clone(&self.refused),
            most: self.most,
        }
    }
}

/// As many connections as the process has descriptors for, `wanted` at most.
fn bounded(wanted: usize) -> usize {
    let limit = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
    let limit = limit.map_or(usize::MAX, |(soft, _)| usize::try_from(soft).unwrap_or(usize::MAX));
    let room = limit.saturating_sub(OTHER_DESCRIPTORS).max(1);
    if room < wanted {
        warn!(
            "{room} connections are taken, not `connections` = {wanted}: the limit of descriptors is {limit}"
        );
    }
    wanted.min(room)
}

impl<U: Upstream + 'static> Server<U> {
    /// A server that takes `connections` at a time.
    #[must_use]
    pub fn new(upstream: Rc<RefCell<U>>, changes: Changes, clock: Clock, connections: usize) -> Self {
        Self {
            upstream,
            changes,
            clock,
            open: Rc::default(),
            refused: Rc::default(),
            most: bounded(connections),
        }
    }

    /// Connections that are open.
    #[must_use]
    pub fn open(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.open)
    }

    /// Takes connections for as long as the process runs.
    pub async fn run(self, listener: TcpListener) {
        spawn_local(self.changes.clone().pass_on());
        let mut next: SubscriberId = 1;
        loop {
            let (stream, address) = accept(&listener).await;
            let who = next;
            next += 1;
            if self.open.get() >= self.most {
                let full = End::Refused(Refusal::Full(self.most));
                warn!(%address, "refused: {full}");
                if self.refused.get() < MAX_REFUSED {
                    self.refused.set(self.refused.get() + 1);
                    let refused = Rc::clone(&self.refused);
                    spawn_local(async move {
                        let (reader, writer) = stream.into_split();
                        goodbye(FrameReader::new(reader), FrameWriter::new(writer), full.to_string()).await;
                        refused.set(refused.get() - 1);
                    });
                }
                continue;
            }
            self.open.set(self.open.get() + 1);
            let server = self.clone();
            spawn_local(async move {
                server.serve(who, stream, address).await;
                server.open.set(server.open.get() - 1);
            });
        }
    }

    async fn serve(&self, who: SubscriberId, stream: TcpStream, address: SocketAddr) {
        // Without these it serves as well, if not as well as it could.
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let _ = socket.set_send_buffer_size(SEND_BUFFER);
        let _ = socket.set_tcp_user_timeout(Some(WRITE_TIMEOUT));
        let (reader, writer) = stream.into_split();
        let (reader, writer) = (FrameReader::new(reader), FrameWriter::new(writer));
        let mut connection = Served { server: self, who, reader, writer, greeted: false };
        debug!(%address, who, "connected");
        let Err(end) = connection.talk().await;
        self.upstream.borrow_mut().leave(who);
        if !end.is_told() {
            debug!(%address, who, "ended: {end}");
            return;
        }
        warn!(%address, who, "ended: {end}");
        goodbye(connection.reader, connection.writer, end.to_string()).await;
    }
}

struct Served<'a, U> {
    server: &'a Server<U>,
    who: SubscriberId,
    reader: FrameReader<OwnedReadHalf>,
    writer: FrameWriter<OwnedWriteHalf>,
    greeted: bool,
}

impl<U: Upstream + 'static> Served<'_, U> {
    async fn talk(&mut self) -> Result<std::convert::Infallible, End> {
        let mut changed = self.server.changes.told.subscribe();
        let first = timeout(FIRST_TIMEOUT, self.reader.read()).await.map_err(|_| End::NoFirst)?;
        self.hear(first?).await?;
        loop {
            // What changes from here on wakes it.
            changed.mark_unchanged();
            let next = self.server.upstream.borrow_mut().next(self.who, self.server.clock.now());
            let until = match next {
                Next::Send(message) => {
                    self.say(&message).await?;
                    None
                }
                Next::Wait(until) => Some(self.server.clock.instant(until)),
            };
            tokio::select! {
                biased;
                message = self.reader.read() => self.hear(message?).await?,
                () = async { if let Some(until) = until { sleep_until(until).await } } => {}
                _ = changed.changed() => {}
            }
        }
    }

    /// Answers a message before the next one is read, so that whoever asks and does not read is not asked further.
    async fn hear(&mut self, message: Option<Message>) -> Result<(), End> {
        let message = match message.ok_or(End::Closed)? {
            Message::Goodbye { why } => return Err(End::Goodbye(said(&why))),
            message => message,
        };
        if let Message::Hello { name, .. } = &message
            && !std::mem::replace(&mut self.greeted, true)
        {
            info!(who = self.who, "subscribed: {}", said(name));
        }
        let writes = matches!(message, Message::Write { .. });
        let now = self.server.clock.now();
        let replies = self.server.upstream.borrow_mut().on_message(self.who, message, now)?;
        if writes {
            self.server.changes.notice();
        }
        for reply in &replies {
            self.say(reply).await?;
        }
        Ok(())
    }

    async fn say(&mut self, message: &Message) -> Result<(), End> {
        let written = timeout(WRITE_TIMEOUT, self.writer.write(message)).await;
        Ok(written.map_err(|_| End::NotTaken)??)
    }
}

/// Says why, ends the sending, and drops what still comes in: ending with unread bytes would reset the connection, and the
/// reason with it.
async fn goodbye(reader: FrameReader<OwnedReadHalf>, mut writer: FrameWriter<OwnedWriteHalf>, why: String) {
    let said = timeout(GOODBYE_TIMEOUT, writer.write(&Message::Goodbye { why })).await;
    if matches!(said, Ok(Ok(()))) {
        writer.end().await;
        let _ = timeout(LINGER, reader.drain()).await;
    }
}
