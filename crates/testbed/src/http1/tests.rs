use super::*;

#[test]
fn parses_only_complete_heads() {
    let text = b"GET /a?b=c HTTP/1.1\r\nX-One: 1\r\nContent-Length: 3\r\n\r\nabc";
    for cut in 0..text.len() - 3 {
        assert_eq!(parse_head(&text[..cut], MessageKind::Request).expect("no error"), None, "{cut} bytes");
    }
    let (length, message) =
        parse_head(text, MessageKind::Request).expect("no error").expect("a complete head");
    assert_eq!((length, message.header("x-one")), (text.len() - 3, Some("1")));
    assert_eq!((message.method.as_str(), message.path.as_str()), ("GET", "/a?b=c"));
    assert!(parse_head(b"HTP/9 what\r\n\r\n", MessageKind::Response).is_err());
}

#[test]
fn random_bytes_never_panic() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..20_000 {
        let mut bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n".to_vec();
        for _ in 0..rng.usize(1..5) {
            let at = rng.usize(0..bytes.len());
            bytes[at] = rng.u8(..);
        }
        let _ = (parse_head(&bytes, MessageKind::Response), parse_head(&bytes, MessageKind::Request));
    }
}
