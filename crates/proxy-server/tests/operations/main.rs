//! Day-to-day service on loopback sockets: the console, bans of backends, the replacement of the process.

#[path = "../support/mod.rs"]
mod support;

use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::{fs, thread};
use support::{
    Backend, Client, Discovery, Proxy, config, config_with_console, empty_folder, entry, ok, request,
    send_command,
};

/// Calls until the answer begins so: the process may not have heard of its list yet.
fn wait_until(console: SocketAddr, line: &str, begins: &str) {
    while !send_command(console, line).starts_with(begins) {
        thread::yield_now();
    }
}

fn backends() -> (Backend, Backend) {
    (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")))
}

fn list(a: &Backend, b: &Backend) -> [Value; 2] {
    [entry("s-a", a.address, "active", 0), entry("s-b", b.address, "active", 0)]
}

/// Who serves so many requests on one connection.
fn served(client: &mut Client, name: &str, count: usize) -> String {
    let answers = (0..count).map(|n| client.exchange(&request("read", &format!("{name}-{n}"), "")));
    answers.map(|answer| String::from_utf8(answer.body).expect("text")).collect()
}

#[test]
fn readiness_is_told_of_this_process() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let (mut proxy, console) =
        Proxy::start_with_console(&empty_folder("ready"), "ready", &config_with_console(&discovery, None));
    assert!(send_command(console, "readyz\n").starts_with("FAILURE no list"));
    discovery.post(true, &list(&a, &b));
    assert!(send_command(console, "readyz\n").starts_with("SUCCESS"));
    // A request that is open keeps the process from ending.
    let (word, wait) = std::sync::mpsc::channel();
    let mut wait = Some(wait);
    let slow = Backend::start(move |_| match wait.take() {
        Some(wait) => support::BackendAction::WaitThen(wait, Box::new(ok("slow"))),
        None => ok("quick"),
    });
    discovery.post(true, &[entry("s-c", slow.address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("read", "open", ""));
    slow.next_request();
    proxy.terminate();
    wait_until(console, "readyz\n", "FAILURE this process was told to end");
    word.send(()).expect("the backend waits");
    assert_eq!(client.receive().body, b"slow");
    drop(client);
    assert!(proxy.wait().success());
}

#[test]
fn a_backend_that_is_out_gets_nothing_until_it_is_called_back() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let (proxy, console) =
        Proxy::start_with_console(&empty_folder("ban"), "ban", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    let mut client = proxy.client();
    assert!(send_command(console, "exclude s-none\n").starts_with("FAILURE no backend is called s-none"));
    assert!(send_command(console, "exclude s-a\n").starts_with("SUCCESS"));
    assert!(send_command(console, "exclude s-a\n").starts_with("SUCCESS"));
    assert_eq!(served(&mut client, "out", 40), "b".repeat(40));
    // Whatever the list says: told as active again, gone, back.
    discovery.post(false, &[entry("s-a", a.address, "active", 0)]);
    assert_eq!(served(&mut client, "told", 20), "b".repeat(20));
    discovery.post(false, &[entry("s-a", a.address, "left", 0)]);
    discovery.post(false, &[entry("s-a", a.address, "active", 77_000)]);
    assert_eq!(served(&mut client, "back", 20), "b".repeat(20));
    // Two calls out need one call back.
    assert!(send_command(console, "include s-a\n").starts_with("SUCCESS s-a may serve"));
    assert!(send_command(console, "exclude s-b\n").starts_with("SUCCESS"));
    // It is taken for cold, so that it may have to be waited for.
    let mut tries = 0..50;
    let again = tries.any(|n| client.exchange(&request("read", &format!("again-{n}"), "")).body == b"a");
    assert!(again, "it serves again");
    assert!(send_command(console, "include s-a\n").starts_with("SUCCESS s-a was not out"));
    assert!(send_command(console, "include s-none\n").starts_with("FAILURE"));
}

#[test]
fn a_ban_outlives_the_process_and_binds_both_while_there_are_two() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let folder = empty_folder("outlives");
    let (mut old, old_console) =
        Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    assert!(send_command(old_console, "exclude s-a\n").starts_with("SUCCESS"));
    let mut kept = old.client();
    assert_eq!(served(&mut kept, "kept", 3), "bbb");
    let (new, new_console) =
        Proxy::start_with_console(&folder, "new", &config_with_console(&discovery, Some(old.address)));
    wait_until(new_console, "readyz\n", "SUCCESS");
    let mut fresh = new.client();
    assert_eq!(served(&mut fresh, "fresh", 20), "b".repeat(20), "the ban was there from the start");
    // Said to the new process, it binds the old one as well.
    assert!(send_command(new_console, "include s-a\n").starts_with("SUCCESS s-a may serve"));
    old.wait_for_log("excluded backends now: none");
    assert!(send_command(new_console, "exclude s-b\n").starts_with("SUCCESS"));
    old.wait_for_log("excluded backends now: s-b");
    while b.take_request_count() > 0 {}
    let answer = kept.exchange(&request("read", "kept-last", ""));
    assert!(answer.body != b"b", "{}", answer.head);
    old.terminate();
    drop(kept);
    assert!(old.wait().success());
    assert_eq!(b.take_request_count(), 0);
}

#[test]
fn a_new_process_that_dies_before_it_is_ready_changes_nothing() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let folder = empty_folder("dies");
    let (old, console) = Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    wait_until(console, "readyz\n", "SUCCESS");
    let silent = Discovery::start();
    for n in 0..3 {
        let (new, new_console) =
            Proxy::start_with_console(&folder, "new", &config_with_console(&silent, Some(old.address)));
        assert!(send_command(new_console, "readyz\n").starts_with("FAILURE"));
        for m in 0..20 {
            let answer = old.client().exchange(&request("read", &format!("beside-{n}-{m}"), ""));
            assert_eq!(answer.status(), 200, "{}", answer.head);
        }
        drop(new);
    }
    let mut client = old.client();
    assert_eq!(served(&mut client, "after", 10).len(), 10);
}

