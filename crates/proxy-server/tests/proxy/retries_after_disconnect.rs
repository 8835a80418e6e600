//! Clients that leave after their request was tried, or while it is held: no attempt begins for them any more.

use crate::client_disconnects::{BOUND, RETRIED, Slow, settle};
use crate::support::*;
use crate::{fill, full_backend};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Why a further attempt would follow the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failing {
    /// An answer other than 200.
    Error,
    /// The connection breaks under it.
    Reset,
    /// The backend turns it away.
    TurnedAway,
    /// No answer in the time that an attempt has.
    Late,
}

/// What the client does while the first attempt is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    Stays,
    Leaves,
    /// It leaves, and then the first attempt fails, both while the process stands.
    LeavesWhileItStands,
    /// The first attempt fails, and then the client leaves, both while the process stands.
    FailsFirstWhileItStands,
    /// It leaves a process that has a tenth of a core.
    LeavesASlowOne,
}

/// The part of an aim of `AIM_US` after which a first attempt without an answer is given up is well within `GIVEN_UP`.
const AIM_US: u64 = 3_200_000;
const GIVEN_UP: Duration = Duration::from_millis(1_300);

/// A process that runs for 10 ms in each 100 ms.
struct Tenth(std::process::Child);

impl Tenth {
    fn of(proxy: &Proxy) -> Self {
        let pid = proxy.child.id();
        let turn = format!("while kill -STOP {pid} && sleep 0.09 && kill -CONT {pid}; do sleep 0.01; done");
        Self(std::process::Command::new("sh").args(["-c", &turn]).spawn().expect("a shell"))
    }
}

impl Drop for Tenth {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// How many attempts there are for a request whose first one fails so.
fn attempts(name: &str, failing: Failing, then: Then) -> usize {
    let (release, word) = channel();
    let word = Arc::new(Mutex::new(Some(word)));
    let backends = [0, 1].map(|_| {
        let word = Arc::clone(&word);
        Backend::start(move |received| {
            let first = || word.lock().expect("a word").take();
            let Some(word) = (received.header("x-correlation-id") == Some("leaver")).then(first).flatten()
            else {
                return ok("there");
            };
            let fails = match failing {
                Failing::Error => BackendAction::Write(response_bytes("500 Internal Server Error", "", b"")),
                Failing::Reset => BackendAction::WriteAndClose(Vec::new()),
                Failing::TurnedAway => BackendAction::Write(response_bytes(
                    "503 Service Unavailable",
                    "X-Unprocessed: 1\r\n",
                    b"",
                )),
                Failing::Late => return BackendAction::Hang,
            };
            BackendAction::WaitThen(word, Box::new(fails))
        })
    });
    let discovery = Discovery::start();
    let mut config = config(name, &discovery);
    config["settings"]["classes"][0]["aimUs"] = AIM_US.into();
    let proxy = Proxy::start_with_config(name, &config);
    let members = [0, 1].map(|i| entry(&format!("s-{i}"), backends[i].address, "active", 0));
    discovery.post(true, &members);
    let ids = || {
        let received = backends.iter().flat_map(|b| b.requests.try_iter());
        received
            .filter_map(|received| received.header("x-correlation-id").map(str::to_owned))
            .collect::<Vec<_>>()
    };
    // What is usual is known, and a connection to each backend may be used again.
    for n in 0..8 {
        assert_eq!(proxy.client().exchange(&request("read", &format!("usual-{n}"), "")).status(), 200);
    }
    ids();
    let slow = (then == Then::LeavesASlowOne).then(|| Tenth::of(&proxy));
    let mut leaver = proxy.client();
    leaver.send(&request("read", "leaver", ""));
    let mut received = Vec::new();
    while received.is_empty() {
        received = ids();
    }
    let fails = || {
        // A backend whose request was given up does not hear it.
        let _ = release.send(());
        std::thread::sleep(if failing == Failing::Late { GIVEN_UP } else { BOUND / 2 });
    };
    let mut stays = None;
    match then {
        Then::Stays => {
            fails();
            assert_eq!(leaver.receive().status(), 200);
            stays = Some(leaver);
        }
        Then::Leaves | Then::LeavesASlowOne => {
            drop(leaver);
            std::thread::sleep(BOUND);
            fails();
        }
        Then::LeavesWhileItStands => {
            proxy.signal("-STOP");
            drop(leaver);
            std::thread::sleep(BOUND);
            fails();
            proxy.signal("-CONT");
        }
        Then::FailsFirstWhileItStands => {
            proxy.signal("-STOP");
            fails();
            drop(leaver);
            std::thread::sleep(BOUND);
            proxy.signal("-CONT");
        }
    }
    settle(&proxy);
    drop(slow);
    proxy.signal("-CONT");
    assert_eq!(proxy.client().exchange(&request("read", "stays", "")).status(), 200);
    received.extend(ids());
    drop(stays);
    received.iter().filter(|id| *id == "leaver").count()
}

/// No further attempt follows once the client has left, whatever became of the first one and however late the process
/// hears of both. A client that stays shows that one would.
#[test]
fn no_retry_after_the_client_disconnected() {
    let moments = [
        Then::Stays,
        Then::Leaves,
        Then::LeavesWhileItStands,
        Then::FailsFirstWhileItStands,
        Then::LeavesASlowOne,
    ];
    let mut wrong = Vec::new();
    for failing in [Failing::Error, Failing::Reset, Failing::TurnedAway, Failing::Late] {
        for then in moments {
            let name = format!("further-{failing:?}-{then:?}");
            let wanted = if then == Then::Stays { 2 } else { 1 };
            let had = attempts(&name, failing, then);
            if had != wanted {
                wrong.push((failing, then, had));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// A dial that is refused, late, is a failed attempt too.
#[test]
fn no_retry_after_disconnect_during_a_refused_connect() {
    for then in [Then::Stays, Then::Leaves, Then::LeavesWhileItStands, Then::FailsFirstWhileItStands] {
        let (discovery, slow) = (Discovery::start(), Slow::start());
        let backend = Backend::start(|_| ok("there"));
        let name = format!("refused-{then:?}");
        let at_slow = entry("s-1", slow.address, "active", 0);
        let proxy = Proxy::start(&name, &discovery, std::slice::from_ref(&at_slow));
        let mut leaver = proxy.client();
        leaver.send(&request("charge", "leaver", "x"));
        settle(&proxy);
        discovery.post(true, &[at_slow, entry("s-2", backend.address, "active", 0)]);
        let refuses = |slow: Slow| {
            drop(slow);
            // The kernel tries again, and finds nobody.
            std::thread::sleep(RETRIED);
        };
        match then {
            Then::Stays => {
                refuses(slow);
                assert_eq!(leaver.receive().body, b"there");
            }
            Then::LeavesWhileItStands => {
                proxy.signal("-STOP");
                drop(leaver);
                refuses(slow);
                proxy.signal("-CONT");
            }
            Then::FailsFirstWhileItStands => {
                proxy.signal("-STOP");
                refuses(slow);
                drop(leaver);
                std::thread::sleep(BOUND);
                proxy.signal("-CONT");
            }
            _ => {
                drop(leaver);
                std::thread::sleep(BOUND);
                refuses(slow);
            }
        }
        settle(&proxy);
        assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
        let ids = backend
            .requests
            .try_iter()
            .map(|received| received.header("x-correlation-id").expect("an id").to_owned());
        let wanted: &[&str] = if then == Then::Stays { &["leaver", "stays"] } else { &["stays"] };
        assert_eq!(ids.collect::<Vec<_>>(), wanted, "{then:?}");
    }
}

/// A backend that tells of each request once its head has come, and answers when the word has been dropped.
fn telling_heads() -> (SocketAddr, Receiver<String>, std::sync::mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let ((tell, heads), (release, word)) = (channel(), channel::<()>());
    let word = Arc::new(Mutex::new(word));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), tell, word) = (stream, tell.clone(), Arc::clone(&word)) else { return };
            std::thread::spawn(move || -> Option<()> {
                let mut reader = BufReader::new(stream.try_clone().ok()?);
                loop {
                    let mut head = String::new();
                    while !head.ends_with("\r\n\r\n") {
                        reader.read_line(&mut head).ok().filter(|&read| read > 0)?;
                    }
                    let head = HttpMessage::from_head(head);
                    tell.send(head.header("x-correlation-id")?.to_owned()).ok()?;
                    let length = head.header("content-length")?.parse().ok()?;
                    reader.read_exact(&mut vec![0; length]).ok()?;
                    let _ = word.lock().ok()?.recv_timeout(TEST_TIMEOUT);
                    write_bytes(&stream, &response_bytes("200 OK", "", b"there"));
                }
            });
        }
    });
    (address, heads, release)
}

