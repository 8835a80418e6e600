//! Clients that disconnect after a first attempt, or while their request is queued: no attempt starts after that.

use crate::client_disconnects::{CONNECT_RETRY_AFTER, DISCONNECT_BOUND, SlowBackend, synchronize};
use crate::support::*;
use crate::{fill, full_backend};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Why a retry would follow the first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstFailure {
    /// A response other than 200.
    Error,
    /// The connection is closed.
    Reset,
    /// The backend rejects the request as unprocessed.
    Unprocessed,
    /// No response within the time of an attempt.
    Late,
}

/// What the client does while the first attempt is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientBehaviour {
    Stays,
    Disconnects,
    /// During a stall it disconnects, and then the first attempt fails.
    DisconnectsDuringStall,
    /// During a stall the first attempt fails, and then the client disconnects.
    DisconnectsAfterFailureDuringStall,
    /// It disconnects from a proxy that has a tenth of a core.
    DisconnectsFromThrottledProxy,
}

/// Microseconds.
const LATENCY_OBJECTIVE_US: u64 = 3_200_000;
/// Longer than a first attempt without a response may take under this objective.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// A process that runs for 10 ms in each 100 ms.
struct ThrottledProcess(std::process::Child);

impl ThrottledProcess {
    fn of(proxy: &Proxy) -> Self {
        let pid = proxy.child.id();
        let round = format!("while kill -STOP {pid} && sleep 0.09 && kill -CONT {pid}; do sleep 0.01; done");
        Self(std::process::Command::new("sh").args(["-c", &round]).spawn().expect("a shell"))
    }
}

impl Drop for ThrottledProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

type SharedReceiver = Arc<Mutex<Option<Receiver<()>>>>;

/// A backend whose first request of the client "leaver" fails once the test signals it; all others are served.
fn start_failing_once(failing: FirstFailure, released: SharedReceiver) -> Backend {
    Backend::start(move |received| {
        let first = || released.lock().expect("a receiver").take();
        let is_leaver = received.header("x-correlation-id") == Some("leaver");
        let Some(released) = is_leaver.then(first).flatten() else {
            return ok("there");
        };
        let failure = match failing {
            FirstFailure::Error => BackendAction::Write(response_bytes("500 Internal Server Error", "", b"")),
            FirstFailure::Reset => BackendAction::WriteAndClose(Vec::new()),
            FirstFailure::Unprocessed => {
                let unprocessed = "X-Unprocessed: 1\r\n";
                BackendAction::Write(response_bytes("503 Service Unavailable", unprocessed, b""))
            }
            FirstFailure::Late => return BackendAction::Hang,
        };
        BackendAction::WaitThen(released, Box::new(failure))
    })
}

/// The ids of the requests that backends have received since the last call.
fn take_ids(backends: &[Backend]) -> Vec<String> {
    let received = backends.iter().flat_map(|backend| backend.requests.try_iter());
    received.filter_map(|received| received.header("x-correlation-id").map(str::to_owned)).collect()
}

/// Lets the first attempt fail and the client disconnect. Returns the client if it stays.
fn run_client_behaviour(
    behaviour: ClientBehaviour,
    proxy: &Proxy,
    mut leaver: Client,
    fail_first_attempt: impl Fn(),
) -> Option<Client> {
    match behaviour {
        ClientBehaviour::Stays => {
            fail_first_attempt();
            assert_eq!(leaver.receive().status(), 200);
            return Some(leaver);
        }
        ClientBehaviour::Disconnects | ClientBehaviour::DisconnectsFromThrottledProxy => {
            drop(leaver);
            thread::sleep(DISCONNECT_BOUND);
            fail_first_attempt();
        }
        ClientBehaviour::DisconnectsDuringStall => {
            proxy.signal("-STOP");
            drop(leaver);
            thread::sleep(DISCONNECT_BOUND);
            fail_first_attempt();
            proxy.signal("-CONT");
        }
        ClientBehaviour::DisconnectsAfterFailureDuringStall => {
            proxy.signal("-STOP");
            fail_first_attempt();
            drop(leaver);
            thread::sleep(DISCONNECT_BOUND);
            proxy.signal("-CONT");
        }
    }
    None
}

