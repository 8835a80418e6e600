//! Rejected writes and messages.

use super::*;

#[test]
fn rejects_all_changes_of_a_write_if_one_exceeds_a_bound() {
    let mut source = source(FAST);
    let cases = [
        change(1, Kind::Backend, &"n".repeat(MAX_NAME_BYTES + 1), State::Active, 1),
        change(1, Kind::Backend, "b", State::Active, MAX_BODY_BYTES + 1),
        Change { body: Arc::from([1]), ..change(1, Kind::Backend, "b", State::Gone, 0) },
    ];
    for bad in cases {
        let reason = validate_change(&bad).expect_err("beyond a bound").to_string();
        let changes = vec![change(1, Kind::Backend, "good", State::Active, 1), bad];
        let responses = source.on_message(9, Message::Write { id: 4, changes }, 0);
        assert_eq!(responses, Ok(vec![Message::Written { id: 4, result: Err(reason) }]));
        assert_eq!(source.store().live_records().count(), 0, "all or none");
        assert_eq!(source.store().head().revision, 0);
    }
    let long = change(1, Kind::Backend, "b", State::Active, MAX_BODY_BYTES + 1);
    let error = WriteError::TooLong {
        field: "the body",
        name: "b".into(),
        bytes: MAX_BODY_BYTES + 1,
        max: MAX_BODY_BYTES,
    };
    assert_eq!(validate_change(&long), Err(error));
}

#[test]
fn rejects_unexpected_messages_and_exceeded_limits() {
    let mut source = source(FAST);
    let hello = Subscriber::new("agent", services([1])).hello();
    let is_unexpected = |result: Result<Vec<Message>, SessionError>| {
        matches!(result, Err(SessionError::UnexpectedMessage { .. }))
    };
    assert!(
        is_unexpected(source.on_message(SUBSCRIBER, Message::DigestRequest { source: 0 }, 0)),
        "before hello"
    );
    assert!(
        matches!(source.next_action(SUBSCRIBER, 0), PublisherAction::WaitUntil(_)),
        "nothing is sent before hello"
    );
    source.on_message(SUBSCRIBER, hello.clone(), 0).expect("hello is accepted");
    assert!(is_unexpected(source.on_message(SUBSCRIBER, hello.clone(), 0)), "a second hello");
    assert!(is_unexpected(source.on_message(SUBSCRIBER, Message::Heartbeat, 0)), "a message of upstream");
    let other = Message::Hello {
        protocol: PROTOCOL_VERSION + 1,
        name: "x".into(),
        scope: Scope::All,
        positions: vec![],
    };
    assert_eq!(
        source.on_message(2, other, 0),
        Err(SessionError::ProtocolMismatch { theirs: PROTOCOL_VERSION + 1, ours: PROTOCOL_VERSION })
    );
    let wide = Subscriber::new("agent", services(0..=MAX_SCOPE_SERVICES as u32)).hello();
    assert!(matches!(source.on_message(2, wide, 0), Err(SessionError::LimitExceeded { .. })));
    let positions =
        (0..300).map(|source| ReplicaPosition { source, epoch: 1, cursor: Default::default() }).collect();
    let many = Message::Hello { protocol: PROTOCOL_VERSION, name: "x".into(), scope: Scope::All, positions };
    assert!(matches!(source.on_message(2, many, 0), Err(SessionError::LimitExceeded { .. })));
    let services = (0..5_000).collect();
    let request = Message::SnapshotRequest { source: 0, services };
    assert!(matches!(source.on_message(SUBSCRIBER, request, 0), Err(SessionError::LimitExceeded { .. })));
    let mut source = source.with_max_subscribers(1);
    assert_eq!(source.on_message(2, hello.clone(), 0), Err(SessionError::TooManySubscribers(1)));
    source.disconnect(SUBSCRIBER);
    assert!(source.on_message(2, hello, 0).is_ok(), "a slot is free again");
    let mut relay = Relay::new("relay", &[0], FAST);
    assert!(is_unexpected(relay.on_source_message(1, Message::Heartbeat, 0)), "an unknown source");
    let foreign = Message::DigestSummary {
        source: 3,
        epoch: 1,
        range: ServiceRange { first: 0, last: 9 },
        to: Default::default(),
        digests: vec![],
    };
    assert!(
        is_unexpected(relay.on_source_message(0, foreign, 0)),
        "a source that sends records of another one"
    );
    let mut subscriber = Subscriber::new("agent", Scope::All);
    assert!(subscriber.on_message(Message::DigestRequest { source: 0 }, 0).is_err());
}
