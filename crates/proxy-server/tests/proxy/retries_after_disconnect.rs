//! Clients that disconnect after a first attempt has started, or while their request is queued: no attempt
//! may start after the disconnect.

use crate::client_disconnects::{CONNECT_RETRY_TIME, DISCONNECT_BOUND, SlowConnectBackend, synchronize};
use crate::support::*;
use crate::{fill_concurrency_limit, start_blocking_backend};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How the first attempt fails, so that a retry would follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstFailure {
    /// The backend responds with status 500.
    Error,
    /// The backend closes the connection without a response.
    Reset,
    /// The backend rejects the request as unprocessed.
    Unprocessed,
    /// The backend does not respond before the attempt times out.
    Late,
}

/// What the client does while the first attempt is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientBehaviour {
    Stays,
    Disconnects,
    /// While the process is stopped it disconnects, and then the first attempt fails.
    DisconnectsDuringStall,
    /// While the process is stopped the first attempt fails, and then the client disconnects.
    DisconnectsAfterFailureDuringStall,
    /// It disconnects from a proxy that runs for a tenth of the time.
    DisconnectsFromThrottledProxy,
}

/// The latency objective of the retryable class, in microseconds.
const LATENCY_OBJECTIVE_US: u64 = 3_200_000;
/// Longer than the timeout of a first attempt under [`LATENCY_OBJECTIVE_US`].
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Makes the proxy run for only 10 ms in each 100 ms, until it is dropped.
struct ThrottledProcess(std::process::Child);

impl ThrottledProcess {
    fn of(proxy: &Proxy) -> Self {
        let pid = proxy.child.id();
        let throttle_loop =
            format!("while kill -STOP {pid} && sleep 0.09 && kill -CONT {pid}; do sleep 0.01; done");
        Self(std::process::Command::new("sh").args(["-c", &throttle_loop]).spawn().expect("start a shell"))
    }
}

impl Drop for ThrottledProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

type SharedReceiver = Arc<Mutex<Option<Receiver<()>>>>;

/// Starts a backend that fails the first request with the id `leaver` when the test signals it. All other
/// requests are served.
fn start_failing_once(first_failure: FirstFailure, released: SharedReceiver) -> Backend {
    Backend::start(move |received| {
        let take_release = || released.lock().expect("lock the receiver").take();
        let is_leaver = received.header("x-correlation-id") == Some("leaver");
        let Some(released) = is_leaver.then(take_release).flatten() else {
            return ok_response("there");
        };
        let failure = match first_failure {
            FirstFailure::Error => BackendAction::Write(response_bytes("500 Internal Server Error", "", b"")),
            FirstFailure::Reset => BackendAction::WriteAndClose(Vec::new()),
            FirstFailure::Unprocessed => {
                let unprocessed = "X-Unprocessed: 1\r\n";
                BackendAction::Write(response_bytes("503 Service Unavailable", unprocessed, b""))
            }
            FirstFailure::Late => return BackendAction::Hang,
        };
        BackendAction::WaitForSignalThen(released, Box::new(failure))
    })
}

/// Takes the ids of the requests that the backends have received since the last call.
fn take_ids(backends: &[Backend]) -> Vec<String> {
    let received = backends.iter().flat_map(|backend| backend.requests.try_iter());
    received.filter_map(|received| received.header("x-correlation-id").map(str::to_owned)).collect()
}

/// Makes the first attempt fail and the client disconnect, as its behaviour requires. Returns the client if
/// it stays connected.
fn run_client_behaviour(
    behaviour: ClientBehaviour,
    proxy: &Proxy,
    mut client: Client,
    fail_first_attempt: impl Fn(),
) -> Option<Client> {
    match behaviour {
        ClientBehaviour::Stays => {
            fail_first_attempt();
            assert_eq!(client.receive().status(), 200);
            return Some(client);
        }
        ClientBehaviour::Disconnects | ClientBehaviour::DisconnectsFromThrottledProxy => {
            drop(client);
            thread::sleep(DISCONNECT_BOUND);
            fail_first_attempt();
        }
        ClientBehaviour::DisconnectsDuringStall => {
            proxy.signal("-STOP");
            drop(client);
            thread::sleep(DISCONNECT_BOUND);
            fail_first_attempt();
            proxy.signal("-CONT");
        }
        ClientBehaviour::DisconnectsAfterFailureDuringStall => {
            proxy.signal("-STOP");
            fail_first_attempt();
            drop(client);
            thread::sleep(DISCONNECT_BOUND);
            proxy.signal("-CONT");
        }
    }
    None
}

