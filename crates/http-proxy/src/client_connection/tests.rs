use super::*;

fn connection(now: Instant) -> Rc<ClientConnection> {
    ClientConnection::new(now, StallDetector::new(now), None)
}

#[test]
fn time_counts_from_what_was_last_heard() {
    let began = Instant::now();
    let connection = connection(began);
    let at = |ms: u64| began + Duration::from_millis(ms);
    assert!(!connection.is_over(at(2_400)) && connection.is_over(at(2_500)));
    // It rested for 2.4 s, and now has its whole time for a head.
    connection.heard(b"GE", at(2_400), at(2_400));
    connection.heard(b"T /", at(4_000), at(4_000));
    assert_eq!(connection.doing(), Doing::Heading);
    assert!(!connection.is_over(at(4_800)) && connection.is_over(at(4_900)));
    connection.asks(at(4_800));
    assert!(!connection.is_over(at(60_000)), "an open request has its own times");
    connection.answered(at(60_000));
    assert!(!connection.is_over(at(62_400)) && connection.is_over(at(62_500)));
}

#[test]
fn the_longest_at_rest_gives_way_first_and_an_open_request_never() {
    let began = Instant::now();
    let connections: Vec<_> = (0..4).map(|n| connection(began + Duration::from_secs(n))).collect();
    connections[0].heard(b"G", began + Duration::from_secs(5), began);
    connections[3].asks(began + Duration::from_secs(6));
    let first = |secs: u64| {
        let now = began + Duration::from_secs(secs);
        let all = (0..4).filter_map(|n| Some((connections[n].spare_rank(now)?, n)));
        all.min().map(|(_, n)| n)
    };
    assert_eq!(first(6), Some(1));
    connections[1].asks(began);
    assert_eq!(first(8), Some(2));
    connections[2].turn(Doing::Resting, began + Duration::from_secs(8));
    assert_eq!(first(8), Some(0), "its head takes too long, the other has just come");
    connections[2].asks(began);
    assert_eq!(first(6), Some(0));
    connections[0].asks(began);
    assert_eq!(first(9), None);
}

#[test]
fn a_length_beside_an_encoding_is_seen_in_either_order_and_only_in_the_head() {
    let seen = |text: &str| {
        let connection = connection(Instant::now());
        text.as_bytes().chunks(7).for_each(|piece| connection.heard(piece, Instant::now(), Instant::now()));
        connection.has_length_and_encoding()
    };
    let (length, encoding) = ("Content-Length: 5\r\n", "transfer-encoding: chunked\r\n");
    assert!(seen(&format!("POST / HTTP/1.1\r\n{length}{encoding}\r\n")));
    assert!(seen(&format!("POST / HTTP/1.1\r\n{encoding}A: b\r\n{length}\r\n")));
    assert!(!seen(&format!("POST / HTTP/1.1\r\n{encoding}\r\n1c\r\n{length}\r\n0\r\n\r\n")));
    assert!(!seen(&format!("POST / HTTP/1.1\r\n{length}\r\nhello")));
    assert!(!seen(&format!("POST / HTTP/1.1\r\n{encoding}X-Content-Length: 5\r\n\r\n")));
}
