//! Operation of the proxy over loopback sockets: the console, exclusions of backends, reloads, process
//! replacement, and exhausted resources.

mod console;
mod reload;
mod replacement;
mod resources;
#[path = "../support/mod.rs"]
mod support;

use serde_json::Value;
use std::net::SocketAddr;
use std::thread;
use support::{Backend, Client, backend_entry, ok_response, request, send_command};

/// Sends a command until its response has this prefix; the process may not have received its list yet.
fn wait_for_response(console: SocketAddr, line: &str, prefix: &str) {
    while !send_command(console, line).starts_with(prefix) {
        thread::yield_now();
    }
}

/// Starts two backends that respond with their names.
fn start_backends() -> (Backend, Backend) {
    (Backend::start(|_| ok_response("a")), Backend::start(|_| ok_response("b")))
}

/// The entries of two backends in discovery's list.
fn list_entries(a: &Backend, b: &Backend) -> [Value; 2] {
    [backend_entry("s-a", a.address, "active", 0), backend_entry("s-b", b.address, "active", 0)]
}

/// Sends requests on one connection; returns the names of the backends that served them, one letter each.
fn serving_backends(client: &mut Client, name: &str, count: usize) -> String {
    let responses = (0..count).map(|n| client.exchange(&request("read", &format!("{name}-{n}"), "")));
    responses.map(|response| String::from_utf8(response.body).expect("the body is UTF-8")).collect()
}
