//! Incomplete requests, pipelined requests during shutdown, and truncated responses.

use crate::support::*;
use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

/// Requirement: a client that stops within a request gets an error or a close within 3 s, also within a large
/// body.
#[test]
fn connection_stalled_within_a_body_is_closed_within_three_seconds() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("fine"));
    let proxy = Proxy::start("stops", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    // Sent and announced bytes of the body: of usual size, larger, and too large to be buffered.
    let body_sizes = [(60_000, 64_000), (300_000, 600_000), (2_000_000, 40_000_000)];
    let stalled_clients: Vec<_> = body_sizes
        .into_iter()
        .map(|(sent, announced)| {
            let mut client = proxy.client();
            thread::spawn(move || {
                let head = request("charge", &format!("stops-{announced}"), "");
                client.send(&head.replace("Content-Length: 0", &format!("Content-Length: {announced}")));
                client.send(&"z".repeat(sent));
                let stalled_at = Instant::now();
                client
                    .stream
                    .set_read_timeout(Some(Duration::from_secs(6)))
                    .expect("the read timeout is set");
                let mut rest = Vec::new();
                let ended = client.reader.read_to_end(&mut rest);
                (announced, ended.is_ok(), stalled_at.elapsed())
            })
        })
        .collect();
    let results: Vec<_> = stalled_clients
        .into_iter()
        .map(|client| client.join().expect("the client thread finishes"))
        .collect();
    let is_in_time = |(_, is_closed, elapsed): &(usize, bool, Duration)| {
        *is_closed && *elapsed < Duration::from_millis(3_050)
    };
    assert!(results.iter().all(is_in_time), "announced bytes, closed, elapsed: {results:?}");
}

/// Requirement: a request that was read has a response. This includes each of several pipelined requests,
/// also during shutdown.
#[test]
fn pipelined_requests_are_all_answered_during_shutdown() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| {
        BackendAction::DelayThen(Duration::from_millis(30), Box::new(ok_response("fine")))
    });
    let proxy = Proxy::start("together", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut open_client = proxy.client();
    assert_eq!(open_client.exchange(HEALTH_REQUEST).status(), 200);
    proxy.terminate();
    while proxy.client().exchange(HEALTH_REQUEST).status() == 200 {}
    let mut clients = [open_client, proxy.client()];
    for (number, client) in clients.iter_mut().enumerate() {
        let pipelined: String =
            (0..4).map(|round| request("charge", &format!("p-{number}-{round}"), "x")).collect();
        client.send(&pipelined);
    }
    for (number, client) in clients.iter_mut().enumerate() {
        let responses = (0..4).map_while(|_| read_message(&mut client.reader)).count();
        assert_eq!(responses, 4, "responses to client {number}");
    }
}

/// Requirement: a client is able to detect a truncated response. An HTTP/1.0 client without a content length
/// takes the end of the connection as the end of the response, so a clean close must not follow a truncated
/// one.
#[test]
fn http_1_0_client_detects_a_truncated_response() {
    let discovery = Discovery::start();
    let complete_chunk =
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n".to_vec(), vec![b'y'; 0x20000]];
    let truncated = [complete_chunk.concat(), b"\r\n5\r\nno".to_vec()].concat();
    let backend = Backend::start(move |_| BackendAction::WriteAndClose(truncated.clone()));
    let proxy = Proxy::start("http-1-0", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x").replace("HTTP/1.1", "HTTP/1.0"));
    let mut response = Vec::new();
    let closed = client.reader.read_to_end(&mut response);
    let head = String::from_utf8_lossy(&response[..response.len().min(300)]).to_ascii_lowercase();
    let seems_complete = closed.is_ok() && head.contains(" 200 ") && !head.contains("content-length");
    assert!(!seems_complete, "the truncated response seems complete: {} bytes", response.len());
}
