//! Graceful shutdown: requests in flight, requests that arrive during it, and concurrent signals.

use crate::support::*;
use std::io::{ErrorKind, Read};
use std::sync::mpsc::channel;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The platform kills the process this long after the longest response deadline, of which it waits for at
/// most [`MAX_WAIT`]. Both count from the stop signal.
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_WAIT: Duration = Duration::from_secs(3);

#[test]
fn sigterm_completes_requests_in_flight_and_accepts_new_connections() {
    let discovery = Discovery::start();
    let (release, released) = channel();
    let mut released = Some(released);
    let backend = Backend::start(move |received| match received.header("x-correlation-id") {
        Some("1") => BackendAction::WaitForSignalThen(
            released.take().expect("only one request with this id"),
            Box::new(ok_response("taken before")),
        ),
        _ => ok_response("still comes"),
    });
    let members = [backend_entry("s-1", backend.address, "active", 0)];
    let mut proxy = Proxy::start("sigterm", &discovery, &members);
    let (mut idle_client, mut client_in_flight) = (proxy.client(), proxy.client());
    assert_eq!(idle_client.exchange(HEALTH_REQUEST).status(), 200);
    client_in_flight.send(&request("read", "1", ""));
    backend.next_request();
    proxy.terminate();
    // A failing /up shows that the signal has been processed; connections are still accepted.
    while proxy.client().exchange(HEALTH_REQUEST).status() == 200 {}
    let late_response = proxy.client().exchange(HEALTH_REQUEST);
    assert_eq!(late_response.header("connection"), Some("close"));
    assert!(idle_client.is_closed_cleanly(), "an idle connection must be closed without a reset");
    release.send(()).expect("signal the backend");
    let response = client_in_flight.receive();
    assert_eq!((response.status(), response.body.as_slice()), (200, b"taken before".as_slice()));
    assert_eq!(response.header("connection"), Some("close"));
    assert!(client_in_flight.is_closed_cleanly());
    drop((idle_client, client_in_flight));
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
}

#[test]
fn restarted_proxy_reuses_its_address() {
    let discovery = Discovery::start();
    // An address that no other test uses, so that the port stays free between the two processes.
    let mut first_config = proxy_config("first-life", &discovery);
    first_config["listen"] = "127.77.0.1:0".into();
    let mut proxy = Proxy::start_with_config("first-life", &first_config);
    let address = proxy.address;
    let mut client = proxy.client();
    assert_eq!(client.exchange(HEALTH_REQUEST).status(), 503);
    proxy.terminate();
    // The proxy closes the connection first, so its side stays in TIME_WAIT.
    assert!(client.is_closed_cleanly());
    drop(client);
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
    let mut config = proxy_config("second-life", &discovery);
    config["listen"] = address.to_string().into();
    let restarted = Proxy::start_with_config("second-life", &config);
    assert_eq!(restarted.address, address);
    assert_eq!(restarted.client().exchange(HEALTH_REQUEST).status(), 503);
}

/// The status of the response, or an error if the connection ended before its end.
fn final_status(client: &mut Client) -> Result<u16, &'static str> {
    read_message(&mut client.reader).map(|received| received.status()).ok_or("no complete response")
}

/// The backend never responds, and thirteen requests arrive in the first 720 ms after the stop signal, on new
/// and on reused connections. Later requests have less time, but each gets a response, and the process exits
/// before the platform kills it.
#[test]
fn requests_during_shutdown_get_a_response_before_the_kill() {
    for (deadline_ms, kill_time) in
        [(500, Duration::from_millis(1_200)), (1_000, Duration::from_millis(1_700))]
    {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| BackendAction::Hang);
        let name = format!("late-{deadline_ms}");
        let mut proxy =
            Proxy::start_with_config(&name, &config_with_deadline(&name, &discovery, deadline_ms));
        discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
        let mut clients: Vec<_> = (0..5).map(|_| proxy.client()).collect();
        for client in &mut clients {
            assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200);
        }
        let signalled_at = Instant::now();
        proxy.terminate();
        let reused_count = clients.len();
        for step in 0..13 {
            // Requests arrive 60 ms apart.
            sleep(
                (signalled_at + Duration::from_millis(60 * step)).saturating_duration_since(Instant::now()),
            );
            let class = ["read", "submit", "charge"][step as usize % 3];
            let request_text =
                request(class, &format!("{deadline_ms}-{step}"), if class == "read" { "" } else { "x" });
            let mut client = match clients.get_mut(step as usize / 2) {
                Some(client) if step % 2 == 1 && (step as usize / 2) < reused_count => Client {
                    stream: client.stream.try_clone().expect("clone the stream"),
                    reader: std::io::BufReader::new(client.stream.try_clone().expect("clone the stream")),
                },
                _ => proxy.client(),
            };
            client.send(&request_text);
            clients.push(client);
        }
        let statuses: Vec<_> = clients[reused_count..].iter_mut().map(final_status).collect();
        assert!(statuses.iter().all(Result::is_ok), "deadline {deadline_ms} ms: {statuses:?}");
        drop(clients);
        assert_eq!(proxy.wait_for_exit().code(), Some(0));
        let exit_time = signalled_at.elapsed();
        assert!(exit_time < kill_time, "deadline {deadline_ms} ms: the process exited after {exit_time:?}");
    }
}

