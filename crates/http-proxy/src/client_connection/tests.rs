use super::*;

fn connection(now: Instant) -> Rc<ClientConnection> {
    ClientConnection::new(now, StallDetector::new(now), Rc::default())
}

#[test]
fn timeouts_restart_with_each_activity() {
    let began = Instant::now();
    let connection = connection(began);
    let at = |ms: u64| began + Duration::from_millis(ms);
    assert!(!connection.has_timed_out(at(2_400)) && connection.has_timed_out(at(2_500)));
    // After 2.4 s in idle state the complete time for a head is available.
    connection.receive(b"GE", at(2_400), at(2_400));
    connection.receive(b"T /", at(4_000), at(4_000));
    assert_eq!(connection.activity(), Activity::ReadingHead);
    assert!(!connection.has_timed_out(at(4_800)) && connection.has_timed_out(at(4_900)));
    connection.start_request(at(4_800), None);
    assert!(!connection.has_timed_out(at(60_000)), "an open request has its own timeout");
    connection.finish_request(at(60_000));
    assert!(!connection.has_timed_out(at(62_400)) && connection.has_timed_out(at(62_500)));
}

#[test]
fn evicts_the_longest_idle_first_and_never_an_open_request() {
    let began = Instant::now();
    let connections: Vec<_> = (0..4).map(|n| connection(began + Duration::from_secs(n))).collect();
    connections[0].receive(b"G", began + Duration::from_secs(5), began);
    connections[3].start_request(began + Duration::from_secs(6), None);
    let first_evicted = |secs: u64| {
        let now = began + Duration::from_secs(secs);
        let all = (0..4).filter_map(|n| Some((connections[n].eviction_rank(now)?, n)));
        all.min().map(|(_, n)| n)
    };
    assert_eq!(first_evicted(6), Some(1));
    connections[1].start_request(began, None);
    assert_eq!(first_evicted(8), Some(2));
    connections[2].set_activity(Activity::Idle, began + Duration::from_secs(8));
    assert_eq!(first_evicted(8), Some(0), "its head is overdue, the other was just opened");
    connections[2].start_request(began, None);
    assert_eq!(first_evicted(6), Some(0));
    connections[0].start_request(began, None);
    assert_eq!(first_evicted(9), None);
}

#[test]
fn detects_length_and_encoding_in_either_order_and_only_in_the_head() {
    let detects = |text: &str| {
        let connection = connection(Instant::now());
        text.as_bytes()
            .chunks(7)
            .for_each(|segment| connection.receive(segment, Instant::now(), Instant::now()));
        connection.has_length_and_encoding()
    };
    let (length, encoding) = ("Content-Length: 5\r\n", "transfer-encoding: chunked\r\n");
    assert!(detects(&format!("POST / HTTP/1.1\r\n{length}{encoding}\r\n")));
    assert!(detects(&format!("POST / HTTP/1.1\r\n{encoding}A: b\r\n{length}\r\n")));
    assert!(!detects(&format!("POST / HTTP/1.1\r\n{encoding}\r\n1c\r\n{length}\r\n0\r\n\r\n")));
    assert!(!detects(&format!("POST / HTTP/1.1\r\n{length}\r\nhello")));
    assert!(!detects(&format!("POST / HTTP/1.1\r\n{encoding}X-Content-Length: 5\r\n\r\n")));
}
