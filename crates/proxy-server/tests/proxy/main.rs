//! The proxy's program over loopback sockets: what must hold whatever backends and clients do.

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
#[path = "../support/mod.rs"]
mod support;

use std::sync::mpsc::{Sender, channel};
use support::*;

/// What the module lets out to a lone backend at the start.
const ROOM: usize = 2;

/// Clients whose requests take all the room that the module gives a lone backend at its start, the backend, and
/// the words that let it answer them. Further requests are answered at once.
fn full_backend() -> (Backend, Vec<Sender<()>>) {
    let (mut words, mut releases) = (Vec::new(), Vec::new());
    for _ in 0..ROOM {
        let (release, word) = channel();
        words.push(word);
        releases.push(release);
    }
    let backend = Backend::start(move |_| match words.pop() {
        Some(word) => BackendAction::WaitThen(word, Box::new(ok("first"))),
        None => ok("later"),
    });
    (backend, releases)
}

fn fill(proxy: &Proxy, backend: &Backend) -> Vec<Client> {
    let fill = (0..ROOM).map(|i| {
        let mut client = proxy.client();
        client.send(&request("charge", &format!("fill-{i}"), "x"));
        backend.next_request();
        client
    });
    fill.collect()
}
