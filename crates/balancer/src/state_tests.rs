//! Places of servers.

use super::*;

fn listed(id: BackendId) -> Server {
    Server { id, listed: true, ..Server::default() }
}

#[test]
fn ever_new_servers_take_the_places_of_those_that_are_gone() {
    let mut servers = Servers::default();
    for id in 0..1_000 {
        servers.unlist_all();
        servers.add(id, listed(id));
        servers.forget_gone();
    }
    assert!(servers.capacity() <= 4, "{} places", servers.capacity());
    assert_eq!(servers.len(), 1);
}

#[test]
fn a_place_that_a_request_names_is_not_used_again() {
    let mut servers = Servers::default();
    let first = servers.add(1, listed(1));
    servers[first].held = 2;
    servers.unlist_all();
    servers.forget_gone();
    servers.let_go(first);
    assert_ne!(servers.add(2, listed(2)), first, "one attempt still names it");
    servers.let_go(first);
    assert_eq!(servers.find(1), None);
    assert_eq!(servers.add(3, listed(3)), first);
}
