//! The downstream end of a connection: connects to relays (or a source) in the order that [`Failover`]
//! decides, and passes messages between the connection and a [`DownstreamNode`]. Used by an agent, by a
//! relay's connection to a source, and by thousands of subscribers in one process.

use super::{Clock, loggable};
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

/// Time for a connection to be established: a millisecond within one network, never with an isolated machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of [`DownstreamNode::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for upstream to accept a message. Downstream sends little, so a longer time means that upstream has
/// stopped.
const WRITE_TIMEOUT: Duration = READ_TIMEOUT;
/// Time for the next message of upstream.
const READ_TIMEOUT: Duration = Duration::from_millis(SILENCE_TIMEOUT);

/// A node that follows relays or a source over changing connections.
pub trait DownstreamNode {
    /// The first message on a connection, which may be a probe of the preferred relay beside a working
    /// connection.
    fn hello(&mut self) -> Message;

    /// Handles a message from upstream. Returns the responses.
    ///
    /// # Errors
    /// The connection has to end; the error's text is sent to upstream.
    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, SessionError>;

    /// Called periodically on a welcomed connection. Returns the messages to send.
    fn tick(&mut self, now: Millis) -> Vec<Message>;

    /// Upstream of this name has sent its welcome. It may replace another upstream, whose connection is
    /// closed then without [`DownstreamNode::on_lost`].
    fn on_connected(&mut self, _upstream: &str) {}

    /// The connection ended, or was not established.
    fn on_lost(&mut self, _upstream: &str, _cause: &LinkError) {}

    /// Bytes received and sent since the last call.
    fn on_transferred(&mut self, _received: u64, _sent: u64) {}
}

/// A relay or source to connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamAddress {
    /// Its name, which decides its position in the failover order.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Why a connection ended or was not established.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// It was not established.
    #[error("no connection: {0}")]
    NotConnected(std::io::Error),
    /// It was not established in time.
    #[error("no connection within {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    /// Upstream sent nothing for too long.
    #[error("nothing heard for {SILENCE_TIMEOUT} ms")]
    ReadTimeout,
    /// Upstream does not read.
    #[error("a message was not taken within {} ms", WRITE_TIMEOUT.as_millis())]
    WriteTimeout,
    /// Upstream closed it.
    #[error("closed by the other side")]
    Closed,
    /// Upstream closed it with a close notice.
    #[error("ended by the other side: {0}")]
    CloseNotice(String),
    /// A message could not be read or written.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// Upstream sent an unexpected message.
    #[error(transparent)]
    Session(#[from] SessionError),
    /// The connection was replaced by one to the preferred relay.
    #[error("left for the relay that it prefers")]
    Moved,
}

/// A connection to upstream.
struct Connection {
    reader: FrameReader<OwnedReadHalf>,
    writer: FrameWriter<OwnedWriteHalf>,
    /// Bytes received and sent up to the last report.
    reported_received: u64,
    reported_sent: u64,
}

/// A connection on which upstream has sent its welcome, which is not handled yet.
struct WelcomedConnection {
    connection: Connection,
    welcome: Message,
}

/// A probe of the preferred relay beside a working connection.
struct Probe {
    /// The index of the relay.
    relay: usize,
    result: Pin<Box<dyn Future<Output = Result<WelcomedConnection, LinkError>>>>,
}

/// A connection that was lost or not established.
struct LostConnection {
    /// The index of the relay.
    relay: usize,
    cause: LinkError,
}

/// Why [`Follower::run_connection`] returned.
enum ConnectionEnd {
    /// The connection failed.
    Failed(LinkError),
    /// The relay of this index, the preferred one, has sent its welcome on another connection.
    Moved(usize, Box<WelcomedConnection>),
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
            Message::Close { reason } => Err(LinkError::CloseNotice(loggable(&reason))),
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

    /// Sends a close notice, where upstream may not know the reason.
    async fn close(&mut self, error: &LinkError) {
        let has_failed = matches!(error, LinkError::Codec(CodecError::Io(_)));
        if !has_failed && matches!(error, LinkError::Codec(_) | LinkError::Session(_) | LinkError::Moved) {
            // The connection is dropped whether or not upstream reads the notice.
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

    /// Runs a connection until it fails or is replaced by one to the preferred relay.
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
            // Reading goes first: after this process was suspended, the messages of that time are still
            // unread.
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
                        return Err(ConnectionEnd::Moved(relay, Box::new(welcomed)));
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

    /// Sends what the node has to send, and starts a probe when it is due.
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

    /// Connects to a relay and runs the connection, and those that replace it. Returns how the last one was
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
                ConnectionEnd::Moved(preferred, welcomed) => {
                    connection.close(&LinkError::Moved).await;
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

    /// Reports the bytes transferred since the last report.
    fn report_transferred(&self, connection: &mut Connection) {
        let (received, sent) = (connection.reader.bytes_read(), connection.writer.bytes_written());
        self.node
            .borrow_mut()
            .on_transferred(received - connection.reported_received, sent - connection.reported_sent);
        connection.reported_received = received;
        connection.reported_sent = sent;
    }
}

/// Waits for the result of a probe, for ever without a probe. Returns the relay's index as well.
async fn probe_result(probe: &mut Option<Probe>) -> (usize, Result<WelcomedConnection, LinkError>) {
    match probe {
        Some(probe) => (probe.relay, probe.result.as_mut().await),
        None => pending().await,
    }
}

/// Follows one of these relays at a time, for as long as the process runs. `name` and `seed` decide the
/// failover order and the jitter. The node is borrowed only within its own calls.
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
