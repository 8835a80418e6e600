//! The downstream end of a connection: calls relays (or a source) in the order that [`Failover`] decides, says hello,
//! passes on what it hears, and says what its party has to say. An agent, a relay's connection to a source, and thousands
//! of subscribers in one process all use this.

use super::{Clock, said};
use crate::Millis;
use crate::codec::{CodecError, FrameReader, FrameWriter};
use crate::failover::{Act, Failover, MAX_SILENCE};
use crate::message::Message;
use crate::source::Refusal;
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

/// How long a connection may take to come up. On one network it takes a millisecond; a machine that is cut off answers
/// nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a party is told that time went by.
const TICK: Duration = Duration::from_millis(500);
/// How long upstream may take to accept a message. Downstream says little: whoever takes longer has stopped.
const WRITE_TIMEOUT: Duration = SILENCE;
/// How long upstream may say nothing.
const SILENCE: Duration = Duration::from_millis(MAX_SILENCE);

/// Who follows relays or a source over connections that come and go.
pub trait Party {
    /// The words with which each connection begins; also one beside a connection that works, to the relay that is preferred.
    fn hello(&mut self) -> Message;

    /// Upstream said something. Gives the answers to it.
    ///
    /// # Errors
    /// Where the connection has to end; the reason is told to upstream.
    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, Refusal>;

    /// Time went by on a connection that was welcomed: what there is to say.
    fn tick(&mut self, now: Millis) -> Vec<Message>;

    /// Upstream, of this name in the list that was given, has welcomed it; also in place of another, which is left then
    /// without having been lost.
    fn connected(&mut self, _upstream: &str) {}

    /// The connection to it ended, or never came up.
    fn lost(&mut self, _upstream: &str, _why: &LinkError) {}

    /// So many bytes came and went since this was said last.
    fn transferred(&mut self, _came: u64, _went: u64) {}
}

/// Why a connection ended or never came up.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// It never came up.
    #[error("no connection: {0}")]
    NoConnection(std::io::Error),
    /// It did not come up in time.
    #[error("no connection within {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    /// Upstream said nothing for too long.
    #[error("nothing heard for {MAX_SILENCE} ms")]
    Silent,
    /// Upstream does not read.
    #[error("a message was not taken within {} ms", WRITE_TIMEOUT.as_millis())]
    NotTaken,
    /// Upstream ended it.
    #[error("closed by the other side")]
    Closed,
    /// Upstream ended it and said why.
    #[error("ended by the other side: {0}")]
    Goodbye(String),
    /// What came was no message.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// What came made no sense.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// [`Failover`] prefers another relay now.
    #[error("left for the relay that it prefers")]
    Moved,
}

/// A connection that was greeted or is about to be.
struct Connection {
    reader: FrameReader<OwnedReadHalf>,
    writer: FrameWriter<OwnedWriteHalf>,
    told: (u64, u64),
}

/// A connection beside the one that works, to the relay that is preferred: welcomed or not.
type Probe = Pin<Box<dyn Future<Output = Result<(Connection, Message), LinkError>>>>;

/// How a talk went on.
enum Turn {
    Ended(LinkError),
    /// To this relay, over this connection, with this welcome.
    Moved(usize, Box<(Connection, Message)>),
}

impl From<LinkError> for Turn {
    fn from(error: LinkError) -> Self {
        Self::Ended(error)
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, LinkError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| LinkError::ConnectTimeout)?.map_err(LinkError::NoConnection)?;
        stream.set_nodelay(true).map_err(LinkError::NoConnection)?;
        let (reader, writer) = stream.into_split();
        Ok(Self { reader: FrameReader::new(reader), writer: FrameWriter::new(writer), told: (0, 0) })
    }

    async fn say(&mut self, messages: &[Message]) -> Result<(), LinkError> {
        for message in messages {
            let written = timeout(WRITE_TIMEOUT, self.writer.write(message)).await;
            written.map_err(|_| LinkError::NotTaken)??;
        }
        Ok(())
    }

    async fn hear(&mut self) -> Result<Message, LinkError> {
        match self.reader.read().await?.ok_or(LinkError::Closed)? {
            Message::Goodbye { why } => Err(LinkError::Goodbye(said(&why))),
            message => Ok(message),
        }
    }

    /// Says hello and waits for the welcome.
    async fn probe(address: SocketAddr, hello: Message) -> Result<(Self, Message), LinkError> {
        let mut connection = Self::open(address).await?;
        connection.say(&[hello]).await?;
        match timeout(SILENCE, connection.hear()).await.map_err(|_| LinkError::Silent)?? {
            welcome @ Message::Welcome { .. } => Ok((connection, welcome)),
            other => Err(Refusal::OutOfTurn { what: other.name(), why: "Welcome is said first" }.into()),
        }
    }

    /// How much came and went since this was asked last.
    fn transferred(&mut self) -> (u64, u64) {
        let sums = (self.reader.taken(), self.writer.given());
        let (came, went) = (sums.0 - self.told.0, sums.1 - self.told.1);
        self.told = sums;
        (came, went)
    }

    /// Says why it ends the connection, where upstream may not know.
    async fn goodbye(&mut self, error: &LinkError) {
        let broken = matches!(error, LinkError::Codec(CodecError::Io(_)));
        if !broken && matches!(error, LinkError::Codec(_) | LinkError::Refused(_) | LinkError::Moved) {
            // Upstream may be gone or not read; it is left either way.
            let _ = self.say(&[Message::Goodbye { why: error.to_string() }]).await;
        }
    }
}

