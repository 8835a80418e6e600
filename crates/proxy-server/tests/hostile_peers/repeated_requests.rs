//! Requests whose id or key comes again.

use crate::support::{Client, Discovery, Proxy, create_empty_folder};
use crate::{entries, request_with_time, start_backend, start_proxy, write_ok};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

const TIME_LEFT_MS: u64 = 3_000;
/// How long a backend works on a request.
const WORK: Duration = Duration::from_millis(600);

/// When the client of the first request closes its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Never,
    Orderly,
    Reset,
}

/// A backend that records the key, or without one the id, of each request.
fn start_recorder() -> (SocketAddr, Receiver<String>) {
    let (sender, executed) = channel();
    let address = start_backend(move |request, stream| {
        let name = request.header("idempotency-key").or_else(|| request.header("x-correlation-id"));
        let _ = sender.send(name.unwrap_or_default().to_owned());
        thread::sleep(WORK);
        write_ok(stream, b"fine")
    });
    (address, executed)
}

/// Sends the first request, waits until a backend has it, and closes its connection as told. Returns the
/// index of that backend as well.
fn send_first(
    proxy: SocketAddr,
    text: &str,
    backends: &[Receiver<String>],
    departure: Departure,
) -> (Client, usize) {
    let mut client = Client::connect(proxy);
    client.send(text);
    let has_request = |backend: &Receiver<String>| backend.recv_timeout(Duration::from_millis(20)).is_ok();
    let first_backend = loop {
        if let Some(index) = backends.iter().position(has_request) {
            break index;
        }
    };
    match departure {
        Departure::Never => {}
        Departure::Orderly => client.stream.shutdown(std::net::Shutdown::Both).expect("close"),
        Departure::Reset => {
            let socket = socket2::SockRef::from(&client.stream);
            socket.set_linger(Some(Duration::ZERO)).expect("set SO_LINGER");
            client.stream.shutdown(std::net::Shutdown::Both).expect("close");
        }
    }
    (client, first_backend)
}

/// The number of requests that backends got which would execute them again: the backends of the first one's
/// cell drop a request with the same key.
fn count_repeated(class: &str, backends: &[Receiver<String>], first_backend: usize) -> usize {
    let counts = backends.iter().map(|backend| backend.try_iter().count()).enumerate();
    counts.filter(|&(index, _)| class == "charge" || index != first_backend).map(|(_, count)| count).sum()
}

#[test]
fn id_or_key_that_may_have_been_executed_is_not_executed_in_another_cell() {
    for (class, second_id) in [("charge", "first"), ("submit", "first"), ("submit", "second")] {
        for departure in [Departure::Never, Departure::Orderly, Departure::Reset] {
            for wait in [Duration::ZERO, Duration::from_millis(100), WORK + Duration::from_millis(300)] {
                let discovery = Discovery::start();
                let (addresses, backends): (Vec<_>, Vec<_>) = (0..3).map(|_| start_recorder()).unzip();
                let proxy = start_proxy("again", &discovery, &addresses);
                let text = request_with_time(class, "first", "", TIME_LEFT_MS);
                let (first, first_backend) = send_first(proxy.address, &text, &backends, departure);
                thread::sleep(wait);
                let second =
                    text.replace("X-Correlation-Id: first", &format!("X-Correlation-Id: {second_id}"));
                let status = Client::connect(proxy.address).exchange(&second).status();
                let again = count_repeated(class, &backends, first_backend);
                let case = format!("{class}, id {second_id}, {departure:?}, after {wait:?}: {status}");
                assert_eq!(again, 0, "{case}: executed again");
                drop(first);
            }
        }
    }
}

/// The same for requests with bodies that are buffered or passed on, with a length and chunked.
#[test]
fn large_request_that_may_have_been_executed_is_not_executed_in_another_cell() {
    for (class, size) in
        [("charge", 100_000), ("submit", 100_000), ("charge", 3_000_000), ("submit", 3_000_000)]
    {
        for departure in [Departure::Orderly, Departure::Reset] {
            let discovery = Discovery::start();
            let (addresses, backends): (Vec<_>, Vec<_>) = (0..3).map(|_| start_recorder()).unzip();
            let proxy = start_proxy("large-again", &discovery, &addresses);
            let body = "x".repeat(size);
            let with_length = request_with_time(class, "first", &body, TIME_LEFT_MS);
            let chunked = with_length
                .replace(&format!("Content-Length: {size}"), "Transfer-Encoding: chunked")
                .replace(&body, &format!("{size:x}\r\n{body}\r\n0\r\n\r\n"));
            for (n, text) in [with_length, chunked].into_iter().enumerate() {
                let text = text.replace(": first", &format!(": first-{n}"));
                let (first, first_backend) = send_first(proxy.address, &text, &backends, departure);
                let status = Client::connect(proxy.address).exchange(&text).status();
                let again = count_repeated(class, &backends, first_backend);
                assert_eq!(again, 0, "{class}, {size}, {departure:?}, {n}: {status}, executed again");
                drop(first);
            }
        }
    }
}

/// A request that was rejected before any attempt may come again under its id and key.
#[test]
fn id_and_key_of_a_rejected_request_are_free_at_once() {
    let discovery = Discovery::start();
    let (address, executed) = start_recorder();
    let proxy = Proxy::start_with_config("free-again", &crate::least_config("free-again", &discovery));
    discovery.publish_and_wait(true, &[]);
    let text = request_with_time("submit", "first", "", 300);
    assert_eq!(Client::connect(proxy.address).exchange(&text).status(), 503);
    discovery.publish_and_wait(true, &entries(&[address]));
    let text = request_with_time("submit", "first", "", TIME_LEFT_MS);
    assert_eq!(Client::connect(proxy.address).exchange(&text).status(), 200);
    assert_eq!(executed.try_iter().count(), 1);
}

#[test]
fn id_that_a_replaced_process_has_in_flight_is_not_executed_by_its_successor() {
    for (class, size) in [("charge", 0), ("submit", 0), ("charge", 3_000_000), ("submit", 3_000_000)] {
        for departure in [Departure::Orderly, Departure::Reset] {
            let folder = create_empty_folder(&format!("again-{class}-{size}-{departure:?}"));
            let discovery = Discovery::start();
            let (addresses, backends): (Vec<_>, Vec<_>) = (0..3).map(|_| start_recorder()).unzip();
            let config = crate::support::config_with_console(&discovery, None);
            let (old, _) = Proxy::start_with_console(&folder, "old", &config);
            discovery.publish_and_wait(true, &entries(&addresses));
            let text = request_with_time(class, "first", &"x".repeat(size), TIME_LEFT_MS);
            let (first, first_backend) = send_first(old.address, &text, &backends, departure);
            let config = crate::support::config_with_console(&discovery, Some(old.address));
            let (_new, console) = Proxy::start_with_console(&folder, "new", &config);
            while !crate::support::send_command(console, "readyz\n").starts_with("SUCCESS") {}
            thread::sleep(Duration::from_millis(50));
            old.terminate();
            let status = Client::connect(old.address).exchange(&text).status();
            let again = count_repeated(class, &backends, first_backend);
            assert_eq!(again, 0, "{class}, {size}, {departure:?}: {status}, executed again");
            drop(first);
        }
    }
}
