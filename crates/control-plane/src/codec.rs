//! Framing and encoding of messages: a length prefix of four bytes, big-endian, then the message encoded with
//! postcard.

use crate::message::{MAX_MESSAGE_BYTES, Message, PROTOCOL_VERSION};
use crate::record::Backend;
use bytes::{Buf, BytesMut};
use std::io;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Size of the length prefix, bytes.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Maximum size of one read, bytes: a length prefix without data never makes the reader allocate more.
const MAX_READ_BYTES: usize = 16 << 10;
/// Read buffer of an idle connection, bytes: large enough for common messages, and a few megabytes for
/// thousands of connections.
const IDLE_BUFFER_BYTES: usize = 1 << 10;
/// Variant numbers of [`Message::Hello`] and [`Message::Welcome`]. In every protocol version both begin with
/// the version, so that a mismatch is reported as such instead of as a decoding error.
const VERSIONED_VARIANTS: [u32; 2] = [0, 1];

/// Why bytes could not be encoded or decoded.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum EncodingError {
    /// The bytes are not a valid encoding of the type.
    #[error("{0}")]
    Postcard(#[from] postcard::Error),
    /// The value is followed by this number of bytes.
    #[error("{0} bytes are left over")]
    TrailingBytes(usize),
}

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The connection ended within a message.
    #[error("the connection ended after {received} bytes of a message; a message is sent whole")]
    Truncated {
        /// Number of bytes received of the message, length prefix included.
        received: usize,
    },
    /// A message longer than [`MAX_MESSAGE_BYTES`]; none of its content was read or written.
    #[error("a message of {bytes} bytes is too long, {max} bytes at most are taken; send it in parts")]
    TooLong {
        /// Length of the message, bytes.
        bytes: usize,
        /// Maximum accepted length, bytes.
        max: usize,
    },
    /// Bytes that are not an encoded message.
    #[error(
        "a message of {bytes} bytes is not understood ({problem}); protocol {} is spoken here",
        PROTOCOL_VERSION
    )]
    Malformed {
        /// Length of the message, bytes.
        bytes: usize,
        /// The decoding error.
        problem: EncodingError,
    },
    /// A [`Message::Hello`] or [`Message::Welcome`] of another protocol version.
    #[error(
        "protocol {theirs} is not spoken here, {} is; bring both parties to one version",
        PROTOCOL_VERSION
    )]
    ProtocolMismatch {
        /// The protocol version of the other side.
        theirs: u16,
    },
    /// Reading or writing the connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
}

/// Encodes a message with its length prefix.
///
/// # Errors
/// [`CodecError::TooLong`] if the message is longer than [`MAX_MESSAGE_BYTES`].
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    let malformed = |error: postcard::Error| CodecError::Malformed { bytes: 0, problem: error.into() };
    let mut frame = postcard::to_extend(message, vec![0; LENGTH_PREFIX_BYTES]).map_err(malformed)?;
    let bytes = frame.len() - LENGTH_PREFIX_BYTES;
    match u32::try_from(bytes) {
        Ok(length) if bytes <= MAX_MESSAGE_BYTES => {
            frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
            Ok(frame)
        }
        _ => Err(CodecError::TooLong { bytes, max: MAX_MESSAGE_BYTES }),
    }
}

/// Decodes a message without its length prefix.
///
/// # Errors
/// [`CodecError::ProtocolMismatch`] if a [`Message::Hello`] or [`Message::Welcome`] has another version,
/// regardless of its other content; [`CodecError::Malformed`] if the bytes are not exactly one message.
pub fn decode(bytes: &[u8]) -> Result<Message, CodecError> {
    if let Ok(((variant, theirs), _)) = postcard::take_from_bytes::<(u32, u16)>(bytes)
        && VERSIONED_VARIANTS.contains(&variant)
        && theirs != PROTOCOL_VERSION
    {
        return Err(CodecError::ProtocolMismatch { theirs });
    }
    let problem = match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => return Ok(message),
        Ok((_, rest)) => EncodingError::TrailingBytes(rest.len()),
        Err(error) => error.into(),
    };
    Err(CodecError::Malformed { bytes: bytes.len(), problem })
}