/// Its close stands behind more than is read ahead, or behind a part of a body that is not kept, and then there is room for
/// it. The spans between its coming and its leaving differ, so that no look at the clock's beat finds them all.
#[test]
fn queued_request_is_dropped_after_disconnect_behind_unread_bytes() {
    let mut broken = Vec::new();
    let far = format!("{}{}", request("charge", "leaver", "x"), "G".repeat(60_000));
    let body = request("charge", "leaver", &"y".repeat(2_000_000))[..120_000].to_owned();
    for (name, text) in [("held-far-ahead", far), ("held-in-a-body", body)] {
        for turn in 0..6 {
            let discovery = Discovery::start();
            let (address, heads, release) = telling_heads();
            let name = format!("{name}-{turn}");
            let mut config = config(&name, &discovery);
            config["limits"]["memory_mb"] = 8.into();
            let proxy = Proxy::start_with_config(&name, &config);
            discovery.post(true, &[entry("s-1", address, "active", 0)]);
            let mut first = [0, 1].map(|n| {
                let mut client = proxy.client();
                client.send(&request("charge", &format!("fill-{n}"), "x"));
                heads.recv_timeout(TEST_TIMEOUT).expect("it has room");
                client
            });
            let mut leaver = proxy.client();
            leaver.send(&text);
            settle(&proxy);
            std::thread::sleep(turn * Duration::from_millis(40));
            drop(leaver);
            std::thread::sleep(BOUND);
            drop(release);
            first.iter_mut().for_each(|client| assert_eq!(client.receive().status(), 200));
            assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
            let ids: Vec<_> = heads.try_iter().collect();
            if ids != ["stays"] {
                broken.push((name, ids));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// The room that a held request waited for came, and its client left, both while the process stood.
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
        settle(&proxy);
        proxy.signal("-STOP");
        let mut leaver = Some(leaver);
        if leaves_first {
            drop(leaver.take());
        }
        releases.iter().for_each(|release| release.send(()).expect("the backend waits"));
        std::thread::sleep(BOUND);
        drop(leaver);
        std::thread::sleep(BOUND);
        proxy.signal("-CONT");
        first.iter_mut().for_each(|client| assert_eq!(client.receive().status(), 200));
        assert_eq!(proxy.client().exchange(&request("charge", "stays", "x")).status(), 200);
        assert_eq!(backend.next_request().header("x-correlation-id"), Some("stays"), "{leaves_first}");
        assert_eq!(backend.take_request_count(), 0, "{leaves_first}");
    }
}
