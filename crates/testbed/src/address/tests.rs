use super::*;
use std::net::TcpListener;

#[test]
fn reserved_ports_are_not_assigned_as_ephemeral_ports() {
    // So many that a kernel that did not mind would give some of 28,000 ports twice, almost surely.
    let ip = of_process(MOST - 2);
    let held: Vec<Held> = (0..400).map(|_| Held::new(ip).expect("a port")).collect();
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
    for process in [0, 1, 255, 256, 1_999, MOST - 1] {
        assert_eq!(process_of(of_process(process)), Some(process));
        assert_eq!(relayed(at_relay(process)), Some(process));
        assert_eq!((process_of(at_relay(process)), relayed(of_process(process))), (None, None));
        assert!(of_process(process).is_loopback() && at_relay(process).is_loopback());
    }
    assert_eq!(process_of(Ipv4Addr::LOCALHOST), None);
    assert_eq!(process_of(Ipv4Addr::new(10, 32, 0, 1)), None);
}