/// Reads length-prefixed messages from a stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    inner: R,
    buffer: BytesMut,
    bytes_read: u64,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader; the stream has to be at the beginning of a message.
    pub fn new(inner: R) -> Self {
        Self { inner, buffer: BytesMut::new(), bytes_read: 0 }
    }

    /// Number of bytes read so far, length prefixes and incomplete messages included.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Discards input until the connection ends, but at most [`MAX_MESSAGE_BYTES`].
    pub async fn drain(self) {
        let mut rest = self.inner.take(MAX_MESSAGE_BYTES as u64);
        // Errors do not matter: the connection is dropped in any case.
        let _ = tokio::io::copy(&mut rest, &mut tokio::io::sink()).await;
    }

    /// Reads the next message; `None` if the other side has closed the connection after a complete one.
    /// Cancel safe.
    ///
    /// # Errors
    /// See [`CodecError`]; the connection can't be used afterwards.
    pub async fn read(&mut self) -> Result<Option<Message>, CodecError> {
        loop {
            let frame_bytes = self.frame_bytes()?;
            let received = self.buffer.len();
            if received >= LENGTH_PREFIX_BYTES && received >= frame_bytes {
                return self.take_frame(frame_bytes).map(Some);
            }
            self.buffer.reserve((frame_bytes - received).clamp(IDLE_BUFFER_BYTES, MAX_READ_BYTES));
            let read = self.inner.read_buf(&mut self.buffer).await?;
            self.bytes_read += read as u64;
            match (read, received) {
                (0, 0) => return Ok(None),
                (0, _) => return Err(CodecError::Truncated { received }),
                _ => {}
            }
        }
    }

    /// Length of the next frame, length prefix included; before the prefix is complete, the length of the
    /// prefix.
    fn frame_bytes(&self) -> Result<usize, CodecError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(LENGTH_PREFIX_BYTES);
        };
        let bytes = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
        if bytes > MAX_MESSAGE_BYTES {
            return Err(CodecError::TooLong { bytes, max: MAX_MESSAGE_BYTES });
        }
        Ok(LENGTH_PREFIX_BYTES + bytes)
    }

    /// Removes the first frame from the buffer and decodes it.
    fn take_frame(&mut self, frame_bytes: usize) -> Result<Message, CodecError> {
        let message = decode(&self.buffer[LENGTH_PREFIX_BYTES..frame_bytes]);
        self.buffer.advance(frame_bytes);
        if self.buffer.is_empty() && frame_bytes > IDLE_BUFFER_BYTES {
            // Releases the memory that a long message took.
            self.buffer = BytesMut::new();
        }
        message
    }
}

/// Writes length-prefixed messages to a stream.
#[derive(Debug)]
pub struct FrameWriter<W> {
    inner: W,
    bytes_written: u64,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Creates a writer; the stream has to be at the beginning of a message.
    pub fn new(inner: W) -> Self {
        Self { inner, bytes_written: 0 }
    }

    /// Number of bytes of completely written messages, length prefixes included.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// Writes a message. Not cancel safe: a cancelled call may have written a part of it.
    ///
    /// # Errors
    /// The message is too long, in which case nothing is written, or the connection failed.
    pub async fn write(&mut self, message: &Message) -> Result<(), CodecError> {
        let frame = encode(message)?;
        self.inner.write_all(&frame).await?;
        self.bytes_written += frame.len() as u64;
        Ok(())
    }

    /// Shuts down the sending side of the connection; messages already written are still delivered.
    pub async fn shutdown(&mut self) {
        // An error means that the connection has failed, which has the same effect.
        let _ = self.inner.shutdown().await;
    }
}

/// Why a body is not a valid [`Backend`].
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum BodyError {
    /// The bytes are not exactly one encoded backend.
    #[error("a body of {bytes} bytes is not a valid backend ({problem})")]
    Malformed {
        /// Length of the body, bytes.
        bytes: usize,
        /// The decoding error.
        problem: EncodingError,
    },
    /// A size that is not finite or not greater than 0.
    #[error("`size` is {0}, must be finite and greater than 0")]
    InvalidSize(f64),
}

/// Encodes the body of a record of [`RecordKind::Backend`](crate::record::RecordKind::Backend).
#[must_use]
pub fn encode_backend_body(backend: &Backend) -> Arc<[u8]> {
    // Encoding a plain structure to memory can't fail.
    postcard::to_stdvec(backend).unwrap_or_default().into()
}

/// Decodes the body of a record of [`RecordKind::Backend`](crate::record::RecordKind::Backend).
///
/// # Errors
/// See [`BodyError`].
pub fn decode_backend_body(body: &[u8]) -> Result<Backend, BodyError> {
    let malformed = |problem| BodyError::Malformed { bytes: body.len(), problem };
    let (backend, rest) =
        postcard::take_from_bytes::<Backend>(body).map_err(|error| malformed(error.into()))?;
    if !rest.is_empty() {
        return Err(malformed(EncodingError::TrailingBytes(rest.len())));
    }
    if backend.capacity.is_finite() && backend.capacity > 0.0 {
        Ok(backend)
    } else {
        Err(BodyError::InvalidSize(backend.capacity))
    }
}
