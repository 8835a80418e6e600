//! Large and slow messages, and the HTTP/1.1 framings, over loopback sockets.

#[path = "../support/mod.rs"]
mod support;

use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::{fs, thread};
use support::{
    Backend, BackendAction, Client, Discovery, HttpMessage, Proxy, TEST_TIMEOUT, config, entry, ok, request,
    response_bytes,
};

const MEBIBYTE: usize = 1 << 20;

/// A proxy with this memory limit and this backend.
fn start_proxy(name: &str, memory_mb: u64, discovery: &Discovery, backend: SocketAddr) -> Proxy {
    let mut config = config(name, discovery);
    config["limits"]["memory_mb"] = memory_mb.into();
    let proxy = Proxy::start_with_config(name, &config);
    discovery.post(true, &[entry("s-1", backend, "active", 0)]);
    proxy
}

/// A backend that answers each request by a function that writes to the connection.
fn start_manual_backend(serve: impl Fn(HttpMessage, &mut TcpStream) + Send + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), serve) = (stream, serve.clone()) else { return };
            thread::spawn(move || {
                let mut reader = std::io::BufReader::new(stream.try_clone().expect("a clone"));
                while let Some(request) = support::read_message(&mut reader) {
                    serve(request, &mut stream);
                }
            });
        }
    });
    address
}

/// Bytes that vary with their position, so that lost or duplicated pieces are detected.
fn pattern(size: usize) -> Vec<u8> {
    (0..size).map(|n| (n / 251 + n) as u8).collect()
}

fn chunked(pieces: &[&[u8]], extension: &str, trailers: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for piece in pieces {
        bytes.extend_from_slice(format!("{:x}{extension}\r\n", piece.len()).as_bytes());
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(format!("0\r\n{trailers}\r\n").as_bytes());
    bytes
}

fn chunked_head(class: &str, id: &str) -> String {
    request(class, id, "").replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n")
}

/// The peak resident memory of a process, in bytes.
fn peak_memory(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("its status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") * 1024
}

#[test]
fn chunked_request_passes_with_extensions_and_trailers() {
    let discovery = Discovery::start();
    let backend = Backend::start(|request| BackendAction::Write(response_bytes("200 OK", "", &request.body)));
    let proxy = start_proxy("chunked", 192, &discovery, backend.address);
    let body = pattern(50_000);
    for (id, cut) in [1_000, 4_096, 50_000].into_iter().enumerate() {
        let pieces: Vec<&[u8]> = body.chunks(cut).collect();
        let mut client = proxy.client();
        client.send(&chunked_head("charge", &format!("c{id}")));
        client.stream.write_all(&chunked(&pieces, ";a=\"b\"", "X-Trail: 1\r\n")).expect("the proxy reads");
        let got = client.receive();
        assert!((got.status(), got.body == body) == (200, true), "{}", got.head);
        let received = backend.next_request();
        assert!(received.header("transfer-encoding").is_none() && received.header("x-trail").is_none());
        // The connection stays usable.
        assert_eq!(client.exchange(&request("charge", &format!("d{id}"), "x")).body, b"x");
        backend.next_request();
    }
}

#[test]
fn rejects_malformed_chunks() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = start_proxy("broken-chunks", 192, &discovery, backend.address);
    let bodies = [
        "zz\r\nabc\r\n0\r\n\r\n",
        "-3\r\nabc\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nabc\r\n",
        "3\r\nabcde\r\n0\r\n\r\n",
    ];
    for (id, body) in bodies.into_iter().enumerate() {
        let mut client = proxy.client();
        let got = client.exchange(&format!("{}{body}", chunked_head("charge", &format!("b{id}"))));
        assert_eq!(got.status(), 400, "{body:?}");
        assert!(client.is_closed_cleanly());
    }
    let other = request("charge", "gzip", "").replace("Content-Length: 0", "Transfer-Encoding: gzip");
    assert_eq!(proxy.client().exchange(&other).status(), 400);
    assert_eq!(backend.take_request_count(), 0);
}

