//! Exhausted descriptors and a blocked disk.

use crate::support::*;
use crate::{list_entries, serving_backends, start_backends, wait_for_response};
use std::fs;
use std::io::Write;
use std::path::Path;
use std::process::Command;

/// Clients are served although idle clients use up all descriptors: the kernel's limit is below the
/// configured one.
#[test]
fn exhausted_descriptors_do_not_block_other_clients() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("fine"));
    let mut proxy =
        Proxy::start_with_descriptor_limit("few-descriptors", &proxy_config("n9", &discovery), 40);
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
    let mut client = proxy.client();
    assert_eq!(client.exchange(&request("read", "before", "")).status(), 200);
    let complete = request("read", "half", "");
    let idle_clients: Vec<_> = (0..120)
        .map(|n| {
            let mut client = proxy.client();
            if n % 3 == 0 {
                // The proxy may have closed the connection already.
                let _ = client.stream.write_all(&complete.as_bytes()[..40]);
            }
            client
        })
        .collect();
    for n in 0..20 {
        let response = proxy.client().exchange(&request("read", &format!("within-{n}"), ""));
        assert_eq!(response.status(), 200, "{}", response.head);
    }
    drop(idle_clients);
    assert_eq!(proxy.client().exchange(&request("read", "after", "")).status(), 200);
    proxy.terminate();
    assert!(
        proxy.remaining_log().contains("accept: "),
        "no accept failed, so the descriptors were not exhausted"
    );
    assert!(proxy.wait_for_exit().success());
}

/// Makes writes to a file block, as on a disk that does not respond: opening a FIFO for writing waits for a
/// reader.
fn block_writes_to(folder: &Path, file: &str) {
    let status = Command::new("mkfifo").arg(folder.join(file)).status();
    assert!(status.expect("mkfifo runs").success());
}

/// The number of threads of a process that are blocked in `openat`.
fn threads_in_openat(process: u32) -> usize {
    let call = |task: fs::DirEntry| fs::read_to_string(task.path().join("syscall")).unwrap_or_default();
    let tasks = fs::read_dir(format!("/proc/{process}/task")).expect("the process runs").flatten();
    tasks.map(call).filter(|call| call.starts_with(OPENAT_SYSCALL)).count()
}

/// The number of the system call `openat`, as in `/proc/PID/task/TID/syscall`.
#[cfg(target_arch = "x86_64")]
const OPENAT_SYSCALL: &str = "257 ";
#[cfg(not(target_arch = "x86_64"))]
const OPENAT_SYSCALL: &str = "56 ";

#[test]
fn blocked_disk_delays_neither_requests_nor_shutdown() {
    let folder = create_empty_folder("disk");
    let discovery = Discovery::start();
    let (a, b) = start_backends();
    let (mut proxy, console) =
        Proxy::start_with_console(&folder, "disk", &config_with_console(&discovery, None));
    block_writes_to(&folder, &format!("haventrack-n7.learnt.new-{}", proxy.child.id()));
    block_writes_to(&folder, "haventrack-n7.bans.new");
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    wait_for_response(console, "readyz\n", "SUCCESS");
    let mut client = proxy.client();
    // Learned limits are persisted each second.
    let mut exchanged = 0;
    while threads_in_openat(proxy.child.id()) < 1 {
        exchanged += 1;
        serving_backends(&mut client, &format!("before-{exchanged}"), 1);
    }
    assert_eq!(serving_backends(&mut client, "blocked", 20).len(), 20);
    let response = send_command(console, "exclude s-a\n");
    // The exclusion is in force after 1 s although it cannot be persisted.
    assert!(
        response.starts_with("SUCCESS s-a is out; 1 backends serve; not kept yet")
            && response.contains("was not written"),
        "{response}"
    );
    assert_eq!(threads_in_openat(proxy.child.id()), 2, "two threads are blocked in writes");
    let repeated = send_command(console, "exclude s-a\n");
    assert!(
        repeated.starts_with("SUCCESS s-a was already out") && repeated.contains("not kept yet"),
        "{repeated}"
    );
    assert!(send_command(console, "readyz\n").starts_with("SUCCESS"));
    assert_eq!(serving_backends(&mut client, "excluded", 20), "b".repeat(20));
    assert!(!folder.join("haventrack-n7.bans.json").exists(), "the exclusion was persisted");
    drop(client);
    proxy.terminate();
    assert!(proxy.wait_for_exit().success());
}
