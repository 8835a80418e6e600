use super::*;

const GET: &[u8] = b"GET /read HTTP/1.1\r\nHost: x\r\n\r\n";
const POST: &[u8] = b"POST /lift HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED: &[u8] = b"POST /lift HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

#[test]
fn separates_pipelined_requests_however_they_are_segmented() {
    let all = [GET, POST, b"\r\n", GET].concat();
    for size in [1, 7, 40, all.len()] {
        let mut framing = Framing::default();
        all.chunks(size).for_each(|segment| framing.receive(segment));
        for has_pipelined in [true, true, false] {
            framing.start_request();
            assert_eq!(framing.has_pipelined_bytes(), has_pipelined, "segments of {size}");
            framing.finish_request();
        }
    }
}

#[test]
fn a_body_that_arrives_later_belongs_to_the_open_request() {
    let mut framing = Framing::default();
    framing.receive(&POST[..POST.len() - 3]);
    framing.start_request();
    assert!(!framing.has_pipelined_bytes());
    framing.receive(b"llo");
    assert!(!framing.has_pipelined_bytes());
    framing.receive(b"G");
    assert!(framing.has_pipelined_bytes(), "a part of the next request");
    framing.finish_request();
    assert!(framing.has_pipelined_bytes());
}

#[test]
fn a_chunked_body_is_not_taken_for_a_pipelined_request() {
    let mut framing = Framing::default();
    let (beginning, end) = CHUNKED.split_at(CHUNKED.len() - 12);
    framing.receive(beginning);
    framing.start_request();
    assert!(!framing.has_pipelined_bytes());
    framing.receive(end);
    assert!(!framing.has_pipelined_bytes());
    framing.finish_request();
    assert!(!framing.has_pipelined_bytes());
}

/// Guards against request smuggling: a server that relies on the length finds another request within the
/// body.
#[test]
fn detects_length_and_encoding_in_the_head_of_a_pipelined_request() {
    let both = b"POST /lift HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let mut framing = Framing::default();
    framing.receive(&[GET, both].concat());
    framing.start_request();
    assert!(!framing.has_length_and_encoding());
    framing.finish_request();
    framing.start_request();
    assert!(framing.has_length_and_encoding());
}

#[test]
fn buffers_at_most_the_size_of_a_head() {
    let mut framing = Framing::default();
    (0..100).for_each(|_| framing.receive(&[b'y'; 1_000]));
    assert_eq!(framing.pipelined.len(), MAX_REQUEST_HEAD_BYTES);
    framing.start_request();
    framing.finish_request();
    assert!(!framing.has_pipelined_bytes());
}

#[test]
fn chunked_body_ends_at_the_same_byte_however_it_arrives() {
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let body = "5;a=\"b;\\\"\"\r\nhello\r\n003\r\nabc\r\n0\r\nX-T: 1\r\n\r\n";
    let text = format!("{head}{body}GET /");
    for piece_size in 1..text.len() {
        let mut framing = Framing::default();
        framing.receive(head.as_bytes());
        framing.start_request();
        let (body, next) = text[head.len()..].split_at(body.len());
        body.as_bytes().chunks(piece_size).for_each(|piece| framing.receive(piece));
        assert!(!framing.is_body_malformed() && !framing.has_pipelined_bytes(), "pieces of {piece_size}");
        framing.receive(next.as_bytes());
        assert!(framing.has_pipelined_bytes());
    }
}

#[test]
fn chunked_body_is_malformed_wherever_a_byte_is_wrong() {
    let body = b"5;a=b\r\nhello\r\n0\r\n\r\n";
    for at in (0..body.len()).filter(|at| !(7..12).contains(at)) {
        let mut broken = body.to_vec();
        broken[at] = 0;
        let mut scanner = ChunkedScanner::default();
        let scanned = scanner.scan(&broken);
        assert!(scanner.is_malformed() && scanned == at + 1, "byte {at}");
    }
}

#[test]
fn head_ends_at_its_first_empty_line_whatever_ends_its_lines() {
    for line_ends in [["\r\n", "\r\n"], ["\n", "\n"], ["\r\n", "\n"], ["\n", "\r\n"]] {
        let [first, second] = line_ends;
        let head = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked{first}{second}");
        let mut framing = Framing::default();
        framing.receive(format!("{head}0\r\n\r\n\r\n\r\nG").as_bytes());
        framing.start_request();
        assert!(!framing.is_body_malformed() && !framing.is_body_incomplete(), "{line_ends:?}");
    }
}

#[test]
fn chunked_body_whose_position_is_unknown_counts_as_malformed() {
    let mut framing = Framing::default();
    framing.receive(&CHUNKED[..CHUNKED.len() - 5]);
    framing.receive(&[b'y'; MAX_REQUEST_HEAD_BYTES]);
    framing.start_request();
    assert!(framing.is_body_malformed());
}
