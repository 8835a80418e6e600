//! Framing and encoding: messages round-trip, and malformed bytes are rejected.

mod strategies;

use control_plane::codec::{
    BodyError, CodecError, FrameReader, FrameWriter, decode, decode_backend_body, encode, encode_backend_body,
};
use control_plane::message::{MAX_MESSAGE_BYTES, Message, PROTOCOL_VERSION};
use control_plane::record::{Backend, Scope};
use proptest::collection::vec;
use proptest::prelude::*;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use strategies::message;
use tokio::io::{AsyncRead, ReadBuf};

/// A stream whose reads return chunks of at most these sizes, in rotation.
struct ChunkedStream {
    bytes: Vec<u8>,
    position: usize,
    chunk_sizes: Vec<usize>,
    reads: usize,
}

impl AsyncRead for ChunkedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = self.chunk_sizes[self.reads % self.chunk_sizes.len()];
        let size = size.min(into.remaining()).min(self.bytes.len() - self.position);
        into.put_slice(&self.bytes[self.position..self.position + size]);
        self.position += size;
        self.reads += 1;
        Poll::Ready(Ok(()))
    }
}

fn reader(bytes: Vec<u8>, chunk_sizes: Vec<usize>) -> FrameReader<ChunkedStream> {
    FrameReader::new(ChunkedStream { bytes, position: 0, chunk_sizes, reads: 0 })
}

/// Reads messages up to the end of the stream or the first error. Returns both.
fn read_all(bytes: Vec<u8>, chunk_sizes: Vec<usize>) -> (Vec<Message>, Result<(), CodecError>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let (mut reader, mut messages) = (reader(bytes, chunk_sizes), Vec::new());
        loop {
            match reader.read().await {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => return (messages, Ok(())),
                Err(error) => return (messages, Err(error)),
            }
        }
    })
}

proptest! {
    #[test]
    fn reads_written_messages_for_any_split_of_the_stream(
        messages in vec(message(), 0..6),
        chunk_sizes in vec(1_usize..200, 1..5),
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(|m| encode(m).expect("short enough")).collect();
        let (received_messages, end) = read_all(bytes, chunk_sizes);
        prop_assert_eq!(received_messages, messages);
        prop_assert!(end.is_ok());
    }

    #[test]
    fn reports_truncation_after_the_complete_messages(
        messages in vec(message(), 1..4),
        truncation in any::<prop::sample::Index>(),
        chunk_sizes in vec(1_usize..200, 1..5),
    ) {
        let frames: Vec<Vec<u8>> = messages.iter().map(|m| encode(m).expect("short enough")).collect();
        let (last, before) = frames.split_last().expect("at least one");
        // The last frame is truncated after its first byte at the earliest and before its last byte.
        let received = 1 + truncation.index(last.len() - 1);
        let mut bytes = before.concat();
        bytes.extend_from_slice(&last[..received]);
        let (received_messages, end) = read_all(bytes, chunk_sizes);
        prop_assert_eq!(received_messages.as_slice(), &messages[..before.len()]);
        let is_truncated = matches!(end, Err(CodecError::Truncated { received: r }) if r == received);
        prop_assert!(is_truncated, "{:?}", end);
    }

    #[test]
    fn decodes_arbitrary_bytes_to_an_error_or_an_encodable_message(bytes in vec(any::<u8>(), 0..400)) {
        // If the bytes happen to decode to a message, the message round-trips. Nothing panics.
        if let Ok(message) = decode(&bytes) {
            let encoded = encode(&message).expect("short enough");
            prop_assert_eq!(decode(&encoded[4..]).expect("encodable"), message);
        }
        let (_, _) = read_all(bytes, vec![7]);
    }

    #[test]
    fn does_not_panic_on_a_corrupted_byte(
        message in message(), index in any::<prop::sample::Index>(), byte in any::<u8>(),
    ) {
        let mut bytes = encode(&message).expect("short enough");
        let index = index.index(bytes.len());
        bytes[index] = byte;
        let (received_messages, end) = read_all(bytes, vec![64]);
        prop_assert!(received_messages.len() <= 1 || end.is_err(), "one frame is never read as several messages");
    }

    #[test]
    fn round_trips_backend_bodies_and_rejects_trailing_bytes(
        address in any::<std::net::SocketAddrV4>(),
        zone in ".{0,12}",
        machine_kind in ".{0,12}",
        cell in any::<u16>(),
        size in 0.001_f64..1e6,
        up_since_ms in any::<u64>(),
        garbage in vec(any::<u8>(), 0..60),
    ) {
        let backend = Backend { address, zone, machine_kind, cell, capacity: size, up_since_ms };
        let body = encode_backend_body(&backend);
        prop_assert_eq!(decode_backend_body(&body), Ok(backend));
        let mut longer = body.to_vec();
        longer.push(0);
        let is_malformed = matches!(decode_backend_body(&longer), Err(BodyError::Malformed { .. }));
        prop_assert!(is_malformed);
        let _ = decode_backend_body(&garbage);
    }
}

