//! The downstream end of a connection: connects to relays (or a source) in the order that [`Failover`]
//! determines, and passes messages between the connection and a [`DownstreamNode`]. Used by agents, by relays
//! for each source, and by the testbed with thousands of subscribers in one process.

use super::{Clock, escape_for_log};
use crate::Millis;
use crate::codec::{CodecError, FrameReader, FrameWriter};
use crate::failover::{Action, Failover, SILENCE_TIMEOUT};
use crate::message::Message;
use crate::session::SessionError;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

/// Timeout for establishing a connection. It takes a millisecond within one network, and never completes if
/// the other machine is isolated.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of [`DownstreamNode::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for writing a message. Downstream sends little, so a longer delay means that upstream has stopped
/// reading.
const WRITE_TIMEOUT: Duration = READ_TIMEOUT;
/// Timeout for the next message from upstream.
const READ_TIMEOUT: Duration = Duration::from_millis(SILENCE_TIMEOUT);

/// The state machine that [`follow`] drives: a node that replicates records from relays or a source.
pub trait DownstreamNode {
    /// The [`Message::Hello`] for a new connection, which may be a probe of the preferred relay while another
    /// connection is open.
    fn hello(&mut self) -> Message;

    /// Handles a message from upstream. Returns the responses to send.
    ///
    /// # Errors
    /// The message is not acceptable. The connection is closed, and the text of the error is sent upstream.
    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, SessionError>;

    /// Called periodically once upstream has sent its welcome. Returns the messages to send.
    fn tick(&mut self, now: Millis) -> Vec<Message>;

    /// Called when the upstream node with this name has sent its welcome. It may replace another one, whose
    /// connection is then closed without a call of [`DownstreamNode::on_lost`].
    fn on_connected(&mut self, _upstream: &str) {}

    /// Called when the connection ended, or was not established.
    fn on_lost(&mut self, _upstream: &str, _cause: &LinkError) {}

    /// Called with the number of bytes received and sent since the last call, on whichever connection.
    fn on_transferred(&mut self, _received: u64, _sent: u64) {}
}

/// A relay or source to connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamAddress {
    /// Its name, which determines its position in the failover order.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// Why a connection ended or was not established.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    NotConnected(std::io::Error),
    /// The connection was not established in time.
    #[error("connection not established within {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    /// Upstream sent no message for too long.
    #[error("no message received for {SILENCE_TIMEOUT} ms")]
    ReadTimeout,
    /// Upstream did not accept a message in time.
    #[error("a message could not be written within {} ms", WRITE_TIMEOUT.as_millis())]
    WriteTimeout,
    /// Upstream closed the connection without a notice.
    #[error("closed by the other side")]
    Closed,
    /// Upstream closed the connection with this close notice.
    #[error("closed by the other side: {0}")]
    CloseNotice(String),
    /// A message could not be read or written.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// Upstream sent a message that is not acceptable.
    #[error(transparent)]
    Session(#[from] SessionError),
    /// The connection was replaced by one to the preferred relay.
    #[error("left for the relay that it prefers")]
    Replaced,
}

struct Connection {
    reader: FrameReader<OwnedReadHalf>,
    writer: FrameWriter<OwnedWriteHalf>,
    /// Number of bytes received and sent as of the last call of [`DownstreamNode::on_transferred`].
    reported_received: u64,
    reported_sent: u64,
}

/// A connection on which upstream has sent its welcome, which the node has not handled yet.
struct WelcomedConnection {
    connection: Connection,
    welcome: Message,
}

/// A probe of the preferred relay while the connection to another one remains open.
struct Probe {
    /// Index of the relay.
    relay: usize,
    result: Pin<Box<dyn Future<Output = Result<WelcomedConnection, LinkError>>>>,
}

/// The last connection, which was lost or not established.
struct LostConnection {
    /// Index of the relay.
    relay: usize,
    cause: LinkError,
}

/// Why [`Follower::run_connection`] returned.
enum ConnectionEnd {
    /// The connection failed.
    Failed(LinkError),
    /// The preferred relay, which has this index, has sent its welcome on another connection.
    Replaced(usize, Box<WelcomedConnection>),
}

