use super::*;
use std::net::TcpListener;

#[test]
fn reserved_ports_are_not_assigned_as_ephemeral_ports() {
    // The number of ports makes a failure visible: a kernel that ignored reservations would almost surely
    // assign some of its 28,000 ephemeral ports twice.
    let ip = process_address(MAX_PROCESSES - 2);
    let reserved: Vec<ReservedPort> = (0..400).map(|_| ReservedPort::new(ip).expect("a port")).collect();
    let reserved_ports: std::collections::HashSet<u16> =
        reserved.iter().map(|port| port.address().port()).collect();
    assert_eq!(reserved_ports.len(), reserved.len());
    for _ in 0..400 {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into()).expect("a port");
        let port = socket.local_addr().expect("bound").as_socket().expect("IPv4").port();
        assert!(!reserved_ports.contains(&port), "the kernel assigned the reserved port {port}");
    }
    // The process for which a port is reserved can listen on it, but no second one.
    let listener = TcpListener::bind(reserved[0].address()).expect("a listener on the reserved port");
    assert!(TcpListener::bind(reserved[0].address()).is_err());
    drop(listener);
    assert!(TcpListener::bind(reserved[0].address()).is_ok(), "a restarted process can listen on it");
}

#[test]
fn each_process_has_two_unique_addresses() {
    for process in [0, 1, 255, 256, 1_999, MAX_PROCESSES - 1] {
        assert_eq!(process_at_address(process_address(process)), Some(process));
        assert_eq!(process_behind_relay(relay_address(process)), Some(process));
        assert_eq!(
            (process_at_address(relay_address(process)), process_behind_relay(process_address(process))),
            (None, None)
        );
        assert!(process_address(process).is_loopback() && relay_address(process).is_loopback());
    }
    assert_eq!(process_at_address(Ipv4Addr::LOCALHOST), None);
    assert_eq!(process_at_address(Ipv4Addr::new(10, 32, 0, 1)), None);
}