#[test]
fn normalizes_request_forms() {
    let discovery = Discovery::start();
    let backend = Backend::start(|request| BackendAction::Write(response_bytes("200 OK", "", &request.body)));
    let proxy = start_proxy("forms", 192, &discovery, backend.address);
    // Absolute form: a backend is not a proxy and gets path and query.
    let absolute = request("read", "1", "").replace("GET /read", "GET http://app.svc/read");
    assert_eq!(proxy.client().exchange(&absolute).status(), 200);
    assert_eq!(backend.next_request().first_line(), "GET /read?key=7f3a HTTP/1.1");
    // A client that waits for 100 Continue before it sends its body.
    let mut client = proxy.client();
    let waits = request("charge", "2", "hello").replace("Host:", "Expect: 100-continue\r\nHost:");
    let (head, body) = waits.split_at(waits.len() - 5);
    client.send(head);
    assert_eq!(client.receive().first_line(), "HTTP/1.1 100 Continue");
    assert_eq!(client.exchange(body).body, b"hello");
    assert!(backend.next_request().header("expect").is_none());
    // HTTP/1.0: the connection ends after the response.
    let old = request("read", "3", "").replace("HTTP/1.1", "HTTP/1.0");
    let mut client = proxy.client();
    assert_eq!(client.exchange(&old).status(), 200);
    assert!(client.is_closed_cleanly());
    // Pipelined requests are answered in order.
    let mut client = proxy.client();
    client.send(&format!("{}{}", request("charge", "4", "first"), request("charge", "5", "second")));
    assert_eq!((client.receive().body, client.receive().body), (b"first".to_vec(), b"second".to_vec()));
    // Hop-by-hop headers are not forwarded.
    let named = request("read", "6", "").replace("Host:", "Connection: X-Own\r\nX-Own: 1\r\nHost:");
    assert_eq!(proxy.client().exchange(&named).status(), 200);
    let received: Vec<_> = (0..4).map(|_| backend.next_request()).collect();
    assert!(received[3].header("x-own").is_none(), "{}", received[3].head);
    let head = request("read", "7", "").replace("GET", "HEAD");
    let mut client = proxy.client();
    client.send(&head);
    let mut line = String::new();
    client.reader.read_line(&mut line).expect("a head with no body");
    assert!(line.starts_with("HTTP/1.1 405 "), "no class has this method: {line}");
}

#[test]
fn large_body_passes_buffered_or_streamed() {
    let discovery = Discovery::start();
    let backend = Backend::start(|request| {
        let sum = request.body.iter().map(|&byte| u64::from(byte)).sum::<u64>();
        ok(&format!("{} {sum}", request.body.len()))
    });
    // A body up to two fifths of a fifth of 32 MB is buffered; a larger one is streamed.
    let proxy = start_proxy("large-body", 32, &discovery, backend.address);
    for (id, size) in [70_000, MEBIBYTE, 8 * MEBIBYTE, 33_554_432].into_iter().enumerate() {
        let body = pattern(size);
        let wanted = format!("{size} {}", body.iter().map(|&byte| u64::from(byte)).sum::<u64>());
        for is_chunked in [false, true] {
            let id = format!("{id}-{is_chunked}");
            let mut client = proxy.client();
            if is_chunked {
                client.send(&chunked_head("charge", &id));
                let pieces: Vec<_> = body.chunks(60_000).collect();
                client.stream.write_all(&chunked(&pieces, "", "")).expect("the proxy reads");
            } else {
                client.send(&request("charge", &id, "").replace("Length: 0", &format!("Length: {size}")));
                client.stream.write_all(&body).expect("the proxy reads");
            }
            let got = client.receive();
            assert_eq!(String::from_utf8_lossy(&got.body), wanted, "{}", got.head);
        }
    }
    assert!(peak_memory(proxy.child.id()) < 24 * MEBIBYTE, "{}", peak_memory(proxy.child.id()));
}

/// A streamed body cannot be retried by the proxy; nothing of it has run, so the client may retry.
#[test]
fn streamed_body_is_sent_once() {
    let discovery = Discovery::start();
    let (sender, received) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // The backend reads a part and closes the connection.
            let _ = (&stream).read_exact(&mut vec![0; 100_000]);
            drop(stream);
            let _ = sender.send(());
        }
    });
    let proxy = start_proxy("once", 16, &discovery, address);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "").replace("Length: 0", &format!("Length: {}", 8 * MEBIBYTE)));
    let mut writer = client.stream.try_clone().expect("a clone");
    let writing = thread::spawn(move || writer.write_all(&pattern(8 * MEBIBYTE)).is_ok());
    let got = client.receive();
    assert_eq!(got.status(), 503, "{}", got.head);
    received.recv_timeout(TEST_TIMEOUT).expect("one attempt");
    drop(client);
    let _ = writing.join();
    assert!(received.try_recv().is_err(), "there is no second attempt");
}

