use super::*;
use std::net::TcpListener;

#[test]
fn reserved_ports_are_not_assigned_as_ephemeral_ports() {
    // So many that a kernel that did not mind would give some of 28,000 ports twice, almost surely.
    let ip = process_address(MAX_PROCESSES - 2);
    let held: Vec<ReservedPort> = (0..400).map(|_| ReservedPort::new(ip).expect("a port")).collect();
    let taken: std::collections::HashSet<u16> = held.iter().map(|held| held.address().port()).collect();
    assert_eq!(taken.len(), held.len());
    for _ in 0..400 {
        let anywhere = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        anywhere.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into()).expect("a port");
        let port = anywhere.local_addr().expect("bound").as_socket().expect("IPv4").port();
        assert!(!taken.contains(&port), "a relay was given {port}");
    }
    // The program can listen there, once.
    let listener = TcpListener::bind(held[0].address()).expect("it is for whoever asks for it");
    assert!(TcpListener::bind(held[0].address()).is_err());
    drop(listener);
    assert!(TcpListener::bind(held[0].address()).is_ok(), "and again, after a restart");
}

#[test]
fn each_process_has_two_unique_addresses() {
    for process in [0, 1, 255, 256, 1_999, MAX_PROCESSES - 1] {
        assert_eq!(process_with(process_address(process)), Some(process));
        assert_eq!(process_behind_relay(relay_address(process)), Some(process));
        assert_eq!(
            (process_with(relay_address(process)), process_behind_relay(process_address(process))),
            (None, None)
        );
        assert!(process_address(process).is_loopback() && relay_address(process).is_loopback());
    }
    assert_eq!(process_with(Ipv4Addr::LOCALHOST), None);
    assert_eq!(process_with(Ipv4Addr::new(10, 32, 0, 1)), None);
}