/// The number of attempts for a request whose first attempt fails in this way.
fn count_attempts(name: &str, failing: FirstFailure, behaviour: ClientBehaviour) -> usize {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(Some(released)));
    let backends = [0, 1].map(|_| start_failing_once(failing, Arc::clone(&released)));
    let discovery = Discovery::start();
    let mut config = config(name, &discovery);
    config["settings"]["classes"][0]["aimUs"] = LATENCY_OBJECTIVE_US.into();
    let proxy = Proxy::start_with_config(name, &config);
    let members = [0, 1].map(|i| entry(&format!("s-{i}"), backends[i].address, "active", 0));
    discovery.post(true, &members);
    // After these requests latencies have been measured, and each backend has a reusable connection.
    for n in 0..8 {
        assert_eq!(proxy.client().exchange(&request("read", &format!("usual-{n}"), "")).status(), 200);
    }
    take_ids(&backends);
    let throttled =
        (behaviour == ClientBehaviour::DisconnectsFromThrottledProxy).then(|| ThrottledProcess::of(&proxy));
    let mut leaver = proxy.client();
    leaver.send(&request("read", "leaver", ""));
    let mut ids = Vec::new();
    while ids.is_empty() {
        ids = take_ids(&backends);
    }
    let fail_first_attempt = || {
        // A backend that hangs does not wait for the signal.
        let _ = release.send(());
        thread::sleep(if failing == FirstFailure::Late { ATTEMPT_TIMEOUT } else { DISCONNECT_BOUND / 2 });
    };
    let staying = run_client_behaviour(behaviour, &proxy, leaver, fail_first_attempt);
    synchronize(&proxy);
    drop(throttled);
    proxy.signal("-CONT");
    assert_eq!(proxy.client().exchange(&request("read", "stays", "")).status(), 200);
    ids.extend(take_ids(&backends));
    drop(staying);
    ids.iter().filter(|id| *id == "leaver").count()
}