fn body_of(message: &Message) -> Vec<u8> {
    encode(message).expect("short enough").split_off(4)
}

#[test]
fn rejects_messages_over_the_length_limit_when_writing_and_reading() {
    let close = |bytes| Message::Close { reason: "x".repeat(bytes) };
    // The variant takes one byte, the length of the text three.
    let max_reason_bytes = MAX_MESSAGE_BYTES - 4;
    assert_eq!(body_of(&close(max_reason_bytes)).len(), MAX_MESSAGE_BYTES);
    let (received_messages, end) =
        read_all(encode(&close(max_reason_bytes)).expect("exactly at the limit"), vec![100_000]);
    assert_eq!((received_messages, end.is_ok()), (vec![close(max_reason_bytes)], true));
    let error = encode(&close(max_reason_bytes + 1)).expect_err("too long");
    assert!(
        matches!(error, CodecError::TooLong { bytes, max: MAX_MESSAGE_BYTES } if bytes == MAX_MESSAGE_BYTES + 1)
    );

    for bytes in [MAX_MESSAGE_BYTES + 1, u32::MAX as usize] {
        let prefix = u32::try_from(bytes).expect("fits").to_be_bytes();
        let (received_messages, end) = read_all(prefix.to_vec(), vec![1]);
        let error = end.expect_err("too long");
        assert!(received_messages.is_empty());
        assert!(
            matches!(error, CodecError::TooLong { bytes: b, max: MAX_MESSAGE_BYTES } if b == bytes),
            "{error}"
        );
        assert_eq!(
            error.to_string(),
            format!(
                "a message of {bytes} bytes is too long, {MAX_MESSAGE_BYTES} bytes at most are taken; send it in parts"
            )
        );
    }
}

/// `Hello` and `Welcome` have the same variant numbers and begin with the version in every protocol version:
/// otherwise nodes of two versions could not report the mismatch.
#[test]
fn reports_a_protocol_mismatch_regardless_of_the_remaining_bytes() {
    let hello = Message::Hello {
        protocol: PROTOCOL_VERSION,
        name: "n".into(),
        scope: Scope::All,
        positions: Vec::new(),
    };
    let welcome = Message::Welcome { protocol: PROTOCOL_VERSION, name: "n".into() };
    for message in [hello, welcome] {
        let bytes = body_of(&message);
        assert_eq!(decode(&bytes).expect("this version"), message);
        let theirs = PROTOCOL_VERSION + 1;
        let mut other_version = vec![bytes[0]];
        other_version.push(u8::try_from(theirs).expect("one byte"));
        other_version.extend_from_slice(b"\xff\xfe the rest in that version");
        let error = decode(&other_version).expect_err("another version");
        assert!(matches!(error, CodecError::ProtocolMismatch { theirs: t } if t == theirs), "{error}");
        assert!(
            error
                .to_string()
                .contains(&format!("protocol {theirs} is not spoken here, {PROTOCOL_VERSION} is"))
        );
    }
}

#[test]
fn rejects_trailing_bytes() {
    let mut bytes = body_of(&Message::Heartbeat);
    bytes.extend_from_slice(b"ab");
    let error = decode(&bytes).expect_err("trailing bytes");
    assert!(
        matches!(&error, CodecError::Malformed { bytes: 3, problem } if problem.to_string() == "2 bytes are left over"),
        "{error}"
    );
}

/// The decoder does not allocate memory for the encoded length of a list before it has read the entries.
#[test]
fn rejects_a_list_longer_than_its_bytes() {
    let mut bytes = body_of(&Message::SnapshotRequest { source: 1, services: Vec::new() });
    assert_eq!(bytes.pop(), Some(0), "the length of the list is the last byte");
    // u64::MAX as a varint.
    bytes.extend_from_slice(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
    assert!(matches!(decode(&bytes), Err(CodecError::Malformed { .. })));
}

#[test]
fn rejects_backend_sizes_that_are_not_finite_and_positive() {
    for size in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let backend = Backend {
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: "a".into(),
            machine_kind: String::new(),
            cell: 0,
            capacity: size,
            up_since_ms: 0,
        };
        assert!(
            matches!(decode_backend_body(&encode_backend_body(&backend)), Err(BodyError::InvalidSize(_))),
            "{size}"
        );
    }
}

#[tokio::test]
async fn counts_bytes_read_and_written() {
    let (local, remote) = tokio::io::duplex(1 << 20);
    let (mut writer, mut reader) = (FrameWriter::new(local), FrameReader::new(remote));
    let message = Message::Close { reason: "counted".into() };
    for _ in 0..3 {
        writer.write(&message).await.expect("written");
        assert_eq!(reader.read().await.expect("read"), Some(message.clone()));
    }
    let bytes = 3 * encode(&message).expect("short enough").len() as u64;
    assert_eq!((writer.bytes_written(), reader.bytes_read()), (bytes, bytes));
    writer.shutdown().await;
    assert_eq!(reader.read().await.expect("ended"), None);
}
