//! Relays between any two parties: they carry what comes as [`links`](crate::links) says. Whoever is at the other end is
//! known by its address. TCP: a relay listens on all loopback addresses (bound to the loopback device), and the one that
//! was called names the proxy. UDP: each process has a face, and what a face gets goes on from the sender's own face.

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

/// The largest piece of a stream that is carried at a time, and how many may be on their way on one connection.
const PIECE: usize = 16 * 1024;
const PIECES: usize = 64;
/// The largest datagram that is carried, and how many may be on their way in all; what comes beyond that is lost.
const DATAGRAM: usize = 2_048;
const DATAGRAMS: usize = 65_536;

/// The day's clock for relays: links are judged by the time since its beginning. Before that all links are whole.
#[derive(Clone, Default)]
pub struct Clock(Arc<Mutex<Option<Instant>>>);

impl Clock {
    /// The day has begun at this time.
    pub fn begin(&self, at: Instant) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(at);
    }

    /// The time since its beginning.
    fn now(&self) -> Option<(Instant, Micros)> {
        let began = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let began = began.filter(|&began| began <= Instant::now())?;
        Some((began, began.elapsed().as_micros() as Micros))
    }
}

/// Where a relay leads to, for each proxy that calls it. None: nowhere yet.
pub type Target = Rc<dyn Fn(usize) -> Option<SocketAddr>>;

/// Starts a relay of streams on this thread; gives its port. Callers reach it under `address::at_relay(proxy)`, which
/// tells which proxy's link it is, whichever of the two calls.
///
/// # Errors
/// Where it has no socket.
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
            let called = stream.local_addr().ok().and_then(|at| match at {
                SocketAddr::V4(at) => address::relayed(*at.ip()),
                SocketAddr::V6(_) => None,
            });
            let Some(proxy) = called else { continue };
            let link = Link { between, proxy, peer };
            let carried = carry(Rc::clone(&links), clock.clone(), link, stream, target(proxy));
            tokio::task::spawn_local(carried);
        }
    });
    Ok(port)
}

async fn carry(links: Rc<Links>, clock: Clock, link: Link, near: TcpStream, target: Option<SocketAddr>) {
    // Where the link is cut a new connection comes up here and is silent: from inside a process no more can be done.
    due(&links, &clock, link, Direction::Out, 0).await;
    let far = match target {
        Some(target) => TcpStream::connect(target).await,
        None => Err(io::ErrorKind::ConnectionRefused.into()),
    };
    let Ok(far) = far else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let mut out = pin!(pump(Rc::clone(&links), clock.clone(), link, Direction::Out, near_in, far_out));
    let mut back = pin!(pump(links, clock, link, Direction::Back, far_in, near_out));
    // A side that breaks takes the other one with it, as it would without a relay; one that only ends does not.
    tokio::select! {
        whole = &mut out => if whole { back.await; },
        whole = &mut back => if whole { out.await; },
    }
}

async fn due(links: &Links, clock: &Clock, link: Link, way: Direction, nth: u64) {
    if let Some((began, now)) = clock.now() {
        let passage = links.piece(link, way, now, nth);
        let at = (now + passage.delay).max(passage.not_before);
        if at > now {
            tokio::time::sleep_until(began + Duration::from_micros(at)).await;
        }
    }
}

