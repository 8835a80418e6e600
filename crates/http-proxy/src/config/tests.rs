use super::*;

#[test]
fn what_all_connections_may_hold_fits_into_the_memory() {
    for (sockets, memory_mb) in [(256, 32), (1_024, 32), (1_024, 192), (65_536, 64)] {
        let limits = RawLimits { sockets: Some(sockets), memory_mb: Some(memory_mb) };
        let (clients, backends, large) = shares(&limits, false);
        let held = clients * (REQUEST_HEAD_CAP + BODY_CAP) + backends * (ANSWER_HEAD_CAP + BODY_CAP) + large;
        assert!(held <= (memory_mb << 20) / 5 * 4, "{held} bytes with {sockets} and {memory_mb}");
        assert!(clients + backends < sockets);
    }
}
