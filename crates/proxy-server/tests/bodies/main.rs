//! Large and slow messages and the HTTP/1.1 message framings, over loopback sockets.

#[path = "../support/mod.rs"]
mod support;

use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::{fs, thread};
use support::{
    Backend, BackendAction, Client, Discovery, HttpMessage, Proxy, TEST_TIMEOUT, backend_entry, ok_response,
    proxy_config, request, response_bytes,
};

const MEBIBYTE: usize = 1 << 20;

/// Starts a proxy with this memory limit and this backend.
fn start_proxy(name: &str, memory_mb: u64, discovery: &Discovery, backend: SocketAddr) -> Proxy {
    let mut config = proxy_config(name, discovery);
    config["limits"]["memory_mb"] = memory_mb.into();
    let proxy = Proxy::start_with_config(name, &config);
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend, "active", 0)]);
    proxy
}

/// Starts a backend that calls this function for each request; the function writes the response to the
/// connection.
fn start_manual_backend(serve: impl Fn(HttpMessage, &mut TcpStream) + Send + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), serve) = (stream, serve.clone()) else { return };
            thread::spawn(move || {
                let mut reader = std::io::BufReader::new(stream.try_clone().expect("clone the stream"));
                while let Some(request) = support::read_message(&mut reader) {
                    serve(request, &mut stream);
                }
            });
        }
    });
    address
}

/// Bytes that vary with their position, so that lost or duplicated parts are detected.
fn pattern(size: usize) -> Vec<u8> {
    (0..size).map(|n| (n / 251 + n) as u8).collect()
}