/// The platform kills the process after [`MAX_WAIT`] and [`KILL_DELAY`], even if clients wait for longer.
#[test]
fn deadline_beyond_the_shutdown_limit_still_gets_a_response() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| BackendAction::Hang);
    let mut proxy = Proxy::start("long", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    backend.next_request();
    let signalled_at = Instant::now();
    proxy.terminate();
    assert_eq!(final_status(&mut client), Ok(502));
    drop(client);
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
    let exit_time = signalled_at.elapsed();
    assert!(exit_time < MAX_WAIT + KILL_DELAY, "the process exited after {exit_time:?}");
}

/// A client connects after the stop signal and delays its first request, while a request in flight of another
/// client keeps the process running.
#[test]
fn new_connection_may_send_its_first_request_during_shutdown() {
    let discovery = Discovery::start();
    let (release, released) = channel();
    let mut released = Some(released);
    let backend = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitForSignalThen(released, Box::new(ok_response("held"))),
        None => ok_response("late"),
    });
    let mut proxy =
        Proxy::start("first-word", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let (mut idle_client, mut client_in_flight) = (proxy.client(), proxy.client());
    assert_eq!(idle_client.exchange(HEALTH_REQUEST).status(), 200);
    client_in_flight.send(&request("charge", "held", "x"));
    backend.next_request();
    proxy.terminate();
    assert!(idle_client.is_closed_cleanly(), "an idle connection must be closed at once");
    let mut late_client = proxy.client();
    late_client.stream.set_read_timeout(Some(Duration::from_millis(150))).expect("set the read timeout");
    let read_error = late_client.reader.read(&mut [0]).expect_err("no close before the first request");
    assert!(matches!(read_error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{read_error}");
    late_client.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    assert_eq!(late_client.exchange(&request("read", "late", "")).body, b"late");
    release.send(()).expect("signal the backend");
    assert_eq!(client_in_flight.receive().body, b"held");
    drop((idle_client, client_in_flight, late_client));
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
}

/// More clients connect than the connection limit allows, and no request gets a response from the backend.
/// Connections that are in the accept queue when the last open connection ends must not be reset by the exit.
#[test]
fn serves_connections_in_the_accept_queue_before_exit() {
    for round in 0..5 {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| BackendAction::Hang);
        let name = format!("queue-{round}");
        let mut config = config_with_deadline(&name, &discovery, 500);
        config["limits"]["sockets"] = 48.into();
        let mut proxy = Proxy::start_with_config(&name, &config);
        discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
        let clients = (0..90).map(|id| {
            let mut client = proxy.client();
            client.send(&request("read", &id.to_string(), ""));
            // Each client closes its connection after its response.
            std::thread::spawn(move || final_status(&mut client))
        });
        let clients: Vec<_> = clients.collect();
        proxy.terminate();
        let statuses: Vec<_> =
            clients.into_iter().map(|client| client.join().expect("join the client thread")).collect();
        let clients_without_response = statuses.iter().filter(|status| status.is_err()).count();
        assert_eq!(clients_without_response, 0, "round {round}: {statuses:?}");
        assert_eq!(proxy.wait_for_exit().code(), Some(0));
    }
}

/// Two signals arrive together, pending for a stopped process, or one after another.
#[test]
fn concurrent_signals_end_the_process_once_with_exit_code_0() {
    for (round, signals) in
        [["-TERM", "-TERM"], ["-TERM", "-HUP"], ["-HUP", "-TERM"], ["-HUP", "-HUP"]].into_iter().enumerate()
    {
        for arrive_together in [false, true] {
            let discovery = Discovery::start();
            let (release, released) = channel();
            let mut released = Some(released);
            let backend = Backend::start(move |_| {
                BackendAction::WaitForSignalThen(
                    released.take().expect("only one request"),
                    Box::new(ok_response("held")),
                )
            });
            let name = format!("signals-{round}-{arrive_together}");
            let mut proxy =
                Proxy::start(&name, &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
            let mut client_in_flight = proxy.client();
            client_in_flight.send(&request("charge", "held", "x"));
            backend.next_request();
            if arrive_together {
                proxy.signal("-STOP");
            }
            for signal in signals {
                proxy.signal(signal);
            }
            if arrive_together {
                proxy.signal("-CONT");
            }
            if !signals.contains(&"-TERM") {
                proxy.wait_for_log("reloaded the configuration");
                proxy.terminate();
            }
            while proxy.client().exchange(HEALTH_REQUEST).status() == 200 {}
            release.send(()).expect("signal the backend");
            assert_eq!(client_in_flight.receive().body, b"held", "{signals:?}");
            drop(client_in_flight);
            assert_eq!(proxy.wait_for_exit().code(), Some(0), "{signals:?}");
        }
    }
}

#[test]
fn shutdown_before_the_first_list_rejects_requests_and_exits() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::start_without_discovery_list("no-list", &discovery);
    let mut client = proxy.client();
    client.send(&request("read", "1", "").replace("15000", "2000"));
    proxy.terminate();
    assert_eq!(final_status(&mut client), Ok(503));
    drop(client);
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
}

/// While the process is stopped, the idle limit of its connections passes and a request arrives on each of
/// them.
#[test]
fn reads_requests_received_during_a_stall_before_closing_idle_connections() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("read"));
    let proxy = Proxy::start("stood", &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut clients: Vec<_> = (0..20).map(|_| proxy.client()).collect();
    for client in &mut clients {
        assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200);
    }
    proxy.signal("-STOP");
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&request("read", &id.to_string(), ""));
    }
    // Longer than the idle limit of 2.5 s.
    sleep(Duration::from_millis(2_600));
    proxy.signal("-CONT");
    let statuses: Vec<_> = clients.iter_mut().map(final_status).collect();
    assert!(statuses.iter().all(|status| matches!(status, Ok(200 | 503))), "{statuses:?}");
}
