//! Relays that apply the delays, losses and cuts of [`links`](crate::links) to TCP streams and UDP datagrams.
//! Peers are identified by their addresses. TCP: a relay listens on all loopback addresses (bound to the
//! loopback device), and the destination address identifies the proxy. UDP: each process has a relay socket,
//! and a datagram that arrives at one is forwarded from the relay socket of its sender.

use crate::address;
use crate::links::{BandwidthQueue, Link, Links};
use crate::script::{Direction, LinkEndpoints};
use crate::sockets::{listen_on_loopback, reset};
use balancer::api::Micros;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

/// Maximum size of one forwarded chunk of a stream, bytes.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks in flight in one direction of a connection.
const MAX_CHUNKS: usize = 64;
/// Maximum size of a forwarded datagram, bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Maximum number of datagrams in flight over all links; more are dropped.
const MAX_DATAGRAMS: usize = 65_536;

/// The scenario's clock for relays: link faults apply by the time since the start of the scenario, and none
/// before it.
#[derive(Clone, Default)]
pub struct Clock(Arc<Mutex<Option<Instant>>>);

impl Clock {
    /// Sets the start of the scenario, which may lie in the future.
    pub fn start_at(&self, at: Instant) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(at);
    }

    /// The start, and the time since then in microseconds; `None` before the start.
    fn now(&self) -> Option<(Instant, Micros)> {
        let started_at = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let started_at = started_at.filter(|&started_at| started_at <= Instant::now())?;
        Some((started_at, started_at.elapsed().as_micros() as Micros))
    }
}

/// The address to which a relay connects for each proxy; `None` while it is not known.
pub type Target = Rc<dyn Fn(usize) -> Option<SocketAddr>>;

/// Starts a stream relay on this thread and returns its port. Connections to `address::relay_address(proxy)`
/// are relayed over the link of that proxy, whether the proxy or its peer connects.
///
/// # Errors
/// The listener can't be opened.
pub fn streams(
    links: &Rc<Links>,
    clock: &Clock,
    between: LinkEndpoints,
    peer: usize,
    target: Target,
) -> io::Result<u16> {
    let listener = listen_on_loopback()?;
    let port = listener.local_addr()?.port();
    let (links, clock) = (Rc::clone(links), clock.clone());
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let destination = stream.local_addr().ok().and_then(|at| match at {
                SocketAddr::V4(at) => address::process_behind_relay(*at.ip()),
                SocketAddr::V6(_) => None,
            });
            let Some(proxy) = destination else { continue };
            let link = Link { between, proxy, peer };
            let relayed = relay_connection(Rc::clone(&links), clock.clone(), link, stream, target(proxy));
            tokio::task::spawn_local(relayed);
        }
    });
    Ok(port)
}

async fn relay_connection(
    links: Rc<Links>,
    clock: Clock,
    link: Link,
    inbound: TcpStream,
    target: Option<SocketAddr>,
) {
    // On a cut link, a new connection is accepted and no data passes: a user-space process can't suppress the
    // handshake.
    wait_until_due(&links, &clock, link, Direction::Out, 0).await;
    let outbound = match target {
        Some(target) => TcpStream::connect(target).await,
        None => Err(io::ErrorKind::ConnectionRefused.into()),
    };
    let Ok(outbound) = outbound else { return reset(&inbound) };
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let mut out =
        pin!(forward(Rc::clone(&links), clock.clone(), link, Direction::Out, inbound_read, outbound_write));
    let mut back = pin!(forward(links, clock, link, Direction::Back, outbound_read, inbound_write));
    // An error in one direction ends the other one, as without a relay; a half-close does not.
    tokio::select! {
        ended_cleanly = &mut out => if ended_cleanly { back.await; },
        ended_cleanly = &mut back => if ended_cleanly { out.await; },
    }
}

async fn wait_until_due(links: &Links, clock: &Clock, link: Link, direction: Direction, sequence: u64) {
    if let Some((started_at, now)) = clock.now() {
        let delivery = links.chunk(link, direction, now, sequence);
        let at = (now + delivery.delay).max(delivery.not_before);
        if at > now {
            tokio::time::sleep_until(started_at + Duration::from_micros(at)).await;
        }
    }
}

