//! Relays between sockets: they identify the sender, and apply the link faults of the script. The checks are
//! counts and lower bounds of times, which a slow machine does not change.

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

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn links(faults: &str) -> Rc<Links> {
    let text = format!(
        "seed = 5\nseconds = 20.0\nfleet = {{ boxes = 6, proxies = 40, zones = 2, cells = 1, cores = 1.0, holds = 8.0 }}\n\
         traffic = {{ per_s = 5.0 }}\nlink = [{faults}]\n[[class]]\nname = \"r\"\neffect = \"safe\"\nshare = 1.0\n\
         work_ms = [1.0, 2.0]\naim_ms = 540\ndeadline_ms = 1500\nworth = 1.0\n"
    );
    Rc::new(Links::new(&Script::parse(&text, Path::new("relays.toml")).expect("a valid script")))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(TEST_TIMEOUT, test).await.expect("the test ends within its timeout");
    });
}

fn started_clock() -> Clock {
    let clock = Clock::default();
    clock.start_at(Instant::now());
    clock
}

/// Starts a server that echoes all bytes, and returns its address.
async fn start_echo_server() -> SocketAddr {
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

/// Sends four bytes and receives them back; returns the time that this took.
async fn round_trip(stream: &mut TcpStream) -> std::io::Result<Duration> {
    let started_at = Instant::now();
    stream.write_all(b"ping").await?;
    stream.read_exact(&mut [0; 4]).await?;
    Ok(started_at.elapsed())
}

fn relay_endpoint(proxy: usize, port: u16) -> SocketAddr {
    (address::relay_address(proxy), port).into()
}

#[test]
fn relays_streams_with_the_faults_of_their_link() {
    run(async {
        let faults = "{ between = \"boxes\", at_s = 0.0, for_s = 9.0, delay_ms = 60.0, zone = 1 }, \
            { between = \"boxes\", at_s = 0.0, for_s = 0.5, cut = true, zone = 0 }";
        let (links, clock, server) = (links(faults), started_clock(), start_echo_server().await);
        let started_at = Instant::now();
        let port = streams(&links, &clock, LinkEndpoints::Backends, 2, Rc::new(move |_| Some(server)))
            .expect("a relay");
        // Proxy 1 is in zone 1, whose links have a delay of 60 ms in each direction.
        let mut slow = TcpStream::connect(relay_endpoint(1, port)).await.expect("the relay accepts");
        assert!(round_trip(&mut slow).await.expect("the bytes are relayed") >= Duration::from_millis(120));
        // The links of proxy 0, in zone 0, are cut for half a second.
        let mut cut = TcpStream::connect(relay_endpoint(0, port)).await.expect("the relay accepts");
        round_trip(&mut cut).await.expect("the bytes are relayed");
        assert!(started_at.elapsed() >= Duration::from_millis(490), "{:?}", started_at.elapsed());
    });
}

#[test]
fn propagates_resets_and_closes() {
    run(async {
        let (links, clock) = (links(""), started_clock());
        let closed_address =
            TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("its address");
        let port =
            streams(&links, &clock, LinkEndpoints::Backends, 0, Rc::new(move |_| Some(closed_address)))
                .expect("a relay");
        let mut stream = TcpStream::connect(relay_endpoint(0, port)).await.expect("the relay listens");
        assert!(round_trip(&mut stream).await.is_err(), "no server listens at the target");

        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let server = listener.local_addr().expect("its address");
        let port = streams(&links, &clock, LinkEndpoints::Backends, 0, Rc::new(move |_| Some(server)))
            .expect("a relay");
        let client = TcpStream::connect(relay_endpoint(0, port)).await.expect("the relay listens");
        let (mut accepted, _) = listener.accept().await.expect("a relayed connection");
        drop(client);
        assert_eq!(accepted.read(&mut [0; 8]).await.expect("the end of the stream"), 0);
    });
}

#[test]
fn accepts_connections_only_over_loopback() {
    run(async {
        let (links, clock, server) = (links(""), started_clock(), start_echo_server().await);
        let port = streams(&links, &clock, LinkEndpoints::Backends, 0, Rc::new(move |_| Some(server)))
            .expect("a relay");
        // A connection to an address that represents no proxy is closed without a byte.
        let mut stream = TcpStream::connect(("127.0.0.1", port)).await.expect("loopback");
        assert!(round_trip(&mut stream).await.is_err());
        // The listener is bound to the loopback device: its port is taken on 127.0.0.1, and stays free on
        // other devices.
        let other = TcpSocket::new_v4().expect("a socket");
        assert!(other.bind(SocketAddr::from(([127, 0, 0, 1], port))).is_err());
    });
}

/// Binds a socket for each of this number of processes; returns the sockets and their addresses.
async fn process_sockets(count: usize) -> (Vec<UdpSocket>, Vec<SocketAddrV4>) {
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
fn relays_datagrams_from_the_senders_relay_address_with_the_configured_loss() {
    run(async {
        let faults = "{ between = \"proxies\", at_s = 0.0, for_s = 9.0, drop = 0.4, way = \"out\" }";
        let (links, clock, counts) = (links(faults), started_clock(), Arc::new(DatagramCounts::default()));
        let (sockets, process_addresses) = process_sockets(3).await;
        let relay_addresses = datagrams(&links, &clock, &process_addresses, &counts).await.expect("relays");
        let (mut received_out, mut received_back) = (Vec::new(), 0);
        let (mut bytes, mut others) = ([0; 8], [0; 8]);
        // Small batches: datagrams that overflow the sockets' buffers would be lost without a fault of the
        // script.
        for batch in 0..40_u32 {
            for number in batch * 25..batch * 25 + 25 {
                sockets[0].send_to(&number.to_be_bytes(), relay_addresses[1]).await.expect("sent");
                sockets[1].send_to(&number.to_be_bytes(), relay_addresses[0]).await.expect("sent");
            }
            let sent = u64::from(batch + 1) * 50;
            let processed = || counts.forwarded.load(Ordering::Relaxed) + counts.lost.load(Ordering::Relaxed);
            while processed() < sent
                || received_out.len() + received_back < counts.forwarded.load(Ordering::Relaxed) as usize
            {
                tokio::select! {
                    got = sockets[1].recv_from(&mut bytes) => {
                        let (_, from) = got.expect("received");
                        assert_eq!(from, relay_addresses[0], "the relay address identifies the sender");
                        received_out.push(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]));
                    }
                    got = sockets[0].recv_from(&mut others) => {
                        assert_eq!(got.expect("received").1, relay_addresses[1]);
                        received_back += 1;
                    }
                    // The counters are checked at this interval, as no more datagrams may arrive.
                    () = sleep_until(Instant::now() + Duration::from_millis(5)) => {}
                }
            }
        }
        assert_eq!(received_back, 1_000, "the other direction loses nothing");
        let (link, direction) = testbed::links::Link::of_proxies(0, 1);
        let expected: Vec<u32> = (0..1_000)
            .filter(|&n| links.datagram(link, direction, 1, u64::from(n) + 1).first.is_some())
            .collect();
        received_out.sort_unstable();
        assert_eq!(received_out, expected, "the seed determines which ones are lost");
        assert!((500..700).contains(&expected.len()));
    });
}

#[test]
fn drops_and_counts_datagrams_from_unknown_senders() {
    run(async {
        let (links, clock, counts) = (links(""), started_clock(), Arc::new(DatagramCounts::default()));
        let (_sockets, process_addresses) = process_sockets(2).await;
        let relay_addresses = datagrams(&links, &clock, &process_addresses, &counts).await.expect("relays");
        let unknown_sender = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        unknown_sender.send_to(b"who", relay_addresses[0]).await.expect("sent");
        while counts.rejected.load(Ordering::Relaxed) == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(counts.forwarded.load(Ordering::Relaxed), 0);
    });
}