impl From<LinkError> for ConnectionEnd {
    fn from(error: LinkError) -> Self {
        Self::Failed(error)
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, LinkError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| LinkError::ConnectTimeout)?.map_err(LinkError::NotConnected)?;
        stream.set_nodelay(true).map_err(LinkError::NotConnected)?;
        let (reader, writer) = stream.into_split();
        Ok(Self {
            reader: FrameReader::new(reader),
            writer: FrameWriter::new(writer),
            reported_received: 0,
            reported_sent: 0,
        })
    }

    async fn send(&mut self, messages: &[Message]) -> Result<(), LinkError> {
        for message in messages {
            let written = timeout(WRITE_TIMEOUT, self.writer.write(message)).await;
            written.map_err(|_| LinkError::WriteTimeout)??;
        }
        Ok(())
    }

    async fn receive(&mut self) -> Result<Message, LinkError> {
        match self.reader.read().await?.ok_or(LinkError::Closed)? {
            Message::Close { reason } => Err(LinkError::CloseNotice(escape_for_log(&reason))),
            message => Ok(message),
        }
    }

    /// Opens a connection, sends the hello and waits for the welcome.
    async fn probe(address: SocketAddr, hello: Message) -> Result<WelcomedConnection, LinkError> {
        let mut connection = Self::open(address).await?;
        connection.send(&[hello]).await?;
        match timeout(READ_TIMEOUT, connection.receive()).await.map_err(|_| LinkError::ReadTimeout)?? {
            welcome @ Message::Welcome { .. } => Ok(WelcomedConnection { connection, welcome }),
            other => {
                let expected = "Welcome is said first";
                Err(SessionError::UnexpectedMessage { message: other.name(), expected }.into())
            }
        }
    }

    /// Sends a close notice if upstream may not know the reason.
    async fn close(&mut self, error: &LinkError) {
        let has_failed = matches!(error, LinkError::Codec(CodecError::Io(_)));
        if !has_failed && matches!(error, LinkError::Codec(_) | LinkError::Session(_) | LinkError::Replaced) {
            // Errors do not matter: the connection is dropped in any case.
            let _ = self.send(&[Message::Close { reason: error.to_string() }]).await;
        }
    }
}

/// The state of [`follow`].
struct Follower<N> {
    node: Rc<RefCell<N>>,
    relays: Vec<UpstreamAddress>,
    failover: Failover,
    clock: Clock,
}

impl<N: DownstreamNode> Follower<N> {
    /// Passes a message to the node and sends its responses.
    async fn on_message(&mut self, connection: &mut Connection, message: Message) -> Result<(), LinkError> {
        let replies = self.node.borrow_mut().on_message(message, self.clock.now())?;
        connection.send(&replies).await
    }

    /// Serves a connection until it fails or is replaced by one to the preferred relay.
    async fn run_connection(
        &mut self,
        connection: &mut Connection,
        relay: usize,
        mut is_welcomed: bool,
    ) -> Result<Infallible, ConnectionEnd> {
        let mut probe: Option<Probe> = None;
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut silent_at = Instant::now() + READ_TIMEOUT;
        loop {
            // Reading has priority over the timeout: if this process was suspended, messages of that time are
            // still unread.
            tokio::select! {
                biased;
                message = connection.receive() => {
                    silent_at = Instant::now() + READ_TIMEOUT;
                    let message = message?;
                    if matches!(message, Message::Welcome { .. }) && !std::mem::replace(&mut is_welcomed, true) {
                        self.failover.on_connected(self.clock.now());
                        self.node.borrow_mut().on_connected(&self.relays[relay].name);
                    }
                    self.on_message(connection, message).await?;
                }
                (relay, result) = probe_result(&mut probe) => {
                    probe = None;
                    if let Ok(welcomed) = result {
                        self.failover.on_probe_succeeded(self.clock.now());
                        return Err(ConnectionEnd::Replaced(relay, Box::new(welcomed)));
                    }
                    self.failover.on_probe_failed(self.clock.now());
                }
                () = sleep_until(silent_at) => return Err(LinkError::ReadTimeout.into()),
                _ = ticks.tick(), if is_welcomed => {
                    self.tick(connection, &mut probe).await?;
                }
            }
        }
    }

