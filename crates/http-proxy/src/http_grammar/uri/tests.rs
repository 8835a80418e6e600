use super::*;

#[test]
fn hosts_are_names_or_addresses_with_an_optional_port() {
    for host in ["", "a", "a:", "a:80", "1.2.3.4:1", "[::1]", "[::ffff:1.2.3.4]:80", "[vF.a:b]", "a%2F,b"] {
        assert!(is_host_with_optional_port(host.as_bytes()), "{host}");
    }
    for host in
        ["a:x", "a:80:80", "[::1", "[::1]a", "[::g]", "[v.a]", "[v1.]", "u@a", "a b", "a%2", "a/b", "::1"]
    {
        assert!(!is_host_with_optional_port(host.as_bytes()), "{host}");
    }
}

#[test]
fn percent_signs_stand_before_two_hexadecimal_digits() {
    assert!(is_path(b"/a%2F/%c3%A9") && is_query(b"a=/?%20"));
    assert!(!is_path(b"/%") && !is_path(b"/%2") && !is_path(b"/%2G") && !is_path(b"/a?b") && !is_query(b"#"));
}
