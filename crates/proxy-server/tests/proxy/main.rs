//! The HTTP proxy over loopback sockets, with backends, clients and discovery that fail in many ways.

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
mod retries_after_disconnect;
mod shutdown;
mod startup;
#[path = "../support/mod.rs"]
mod support;

use std::sync::mpsc::{Sender, channel};
use support::*;

/// The concurrency limit of a single backend at the start.
const INITIAL_CONCURRENCY_LIMIT: usize = 2;

/// A backend that holds as many requests as its initial concurrency limit allows, and the senders that release them. Later
/// requests are answered at once.
fn full_backend() -> (Backend, Vec<Sender<()>>) {
    let (mut receivers, mut senders) = (Vec::new(), Vec::new());
    for _ in 0..INITIAL_CONCURRENCY_LIMIT {
        let (sender, receiver) = channel();
        receivers.push(receiver);
        senders.push(sender);
    }
    let backend = Backend::start(move |_| match receivers.pop() {
        Some(receiver) => BackendAction::WaitThen(receiver, Box::new(ok("first"))),
        None => ok("later"),
    });
    (backend, senders)
}

/// Clients whose requests take the initial concurrency limit of the backend.
fn fill(proxy: &Proxy, backend: &Backend) -> Vec<Client> {
    let fill = (0..INITIAL_CONCURRENCY_LIMIT).map(|i| {
        let mut client = proxy.client();
        client.send(&request("charge", &format!("fill-{i}"), "x"));
        backend.next_request();
        client
    });
    fill.collect()
}