/// Returns the number of attempts for a request whose first attempt fails in this way.
fn count_attempts(name: &str, first_failure: FirstFailure, behaviour: ClientBehaviour) -> usize {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(Some(released)));
    let backends = [0, 1].map(|_| start_failing_once(first_failure, Arc::clone(&released)));
    let discovery = Discovery::start();
    let mut config = proxy_config(name, &discovery);
    config["settings"]["classes"][0]["aimUs"] = LATENCY_OBJECTIVE_US.into();
    let proxy = Proxy::start_with_config(name, &config);
    let members = [0, 1].map(|i| backend_entry(&format!("s-{i}"), backends[i].address, "active", 0));
    discovery.publish_and_wait(true, &members);
    // These requests give the proxy measured latencies and a reusable connection to each backend.
    for n in 0..8 {
        assert_eq!(proxy.client().exchange(&request("read", &format!("usual-{n}"), "")).status(), 200);
    }
    take_ids(&backends);
    let throttled_process =
        (behaviour == ClientBehaviour::DisconnectsFromThrottledProxy).then(|| ThrottledProcess::of(&proxy));
    let mut client = proxy.client();
    client.send(&request("read", "leaver", ""));
    let mut ids = Vec::new();
    while ids.is_empty() {
        ids = take_ids(&backends);
    }
    let fail_first_attempt = || {
        // A backend that never responds does not receive the signal.
        let _ = release.send(());
        thread::sleep(if first_failure == FirstFailure::Late {
            ATTEMPT_TIMEOUT
        } else {
            DISCONNECT_BOUND / 2
        });
    };
    let connected_client = run_client_behaviour(behaviour, &proxy, client, fail_first_attempt);
    synchronize(&proxy);
    drop(throttled_process);
    proxy.signal("-CONT");
    assert_eq!(proxy.client().exchange(&request("read", "stays", "")).status(), 200);
    ids.extend(take_ids(&backends));
    drop(connected_client);
    ids.iter().filter(|id| *id == "leaver").count()
}

/// No retry follows a disconnect, however the first attempt fails and however late the process detects both
/// events. The case of a client that stays connected shows that a retry would follow otherwise.
#[test]
fn no_retry_after_the_client_disconnected() {
    let behaviours = [
        ClientBehaviour::Stays,
        ClientBehaviour::Disconnects,
        ClientBehaviour::DisconnectsDuringStall,
        ClientBehaviour::DisconnectsAfterFailureDuringStall,
        ClientBehaviour::DisconnectsFromThrottledProxy,
    ];
    let mut failures = Vec::new();
    for first_failure in
        [FirstFailure::Error, FirstFailure::Reset, FirstFailure::Unprocessed, FirstFailure::Late]
    {
        for behaviour in behaviours {
            let name = format!("further-{first_failure:?}-{behaviour:?}");
            let expected = if behaviour == ClientBehaviour::Stays { 2 } else { 1 };
            let attempts = count_attempts(&name, first_failure, behaviour);
            if attempts != expected {
                failures.push((first_failure, behaviour, attempts));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

/// A connect that is refused late counts as a failed attempt too.
#[test]
fn no_retry_after_disconnect_during_a_refused_connect() {
    for behaviour in [
        ClientBehaviour::Stays,
        ClientBehaviour::Disconnects,
        ClientBehaviour::DisconnectsDuringStall,
        ClientBehaviour::DisconnectsAfterFailureDuringStall,
    ] {
        let (discovery, slow_connect_backend) = (Discovery::start(), SlowConnectBackend::start());
        let backend = Backend::start(|_| ok_response("there"));
        let name = format!("refused-{behaviour:?}");
        let slow_entry = backend_entry("s-1", slow_connect_backend.address, "active", 0);
        let proxy = Proxy::start(&name, &discovery, std::slice::from_ref(&slow_entry));
        let mut client = proxy.client();
        client.send(&request("charge", "leaver", "x"));
        synchronize(&proxy);
        discovery.publish_and_wait(true, &[slow_entry, backend_entry("s-2", backend.address, "active", 0)]);
        let refuse_connect = |slow_connect_backend: SlowConnectBackend| {
            drop(slow_connect_backend);
            // The kernel retries the connect and finds no listener.
            thread::sleep(CONNECT_RETRY_TIME);
        };
        match behaviour {
            ClientBehaviour::Stays => {
                refuse_connect(slow_connect_backend);
                assert_eq!(client.receive().body, b"there");
            }
            ClientBehaviour::DisconnectsDuringStall => {
                proxy.signal("-STOP");
                drop(client);
                refuse_connect(slow_connect_backend);
                proxy.signal("-CONT");
            }
            ClientBehaviour::DisconnectsAfterFailureDuringStall => {
                proxy.signal("-STOP");
                refuse_connect(slow_connect_backend);
                drop(client);
                thread::sleep(DISCONNECT_BOUND);
                proxy.signal("-CONT");
            }
            _ => {
                drop(client);
                thread::sleep(DISCONNECT_BOUND);
                refuse_connect(slow_connect_backend);
            }
        }
        synchronize(&proxy);
        assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
        let ids = backend
            .requests
            .try_iter()
            .map(|received| received.header("x-correlation-id").expect("a correlation id").to_owned());
        let expected: &[&str] =
            if behaviour == ClientBehaviour::Stays { &["leaver", "stays"] } else { &["stays"] };
        assert_eq!(ids.collect::<Vec<_>>(), expected, "{behaviour:?}");
    }
}

/// Starts a backend that reports the id of each request when it has read the head, and responds after the
/// returned sender has been dropped.
fn start_head_reporting_backend() -> (SocketAddr, Receiver<String>, std::sync::mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    let ((sender, heads), (release, released)) = (channel(), channel::<()>());
    let released = Arc::new(Mutex::new(released));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), sender, released) = (stream, sender.clone(), Arc::clone(&released)) else {
                return;
            };
            thread::spawn(move || -> Option<()> {
                let mut reader = BufReader::new(stream.try_clone().ok()?);
                loop {
                    let mut head = String::new();
                    while !head.ends_with("\r\n\r\n") {
                        reader.read_line(&mut head).ok().filter(|&read| read > 0)?;
                    }
                    let head = HttpMessage::from_head(head);
                    sender.send(head.header("x-correlation-id")?.to_owned()).ok()?;
                    let length = head.header("content-length")?.parse().ok()?;
                    reader.read_exact(&mut vec![0; length]).ok()?;
                    let _ = released.lock().ok()?.recv_timeout(TEST_TIMEOUT);
                    write_bytes(&stream, &response_bytes("200 OK", "", b"there"));
                }
            });
        }
    });
    (address, heads, release)
}