/// Clients that never stop, on kept connections and on new ones, see nothing of replacements that follow one another.
#[test]
fn a_replacement_refuses_and_resets_nothing() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let folder = empty_folder("replaced");
    let (mut old, console) = Proxy::start_with_console(&folder, "p0", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    wait_until(console, "readyz\n", "SUCCESS");
    let (address, stop, asked) =
        (old.address, Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let (stop, asked) = (Arc::clone(&stop), Arc::clone(&asked));
            thread::spawn(move || {
                let connect = || Client::connect(address);
                let mut client = connect();
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let answer = client.exchange(&request("read", &format!("load-{number}-{n}"), ""));
                    assert_eq!(answer.status(), 200, "{}", answer.head);
                    asked.fetch_add(1, Ordering::Relaxed);
                    // Half of them come anew each time; the others go when they are told to.
                    if number % 2 == 0 || answer.header("connection") == Some("close") {
                        client = connect();
                    }
                }
            })
        })
        .collect();
    let go_on = |more: usize| {
        let until = asked.load(Ordering::Relaxed) + more;
        while asked.load(Ordering::Relaxed) < until && clients.iter().all(|c| !c.is_finished()) {
            thread::yield_now();
        }
    };
    for name in ["p1", "p2"] {
        go_on(200);
        let (new, console) =
            Proxy::start_with_console(&folder, name, &config_with_console(&discovery, Some(address)));
        wait_until(console, "readyz\n", "SUCCESS");
        old.terminate();
        go_on(200);
        assert!(old.wait().success());
        old = new;
    }
    go_on(200);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client that saw nothing"));
}

/// What was learnt goes over; what can't be read means a plain start.
#[test]
fn a_new_process_goes_on_from_what_the_old_one_has_learnt() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let folder = empty_folder("learnt");
    let (old, console) = Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    wait_until(console, "readyz\n", "SUCCESS");
    let file = folder.join("haventrack-n7.learnt.json");
    while !file.exists() {
        thread::yield_now();
    }
    let successor = |name: &str, words: &str| {
        let config = config_with_console(&discovery, Some(old.address));
        let (mut new, _) = Proxy::start_with_console(&folder, name, &config);
        new.wait_for_log(words)
    };
    successor("reads", "restored learned limits from the snapshot");
    // One of another proxy has another name, and this one can't be read at all.
    fs::remove_file(&file).expect("the file is there");
    fs::create_dir(&file).expect("a folder in its place");
    assert!(successor("cannot-read", "learned limits were not restored").contains("directory"));
    assert_eq!(old.client().exchange(&request("read", "after", "")).status(), 200);
}

#[test]
fn a_damaged_store_is_told_and_the_process_starts() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let folder = empty_folder("damaged");
    fs::write(folder.join("haventrack-n7.bans.json"), "{\"version\":1,\"bans\":{\"out\":{\"s-a\":1")
        .expect("written");
    let (mut proxy, console) =
        Proxy::start_with_console(&folder, "damaged", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    assert!(send_command(console, "exclude s-b\n").starts_with("SUCCESS"));
    assert!(folder.join("haventrack-n7.bans.damaged").exists());
    let mut client = proxy.client();
    assert_eq!(served(&mut client, "damaged", 10), "a".repeat(10));
    drop(client);
    proxy.terminate();
    assert!(proxy.remaining_log().contains("set aside"));
}

