use super::*;

fn parser() -> RequestParser {
    RequestParser { tenants: [("acme".into(), 3)].into_iter().collect() }
}

fn read(headers: &[(&str, &[u8])]) -> Result<DecisionRequest, InvalidRequest> {
    parser().request_from_headers(7, headers.iter().copied(), &Headers::default())
}

const VALID: [(&str, &[u8]); 5] = [
    (":path", b"/submit?key=ff"),
    ("x-correlation-id", b"c1"),
    ("x-account", b"acme"),
    ("idempotency-key", b"k1"),
    ("x-time-left-ms", b"480"),
];

#[test]
fn builds_a_request_from_headers() {
    let request = read(&VALID).expect("a request");
    assert_eq!((&*request.class, request.tenant, request.affinity_key), ("submit", 3, Some(255)));
    assert_eq!((request.timeout, request.arrived_at, request.is_single_attempt), (Some(480_000), 7, true));
    assert_eq!((&*request.id, request.idempotency_key.as_deref()), (&b"c1"[..], Some(&b"k1"[..])));
}

#[test]
fn errors_name_the_invalid_header() {
    let without = |name: &str| -> Vec<_> { VALID.into_iter().filter(|(n, _)| *n != name).collect() };
    let with = |name, value| {
        let mut head = without(name);
        head.push((name, value));
        head
    };
    for name in ["x-correlation-id", "x-account"] {
        assert_eq!(read(&without(name)), Err(missing_field(name)));
    }
    for name in ["x-correlation-id", "x-account", "idempotency-key"] {
        let mut duplicate = VALID.to_vec();
        duplicate.push((name, b"other"));
        assert_eq!(read(&duplicate), Err(InvalidRequest::Duplicate(name.into())));
    }
    assert_eq!(read(&with("x-account", b"\xff")), Err(InvalidRequest::NotText("x-account".into())));
    for (name, value) in [
        ("x-account", &b"nobody"[..]),
        ("x-time-left-ms", b"-1"),
        ("x-time-left-ms", b"99999999999999999999"),
        ("x-correlation-id", &[b'a'; MAX_ID_BYTES + 1]),
        ("x-weight-hint", b"heavy"),
    ] {
        let error = read(&with(name, value)).expect_err("the header is invalid").to_string();
        assert!(error.starts_with(&format!("`{name}` makes no sense")), "{error}");
    }
    let keyless = [(":path", &b"/read"[..]), ("x-correlation-id", b"c"), ("x-account", b"acme")];
    assert!(read(&keyless).is_ok());
}

/// Only the decision service knows the classes in force. Its errors name headers as those of the parser do.
#[test]
fn errors_name_the_header_that_does_not_match_the_class() {
    let error = |mismatch| InvalidRequest::class_mismatch(&mismatch, &Headers::default());
    assert_eq!(error(ClassMismatch::MissingKey), missing_field("idempotency-key"));
    let cases = [
        (ClassMismatch::Unknown("\"'".into()), "`x-service-class` makes no sense: no class `\"'`"),
        (ClassMismatch::UnexpectedKey, "`idempotency-key` makes no sense: the class has no keys"),
    ];
    for (mismatch, expected) in cases {
        assert_eq!(error(mismatch).to_string(), expected);
    }
}

#[test]
fn random_headers_do_not_panic() {
    let mut rng = fastrand::Rng::with_seed(20_261_201);
    let names = [":path", "x-correlation-id", "x-account", "x-time-left-ms", "x-weight-hint", "other"];
    let mut valid_count = 0;
    for _ in 0..20_000 {
        let values: Vec<Vec<u8>> =
            (0..rng.usize(0..9)).map(|_| (0..rng.usize(0..12)).map(|_| rng.u8(..)).collect()).collect();
        let mut head: Vec<(&str, &[u8])> =
            values.iter().map(|v| (names[rng.usize(..names.len())], v.as_slice())).collect();
        if rng.bool() {
            head.retain(|(name, _)| !VALID.iter().any(|(valid, _)| valid == name));
            head.extend(VALID);
        }
        valid_count += usize::from(read(&head).is_ok());
    }
    assert!(valid_count > 1_000, "{valid_count} of 20,000 heads were valid");
}