/// The close follows more bytes than the proxy reads ahead, or a part of a streamed body, and then capacity
/// becomes available. The times before the disconnect vary, so that a periodic check would miss some of them.
#[test]
fn queued_request_is_dropped_after_disconnect_behind_unread_bytes() {
    let mut failures = Vec::new();
    let beyond_read_ahead = format!("{}{}", request("charge", "leaver", "x"), "G".repeat(60_000));
    let partial_body = request("charge", "leaver", &"y".repeat(2_000_000))[..120_000].to_owned();
    for (name, request_text) in [("held-far-ahead", beyond_read_ahead), ("held-in-a-body", partial_body)] {
        for round in 0..6 {
            let discovery = Discovery::start();
            let (address, heads, release) = start_head_reporting_backend();
            let name = format!("{name}-{round}");
            let mut config = proxy_config(&name, &discovery);
            config["limits"]["memory_mb"] = 8.into();
            let proxy = Proxy::start_with_config(&name, &config);
            discovery.publish_and_wait(true, &[backend_entry("s-1", address, "active", 0)]);
            let mut blocked_clients = [0, 1].map(|n| {
                let mut client = proxy.client();
                client.send(&request("charge", &format!("fill-{n}"), "x"));
                heads.recv_timeout(TEST_TIMEOUT).expect("a request to the backend");
                client
            });
            let mut disconnecting_client = proxy.client();
            disconnecting_client.send(&request_text);
            synchronize(&proxy);
            thread::sleep(round * Duration::from_millis(40));
            drop(disconnecting_client);
            thread::sleep(DISCONNECT_BOUND);
            drop(release);
            for client in &mut blocked_clients {
                assert_eq!(client.receive().status(), 200);
            }
            assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
            let ids: Vec<_> = heads.try_iter().collect();
            if ids != ["stays"] {
                failures.push((name, ids));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

/// While the process is stopped, capacity becomes available for a queued request and its client disconnects.
#[test]
fn queued_request_is_dropped_after_disconnect_during_a_stall() {
    for disconnects_first in [false, true] {
        let discovery = Discovery::start();
        let (backend, release_senders) = start_blocking_backend();
        let name = format!("held-stood-{disconnects_first}");
        let proxy = Proxy::start(&name, &discovery, &[backend_entry("s-1", backend.address, "active", 0)]);
        let mut blocked_clients = fill_concurrency_limit(&proxy, &backend);
        let mut disconnecting_client = proxy.client();
        disconnecting_client.send(&request("charge", "leaver", "x"));
        synchronize(&proxy);
        proxy.signal("-STOP");
        let mut disconnecting_client = Some(disconnecting_client);
        if disconnects_first {
            drop(disconnecting_client.take());
        }
        for release in &release_senders {
            release.send(()).expect("signal the backend");
        }
        thread::sleep(DISCONNECT_BOUND);
        drop(disconnecting_client);
        thread::sleep(DISCONNECT_BOUND);
        proxy.signal("-CONT");
        for client in &mut blocked_clients {
            assert_eq!(client.receive().status(), 200);
        }
        assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
        assert_eq!(backend.next_request().header("x-correlation-id"), Some("stays"), "{disconnects_first}");
        assert_eq!(backend.take_request_count(), 0, "{disconnects_first}");
    }
}
