//! Clients that stop within a request.

use crate::support::{Client, Discovery, request};
use crate::{request_with_time, start_backend, start_proxy, write_ok};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// More connections than the proxy accepts with the least memory.
const CROWD: usize = 400;
const TIME_LEFT: Duration = Duration::from_millis(1_300);
const LATENESS_LIMIT: Duration = Duration::from_millis(500);

#[test]
fn clients_that_stop_within_bodies_keep_no_other_client_from_its_response() {
    for framing in ["Content-Length: 4000", "Transfer-Encoding: chunked"] {
        let discovery = Discovery::start();
        let backend = start_backend(|_, stream| write_ok(stream, b"fine"));
        let proxy = start_proxy("crowd", &discovery, &[backend; 4]);
        let half =
            format!("{}7d0\r\nhalf", request("charge", "half", "").replace("Content-Length: 0", framing));
        let crowd: Vec<_> = (0..CROWD)
            .map(|n| {
                let mut stream = TcpStream::connect(proxy.address).expect("connect to the proxy");
                let _ = stream.write_all(half.replace("half", &format!("half{n}")).as_bytes());
                stream
            })
            .collect();
        for n in 0..20 {
            let started_at = Instant::now();
            let mut client = Client::connect(proxy.address);
            let time_left_ms = TIME_LEFT.as_millis() as u64;
            let status =
                client.exchange(&request_with_time("read", &format!("s{n}"), "", time_left_ms)).status();
            let elapsed = started_at.elapsed();
            assert!(elapsed < TIME_LEFT + LATENESS_LIMIT, "{framing}: {status} after {elapsed:?}");
            thread::sleep(Duration::from_millis(50));
        }
        drop(crowd);
    }
}

/// A backend that answers `read`, and reads nothing of the bodies of other requests.
fn start_backend_that_reads_no_body() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
                let (mut head, mut line) = (String::new(), String::new());
                while reader.read_line(&mut line).is_ok_and(|count| count > 0) {
                    head.push_str(&line);
                    if line == "\r\n" && !head.starts_with("GET") {
                        return thread::sleep(Duration::from_secs(20));
                    }
                    if line == "\r\n" {
                        head.clear();
                        write_ok(&mut stream, b"fine");
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

/// Guards against a crowd that keeps its places: the first in line for eviction had bytes that wait for its backend.
#[test]
fn upload_before_a_blocked_backend_keeps_no_stalled_client_from_eviction() {
    const UPLOADED: usize = 6_000_000;
    let discovery = Discovery::start();
    let proxy = start_proxy("blocked-first", &discovery, &[start_backend_that_reads_no_body(); 4]);
    let text = request("charge", "blocked", "").replace("Length: 0", "Length: 20000000");
    let blocked = Client::connect(proxy.address);
    let mut writer = blocked.stream.try_clone().expect("clone the stream");
    thread::spawn(move || {
        let _ = writer.write_all(text.as_bytes());
        let _ = writer.write_all(&vec![b'x'; UPLOADED]);
    });
    thread::sleep(Duration::from_millis(500));
    let half = request("charge", "half", "").replace("Length: 0", "Length: 4000");
    let crowd: Vec<_> = (0..CROWD)
        .map(|n| {
            let mut stream = TcpStream::connect(proxy.address).expect("connect to the proxy");
            let _ = stream.write_all(half.replace("half", &format!("half{n}")).as_bytes());
            stream
        })
        .collect();
    for n in 0..10 {
        let started_at = Instant::now();
        let text = request_with_time("read", &format!("s{n}"), "", TIME_LEFT.as_millis() as u64);
        let status = Client::connect(proxy.address).exchange(&text).status();
        let elapsed = started_at.elapsed();
        assert!(elapsed < TIME_LEFT + LATENESS_LIMIT, "{status} after {elapsed:?}");
    }
    drop((crowd, blocked));
}

#[test]
fn slow_but_steady_uploads_are_not_evicted() {
    let discovery = Discovery::start();
    let backend =
        start_backend(|request, stream| write_ok(stream, request.body.len().to_string().as_bytes()));
    let proxy = start_proxy("steady", &discovery, &[backend; 4]);
    let address = proxy.address;
    let uploads: Vec<_> = [1, 8]
        .into_iter()
        .flat_map(|piece| (0..4).map(move |n| (piece, n)))
        .map(|(piece, n)| {
            thread::spawn(move || {
                let mut client = Client::connect(address);
                let head = request("charge", &format!("steady-{piece}-{n}"), "");
                client.send(&head.replace("Length: 0", &format!("Length: {}", 16 * piece)));
                for _ in 0..16 {
                    thread::sleep(Duration::from_millis(125));
                    client.stream.write_all(&vec![b'x'; piece]).expect("write to the proxy");
                }
                client.receive().status()
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    let crowd: Vec<_> = (0..CROWD).filter_map(|_| TcpStream::connect(address).ok()).collect();
    for upload in uploads {
        assert_eq!(upload.join().expect("an upload"), 200);
    }
    drop(crowd);
}

/// Guards against late responses: connections that wait for late bytes after a rejection took all places.
#[test]
fn clients_that_stay_after_a_rejection_keep_no_other_client_from_its_response() {
    let discovery = Discovery::start();
    let backend = start_backend(|_, stream| write_ok(stream, b"fine"));
    let proxy = start_proxy("rejected-crowd", &discovery, &[backend; 4]);
    let address = proxy.address;
    let until = Instant::now() + Duration::from_secs(5);
    let crowd: Vec<_> = (0..16)
        .map(|_| {
            thread::spawn(move || {
                let mut held = std::collections::VecDeque::new();
                while Instant::now() < until {
                    if let Ok(mut stream) = TcpStream::connect(address) {
                        let _ = stream.write_all(b"GET /read HTTP/1.1\r\nHost: x\r\n\r\n");
                        held.push_back(stream);
                    }
                    if held.len() > 60 {
                        held.pop_front();
                    }
                    thread::sleep(Duration::from_millis(13));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    let mut slowest = Duration::ZERO;
    for n in 0..30 {
        let started_at = Instant::now();
        let text = request_with_time("read", &format!("s{n}"), "", TIME_LEFT.as_millis() as u64);
        Client::connect(address).exchange(&text);
        slowest = slowest.max(started_at.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
    assert!(slowest < TIME_LEFT, "{slowest:?}");
    for member in crowd {
        member.join().expect("a member of the crowd");
    }
}