/// The chunked transfer coding of these chunks. `trailers` are complete lines.
fn chunked(chunks: &[&[u8]], extension: &str, trailers: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in chunks {
        bytes.extend_from_slice(format!("{:x}{extension}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
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
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("read the process status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a VmHWM line");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") * 1024
}

#[test]
fn forwards_chunked_request_with_extensions_and_trailers() {
    let discovery = Discovery::start();
    let backend = Backend::start(|request| BackendAction::Write(response_bytes("200 OK", "", &request.body)));
    let proxy = start_proxy("chunked", 192, &discovery, backend.address);
    let body = pattern(50_000);
    for (id, chunk_size) in [1_000, 4_096, 50_000].into_iter().enumerate() {
        let chunks: Vec<&[u8]> = body.chunks(chunk_size).collect();
        let mut client = proxy.client();
        client.send(&chunked_head("charge", &format!("c{id}")));
        client.stream.write_all(&chunked(&chunks, ";a=\"b\"", "X-Trail: 1\r\n")).expect("write to the proxy");
        let response = client.receive();
        assert!((response.status(), response.body == body) == (200, true), "{}", response.head);
        let received = backend.next_request();
        assert!(received.header("transfer-encoding").is_none() && received.header("x-trail").is_none());
        // The connection remains usable.
        assert_eq!(client.exchange(&request("charge", &format!("d{id}"), "x")).body, b"x");
        backend.next_request();
    }
}

#[test]
fn rejects_malformed_chunks() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("fine"));
    let proxy = start_proxy("broken-chunks", 192, &discovery, backend.address);
    let bodies = [
        "zz\r\nabc\r\n0\r\n\r\n",
        "-3\r\nabc\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nabc\r\n",
        "3\r\nabcde\r\n0\r\n\r\n",
    ];
    for (id, body) in bodies.into_iter().enumerate() {
        let mut client = proxy.client();
        let response = client.exchange(&format!("{}{body}", chunked_head("charge", &format!("b{id}"))));
        assert_eq!(response.status(), 400, "{body:?}");
        assert!(client.is_closed_cleanly());
    }
    let gzip_request = request("charge", "gzip", "").replace("Content-Length: 0", "Transfer-Encoding: gzip");
    assert_eq!(proxy.client().exchange(&gzip_request).status(), 400);
    assert_eq!(backend.take_request_count(), 0);
}

#[test]
fn normalizes_request_forms() {
    let discovery = Discovery::start();
    let backend = Backend::start(|request| BackendAction::Write(response_bytes("200 OK", "", &request.body)));
    let proxy = start_proxy("forms", 192, &discovery, backend.address);
    // Absolute form: a backend is not a proxy, so it gets path and query only.
    let absolute_form_request = request("read", "1", "").replace("GET /read", "GET http://app.svc/read");
    assert_eq!(proxy.client().exchange(&absolute_form_request).status(), 200);
    assert_eq!(backend.next_request().first_line(), "GET /read?key=7f3a HTTP/1.1");
    // The client waits for 100 Continue before it sends its body.
    let mut client = proxy.client();
    let request_with_expect =
        request("charge", "2", "hello").replace("Host:", "Expect: 100-continue\r\nHost:");
    let (head, body) = request_with_expect.split_at(request_with_expect.len() - 5);
    client.send(head);
    assert_eq!(client.receive().first_line(), "HTTP/1.1 100 Continue");
    assert_eq!(client.exchange(body).body, b"hello");
    assert!(backend.next_request().header("expect").is_none());
    // HTTP/1.0: the connection ends after the response.
    let http_1_0_request = request("read", "3", "").replace("HTTP/1.1", "HTTP/1.0");
    let mut client = proxy.client();
    assert_eq!(client.exchange(&http_1_0_request).status(), 200);
    assert!(client.is_closed_cleanly());
    // Pipelined requests are answered in order.
    let mut client = proxy.client();
    client.send(&format!("{}{}", request("charge", "4", "first"), request("charge", "5", "second")));
    assert_eq!((client.receive().body, client.receive().body), (b"first".to_vec(), b"second".to_vec()));
    // Hop-by-hop headers are not forwarded.
    let request_with_hop_by_hop_header =
        request("read", "6", "").replace("Host:", "Connection: X-Own\r\nX-Own: 1\r\nHost:");
    assert_eq!(proxy.client().exchange(&request_with_hop_by_hop_header).status(), 200);
    let received: Vec<_> = (0..4).map(|_| backend.next_request()).collect();
    assert!(received[3].header("x-own").is_none(), "{}", received[3].head);
    let head_request = request("read", "7", "").replace("GET", "HEAD");
    let mut client = proxy.client();
    client.send(&head_request);
    let mut status_line = String::new();
    client.reader.read_line(&mut status_line).expect("a status line");
    assert!(status_line.starts_with("HTTP/1.1 405 "), "no request class has the method HEAD: {status_line}");
}

#[test]
fn forwards_large_body_buffered_or_streamed() {
    let discovery = Discovery::start();
    let backend = Backend::start(|request| {
        let sum = request.body.iter().map(|&byte| u64::from(byte)).sum::<u64>();
        ok_response(&format!("{} {sum}", request.body.len()))
    });
    // A body of up to 8 % of the memory limit of 32 MB (two fifths of a fifth) is buffered; a larger one is
    // streamed.
    let proxy = start_proxy("large-body", 32, &discovery, backend.address);
    for (id, size) in [70_000, MEBIBYTE, 8 * MEBIBYTE, 33_554_432].into_iter().enumerate() {
        let body = pattern(size);
        let expected = format!("{size} {}", body.iter().map(|&byte| u64::from(byte)).sum::<u64>());
        for is_chunked in [false, true] {
            let id = format!("{id}-{is_chunked}");
            let mut client = proxy.client();
            if is_chunked {
                client.send(&chunked_head("charge", &id));
                let chunks: Vec<_> = body.chunks(60_000).collect();
                client.stream.write_all(&chunked(&chunks, "", "")).expect("write to the proxy");
            } else {
                client.send(&request("charge", &id, "").replace("Length: 0", &format!("Length: {size}")));
                client.stream.write_all(&body).expect("write to the proxy");
            }
            let response = client.receive();
            assert_eq!(String::from_utf8_lossy(&response.body), expected, "{}", response.head);
        }
    }
    assert!(peak_memory(proxy.child.id()) < 24 * MEBIBYTE, "{}", peak_memory(proxy.child.id()));
}

/// The proxy cannot retry a request whose body it streams. The request has not run, so the proxy responds
/// with 503 and the client may retry.
#[test]
fn request_with_streamed_body_is_sent_once() {
    let discovery = Discovery::start();
    let (sender, received) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // The backend reads a part of the body and closes the connection.
            let _ = (&stream).read_exact(&mut vec![0; 100_000]);
            drop(stream);
            let _ = sender.send(());
        }
    });
    let proxy = start_proxy("once", 16, &discovery, address);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "").replace("Length: 0", &format!("Length: {}", 8 * MEBIBYTE)));
    let mut writer = client.stream.try_clone().expect("clone the stream");
    let writing = thread::spawn(move || writer.write_all(&pattern(8 * MEBIBYTE)).is_ok());
    let response = client.receive();
    assert_eq!(response.status(), 503, "{}", response.head);
    received.recv_timeout(TEST_TIMEOUT).expect("one attempt");
    drop(client);
    let _ = writing.join();
    assert!(received.try_recv().is_err(), "there must be no second attempt");
}