/// No retry follows a disconnect, however the first attempt fails and however late the process detects both. A client that
/// stays shows that a retry would follow.
#[test]
fn no_retry_after_the_client_disconnected() {
    let moments = [
        ClientBehaviour::Stays,
        ClientBehaviour::Disconnects,
        ClientBehaviour::DisconnectsDuringStall,
        ClientBehaviour::DisconnectsAfterFailureDuringStall,
        ClientBehaviour::DisconnectsFromThrottledProxy,
    ];
    let mut wrong = Vec::new();
    for failing in [FirstFailure::Error, FirstFailure::Reset, FirstFailure::Unprocessed, FirstFailure::Late] {
        for behaviour in moments {
            let name = format!("further-{failing:?}-{behaviour:?}");
            let expected = if behaviour == ClientBehaviour::Stays { 2 } else { 1 };
            let attempts = count_attempts(&name, failing, behaviour);
            if attempts != expected {
                wrong.push((failing, behaviour, attempts));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// A connect that is refused late is a failed attempt as well.
#[test]
fn no_retry_after_disconnect_during_a_refused_connect() {
    for behaviour in [
        ClientBehaviour::Stays,
        ClientBehaviour::Disconnects,
        ClientBehaviour::DisconnectsDuringStall,
        ClientBehaviour::DisconnectsAfterFailureDuringStall,
    ] {
        let (discovery, slow_backend) = (Discovery::start(), SlowBackend::start());
        let backend = Backend::start(|_| ok("there"));
        let name = format!("refused-{behaviour:?}");
        let at_slow = entry("s-1", slow_backend.address, "active", 0);
        let proxy = Proxy::start(&name, &discovery, std::slice::from_ref(&at_slow));
        let mut leaver = proxy.client();
        leaver.send(&request("charge", "leaver", "x"));
        synchronize(&proxy);
        discovery.post(true, &[at_slow, entry("s-2", backend.address, "active", 0)]);
        let refuse_connect = |slow_backend: SlowBackend| {
            drop(slow_backend);
            // The kernel retries, and finds no listener.
            thread::sleep(CONNECT_RETRY_AFTER);
        };
        match behaviour {
            ClientBehaviour::Stays => {
                refuse_connect(slow_backend);
                assert_eq!(leaver.receive().body, b"there");
            }
            ClientBehaviour::DisconnectsDuringStall => {
                proxy.signal("-STOP");
                drop(leaver);
                refuse_connect(slow_backend);
                proxy.signal("-CONT");
            }
            ClientBehaviour::DisconnectsAfterFailureDuringStall => {
                proxy.signal("-STOP");
                refuse_connect(slow_backend);
                drop(leaver);
                thread::sleep(DISCONNECT_BOUND);
                proxy.signal("-CONT");
            }
            _ => {
                drop(leaver);
                thread::sleep(DISCONNECT_BOUND);
                refuse_connect(slow_backend);
            }
        }
        synchronize(&proxy);
        assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
        let ids = backend
            .requests
            .try_iter()
            .map(|received| received.header("x-correlation-id").expect("an id").to_owned());
        let expected: &[&str] =
            if behaviour == ClientBehaviour::Stays { &["leaver", "stays"] } else { &["stays"] };
        assert_eq!(ids.collect::<Vec<_>>(), expected, "{behaviour:?}");
    }
}

/// A backend that reports the id of each request when its head is read, and responds once the sender is dropped.
fn start_head_reporting_backend() -> (SocketAddr, Receiver<String>, std::sync::mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
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

/// The close follows more bytes than the proxy reads ahead, or a part of a streamed body, and then capacity becomes
/// available. The times before the disconnect differ, so that a periodic check would not find them all.
#[test]
fn queued_request_is_dropped_after_disconnect_behind_unread_bytes() {
    let mut broken = Vec::new();
    let far = format!("{}{}", request("charge", "leaver", "x"), "G".repeat(60_000));
    let body = request("charge", "leaver", &"y".repeat(2_000_000))[..120_000].to_owned();
    for (name, text) in [("held-far-ahead", far), ("held-in-a-body", body)] {
        for round in 0..6 {
            let discovery = Discovery::start();
            let (address, heads, release) = start_head_reporting_backend();
            let name = format!("{name}-{round}");
            let mut config = config(&name, &discovery);
            config["limits"]["memory_mb"] = 8.into();
            let proxy = Proxy::start_with_config(&name, &config);
            discovery.post(true, &[entry("s-1", address, "active", 0)]);
            let mut first = [0, 1].map(|n| {
                let mut client = proxy.client();
                client.send(&request("charge", &format!("fill-{n}"), "x"));
                heads.recv_timeout(TEST_TIMEOUT).expect("it has capacity");
                client
            });
            let mut leaver = proxy.client();
            leaver.send(&text);
            synchronize(&proxy);
            thread::sleep(round * Duration::from_millis(40));
            drop(leaver);
            thread::sleep(DISCONNECT_BOUND);
            drop(release);
            for client in &mut first {
                assert_eq!(client.receive().status(), 200);
            }
            assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
            let ids: Vec<_> = heads.try_iter().collect();
            if ids != ["stays"] {
                broken.push((name, ids));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// During a stall capacity becomes available for a queued request, and its client disconnects.
#[test]
fn queued_request_is_dropped_after_disconnect_during_a_stall() {
    for leaves_first in [false, true] {
        let discovery = Discovery::start();
        let (backend, releases) = full_backend();
        let name = format!("held-stood-{leaves_first}");
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", backend.address, "active", 0)]);
        let mut first = fill(&proxy, &backend);
        let mut leaver = proxy.client();
        leaver.send(&request("charge", "leaver", "x"));
        synchronize(&proxy);
        proxy.signal("-STOP");
        let mut leaver = Some(leaver);
        if leaves_first {
            drop(leaver.take());
        }
        for release in &releases {
            release.send(()).expect("the backend waits");
        }
        thread::sleep(DISCONNECT_BOUND);
        drop(leaver);
        thread::sleep(DISCONNECT_BOUND);
        proxy.signal("-CONT");
        for client in &mut first {
            assert_eq!(client.receive().status(), 200);
        }
        assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
        assert_eq!(backend.next_request().header("x-correlation-id"), Some("stays"), "{leaves_first}");
        assert_eq!(backend.take_request_count(), 0, "{leaves_first}");
    }
}
