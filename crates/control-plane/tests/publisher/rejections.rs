//! Rejected writes and messages.

use super::*;

#[test]
fn rejects_all_changes_of_a_write_if_one_is_invalid() {
    let mut source = source(HIGH_RATE);
    let cases = [
        change(1, RecordKind::Backend, &"n".repeat(MAX_NAME_BYTES + 1), RecordState::Active, 1),
        change(1, RecordKind::Backend, "b", RecordState::Active, MAX_BODY_BYTES + 1),
        Change { body: Arc::from([1]), ..change(1, RecordKind::Backend, "b", RecordState::Gone, 0) },
    ];
    for invalid in cases {
        let reason = validate_change(&invalid).expect_err("over a limit").to_string();
        let changes = vec![change(1, RecordKind::Backend, "good", RecordState::Active, 1), invalid];
        let responses = source.on_message(9, Message::Write { id: 4, changes }, 0);
        assert_eq!(responses, Ok(vec![Message::Written { id: 4, result: Err(reason) }]));
        assert_eq!(source.store().live_records().count(), 0, "no change is applied");
        assert_eq!(source.store().head().revision, 0);
    }
    let too_long_body = change(1, RecordKind::Backend, "b", RecordState::Active, MAX_BODY_BYTES + 1);
    let error = WriteError::TooLong {
        field: "the body",
        name: "b".into(),
        bytes: MAX_BODY_BYTES + 1,
        max: MAX_BODY_BYTES,
    };
    assert_eq!(validate_change(&too_long_body), Err(error));
}

#[test]
fn rejects_unexpected_messages_and_exceeded_limits() {
    let mut source = source(HIGH_RATE);
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
    assert!(
        is_unexpected(source.on_message(SUBSCRIBER, Message::Heartbeat, 0)),
        "a message that only upstream sends"
    );
    let other_version = Message::Hello {
        protocol: PROTOCOL_VERSION + 1,
        name: "x".into(),
        scope: Scope::All,
        positions: vec![],
    };
    assert_eq!(
        source.on_message(2, other_version, 0),
        Err(SessionError::ProtocolMismatch { theirs: PROTOCOL_VERSION + 1, ours: PROTOCOL_VERSION })
    );
    let too_many_services = Subscriber::new("agent", services(0..=MAX_SCOPE_SERVICES as u32)).hello();
    assert!(matches!(source.on_message(2, too_many_services, 0), Err(SessionError::LimitExceeded { .. })));
    let positions =
        (0..300).map(|source| ReplicaPosition { source, epoch: 1, cursor: Default::default() }).collect();
    let too_many_positions =
        Message::Hello { protocol: PROTOCOL_VERSION, name: "x".into(), scope: Scope::All, positions };
    assert!(matches!(source.on_message(2, too_many_positions, 0), Err(SessionError::LimitExceeded { .. })));
    let services = (0..5_000).collect();
    let request = Message::SnapshotRequest { source: 0, services };
    assert!(matches!(source.on_message(SUBSCRIBER, request, 0), Err(SessionError::LimitExceeded { .. })));
    let mut source = source.with_max_subscribers(1);
    assert_eq!(source.on_message(2, hello.clone(), 0), Err(SessionError::TooManySubscribers(1)));
    source.disconnect(SUBSCRIBER);
    assert!(source.on_message(2, hello, 0).is_ok(), "the slot is free");
    let mut relay = Relay::new("relay", &[0], HIGH_RATE);
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
