use super::*;

fn catalog() -> RequestCatalog {
    let class = |index, is_keyed| Class { index, deadline: 2_000_000, is_keyed };
    RequestCatalog {
        classes: [("read".into(), class(0, false)), ("submit".into(), class(1, true))].into_iter().collect(),
        tenants: [("acme".into(), 3)].into_iter().collect(),
    }
}

fn read(headers: &[(&str, &[u8])]) -> Result<DecisionRequest, InvalidRequest> {
    catalog().request_from_headers(7, headers.iter().copied(), &Headers::default())
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
    assert_eq!((request.class, request.tenant, request.affinity_key), (1, 3, Some(255)));
    assert_eq!((request.timeout, request.arrived_at, request.is_single_attempt), (480_000, 7, true));
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
    for name in ["x-correlation-id", "x-account", "idempotency-key"] {
        assert_eq!(read(&without(name)), Err(missing_field(name)));
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
        ("x-service-class", b"\"'`"),
    ] {
        let error = read(&with(name, value)).expect_err("the header is invalid").to_string();
        assert!(error.starts_with(&format!("`{name}` makes no sense")), "{error}");
    }
    let keyless = [(":path", &b"/read"[..]), ("x-correlation-id", b"c"), ("x-account", b"acme")];
    assert!(read(&keyless).is_ok());
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
