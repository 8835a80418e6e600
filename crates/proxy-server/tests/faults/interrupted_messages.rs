//! Incomplete requests, pipelined requests, truncated responses.

use crate::support::*;
use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

/// Operators' terms: a client that stops within a request gets an error or a close within 3 s, also within a large body.
#[test]
fn client_that_stalls_within_a_body_is_ended_within_three_seconds() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start("stops", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    // Within the usual size, beyond it, and too large to be buffered.
    let stalled_clients = [(60_000, 64_000), (300_000, 600_000), (2_000_000, 40_000_000)];
    let stalled_clients: Vec<_> = stalled_clients
        .into_iter()
        .map(|(sent, announced)| {
            let mut client = proxy.client();
            thread::spawn(move || {
                let head = request("charge", &format!("stops-{announced}"), "");
                client.send(&head.replace("Content-Length: 0", &format!("Content-Length: {announced}")));
                client.send(&"z".repeat(sent));
                let stopped = Instant::now();
                client.stream.set_read_timeout(Some(Duration::from_secs(6))).expect("a time-out");
                let mut rest = Vec::new();
                let ended = client.reader.read_to_end(&mut rest);
                (announced, ended.is_ok(), stopped.elapsed())
            })
        })
        .collect();
    let stalled_clients: Vec<_> =
        stalled_clients.into_iter().map(|run_traffic| run_traffic.join().expect("a client")).collect();
    let in_time = |(_, ended, took): &(usize, bool, Duration)| *ended && *took < Duration::from_millis(3_050);
    assert!(stalled_clients.iter().all(in_time), "{stalled_clients:?}");
}

/// Operators' terms: a request that was read has a response. Pipelined requests each have one, also during shutdown.
#[test]
fn pipelined_requests_are_all_answered_during_shutdown() {
    let discovery = Discovery::start();
    let backend =
        Backend::start(|_| BackendAction::DelayThen(Duration::from_millis(30), Box::new(ok("fine"))));
    let proxy = Proxy::start("together", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut reusable = proxy.client();
    assert_eq!(reusable.exchange(HEALTH_REQUEST).status(), 200);
    proxy.terminate();
    while proxy.client().exchange(HEALTH_REQUEST).status() == 200 {}
    let mut clients = [reusable, proxy.client()];
    for (number, client) in clients.iter_mut().enumerate() {
        let all: String =
            (0..4).map(|round| request("charge", &format!("p-{number}-{round}"), "x")).collect();
        client.send(&all);
    }
    for (number, client) in clients.iter_mut().enumerate() {
        let answers = (0..4).map_while(|_| read_message(&mut client.reader)).count();
        assert_eq!(answers, 4, "client {number}");
    }
}

/// Operators' terms: a client has to be able to detect a truncated response. An HTTP/1.0 client goes by the end of the
/// connection.
#[test]
fn http_1_0_client_detects_a_truncated_response() {
    let discovery = Discovery::start();
    let half =
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n".to_vec(), vec![b'y'; 0x20000]];
    let half = [half.concat(), b"\r\n5\r\nno".to_vec()].concat();
    let backend = Backend::start(move |_| BackendAction::WriteAndClose(half.clone()));
    let proxy = Proxy::start("old-form", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x").replace("HTTP/1.1", "HTTP/1.0"));
    let mut answer = Vec::new();
    let ended = client.reader.read_to_end(&mut answer);
    let head = String::from_utf8_lossy(&answer[..answer.len().min(300)]).to_ascii_lowercase();
    let is_complete = ended.is_ok() && head.contains(" 200 ") && !head.contains("content-length");
    assert!(!is_complete, "it looks complete: {} bytes", answer.len());
}