/// A response is forwarded as it arrives.
#[test]
fn large_response_is_streamed() {
    for framing in ["Content-Length: 300000\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"] {
        let discovery = Discovery::start();
        let (resume, released) = channel::<()>();
        let released = std::sync::Arc::new(std::sync::Mutex::new(released));
        let backend = start_manual_backend(move |_, stream| {
            let piece = |stream: &mut TcpStream, bytes: &[u8]| {
                let bytes = if framing.starts_with('T') {
                    let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
                    framed.extend_from_slice(bytes);
                    framed.extend_from_slice(b"\r\n");
                    framed
                } else {
                    bytes.to_vec()
                };
                stream.write_all(&bytes).expect("the proxy reads");
            };
            let body = pattern(300_000);
            stream
                .write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes())
                .expect("the proxy reads");
            piece(stream, &body[..100_000]);
            released
                .lock()
                .expect("the receiver")
                .recv_timeout(TEST_TIMEOUT)
                .expect("the client has the first bytes");
            piece(stream, &body[100_000..]);
            if framing.starts_with('T') {
                stream.write_all(b"0\r\n\r\n").expect("the proxy reads");
            }
            if framing.ends_with("close\r\n") {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        let proxy = start_proxy(&format!("at-once-{}", &framing[..2]), 192, &discovery, backend);
        let mut client = proxy.client();
        client.send(&request("read", "1", ""));
        let mut got = Vec::new();
        let mut piece = [0; 4_096];
        while got.len() < 90_000 {
            let read = client.reader.read(&mut piece).expect("bytes");
            assert_ne!(read, 0);
            got.extend_from_slice(&piece[..read]);
        }
        resume.send(()).expect("the backend waits");
        // The rest is complete: read after the head by the framing that the proxy chose.
        let head_end = got.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
        let head = String::from_utf8_lossy(&got[..head_end]).into_owned();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        let received =
            support::read_message(&mut got.chain(&mut client.reader)).expect("a complete response");
        assert!(received.body == pattern(300_000), "{head}");
    }
}

/// A streamed response that is truncated has failed: the client can detect it, and there is no retry.
#[test]
fn truncated_large_response_stays_truncated() {
    for framing in ["Content-Length: 300000\r\n", "Transfer-Encoding: chunked\r\n"] {
        let discovery = Discovery::start();
        let (sender, attempts) = channel();
        let backend = start_manual_backend(move |_, stream| {
            let _ = sender.send(());
            let body = pattern(100_000);
            let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes());
            if framing.starts_with('T') {
                let _ = stream.write_all(format!("{:x}\r\n", body.len()).as_bytes());
            }
            let _ = stream.write_all(&body);
            let _ = stream.shutdown(Shutdown::Both);
        });
        let proxy = start_proxy(&format!("breaks-{}", &framing[..2]), 192, &discovery, backend);
        let mut client = proxy.client();
        client.send(&request("read", "1", ""));
        let mut got = Vec::new();
        let _ = client.reader.read_to_end(&mut got);
        assert!(got.starts_with(b"HTTP/1.1 200"));
        assert!(got.len() < 200_000 && !got.ends_with(b"0\r\n\r\n"), "{} bytes", got.len());
        attempts.recv_timeout(TEST_TIMEOUT).expect("one attempt");
        assert!(attempts.try_recv().is_err(), "there is no second attempt");
    }
}

/// Many large responses to clients that read slowly: each uses memory only for what is in transit.
#[test]
fn large_responses_to_slow_readers_stay_within_memory() {
    const READERS: usize = 40;
    const SIZE: usize = 32 * MEBIBYTE;
    let discovery = Discovery::start();
    let backend = start_manual_backend(|_, stream| {
        let piece = pattern(MEBIBYTE);
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n").as_bytes());
        while stream.write_all(&piece).is_ok() && stream.peer_addr().is_ok() {}
    });
    let proxy = start_proxy("slow-readers", 32, &discovery, backend);
    let (started, all_started): (Sender<()>, Receiver<()>) = channel();
    let readers: Vec<_> = (0..READERS)
        .map(|id| {
            let (started, address) = (started.clone(), proxy.address);
            let (resume, released) = channel::<()>();
            let reader = thread::spawn(move || {
                // The balancer may not have capacity for all at once: rejected requests are retried.
                loop {
                    let mut client = Client::connect(address);
                    client.send(&request("read", &format!("{id}-{:?}", client.stream.local_addr()), ""));
                    let mut first = [0; 12];
                    client.reader.read_exact(&mut first).expect("a status");
                    if &first == b"HTTP/1.1 200" {
                        started.send(()).expect("the test waits");
                        let _ = released.recv_timeout(TEST_TIMEOUT);
                        let mut read = 0;
                        let mut piece = vec![0; 64 * 1024];
                        while read < SIZE {
                            match client.reader.read(&mut piece).expect("bytes") {
                                0 => break,
                                n => read += n,
                            }
                        }
                        return read;
                    }
                }
            });
            (resume, reader)
        })
        .collect();
    for _ in 0..READERS {
        all_started.recv_timeout(TEST_TIMEOUT).expect("every reader has started");
    }
    let peak = peak_memory(proxy.child.id());
    assert!(peak < 16 * MEBIBYTE, "{peak} bytes for {READERS} answers of {SIZE}");
    // Some readers finish, the others disconnect.
    for (number, (resume, reader)) in readers.into_iter().enumerate() {
        if number < 4 {
            resume.send(()).expect("the reader waits");
            assert!(reader.join().expect("a reader") >= SIZE);
        }
    }
    let peak = peak_memory(proxy.child.id());
    assert!(peak < 16 * MEBIBYTE, "{peak} bytes");
}
