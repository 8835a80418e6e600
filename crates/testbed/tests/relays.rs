//! Relays between sockets: who sent is known, and what the script does to links is what arrives. Counts, and lower bounds
//! of time: a slow machine changes neither.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use testbed::address;
use testbed::fleet::relay::{Clock, DatagramCounts, datagrams, streams};
use testbed::links::Links;
use testbed::script::{LinkEndpoints, Script};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until, timeout};

const SOON: Duration = Duration::from_secs(10);

fn links(rules: &str) -> Rc<Links> {
    let text = format!(
        "seed = 5\nseconds = 20.0\nfleet = {{ boxes = 6, proxies = 40, zones = 2, cells = 1, cores = 1.0, holds = 8.0 }}\n\
         traffic = {{ per_s = 5.0 }}\nlink = [{rules}]\n[[class]]\nname = \"r\"\neffect = \"safe\"\nshare = 1.0\n\
         work_ms = [1.0, 2.0]\naim_ms = 540\ndeadline_ms = 1500\nworth = 1.0\n"
    );
    Rc::new(Links::new(&Script::parse(&text, Path::new("relays.toml")).expect("a good script")))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(SOON, test).await.expect("the test ends");
    });
}

fn begun() -> Clock {
    let clock = Clock::default();
    clock.begin(Instant::now());
    clock
}