struct Follower<P> {
    party: Rc<RefCell<P>>,
    relays: Vec<(String, SocketAddr)>,
    failover: Failover,
    clock: Clock,
}

impl<P: Party> Follower<P> {
    /// Upstream said something on this connection.
    async fn take(&mut self, connection: &mut Connection, message: Message) -> Result<(), LinkError> {
        let replies = self.party.borrow_mut().on_message(message, self.clock.now())?;
        connection.say(&replies).await
    }

    /// Talks until something ends it, or the relay that is preferred has welcomed it.
    async fn talk(
        &mut self,
        connection: &mut Connection,
        relay: usize,
        mut welcomed: bool,
    ) -> Result<Infallible, Turn> {
        let mut probe: Option<(usize, Probe)> = None;
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut silent_at = Instant::now() + SILENCE;
        loop {
            // Reading goes first: to a process that stood, what came meanwhile is no silence.
            tokio::select! {
                biased;
                message = connection.hear() => {
                    silent_at = Instant::now() + SILENCE;
                    let message = message?;
                    if matches!(message, Message::Welcome { .. }) && !std::mem::replace(&mut welcomed, true) {
                        self.failover.connected(self.clock.now());
                        self.party.borrow_mut().connected(&self.relays[relay].0);
                    }
                    self.take(connection, message).await?;
                }
                (place, ended) = ended(&mut probe) => {
                    probe = None;
                    match ended {
                        Ok(greeted) => {
                            self.failover.moved(self.clock.now());
                            return Err(Turn::Moved(place, Box::new(greeted)));
                        }
                        Err(_) => self.failover.probe_failed(self.clock.now()),
                    }
                }
                () = sleep_until(silent_at) => return Err(LinkError::Silent.into()),
                _ = tick.tick(), if welcomed => {
                    let now = self.clock.now();
                    let words = self.party.borrow_mut().tick(now);
                    connection.say(&words).await?;
                    self.count(connection);
                    if probe.is_none() && let Some(place) = self.failover.probe(now) {
                        let hello = self.party.borrow_mut().hello();
                        let address = self.relays[place].1;
                        probe = Some((place, Box::pin(Connection::probe(address, hello))));
                    }
                }
            }
        }
    }

    /// One connection, and those that it moves to.
    async fn call(&mut self, relay: usize) -> (usize, LinkError) {
        let opened = Connection::open(self.relays[relay].1).await;
        let (mut relay, mut connection) = match opened {
            Ok(connection) => (relay, connection),
            Err(error) => return (relay, error),
        };
        let hello = self.party.borrow_mut().hello();
        if let Err(error) = connection.say(&[hello]).await {
            return (relay, error);
        }
        let mut welcomed = false;
        let error = loop {
            let Err(turn) = self.talk(&mut connection, relay, welcomed).await;
            self.count(&mut connection);
            match turn {
                Turn::Ended(error) => break error,
                Turn::Moved(place, greeted) => {
                    let (other, welcome) = *greeted;
                    connection.goodbye(&LinkError::Moved).await;
                    (relay, connection, welcomed) = (place, other, true);
                    self.party.borrow_mut().connected(&self.relays[relay].0);
                    if let Err(error) = self.take(&mut connection, welcome).await {
                        break error;
                    }
                }
            }
        };
        connection.goodbye(&error).await;
        (relay, error)
    }

    fn count(&self, connection: &mut Connection) {
        let (came, went) = connection.transferred();
        self.party.borrow_mut().transferred(came, went);
    }
}

/// Waits for the end of a probe, for ever where there is none.
async fn ended(probe: &mut Option<(usize, Probe)>) -> (usize, Result<(Connection, Message), LinkError>) {
    match probe {
        Some((place, probe)) => (*place, probe.await),
        None => pending().await,
    }
}

/// Follows one of these relays (name and address), whichever can be had, for as long as the process runs. `name` and `seed`
/// decide the order and the jitter. The party is borrowed only within its own calls.
pub async fn follow<P: Party>(
    party: Rc<RefCell<P>>,
    relays: Vec<(String, SocketAddr)>,
    name: &str,
    seed: u64,
    clock: Clock,
) -> Infallible {
    let names: Vec<_> = relays.iter().map(|(name, _)| name.clone()).collect();
    let failover = Failover::new(name, &names, seed);
    let mut follower = Follower { party, relays, failover, clock };
    loop {
        match follower.failover.act(clock.now()) {
            Act::Wait(until) => sleep_until(clock.instant(until)).await,
            Act::Call(relay) => {
                let (relay, error) = follower.call(relay).await;
                follower.failover.lost(clock.now());
                follower.party.borrow_mut().lost(&follower.relays[relay].0, &error);
            }
        }
    }
}
