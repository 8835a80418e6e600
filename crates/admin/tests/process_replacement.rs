//! Tests of instance slots and of the steering of connections.

mod support;

use admin::process_replacement::{InstanceSlot, MAX_PROCESSES, steer_new_connections};
use std::net::TcpListener;
use support::empty_directory;

#[test]
fn only_running_processes_occupy_slots() {
    let directory = empty_directory("slots");
    let first = InstanceSlot::acquire(&directory, "n3").expect("a free slot");
    assert_eq!(first.peer_count(), 0);
    let second = InstanceSlot::acquire(&directory, "n3").expect("a free slot");
    assert_eq!((first.peer_count(), second.peer_count()), (1, 1));
    let others: Vec<_> =
        (2..MAX_PROCESSES).map(|_| InstanceSlot::acquire(&directory, "n3").expect("a free slot")).collect();
    assert!(InstanceSlot::acquire(&directory, "n3").is_err(), "no free slot");
    assert_eq!(InstanceSlot::acquire(&directory, "n4").expect("the slot of another proxy").peer_count(), 0);
    drop((first, others));
    assert_eq!(second.peer_count(), 0, "slots of exited processes are free");
    drop(InstanceSlot::acquire(&directory, "n3").expect("a released slot"));
    assert!(InstanceSlot::acquire(&directory.join("none"), "n3").is_err());
}

/// The kernel assigns new connections to the listener whose index the filter returns, or to any listener if
/// none has it.
#[test]
fn connections_reach_the_steered_listener() {
    let listen = |address| {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_reuse_port(true).expect("shared");
        let address: std::net::SocketAddr = address;
        socket.bind(&address.into()).expect("bound");
        socket.listen(64).expect("listening");
        TcpListener::from(socket)
    };
    let old = listen(([127, 0, 0, 1], 0).into());
    let address = old.local_addr().expect("an address");
    steer_new_connections(&old, 0).expect("the filter is accepted");
    let new = listen(address);
    let accept_all = |listener: &TcpListener| {
        listener.set_nonblocking(true).expect("non-blocking");
        std::iter::from_fn(|| listener.accept().ok()).count()
    };
    let connect =
        || (0..40).map(|_| std::net::TcpStream::connect(address).expect("accepted")).collect::<Vec<_>>();
    let _first = connect();
    assert_eq!((accept_all(&old), accept_all(&new)), (40, 0), "the new process is not ready yet");
    steer_new_connections(&new, 1).expect("the filter is accepted");
    let _second = connect();
    assert_eq!((accept_all(&old), accept_all(&new)), (0, 40), "the old process receives no new connection");
    drop(old);
    let _third = connect();
    assert_eq!(accept_all(&new), 40, "no listener has that index any more");
}
