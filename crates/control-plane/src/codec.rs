//! Framing and encoding of messages: the length in four bytes, big-endian, then the message encoded with postcard.

use crate::message::{MAX_MESSAGE_BYTES, Message, PROTOCOL_VERSION};
use crate::record::Backend;
use bytes::{Buf, BytesMut};
use std::io;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Size of the length prefix, bytes.
const LENGTH_PREFIX_BYTES: usize = 4;
/// The most that is read at a time, bytes: a length prefix alone never makes the reader allocate more.
const MAX_READ_BYTES: usize = 16 << 10;
/// Read buffer of an idle connection, bytes: usual messages fit, and thousands of connections take few megabytes.
const IDLE_BUFFER_BYTES: usize = 1 << 10;
/// The variant numbers of [`Message::Hello`] and [`Message::Welcome`]. In every protocol version both begin with the
/// version, so that a mismatch is reported as such.
const VERSIONED_VARIANTS: [u32; 2] = [0, 1];

/// Why bytes could not be encoded or decoded.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum EncodingError {
    /// The bytes are not of this type.
    #[error("{0}")]
    Postcard(#[from] postcard::Error),
    /// There are bytes after the value.
    #[error("{0} bytes are left over")]
    TrailingBytes(usize),
}

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The connection ended within a message.
    #[error("the connection ended after {received} bytes of a message; a message is sent whole")]
    Truncated {
        /// The bytes received, length prefix included.
        received: usize,
    },
    /// A message beyond [`MAX_MESSAGE_BYTES`]; nothing of it was read or written.
    #[error("a message of {bytes} bytes is too long, {max} bytes at most are taken; send it in parts")]
    TooLong {
        /// The length.
        bytes: usize,
        /// The greatest accepted length.
        max: usize,
    },
    /// Bytes that are not an encoded message.
    #[error(
        "a message of {bytes} bytes is not understood ({problem}); protocol {} is spoken here",
        PROTOCOL_VERSION
    )]
    Malformed {
        /// The length.
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
        /// The version of the other side.
        theirs: u16,
    },
    /// Reading or writing the connection failed.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
}

/// Encodes a message with its length prefix.
///
/// # Errors
/// [`CodecError::TooLong`].
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
/// [`CodecError::ProtocolMismatch`] where a [`Message::Hello`] or [`Message::Welcome`] has another version, regardless of the
/// rest; [`CodecError::Malformed`] where the bytes are not exactly one message.
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

/// Reads messages from a stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    inner: R,
    buffer: BytesMut,
    bytes_read: u64,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// A reader at the beginning of a stream.
    pub fn new(inner: R) -> Self {
        Self { inner, buffer: BytesMut::new(), bytes_read: 0 }
    }

    /// Bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Discards input until the connection ends, at the most the length of the longest message.
    pub async fn drain(self) {
        let mut rest = self.inner.take(MAX_MESSAGE_BYTES as u64);
        // The connection is dropped in any case.
        let _ = tokio::io::copy(&mut rest, &mut tokio::io::sink()).await;
    }

    /// The next message; `None` once the other side has closed the connection after a complete one. Cancel safe.
    ///
    /// # Errors
    /// See [`CodecError`]; the connection can't be used any more.
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

    /// The length of the next frame as far as it is known, length prefix included.
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

    /// Decodes the first frame of the buffer and removes it.
    fn take_frame(&mut self, frame_bytes: usize) -> Result<Message, CodecError> {
        let message = decode(&self.buffer[LENGTH_PREFIX_BYTES..frame_bytes]);
        self.buffer.advance(frame_bytes);
        if self.buffer.is_empty() && frame_bytes > IDLE_BUFFER_BYTES {
            // Releases the memory of a long message.
            self.buffer = BytesMut::new();
        }
        message
    }
}

/// Writes messages to a stream.
#[derive(Debug)]
pub struct FrameWriter<W> {
    inner: W,
    bytes_written: u64,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// A writer at the beginning of a stream.
    pub fn new(inner: W) -> Self {
        Self { inner, bytes_written: 0 }
    }

    /// Bytes written so far.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// Writes a message. Not cancel safe: a dropped call may have written a part of it.
    ///
    /// # Errors
    /// A message beyond the bound, of which nothing is written, or a failed connection.
    pub async fn write(&mut self, message: &Message) -> Result<(), CodecError> {
        let frame = encode(message)?;
        self.inner.write_all(&frame).await?;
        self.bytes_written += frame.len() as u64;
        Ok(())
    }

    /// Shuts down the sending side; written messages are still delivered.
    pub async fn shutdown(&mut self) {
        // A failed connection is shut down as well.
        let _ = self.inner.shutdown().await;
    }
}

/// Why a body is not a valid [`Backend`].
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum BodyError {
    /// Bytes that are not an encoded backend.
    #[error("a body of {bytes} bytes is no backend ({problem})")]
    Malformed {
        /// The length.
        bytes: usize,
        /// The decoding error.
        problem: EncodingError,
    },
    /// A size that is not finite and above 0.
    #[error("`size` is {0}, must be finite and above 0")]
    InvalidSize(f64),
}

/// Encodes the body of a backend's record.
#[must_use]
pub fn encode_backend_body(backend: &Backend) -> Arc<[u8]> {
    // Encoding a plain structure to memory does not fail.
    postcard::to_stdvec(backend).unwrap_or_default().into()
}

/// Decodes the body of a backend's record.
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
    if backend.size.is_finite() && backend.size > 0.0 {
        Ok(backend)
    } else {
        Err(BodyError::InvalidSize(backend.size))
    }
}