/// A server that sends back what it gets, until it is dropped.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let mut bytes = [0; 64];
                while let Ok(length @ 1..) = stream.read(&mut bytes).await {
                    if stream.write_all(&bytes[..length]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

async fn round(stream: &mut TcpStream) -> std::io::Result<Duration> {
    let began = Instant::now();
    stream.write_all(b"ping").await?;
    stream.read_exact(&mut [0; 4]).await?;
    Ok(began.elapsed())
}

fn caller(proxy: usize, port: u16) -> SocketAddr {
    (address::relay_address(proxy), port).into()
}

#[test]
fn relays_streams_with_the_faults_of_their_link() {
    run(async {
        let delay = "{ between = \"boxes\", at_s = 0.0, for_s = 9.0, delay_ms = 60.0, zone = 1 }, \
            { between = \"boxes\", at_s = 0.0, for_s = 0.5, cut = true, zone = 0 }";
        let (links, clock, server) = (links(delay), begun(), echo().await);
        let began = Instant::now();
        let port = streams(&links, &clock, LinkEndpoints::Boxes, 2, Rc::new(move |_| Some(server)))
            .expect("a relay");
        // Proxy 1 lies in zone 1: 60 ms each way.
        let mut slow = TcpStream::connect(caller(1, port)).await.expect("it comes up");
        assert!(round(&mut slow).await.expect("carried") >= Duration::from_millis(120));
        // Proxy 0's links are cut for half a second.
        let mut cut = TcpStream::connect(caller(0, port)).await.expect("it comes up");
        round(&mut cut).await.expect("carried");
        assert!(began.elapsed() >= Duration::from_millis(490), "{:?}", began.elapsed());
    });
}

#[test]
fn propagates_resets_and_closes() {
    run(async {
        let (links, clock) = (links(""), begun());
        let gone = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("its address");
        let port =
            streams(&links, &clock, LinkEndpoints::Boxes, 0, Rc::new(move |_| Some(gone))).expect("a relay");
        let mut stream = TcpStream::connect(caller(0, port)).await.expect("the relay listens");
        assert!(round(&mut stream).await.is_err(), "nobody is there");

        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let server = listener.local_addr().expect("its address");
        let port = streams(&links, &clock, LinkEndpoints::Boxes, 0, Rc::new(move |_| Some(server)))
            .expect("a relay");
        let caller = TcpStream::connect(caller(0, port)).await.expect("the relay listens");
        let (mut accepted, _) = listener.accept().await.expect("carried");
        drop(caller);
        assert_eq!(accepted.read(&mut [0; 8]).await.expect("an end"), 0);
    });
}

#[test]
fn accepts_connections_only_over_loopback() {
    run(async {
        let (links, clock, server) = (links(""), begun(), echo().await);
        let port = streams(&links, &clock, LinkEndpoints::Boxes, 0, Rc::new(move |_| Some(server)))
            .expect("a relay");
        // Whoever calls under no proxy's address is let go without a byte.
        let mut unknown_sender = TcpStream::connect(("127.0.0.1", port)).await.expect("loopback");
        assert!(round(&mut unknown_sender).await.is_err());
        // The listener is bound to the loopback device: the same port is free on all others.
        let other = TcpSocket::new_v4().expect("a socket");
        assert!(other.bind(SocketAddr::from(([127, 0, 0, 1], port))).is_err());
    });
}

async fn processes(count: usize) -> (Vec<UdpSocket>, Vec<SocketAddrV4>) {
    let mut sockets = Vec::new();
    for process in 0..count {
        sockets.push(UdpSocket::bind((address::process_address(process), 0)).await.expect("a socket"));
    }
    let address = |socket: &UdpSocket| match socket.local_addr().expect("its address") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    };
    let addresses = sockets.iter().map(address).collect();
    (sockets, addresses)
}

#[test]
fn relays_datagrams_from_the_senders_address_with_scripted_loss() {
    run(async {
        let rules = "{ between = \"proxies\", at_s = 0.0, for_s = 9.0, drop = 0.4, way = \"out\" }";
        let (links, clock, counts) = (links(rules), begun(), Arc::new(DatagramCounts::default()));
        let (sockets, real) = processes(3).await;
        let relay_addresses = datagrams(&links, &clock, &real, &counts).await.expect("relays");
        let (mut there, mut back) = (Vec::new(), 0);
        let (mut bytes, mut others) = ([0; 8], [0; 8]);
        // Few at a time: what overflows the sockets' buffers is no part of the script.
        for batch in 0..40_u32 {
            for number in batch * 25..batch * 25 + 25 {
                sockets[0].send_to(&number.to_be_bytes(), relay_addresses[1]).await.expect("sent");
                sockets[1].send_to(&number.to_be_bytes(), relay_addresses[0]).await.expect("sent");
            }
            let sent = u64::from(batch + 1) * 50;
            let carried = || counts.passed.load(Ordering::Relaxed) + counts.lost.load(Ordering::Relaxed);
            while carried() < sent || there.len() + back < counts.passed.load(Ordering::Relaxed) as usize {
                tokio::select! {
                    got = sockets[1].recv_from(&mut bytes) => {
                        let (_, from) = got.expect("received");
                        assert_eq!(from, relay_addresses[0], "who sent is known by the address");
                        there.push(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]));
                    }
                    got = sockets[0].recv_from(&mut others) => {
                        assert_eq!(got.expect("received").1, relay_addresses[1]);
                        back += 1;
                    }
                    // To look again: nothing may come any more.
                    () = sleep_until(Instant::now() + Duration::from_millis(5)) => {}
                }
            }
        }
        assert_eq!(back, 1_000, "the other way is whole");
        let (link, way) = testbed::links::Link::of_proxies(0, 1);
        let expected: Vec<u32> =
            (0..1_000).filter(|&n| links.datagram(link, way, 1, u64::from(n) + 1).first.is_some()).collect();
        there.sort_unstable();
        assert_eq!(there, expected, "the seed fixes which ones are lost");
        assert!((500..700).contains(&expected.len()));
    });
}

#[test]
fn drops_and_counts_datagrams_from_unknown_senders() {
    run(async {
        let (links, clock, counts) = (links(""), begun(), Arc::new(DatagramCounts::default()));
        let (_sockets, real) = processes(2).await;
        let relay_addresses = datagrams(&links, &clock, &real, &counts).await.expect("relays");
        let unknown_sender = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        unknown_sender.send_to(b"who", relay_addresses[0]).await.expect("sent");
        while counts.refused.load(Ordering::Relaxed) == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(counts.passed.load(Ordering::Relaxed), 0);
    });
}
