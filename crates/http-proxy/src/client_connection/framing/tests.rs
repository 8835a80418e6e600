use super::*;

const GET: &[u8] = b"GET /read HTTP/1.1\r\nHost: x\r\n\r\n";
const POST: &[u8] = b"POST /lift HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED: &[u8] = b"POST /lift HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

#[test]
fn requests_that_came_together_are_told_apart_however_they_were_cut() {
    let all = [GET, POST, b"\r\n", GET].concat();
    for size in [1, 7, 40, all.len()] {
        let mut framing = Framing::default();
        all.chunks(size).for_each(|piece| framing.came(piece));
        for more in [true, true, false] {
            framing.head_was_read();
            assert_eq!(framing.has_more(), more, "pieces of {size}");
            framing.was_answered();
        }
    }
}

#[test]
fn a_body_that_comes_later_belongs_to_the_open_request() {
    let mut framing = Framing::default();
    framing.came(&POST[..POST.len() - 3]);
    framing.head_was_read();
    assert!(!framing.has_more());
    framing.came(b"llo");
    assert!(!framing.has_more());
    framing.came(b"G");
    assert!(framing.has_more(), "a part of the next one");
    framing.was_answered();
    assert!(framing.has_more());
}

#[test]
fn what_comes_in_chunks_is_not_taken_for_a_further_request() {
    let mut framing = Framing::default();
    framing.came(CHUNKED);
    framing.head_was_read();
    framing.came(b"5\r\nhello\r\n");
    assert!(!framing.has_more());
    framing.was_answered();
    assert!(!framing.has_more());
}

/// Whoever goes by the length finds another request in the body, also behind a request that came before it.
#[test]
fn a_length_beside_an_encoding_is_seen_in_a_head_that_came_behind_another_request() {
    let both = b"POST /lift HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let mut framing = Framing::default();
    framing.came(&[GET, both].concat());
    framing.head_was_read();
    assert!(!framing.has_length_and_encoding());
    framing.was_answered();
    framing.head_was_read();
    assert!(framing.has_length_and_encoding());
}

#[test]
fn no_more_is_kept_than_a_head_may_have() {
    let mut framing = Framing::default();
    (0..100).for_each(|_| framing.came(&[b'y'; 1_000]));
    assert_eq!(framing.behind.len(), KEPT);
    framing.head_was_read();
    framing.was_answered();
    assert!(!framing.has_more());
}
