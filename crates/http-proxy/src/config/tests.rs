use super::*;

#[test]
fn all_connections_together_fit_into_the_memory() {
    for (sockets, memory_mb) in [(256, 32), (1_024, 32), (1_024, 192), (65_536, 64)] {
        let limits = RawLimits { sockets: Some(sockets), memory_mb: Some(memory_mb) };
        let capacity = Capacity::new(&limits, false);
        let (clients, backends) = (capacity.max_client_connections, capacity.max_backend_connections);
        let bytes = clients * (MAX_REQUEST_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES)
            + backends * (MAX_RESPONSE_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES)
            + capacity.large_body_budget_bytes;
        assert!(bytes <= (memory_mb << 20) / 5 * 4, "{bytes} bytes with {sockets} and {memory_mb}");
        assert!(clients + backends < sockets);
    }
}

/// Operators see these texts, and their tools may match them.
#[test]
fn errors_keep_their_texts() {
    let unreadable = ConfigError::Unreadable("/a/b".into(), io::Error::other("cause"));
    assert_eq!(unreadable.to_string(), "cannot read /a/b: cause");
    assert_eq!(ConfigError::Missing("EDGE_CONFIG").to_string(), "EDGE_CONFIG is not set");
    let address = ConfigError::Address("listen", "x".into());
    assert_eq!(address.to_string(), "`listen` is no address: `x`");
}