/// Forwards one direction of a connection, in order; returns whether it ended without an error. Reading
/// continues while earlier chunks are delayed.
async fn forward(
    links: Rc<Links>,
    clock: Clock,
    link: Link,
    direction: Direction,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) -> bool {
    let (sender, mut chunks) = mpsc::channel::<(Option<Instant>, Vec<u8>)>(MAX_CHUNKS);
    let reading = async move {
        let (mut bandwidth_queue, mut sequence) = (BandwidthQueue::default(), 0);
        loop {
            let mut chunk = Vec::with_capacity(MAX_CHUNK_BYTES);
            let read = from.read_buf(&mut chunk).await;
            if !matches!(read, Ok(read) if read > 0) {
                return Ok(read.is_ok());
            }
            sequence += 1;
            let at = clock.now().map(|(started_at, now)| {
                let delivery = links.chunk(link, direction, now, sequence);
                let transmitted_at =
                    bandwidth_queue.transmit(now, chunk.len(), links.bandwidth(link, direction, now));
                started_at + Duration::from_micros((transmitted_at + delivery.delay).max(delivery.not_before))
            });
            sender.send((at, chunk)).await.map_err(|_| io::ErrorKind::BrokenPipe)?;
        }
    };
    let writing = async move {
        while let Some((at, chunk)) = chunks.recv().await {
            if let Some(at) = at {
                tokio::time::sleep_until(at).await;
            }
            to.write_all(&chunk).await?;
        }
        Ok::<_, io::Error>(to)
    };
    match tokio::try_join!(reading, writing) {
        Ok((true, mut to)) => to.shutdown().await.is_ok(),
        Ok((false, to)) => {
            reset(to.as_ref());
            false
        }
        Err(_) => false,
    }
}

/// Counters of a datagram relay.
#[derive(Debug, Default)]
pub struct DatagramCounts {
    /// Forwarded datagrams, duplicates included.
    pub forwarded: AtomicU64,
    /// Datagrams lost by link faults.
    pub lost: AtomicU64,
    /// Datagrams dropped because the sender is unknown or too many are in flight.
    pub rejected: AtomicU64,
}

/// Starts a relay of datagrams among processes on this thread. `process_addresses` are the addresses on which
/// they listen. Returns the relay address of each process, to which the others send.
///
/// # Errors
/// A relay socket can't be opened.
pub async fn datagrams(
    links: &Rc<Links>,
    clock: &Clock,
    process_addresses: &[SocketAddrV4],
    counts: &Arc<DatagramCounts>,
) -> io::Result<Vec<SocketAddr>> {
    let mut relay_sockets = Vec::new();
    for process in 0..process_addresses.len() {
        relay_sockets.push(Rc::new(UdpSocket::bind((address::relay_address(process), 0)).await?));
    }
    let addresses =
        relay_sockets.iter().map(|relay_socket| relay_socket.local_addr()).collect::<io::Result<Vec<_>>>()?;
    let relay = Rc::new(DatagramRelay {
        links: Rc::clone(links),
        clock: clock.clone(),
        relay_sockets,
        process_addresses: process_addresses.into(),
        permits: Arc::new(Semaphore::new(MAX_DATAGRAMS)),
        counts: Arc::clone(counts),
    });
    for to in 0..process_addresses.len() {
        tokio::task::spawn_local(Rc::clone(&relay).receive(to));
    }
    Ok(addresses)
}

/// The state shared by the receiving tasks of a datagram relay.
struct DatagramRelay {
    links: Rc<Links>,
    clock: Clock,
    /// The relay's socket for each process.
    relay_sockets: Vec<Rc<UdpSocket>>,
    /// The address on which each process listens.
    process_addresses: Vec<SocketAddrV4>,
    /// One permit for each datagram in flight.
    permits: Arc<Semaphore>,
    counts: Arc<DatagramCounts>,
}

impl DatagramRelay {
    /// Forwards all datagrams for one process.
    async fn receive(self: Rc<Self>, to: usize) {
        let mut sequences: HashMap<usize, u64> = HashMap::new();
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        // An error reports that the destination of an earlier datagram was unreachable; the socket stays
        // usable.
        loop {
            let Ok((length, sender)) = self.relay_sockets[to].recv_from(&mut bytes).await else { continue };
            let Some(from) = self.sender_index(sender) else {
                self.counts.rejected.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let sequence = sequences.entry(from).or_default();
            *sequence += 1;
            let (link, direction) = Link::of_proxies(from, to);
            let now = self.clock.now().map(|(_, now)| now);
            let delivery = now.map(|now| self.links.datagram(link, direction, now, *sequence));
            let copies = match delivery {
                Some(delivery) => [delivery.first, delivery.second],
                None => [Some(0), None],
            };
            if copies == [None, None] {
                self.counts.lost.fetch_add(1, Ordering::Relaxed);
            }
            for delay_us in copies.into_iter().flatten() {
                self.send_later(from, to, bytes[..length].to_vec(), delay_us);
            }
        }
    }

    /// The process that sends from this address; `None` if there is none.
    fn sender_index(&self, sender: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(sender) = sender else { return None };
        address::process_at_address(*sender.ip())
            .filter(|&process| self.process_addresses.get(process) == Some(&sender))
    }

    /// Sends a datagram after a delay in microseconds; drops it if too many are in flight.
    fn send_later(&self, from: usize, to: usize, bytes: Vec<u8>, delay_us: Micros) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            self.counts.rejected.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let (relay_socket, target) = (Rc::clone(&self.relay_sockets[from]), self.process_addresses[to]);
        let counts = Arc::clone(&self.counts);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_micros(delay_us)).await;
            if relay_socket.send_to(&bytes, target).await.is_ok() {
                counts.forwarded.fetch_add(1, Ordering::Relaxed);
            }
            drop(permit);
        });
    }
}
