//! Exhausted descriptors and a blocked disk.

use crate::support::*;
use crate::{backends, list, served, wait_for_response};
use std::fs;
use std::io::Write;
use std::path::Path;
use std::process::Command;

/// The kernel's limit on descriptors is below the configured one, and idle clients take them all.
#[test]
fn exhausted_descriptors_block_nobody() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let mut proxy = Proxy::start_with_descriptor_limit("few-descriptors", &config("n9", &discovery), 40);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    let mut working = proxy.client();
    assert_eq!(working.exchange(&request("read", "before", "")).status(), 200);
    let good = request("read", "half", "");
    let idle_clients: Vec<_> = (0..120)
        .map(|n| {
            let mut client = proxy.client();
            if n % 3 == 0 {
                // The proxy may have closed the connection already.
                let _ = client.stream.write_all(&good.as_bytes()[..40]);
            }
            client
        })
        .collect();
    for n in 0..20 {
        let got = proxy.client().exchange(&request("read", &format!("within-{n}"), ""));
        assert_eq!(got.status(), 200, "{}", got.head);
    }
    drop(idle_clients);
    assert_eq!(proxy.client().exchange(&request("read", "after", "")).status(), 200);
    proxy.terminate();
    assert!(proxy.remaining_log().contains("accept: "), "the shortage was there");
    assert!(proxy.wait().success());
}

/// Makes writes to a file block, like a disk that does not respond: opening a FIFO waits for a reader.
fn block_writes_to(folder: &Path, file: &str) {
    let made = Command::new("mkfifo").arg(folder.join(file)).status();
    assert!(made.expect("mkfifo runs").success());
}

/// The number of threads of a process that wait in `openat`, the call that such a file blocks.
fn threads_in_openat(process: u32) -> usize {
    let call = |task: fs::DirEntry| fs::read_to_string(task.path().join("syscall")).unwrap_or_default();
    let tasks = fs::read_dir(format!("/proc/{process}/task")).expect("it runs").flatten();
    tasks.map(call).filter(|call| call.starts_with(OPENAT_SYSCALL)).count()
}

/// The number of the system call `openat`, as `/proc` shows it.
#[cfg(target_arch = "x86_64")]
const OPENAT_SYSCALL: &str = "257 ";
#[cfg(not(target_arch = "x86_64"))]
const OPENAT_SYSCALL: &str = "56 ";

#[test]
fn blocked_disk_delays_neither_requests_nor_shutdown() {
    let folder = empty_folder("disk");
    let discovery = Discovery::start();
    let (a, b) = backends();
    let (mut proxy, console) =
        Proxy::start_with_console(&folder, "disk", &config_with_console(&discovery, None));
    block_writes_to(&folder, &format!("haventrack-n7.learnt.new-{}", proxy.child.id()));
    block_writes_to(&folder, "haventrack-n7.bans.new");
    discovery.post(true, &list(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let mut client = proxy.client();
    // Learned limits are persisted each second.
    let mut exchanged = 0;
    while threads_in_openat(proxy.child.id()) < 1 {
        exchanged += 1;
        served(&mut client, &format!("before-{exchanged}"), 1);
    }
    assert_eq!(served(&mut client, "kept", 20).len(), 20);
    let answer = send_command(console, "exclude s-a\n");
    // The exclusion is in force after 1 s, whatever the state of the disk.
    assert!(
        answer.starts_with("SUCCESS s-a is out; 1 backends serve; not kept yet")
            && answer.contains("was not written"),
        "{answer}"
    );
    assert_eq!(threads_in_openat(proxy.child.id()), 2, "both threads wait");
    let repeated = send_command(console, "exclude s-a\n");
    assert!(
        repeated.starts_with("SUCCESS s-a was already out") && repeated.contains("not kept yet"),
        "{repeated}"
    );
    assert!(send_command(console, "readyz\n").starts_with("SUCCESS"));
    assert_eq!(served(&mut client, "banned", 20), "b".repeat(20));
    assert!(!folder.join("haventrack-n7.bans.json").exists(), "it is not persisted");
    drop(client);
    proxy.terminate();
    assert!(proxy.wait().success());
}