    /// Sends the node's periodic messages, and starts a probe if it is due.
    async fn tick(
        &mut self,
        connection: &mut Connection,
        probe: &mut Option<Probe>,
    ) -> Result<(), LinkError> {
        let now = self.clock.now();
        let messages = self.node.borrow_mut().tick(now);
        connection.send(&messages).await?;
        self.report_transferred(connection);
        if probe.is_none()
            && let Some(relay) = self.failover.next_probe(now)
        {
            let hello = self.node.borrow_mut().hello();
            let address = self.relays[relay].address;
            *probe = Some(Probe { relay, result: Box::pin(Connection::probe(address, hello)) });
        }
        Ok(())
    }

    /// Connects to a relay, and serves the connection and those that replace it. Returns how the last one was
    /// lost.
    async fn connect(&mut self, mut relay: usize) -> LostConnection {
        let mut connection = match Connection::open(self.relays[relay].address).await {
            Ok(connection) => connection,
            Err(cause) => return LostConnection { relay, cause },
        };
        let hello = self.node.borrow_mut().hello();
        if let Err(cause) = connection.send(&[hello]).await {
            return LostConnection { relay, cause };
        }
        let mut is_welcomed = false;
        let cause = loop {
            let Err(end) = self.run_connection(&mut connection, relay, is_welcomed).await;
            self.report_transferred(&mut connection);
            match end {
                ConnectionEnd::Failed(error) => break error,
                ConnectionEnd::Replaced(preferred, welcomed) => {
                    connection.close(&LinkError::Replaced).await;
                    let WelcomedConnection { connection: replacement, welcome } = *welcomed;
                    (relay, connection, is_welcomed) = (preferred, replacement, true);
                    self.node.borrow_mut().on_connected(&self.relays[relay].name);
                    if let Err(error) = self.on_message(&mut connection, welcome).await {
                        break error;
                    }
                }
            }
        };
        connection.close(&cause).await;
        LostConnection { relay, cause }
    }

    /// Reports the bytes transferred since the last report to the node.
    fn report_transferred(&self, connection: &mut Connection) {
        let (received, sent) = (connection.reader.bytes_read(), connection.writer.bytes_written());
        self.node
            .borrow_mut()
            .on_transferred(received - connection.reported_received, sent - connection.reported_sent);
        connection.reported_received = received;
        connection.reported_sent = sent;
    }
}

/// Waits for the result of a probe; without a probe it never completes. Returns the index of the relay and
/// the result.
async fn probe_result(probe: &mut Option<Probe>) -> (usize, Result<WelcomedConnection, LinkError>) {
    match probe {
        Some(probe) => (probe.relay, probe.result.as_mut().await),
        None => pending().await,
    }
}

/// Stays connected to one of these relays at a time, until the future is dropped. `name` determines the
/// failover order, and `seed` varies the jitter. The node is borrowed only during calls of its methods.
pub async fn follow<N: DownstreamNode>(
    node: Rc<RefCell<N>>,
    relays: Vec<UpstreamAddress>,
    name: &str,
    seed: u64,
    clock: Clock,
) -> Infallible {
    let names: Vec<_> = relays.iter().map(|relay| relay.name.clone()).collect();
    let failover = Failover::new(name, &names, seed);
    let mut follower = Follower { node, relays, failover, clock };
    loop {
        match follower.failover.next_action(clock.now()) {
            Action::WaitUntil(until) => sleep_until(clock.instant(until)).await,
            Action::Connect(relay) => {
                let LostConnection { relay, cause } = follower.connect(relay).await;
                follower.failover.on_lost(clock.now());
                follower.node.borrow_mut().on_lost(&follower.relays[relay].name, &cause);
            }
        }
    }
}
