//! Exhausted descriptors and a blocked disk.

use crate::support::*;
use crate::{backends, list, served, wait_for_response};
use std::fs;
use std::io::Write;
use std::path::Path;
use std::process::Command;

/// The kernel gives fewer descriptors than the configuration promises, and a crowd takes them all.
#[test]
fn exhausted_descriptors_block_nobody() {
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
fn blocked_disk_delays_neither_requests_nor_shutdown() {
    let folder = empty_folder("disk");
    let discovery = Discovery::start();
    let (a, b) = backends();
    let (mut proxy, console) =
        Proxy::start_with_console(&folder, "disk", &config_with_console(&discovery, None));
    stuck_disk(&folder, &format!("haventrack-n7.learnt.new-{}", proxy.child.id()));
    stuck_disk(&folder, "haventrack-n7.bans.new");
    discovery.post(true, &list(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
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
