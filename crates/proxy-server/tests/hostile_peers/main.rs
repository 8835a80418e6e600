//! Clients and backends that are slow, unsound or gone, in front of a proxy with the least memory and with
//! 1,024 descriptors.

#[path = "../support/mod.rs"]
mod support;

mod blocked_uploads;
mod late_responses;
mod memory;
mod repeated_requests;
mod request_forms;
mod request_grammar;
mod responses_in_lumps;
mod stalled_clients;

use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::{fs, thread};
use support::{Discovery, HttpMessage, Proxy, backend_entry, proxy_config, read_message};

/// The least memory limit of a proxy.
const LEAST_MEMORY_MB: u64 = 32;

/// A configuration with the least memory and 1,024 descriptors.
fn least_config(name: &str, discovery: &Discovery) -> Value {
    let mut config = proxy_config(name, discovery);
    config["limits"]["memory_mb"] = LEAST_MEMORY_MB.into();
    config
}

/// Starts a proxy with the least memory; backend `n` is the only one of cell `n`.
fn start_proxy(name: &str, discovery: &Discovery, backends: &[SocketAddr]) -> Proxy {
    let proxy = Proxy::start_with_config(name, &least_config(name, discovery));
    discovery.publish_and_wait(true, &entries(backends));
    proxy
}

/// List entries of these backends, each in a cell of its own.
fn entries(backends: &[SocketAddr]) -> Vec<Value> {
    let entry = |(cell, &address): (usize, &SocketAddr)| {
        let mut entry = backend_entry(&format!("s-{cell}"), address, "active", 0);
        entry["cell"] = cell.into();
        entry
    };
    backends.iter().enumerate().map(entry).collect()
}

/// Starts a backend that calls this function for each request; it returns whether the connection stays open.
fn start_backend(
    serve: impl Fn(&HttpMessage, &mut TcpStream) -> bool + Send + Clone + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), serve) = (stream, serve.clone()) else { return };
            let _ = stream.set_nodelay(true);
            thread::spawn(move || {
                let mut reader = std::io::BufReader::new(stream.try_clone().expect("clone the stream"));
                while read_message(&mut reader).is_some_and(|request| serve(&request, &mut stream)) {}
            });
        }
    });
    address
}

/// Writes a 200 response with this body and its length.
fn write_ok(stream: &mut TcpStream, body: &[u8]) -> bool {
    stream.write_all(&support::response_bytes("200 OK", "", body)).is_ok()
}

/// The peak resident memory of a process, in bytes.
fn peak_memory(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("read the process status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a VmHWM line");
    line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") * 1_024
}

/// A request of this class with this time left, in milliseconds.
fn request_with_time(class: &str, id: &str, body: &str, time_left_ms: u64) -> String {
    let request = support::request(class, id, body);
    request.replace("X-Time-Left-Ms: 15000", &format!("X-Time-Left-Ms: {time_left_ms}"))
}