/// Carries one way of a connection, in order; gives whether it ended and did not break. What is read waits for its time
/// without keeping the next from being read.
async fn pump(
    links: Rc<Links>,
    clock: Clock,
    link: Link,
    way: Direction,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) -> bool {
    let (sender, mut pieces) = mpsc::channel::<(Option<Instant>, Vec<u8>)>(PIECES);
    let reading = async move {
        let (mut line, mut nth) = (BandwidthQueue::default(), 0);
        loop {
            let mut piece = Vec::with_capacity(PIECE);
            let read = from.read_buf(&mut piece).await;
            if !matches!(read, Ok(read) if read > 0) {
                return Ok(read.is_ok());
            }
            nth += 1;
            let at = clock.now().map(|(began, now)| {
                let passage = links.piece(link, way, now, nth);
                let passed = line.pass(now, piece.len(), links.bandwidth(link, way, now));
                began + Duration::from_micros((passed + passage.delay).max(passage.not_before))
            });
            sender.send((at, piece)).await.map_err(|_| io::ErrorKind::BrokenPipe)?;
        }
    };
    let writing = async move {
        while let Some((at, piece)) = pieces.recv().await {
            if let Some(at) = at {
                tokio::time::sleep_until(at).await;
            }
            to.write_all(&piece).await?;
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

/// What a relay of datagrams counted.
#[derive(Debug, Default)]
pub struct Carried {
    /// Datagrams that went on, doubles too.
    pub passed: AtomicU64,
    /// Lost by the script.
    pub lost: AtomicU64,
    /// From nobody that is known, or too many at a time.
    pub refused: AtomicU64,
}

/// Starts a relay of datagrams among processes on this thread: `real` is where each one listens, at its own address.
/// Gives the address under which each one is known to the others.
///
/// # Errors
/// Where a face has no socket.
pub async fn datagrams(
    links: &Rc<Links>,
    clock: &Clock,
    real: &[SocketAddrV4],
    counts: &Arc<Carried>,
) -> io::Result<Vec<SocketAddr>> {
    let mut faces = Vec::new();
    for process in 0..real.len() {
        faces.push(Rc::new(UdpSocket::bind((address::at_relay(process), 0)).await?));
    }
    let addresses = faces.iter().map(|face| face.local_addr()).collect::<io::Result<Vec<_>>>()?;
    let (faces, real): (Rc<[_]>, Rc<[_]>) = (faces.into(), real.into());
    let places = Arc::new(Semaphore::new(DATAGRAMS));
    for to in 0..real.len() {
        let (links, clock, counts) = (Rc::clone(links), clock.clone(), Arc::clone(counts));
        let (faces, real, places) = (Rc::clone(&faces), Rc::clone(&real), Arc::clone(&places));
        tokio::task::spawn_local(async move {
            let mut numbers: HashMap<usize, u64> = HashMap::new();
            let mut bytes = vec![0; DATAGRAM];
            // An error is a destination that was gone a moment ago; the face itself stays.
            loop {
                let Ok((length, sender)) = faces[to].recv_from(&mut bytes).await else { continue };
                let from = match sender {
                    SocketAddr::V4(sender) => {
                        address::process_of(*sender.ip()).filter(|&p| real.get(p) == Some(&sender))
                    }
                    SocketAddr::V6(_) => None,
                };
                let Some(from) = from else {
                    counts.refused.fetch_add(1, Ordering::Relaxed);
                    continue;
                };
                let nth = numbers.entry(from).or_default();
                *nth += 1;
                let (link, way) = Link::of_proxies(from, to);
                let now = clock.now().map(|(_, now)| now);
                let fate = now.map(|now| links.datagram(link, way, now, *nth));
                let copies = match fate {
                    Some(fate) => [fate.first, fate.second],
                    None => [Some(0), None],
                };
                if copies == [None, None] {
                    counts.lost.fetch_add(1, Ordering::Relaxed);
                }
                for late in copies.into_iter().flatten() {
                    let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                        counts.refused.fetch_add(1, Ordering::Relaxed);
                        continue;
                    };
                    let (face, target) = (Rc::clone(&faces[from]), real[to]);
                    let (bytes, counts) = (bytes[..length].to_vec(), Arc::clone(&counts));
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(Duration::from_micros(late)).await;
                        if face.send_to(&bytes, target).await.is_ok() {
                            counts.passed.fetch_add(1, Ordering::Relaxed);
                        }
                        drop(place);
                    });
                }
            }
        });
    }
    Ok(addresses)
}