/// A configuration whose classes and attempts are these.
fn with_settings(discovery: &Discovery, classes: &[(&str, &str)], attempts: u16) -> Value {
    let mut config = config("n8", discovery);
    let like = config["settings"]["classes"][1].clone();
    let class = |(name, effect): &(&str, &str)| {
        let mut class = like.clone();
        class["name"] = json!(name);
        class["effect"] = json!(effect);
        class
    };
    config["settings"]["classes"] = classes.iter().map(class).collect();
    config["settings"]["permissions"]["maxAttempts"] = json!(attempts);
    config
}

fn asked(class: &str, id: &str, method: &str, key: bool) -> String {
    let key = if key { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 15000\r\n{key}\
         Content-Length: 0\r\n\r\n"
    )
}

#[test]
fn at_sighup_classes_come_and_go_and_open_requests_keep_their_rules() {
    let discovery = Discovery::start();
    // The first request of all is broken off when the test says so; what comes later is served.
    let (word, wait) = std::sync::mpsc::channel::<()>();
    let wait = Arc::new(std::sync::Mutex::new(Some(wait)));
    let start = || {
        let wait = Arc::clone(&wait);
        Backend::start(move |_| match wait.lock().expect("the word").take() {
            Some(wait) => support::BackendAction::WaitThen(
                wait,
                Box::new(support::BackendAction::WriteAndClose(Vec::new())),
            ),
            None => ok("later"),
        })
    };
    let (a, b) = (start(), start());
    let first = with_settings(&discovery, &[("read", "retryable"), ("lift", "dedup")], 4);
    let mut proxy = Proxy::start_with_config("retune", &first);
    discovery.post(true, &list(&a, &b));
    let mut open = proxy.client();
    open.send(&asked("read", "open", "GET", false));
    while wait.lock().expect("the word").is_some() {
        thread::yield_now();
    }
    // Only one attempt from now on; "lift" becomes unsafe, "view" is new, "read" goes.
    let second = with_settings(&discovery, &[("lift", "fragile"), ("view", "retryable")], 1);
    proxy.reload(&second.to_string());
    proxy.wait_for_log("settings in force: classes lift view; 1 attempts");
    word.send(()).expect("the backend waits");
    let got = open.receive();
    assert!(got.status() == 200 && got.body == b"later", "it came under four attempts: {}", got.head);
    let mut client = proxy.client();
    assert_eq!(client.exchange(&asked("view", "1", "GET", false)).status(), 200);
    assert_eq!(client.exchange(&asked("lift", "2", "POST", false)).status(), 200, "it needs no key any more");
}

#[test]
fn a_broken_file_is_named_and_changes_nothing() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let good = with_settings(&discovery, &[("read", "retryable"), ("lift", "dedup")], 4);
    let mut proxy = Proxy::start_with_config("broken-file", &good.clone());
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    // Each of them would drop "read", if it were taken.
    let next = with_settings(&discovery, &[("view", "retryable"), ("lift", "dedup")], 4);
    let with = |change: &dyn Fn(&mut Value)| {
        let mut file = next.clone();
        change(&mut file);
        file.to_string()
    };
    let whole = next.to_string();
    let remove = |file: &mut Value, key: &str| drop(file.as_object_mut().expect("an object").remove(key));
    let files: Vec<(String, &str)> = vec![
        (String::new(), "EOF"),
        (whole[..whole.len() / 2].to_owned(), "EOF"),
        (whole[..whole.len() - 1].to_owned(), "EOF"),
        ("[]".into(), "invalid"),
        (with(&|f| remove(f, "settings")), "settings"),
        (with(&|f| remove(f, "discovery")), "discovery"),
        (with(&|f| remove(&mut f["settings"], "classes")), "classes"),
        (with(&|f| remove(&mut f["settings"], "permissions")), "permissions"),
        (with(&|f| remove(&mut f["settings"]["permissions"], "probes")), "settings.permissions.probes"),
        (with(&|f| remove(&mut f["settings"]["classes"][0], "deadlineUs")), "deadlineUs"),
        (with(&|f| remove(&mut f["settings"]["classes"][1], "keyTtlUs")), "settings.classes[1].keyTtlUs"),
        (with(&|f| remove(&mut f["settings"]["classes"][1], "group")), "classes[1].group"),
        (with(&|f| f["settings"]["classes"][0]["deadlineUs"] = json!(0)), "classes[0].deadline"),
        (with(&|f| f["settings"]["classes"][0]["deadlineUs"] = json!(-1)), "settings.classes[0].deadlineUs"),
        (with(&|f| f["settings"]["classes"][0]["aimUs"] = json!("soon")), "settings.classes[0].aimUs"),
        (with(&|f| f["settings"]["classes"][0]["effect"] = json!("magic")), "classes[0].effect"),
        (with(&|f| f["settings"]["permissions"]["maxAttempts"] = json!(0)), "max_attempts"),
        (with(&|f| f["settings"]["permissions"]["maxAttempts"] = json!(70_000)), "permissions.maxAttempts"),
        (with(&|f| f["settings"]["classes"][0]["name"] = json!("lift")), "settings.classes[1].name"),
    ];
    let mut client = proxy.client();
    for (n, (file, named)) in files.iter().enumerate() {
        proxy.reload(file);
        let line = proxy.wait_for_log("reload failed, the previous configuration remains in force");
        assert!(line.contains(named), "{named}: {line}");
        assert_eq!(client.exchange(&asked("read", &n.to_string(), "GET", false)).status(), 200, "{named}");
        assert_eq!(client.exchange(&asked("view", &n.to_string(), "GET", false)).status(), 400, "{named}");
        client = proxy.client();
    }
    proxy.reload(&whole);
    proxy.wait_for_log("settings in force: classes lift view; 4 attempts");
    assert_eq!(proxy.client().exchange(&asked("view", "last", "GET", false)).status(), 200);
}

