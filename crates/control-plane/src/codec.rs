//! How messages travel: four bytes of length, the most significant first, then the message in postcard's form.

use crate::message::{MAX_BYTES, Message, PROTOCOL};
use crate::record::Backend;
use bytes::{Buf, BytesMut};
use std::io;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Bytes of the length that goes before a message.
const PREFIX: usize = 4;
/// The most that is read in one go, bytes: a length alone, whatever it says, makes nobody hold more.
const STEP: usize = 16 << 10;
/// What an idle connection holds for reading, bytes: its usual messages fit in, and thousands of connections are few
/// megabytes.
const IDLE: usize = 1 << 10;
/// The places of [`Message::Hello`] and [`Message::Welcome`] among the messages. Both begin with their version, in every
/// version, so that parties of two versions can say that this is what parts them.
const GREETINGS: [u32; 2] = [0, 1];

/// Why no message could be had.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The connection ended within a message.
    #[error("the connection ended after {had} bytes of a message; a message is sent whole")]
    CutOff {
        /// How much of it had come, length included.
        had: usize,
    },
    /// A message beyond the bound; nothing of it was read.
    #[error("a message of {bytes} bytes is too long, {most} bytes at most are taken; send it in parts")]
    TooLong {
        /// How long it is.
        bytes: usize,
        /// How long it may be.
        most: usize,
    },
    /// Bytes that are no message.
    #[error("a message of {bytes} bytes is not understood ({problem}); protocol {} is spoken here", PROTOCOL)]
    NotUnderstood {
        /// How long it is.
        bytes: usize,
        /// What is wrong with it.
        problem: String,
    },
    /// A greeting in other words.
    #[error("protocol {theirs} is not spoken here, {} is; bring both parties to one version", PROTOCOL)]
    OtherVersion {
        /// The version that it names.
        theirs: u16,
    },
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
}

/// A message with its length before it.
///
/// # Errors
/// [`CodecError::TooLong`].
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    let not_sent =
        |problem: postcard::Error| CodecError::NotUnderstood { bytes: 0, problem: problem.to_string() };
    let mut frame = postcard::to_extend(message, vec![0; PREFIX]).map_err(not_sent)?;
    let bytes = frame.len() - PREFIX;
    match u32::try_from(bytes) {
        Ok(length) if bytes <= MAX_BYTES => {
            frame[..PREFIX].copy_from_slice(&length.to_be_bytes());
            Ok(frame)
        }
        _ => Err(CodecError::TooLong { bytes, most: MAX_BYTES }),
    }
}

/// The message that these bytes are, without their length.
///
/// # Errors
/// [`CodecError::OtherVersion`] where a greeting names another version, whatever follows in it;
/// [`CodecError::NotUnderstood`] where this is no message, or something stands behind it.
pub fn decode(bytes: &[u8]) -> Result<Message, CodecError> {
    if let Ok(((place, theirs), _)) = postcard::take_from_bytes::<(u32, u16)>(bytes)
        && GREETINGS.contains(&place)
        && theirs != PROTOCOL
    {
        return Err(CodecError::OtherVersion { theirs });
    }
    let problem = match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => return Ok(message),
        Ok((_, rest)) => format!("{} bytes are left over", rest.len()),
        Err(error) => error.to_string(),
    };
    Err(CodecError::NotUnderstood { bytes: bytes.len(), problem })
}

/// Reads messages.
#[derive(Debug)]
pub struct FrameReader<R> {
    inner: R,
    buffer: BytesMut,
    taken: u64,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Nothing read yet.
    pub fn new(inner: R) -> Self {
        Self { inner, buffer: BytesMut::new(), taken: 0 }
    }

    /// Bytes read so far.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Drops whatever comes, up to the longest message and to the end of the connection at the most.
    pub async fn drain(self) {
        let mut rest = self.inner.take(MAX_BYTES as u64);
        // It is left either way.
        let _ = tokio::io::copy(&mut rest, &mut tokio::io::sink()).await;
    }

    /// The next message; `None` once the other side has ended the connection behind one. A call that is dropped
    /// loses nothing.
    ///
    /// # Errors
    /// Where no message can be had; the connection is of no use after it.
    pub async fn read(&mut self) -> Result<Option<Message>, CodecError> {
        loop {
            let wanted = match self.buffer.first_chunk::<PREFIX>() {
                None => PREFIX,
                Some(prefix) => {
                    let bytes = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
                    if bytes > MAX_BYTES {
                        return Err(CodecError::TooLong { bytes, most: MAX_BYTES });
                    }
                    PREFIX + bytes
                }
            };
            let had = self.buffer.len();
            if had >= PREFIX && had >= wanted {
                let message = decode(&self.buffer[PREFIX..wanted]);
                self.buffer.advance(wanted);
                if self.buffer.is_empty() && wanted > IDLE {
                    // What one long message took is not kept for the short ones to come.
                    self.buffer = BytesMut::new();
                }
                return message.map(Some);
            }
            self.buffer.reserve((wanted - had).clamp(IDLE, STEP));
            let read = self.inner.read_buf(&mut self.buffer).await?;
            self.taken += read as u64;
            match (read, had) {
                (0, 0) => return Ok(None),
                (0, _) => return Err(CodecError::CutOff { had }),
                _ => {}
            }
        }
    }
}

/// Writes messages.
#[derive(Debug)]
pub struct FrameWriter<W> {
    inner: W,
    given: u64,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Nothing written yet.
    pub fn new(inner: W) -> Self {
        Self { inner, given: 0 }
    }

    /// Bytes written so far.
    pub fn given(&self) -> u64 {
        self.given
    }

    /// Writes a message. A call that is dropped leaves part of a message behind: the connection is of no use after it.
    ///
    /// # Errors
    /// A message beyond the bound, of which nothing is written, or a connection that broke.
    pub async fn write(&mut self, message: &Message) -> Result<(), CodecError> {
        let frame = encode(message)?;
        self.inner.write_all(&frame).await?;
        self.given += frame.len() as u64;
        Ok(())
    }

    /// Ends the connection for writing; what was written still arrives.
    pub async fn end(&mut self) {
        // A connection that broke has ended as well.
        let _ = self.inner.shutdown().await;
    }
}

/// Why a body is no [`Backend`].
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BodyError {
    /// Other bytes.
    #[error("a body of {bytes} bytes is no backend ({problem})")]
    Malformed {
        /// How long it is.
        bytes: usize,
        /// What is wrong.
        problem: String,
    },
    /// A size that can't be weighed.
    #[error("`size` is {0}, must be finite and above 0")]
    Size(String),
}

/// The body of a backend's record.
#[must_use]
pub fn backend_body(backend: &Backend) -> Arc<[u8]> {
    // Writing a plain structure to memory does not fail.
    postcard::to_stdvec(backend).unwrap_or_default().into()
}

/// The backend that a record's body tells of.
///
/// # Errors
/// What is wrong with it.
pub fn read_backend(body: &[u8]) -> Result<Backend, BodyError> {
    let malformed = |problem: String| BodyError::Malformed { bytes: body.len(), problem };
    let (backend, rest) = postcard::take_from_bytes::<Backend>(body).map_err(|e| malformed(e.to_string()))?;
    if !rest.is_empty() {
        return Err(malformed(format!("{} bytes are left over", rest.len())));
    }
    if backend.size.is_finite() && backend.size > 0.0 {
        Ok(backend)
    } else {
        Err(BodyError::Size(backend.size.to_string()))
    }
}