/// The proxy forwards a large response as it arrives.
#[test]
fn large_response_is_streamed() {
    for framing in ["Content-Length: 300000\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"] {
        let discovery = Discovery::start();
        let (resume, released) = channel::<()>();
        let released = std::sync::Arc::new(std::sync::Mutex::new(released));
        let backend = start_manual_backend(move |_, stream| {
            let write_part = |stream: &mut TcpStream, bytes: &[u8]| {
                let bytes = if framing.starts_with('T') {
                    let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
                    framed.extend_from_slice(bytes);
                    framed.extend_from_slice(b"\r\n");
                    framed
                } else {
                    bytes.to_vec()
                };
                stream.write_all(&bytes).expect("write to the proxy");
            };
            let body = pattern(300_000);
            stream
                .write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes())
                .expect("write to the proxy");
            write_part(stream, &body[..100_000]);
            released
                .lock()
                .expect("lock the receiver")
                .recv_timeout(TEST_TIMEOUT)
                .expect("the client has received the first bytes");
            write_part(stream, &body[100_000..]);
            if framing.starts_with('T') {
                stream.write_all(b"0\r\n\r\n").expect("write to the proxy");
            }
            if framing.ends_with("close\r\n") {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        let proxy = start_proxy(&format!("at-once-{}", &framing[..2]), 192, &discovery, backend);
        let mut client = proxy.client();
        client.send(&request("read", "1", ""));
        let mut received_bytes = Vec::new();
        let mut buffer = [0; 4_096];
        while received_bytes.len() < 90_000 {
            let read = client.reader.read(&mut buffer).expect("read response bytes");
            assert_ne!(read, 0);
            received_bytes.extend_from_slice(&buffer[..read]);
        }
        resume.send(()).expect("signal the backend");
        // The remaining body, read by the framing that the proxy has chosen, must be complete.
        let head_end =
            received_bytes.windows(4).position(|w| w == b"\r\n\r\n").expect("a complete response head") + 4;
        let head = String::from_utf8_lossy(&received_bytes[..head_end]).into_owned();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        let received = support::read_message(&mut received_bytes.chain(&mut client.reader))
            .expect("a complete response");
        assert!(received.body == pattern(300_000), "{head}");
    }
}

/// A streamed response that the backend truncates has failed: the client must be able to detect it, and the
/// proxy does not retry the request.
#[test]
fn truncated_large_response_is_detectable_and_not_retried() {
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
        let mut received_bytes = Vec::new();
        let _ = client.reader.read_to_end(&mut received_bytes);
        assert!(received_bytes.starts_with(b"HTTP/1.1 200"));
        assert!(
            received_bytes.len() < 200_000 && !received_bytes.ends_with(b"0\r\n\r\n"),
            "{} bytes",
            received_bytes.len()
        );
        attempts.recv_timeout(TEST_TIMEOUT).expect("one attempt");
        assert!(attempts.try_recv().is_err(), "there must be no second attempt");
    }
}

/// Clients read many large responses slowly. Each response may use memory only for its bytes in transit.
#[test]
fn large_responses_to_slow_readers_stay_within_memory() {
    const READERS: usize = 40;
    const SIZE: usize = 32 * MEBIBYTE;
    let discovery = Discovery::start();
    let backend = start_manual_backend(|_, stream| {
        let part = pattern(MEBIBYTE);
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n").as_bytes());
        while stream.write_all(&part).is_ok() && stream.peer_addr().is_ok() {}
    });
    let proxy = start_proxy("slow-readers", 32, &discovery, backend);
    let (started, all_started): (Sender<()>, Receiver<()>) = channel();
    let readers: Vec<_> = (0..READERS)
        .map(|id| {
            let (started, address) = (started.clone(), proxy.address);
            let (resume, released) = channel::<()>();
            let reader = thread::spawn(move || {
                // The concurrency limit may not admit all requests at once: clients retry rejected ones.
                loop {
                    let mut client = Client::connect(address);
                    client.send(&request("read", &format!("{id}-{:?}", client.stream.local_addr()), ""));
                    let mut status = [0; 12];
                    client.reader.read_exact(&mut status).expect("a status line");
                    if &status == b"HTTP/1.1 200" {
                        started.send(()).expect("signal the test");
                        let _ = released.recv_timeout(TEST_TIMEOUT);
                        let mut read = 0;
                        let mut buffer = vec![0; 64 * 1024];
                        while read < SIZE {
                            match client.reader.read(&mut buffer).expect("read response bytes") {
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
        all_started.recv_timeout(TEST_TIMEOUT).expect("the start of a response to each reader");
    }
    let peak = peak_memory(proxy.child.id());
    assert!(peak < 16 * MEBIBYTE, "{peak} bytes for {READERS} responses of {SIZE} bytes each");
    // The first four readers finish; the test does not wait for the others.
    for (number, (resume, reader)) in readers.into_iter().enumerate() {
        if number < 4 {
            resume.send(()).expect("signal the reader");
            assert!(reader.join().expect("join the reader thread") >= SIZE);
        }
    }
    let peak = peak_memory(proxy.child.id());
    assert!(peak < 16 * MEBIBYTE, "{peak} bytes");
}
