//! How long ago data arrived, as the kernel reports it.

use socket_io::time_since_last_data;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The kernel's clock tick, and milliseconds rounded down.
const RESOLUTION: Duration = Duration::from_millis(12);

/// Guards against a wait in the listener's queue that is not counted: the time is that of the last data, not of the accept.
#[test]
fn counts_from_the_last_data_before_the_accept() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    sleep(Duration::from_millis(60));
    let before_data = Instant::now();
    client.write_all(b"request").expect("the kernel takes it");
    let after_data = Instant::now();
    sleep(Duration::from_millis(80));
    let (accepted, _) = listener.accept().expect("the connection");
    let shortest = after_data.elapsed();
    let elapsed = time_since_last_data(&accepted).expect("a TCP socket");
    assert!(elapsed + RESOLUTION >= shortest && elapsed <= before_data.elapsed() + RESOLUTION, "{elapsed:?}");
}

#[test]
fn fails_on_other_sockets() {
    let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    assert!(time_since_last_data(&datagrams).is_err());
}
