//! Tests of the HTTP proxy over loopback sockets, with failures of backends, clients and discovery.

mod backend_failures;
mod client_disconnects;
mod descriptor_exhaustion;
mod discovery;
mod discovery_agent;
mod discovery_outage;
mod limits;
mod oversized_lists;
mod requests;
mod responses;
mod responses_at_shutdown;
mod retries_after_disconnect;
mod shutdown;
mod startup;
#[path = "../support/mod.rs"]
mod support;

use std::sync::mpsc::{Sender, channel};
use support::*;

/// The initial concurrency limit of a proxy for its only backend, in requests.
const INITIAL_CONCURRENCY_LIMIT: usize = 2;

/// Starts a backend that delays its responses to as many requests as the initial concurrency limit allows,
/// until the returned senders are signalled. Later requests are answered at once.
fn start_blocking_backend() -> (Backend, Vec<Sender<()>>) {
    let (mut receivers, mut senders) = (Vec::new(), Vec::new());
    for _ in 0..INITIAL_CONCURRENCY_LIMIT {
        let (sender, receiver) = channel();
        receivers.push(receiver);
        senders.push(sender);
    }
    let backend = Backend::start(move |_| match receivers.pop() {
        Some(receiver) => BackendAction::WaitForSignalThen(receiver, Box::new(ok_response("first"))),
        None => ok_response("later"),
    });
    (backend, senders)
}

/// Sends requests until the initial concurrency limit of the backend is reached; returns their clients.
fn fill_concurrency_limit(proxy: &Proxy, backend: &Backend) -> Vec<Client> {
    let clients = (0..INITIAL_CONCURRENCY_LIMIT).map(|i| {
        let mut client = proxy.client();
        client.send(&request("charge", &format!("fill-{i}"), "x"));
        backend.next_request();
        client
    });
    clients.collect()
}