/// A request that may not be sent twice is open in the old process when it is told to end: it ends there, once.
#[test]
fn what_the_old_process_has_taken_ends_there_and_once() {
    let discovery = Discovery::start();
    let (word, wait) = std::sync::mpsc::channel::<()>();
    let mut wait = Some(wait);
    let backend = Backend::start(move |_| match wait.take() {
        Some(wait) => support::BackendAction::WaitThen(wait, Box::new(ok("first"))),
        None => ok("later"),
    });
    let folder = empty_folder("open");
    let (mut old, console) =
        Proxy::start_with_console(&folder, "old", &config_with_console(&discovery, None));
    discovery.post(true, &[entry("s-a", backend.address, "active", 0)]);
    wait_until(console, "readyz\n", "SUCCESS");
    let mut client = old.client();
    client.send(&request("submit", "keyed", "x"));
    assert_eq!(backend.next_request().header("idempotency-key"), Some("keyed"));
    let (new, new_console) =
        Proxy::start_with_console(&folder, "new", &config_with_console(&discovery, Some(old.address)));
    wait_until(new_console, "readyz\n", "SUCCESS");
    old.terminate();
    wait_until(console, "readyz\n", "FAILURE");
    // What comes now is the new one's.
    assert_eq!(new.client().exchange(&request("read", "other", "")).body, b"later");
    word.send(()).expect("the backend waits");
    assert_eq!(client.receive().body, b"first");
    assert!(old.wait().success());
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("other"));
    assert_eq!(backend.take_request_count(), 0, "nothing was sent twice");
}

/// Connections at rest close at the end, but none that has begun to say something.
#[test]
fn a_head_that_has_begun_is_answered_while_the_process_ends() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let (mut proxy, console) =
        Proxy::start_with_console(&empty_folder("half"), "half", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    wait_until(console, "readyz\n", "SUCCESS");
    let (mut resting, mut heading) = (proxy.client(), proxy.client());
    for (client, id) in [(&mut resting, "1"), (&mut heading, "2")] {
        assert_eq!(client.exchange(&request("read", id, "")).status(), 200);
    }
    proxy.terminate();
    wait_until(console, "readyz\n", "FAILURE");
    let whole = request("read", "3", "");
    let (begun, rest) = whole.split_at(30);
    // It begins when the other one rests for so long that it is about to close.
    heading.send(begun);
    assert!(resting.is_closed_cleanly(), "it is at rest");
    heading.send(rest);
    let got = heading.receive();
    assert_eq!((got.status(), got.header("connection")), (200, Some("close")), "{}", got.head);
    assert!(heading.is_closed_cleanly());
    drop((resting, heading));
    assert!(proxy.wait().success());
}

