//! Rate limits and message sizes.

use super::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// At any time, the total of sent bytes is at most the burst plus the rate multiplied by the time.
    #[test]
    fn never_exceeds_the_rate_limit(
        rate in 500..20_000_u32,
        burst in 2_000..50_000_u32,
        steps in prop::collection::vec((0..2_000_u64, 0..30_usize, 0..600_usize), 1..60),
    ) {
        let mut source = source(RateLimit { bytes_per_s: rate, burst_bytes: burst });
        let mut subscriber = Subscriber::new("agent", services(0..10));
        let welcome = source.on_message(SUBSCRIBER, subscriber.hello(), 0).expect("hello is accepted");
        let bytes = |message: &Message| 4 + postcard::to_stdvec(message).expect("encodable").len();
        let mut sent: usize = welcome.iter().map(bytes).sum();
        let mut now = 0;
        let mut written = 0;
        for (wait_ms, writes, size) in steps {
            now += wait_ms;
            for index in 0..writes {
                write(&mut source, change(index as u32 % 12, RecordKind::Backend, &format!("b{}", written % 50), RecordState::Active, size));
                written += 1;
            }
            while let PublisherAction::Send(message) = source.next_action(SUBSCRIBER, now) {
                sent += bytes(&message);
                for reply in subscriber.on_message(message, now).expect("accepted").replies {
                    source.on_message(SUBSCRIBER, reply, now).expect("accepted");
                }
                let max = f64::from(burst) + f64::from(rate) * now as f64 / 1_000.0;
                prop_assert!(sent as f64 <= max, "{sent} bytes after {now} ms, at most {max} allowed");
            }
            if let PublisherAction::WaitUntil(until) = source.next_action(SUBSCRIBER, now) {
                prop_assert!(until > now, "a wait in the past would loop endlessly");
            }
        }
    }

    /// The size that counts towards the rate limit is at least the encoded size, and at most 20 bytes more.
    #[test]
    fn encoded_size_bound_is_a_tight_upper_bound(
        name in "[a-z]{0,200}",
        size in 0..70_000_usize,
        (epoch, revision) in any::<(u64, u64)>(),
        service in any::<u32>(),
        scope_digest in any::<Option<u64>>(),
        count in 0..300_usize,
    ) {
        let version = Version { epoch, revision };
        let key = RecordKey { service, kind: RecordKind::Tenant, name: name.as_str().into() };
        let record = Record { key, version, state: RecordState::Draining, body: vec![1; size].into() };
        let records = vec![record; count.min(3)];
        let bound = Some(KeyBound { kind: RecordKind::Route, name: name.as_str().into() });
        let messages = [
            Message::Heartbeat,
            Message::Welcome { protocol: PROTOCOL_VERSION, name: name.clone() },
            Message::Batch {
                source: 999, epoch, from: [version; 3], to: [version; 3], records: records.clone(), scope_digest,
            },
            Message::DigestSummary {
                source: 9, epoch, range: ServiceRange { first: 3, last: service }, to: [version; 3],
                digests: vec![ServiceDigest { service, digest: revision }; count],
            },
            Message::ServiceSnapshot {
                source: 9, epoch, as_of: version, service, after: bound.clone(), through: bound, records,
            },
            Message::Close { reason: name },
        ];
        for message in messages {
            let bytes = 4 + postcard::to_stdvec(&message).expect("encodable").len();
            prop_assert!(message.encoded_size_bound() >= bytes, "{} has the bound {} for {bytes} bytes", message.name(), message.encoded_size_bound());
            prop_assert!(message.encoded_size_bound() <= bytes + 20, "{} has the bound {} for {bytes} bytes", message.name(), message.encoded_size_bound());
        }
    }
}

#[test]
fn splits_large_services_below_the_message_limit() {
    let scope = services([1, 2]);
    let mut source = source(RateLimit::default());
    let mut subscriber = Subscriber::new("agent", scope.clone());
    for name in 0..3_000 {
        backend(&mut source, 1, &format!("backend-{name:05}"), RecordState::Active);
    }
    write(
        &mut source,
        change(
            2,
            RecordKind::Configuration,
            &"c".repeat(MAX_NAME_BYTES),
            RecordState::Active,
            MAX_BODY_BYTES,
        ),
    );
    let mut sent = connect(&mut source, &mut subscriber, 0);
    // The largest record exceeds the burst. It is sent when the token bucket is full.
    let mut now = 0;
    while now < 120_000 {
        now += 100;
        sent.extend(exchange(&mut source, &mut subscriber, now));
    }
    assert_equal_records(&source, &subscriber, &scope);
    let parts = snapshots(&sent).iter().filter(|service| **service == 1).count();
    assert!(parts > 3, "a large service is sent in parts, not in {parts}");
    for message in &sent {
        let bytes = postcard::to_stdvec(message).expect("encodable").len();
        assert!(bytes <= MAX_MESSAGE_BYTES, "{} of {bytes} bytes", message.name());
    }
}

/// Guards against requests that accumulate in memory: a request replaces the pending one.
#[test]
fn new_requests_replace_pending_ones() {
    let scope = services(0..20);
    let (mut source, mut subscriber) =
        (source(RateLimit { bytes_per_s: 100, burst_bytes: 2_000 }), Subscriber::new("agent", scope));
    for service in 0..20 {
        backend(&mut source, service, "b", RecordState::Active);
    }
    connect(&mut source, &mut subscriber, 0);
    for round in 0..1_000 {
        let services = (0..4_000).map(|service| service * 7 % 100).collect();
        source
            .on_message(SUBSCRIBER, Message::SnapshotRequest { source: 0, services }, round)
            .expect("accepted");
        source.on_message(SUBSCRIBER, Message::DigestRequest { source: 0 }, round).expect("accepted");
        assert!(source.retained_items(SUBSCRIBER) <= 20 + 1 + 20);
    }
    // The responses are rate limited like all messages.
    let mut sent = 0;
    while let PublisherAction::Send(message) = source.next_action(SUBSCRIBER, 1_000) {
        sent += message.encoded_size_bound();
    }
    assert!(sent <= 2_100, "{sent} bytes");
}