/// The staff is answered within its second while clients keep the process busy.
#[test]
fn the_console_answers_beside_a_full_load() {
    let discovery = Discovery::start();
    let (a, b) = backends();
    let (proxy, console) =
        Proxy::start_with_console(&empty_folder("load"), "load", &config_with_console(&discovery, None));
    discovery.post(true, &list(&a, &b));
    wait_until(console, "readyz\n", "SUCCESS");
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let (stop, address) = (Arc::clone(&stop), proxy.address);
            thread::spawn(move || {
                let mut client = Client::connect(address);
                (0..).take_while(|_| !stop.load(Ordering::Relaxed)).for_each(|n| {
                    client.exchange(&request("read", &format!("busy-{number}-{n}"), ""));
                });
            })
        })
        .collect();
    let slowest = (0..60).map(|n| {
        let began = std::time::Instant::now();
        let line = ["readyz\n", "exclude s-a\n", "include s-a\n"][n % 3];
        assert!(send_command(console, line).starts_with("SUCCESS"), "{line}");
        began.elapsed()
    });
    let slowest = slowest.max();
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    assert!(slowest < Some(std::time::Duration::from_secs(1)), "{slowest:?}");
}

/// The kernel gives fewer descriptors than the configuration promises, and a crowd takes them all.
#[test]
fn a_crowd_that_takes_every_descriptor_keeps_nobody_out() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let mut proxy = Proxy::start_with_descriptor_limit("few-descriptors", &config("n9", &discovery), 40);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    let mut working = proxy.client();
    assert_eq!(working.exchange(&request("read", "before", "")).status(), 200);
    let good = request("read", "half", "");
    let crowd: Vec<_> = (0..120)
        .map(|n| {
            let mut client = proxy.client();
            if n % 3 == 0 {
                // A crowd that is asked to go may be gone already.
                let _ = client.stream.write_all(&good.as_bytes()[..40]);
            }
            client
        })
        .collect();
    for n in 0..20 {
        let got = proxy.client().exchange(&request("read", &format!("within-{n}"), ""));
        assert_eq!(got.status(), 200, "{}", got.head);
    }
    drop(crowd);
    assert_eq!(proxy.client().exchange(&request("read", "after", "")).status(), 200);
    proxy.terminate();
    assert!(proxy.remaining_log().contains("accept: "), "the shortage was there");
    assert!(proxy.wait().success());
}

/// A file that nobody opens to the end: whoever writes it waits, as for a disk that does not answer.
fn stuck_disk(folder: &Path, file: &str) {
    let made = Command::new("mkfifo").arg(folder.join(file)).status();
    assert!(made.expect("mkfifo runs").success());
}

/// Threads of a process that wait in `openat`, the call that such a file holds up.
fn opening(process: u32) -> usize {
    let call = |task: fs::DirEntry| fs::read_to_string(task.path().join("syscall")).unwrap_or_default();
    let tasks = fs::read_dir(format!("/proc/{process}/task")).expect("it runs").flatten();
    tasks.map(call).filter(|call| call.starts_with(OPENAT)).count()
}

/// The number of `openat` as the kernel shows it.
#[cfg(target_arch = "x86_64")]
const OPENAT: &str = "257 ";
#[cfg(not(target_arch = "x86_64"))]
const OPENAT: &str = "56 ";

#[test]
fn a_disk_that_does_not_answer_holds_up_neither_requests_nor_the_end() {
    let folder = empty_folder("disk");
    let discovery = Discovery::start();
    let (a, b) = backends();
    let (mut proxy, console) =
        Proxy::start_with_console(&folder, "disk", &config_with_console(&discovery, None));
    stuck_disk(&folder, &format!("haventrack-n7.learnt.new-{}", proxy.child.id()));
    stuck_disk(&folder, "haventrack-n7.bans.new");
    discovery.post(true, &list(&a, &b));
    wait_until(console, "readyz\n", "SUCCESS");
    let mut client = proxy.client();
    // What was learnt is kept each second.
    let mut asked = 0;
    while opening(proxy.child.id()) < 1 {
        asked += 1;
        served(&mut client, &format!("before-{asked}"), 1);
    }
    assert_eq!(served(&mut client, "kept", 20).len(), 20);
    let answer = send_command(console, "exclude s-a\n");
    // It binds once 1 s has passed, whatever the disk says.
    assert!(
        answer.starts_with("SUCCESS s-a is out; 1 backends serve; not kept yet")
            && answer.contains("was not written"),
        "{answer}"
    );
    assert_eq!(opening(proxy.child.id()), 2, "both threads wait");
    let again = send_command(console, "exclude s-a\n");
    assert!(again.starts_with("SUCCESS s-a was already out") && again.contains("not kept yet"), "{again}");
    assert!(send_command(console, "readyz\n").starts_with("SUCCESS"));
    assert_eq!(served(&mut client, "banned", 20), "b".repeat(20));
    assert!(!folder.join("haventrack-n7.bans.json").exists(), "the disk has not taken it");
    drop(client);
    proxy.terminate();
    assert!(proxy.wait().success());
}
