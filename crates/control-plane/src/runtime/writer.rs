//! A client that applies changes at a source: used by the operators' `write` command, or by a system that
//! detects backends.

use crate::codec::{CodecError, FrameReader, FrameWriter};
use crate::message::{MAX_MESSAGE_BYTES, Message};
use crate::record::{Change, Version};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// Timeout for connecting to a source, and for its response to a write.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the changes in one request of [`Writer::write_parts`], bytes, so that it fits into a
/// message. A larger change is sent alone.
const MAX_PART_BYTES: usize = MAX_MESSAGE_BYTES / 4;
/// Maximum encoded size of a change without its name and body, bytes.
const MAX_CHANGE_OVERHEAD_BYTES: usize = 32;

/// Why changes were not applied, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum WriterError {
    /// The connection to the source could not be established.
    #[error("no connection to the source at {0}: {1}")]
    NotConnected(SocketAddr, std::io::Error),
    /// The source did not respond in time; the changes may have been applied.
    #[error(
        "the source at {0} did not respond within {ms} ms; the changes may have been applied, write them again",
        ms = RESPONSE_TIMEOUT.as_millis()
    )]
    ResponseTimeout(SocketAddr),
    /// The source closed the connection without a response; the changes may have been applied.
    #[error(
        "the source at {0} closed the connection without a response; the changes may have been applied, write them again"
    )]
    Closed(SocketAddr),
    /// The source rejected the changes and applied none of them; contains its reason.
    #[error("the source refused: {0}")]
    Rejected(String),
    /// The message could not be written or read.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// A connection to a source, with at most one request in flight.
#[derive(Debug)]
pub struct Writer {
    address: SocketAddr,
    responses: FrameReader<OwnedReadHalf>,
    requests: FrameWriter<OwnedWriteHalf>,
    last_id: u64,
}

impl Writer {
    /// Connects to a source.
    ///
    /// # Errors
    /// The connection could not be established, or not in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, WriterError> {
        let stream = timeout(RESPONSE_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| WriterError::ResponseTimeout(address))?;
        let stream = stream.map_err(|e| WriterError::NotConnected(address, e))?;
        stream.set_nodelay(true).map_err(|e| WriterError::NotConnected(address, e))?;
        let (reader, writer) = stream.into_split();
        Ok(Self {
            address,
            responses: FrameReader::new(reader),
            requests: FrameWriter::new(writer),
            last_id: 0,
        })
    }

    /// Applies these changes, all or none. Returns the version of the last one. Writes are idempotent: a
    /// change sets the complete state of its record.
    ///
    /// # Errors
    /// The changes were not applied, or the result is unknown. The connection can be reused only after
    /// [`WriterError::Rejected`].
    pub async fn write(&mut self, changes: Vec<Change>) -> Result<Version, WriterError> {
        self.last_id += 1;
        let request = Message::Write { id: self.last_id, changes };
        let response = timeout(RESPONSE_TIMEOUT, async {
            self.requests.write(&request).await?;
            loop {
                match self.responses.read().await? {
                    Some(Message::Written { id, result }) if id == self.last_id => {
                        return result.map_err(WriterError::Rejected);
                    }
                    Some(Message::Close { reason }) => return Err(WriterError::Rejected(reason)),
                    Some(_) => {}
                    None => return Err(WriterError::Closed(self.address)),
                }
            }
        });
        response.await.map_err(|_| WriterError::ResponseTimeout(self.address))?
    }

    /// Applies any number of changes in several requests; the changes of a request are applied all or none.
    /// Returns the version of the last change; `None` if there are no changes.
    ///
    /// # Errors
    /// See [`Writer::write`]. The error is that of the first request that failed; the changes of earlier
    /// requests were applied.
    pub async fn write_parts(&mut self, changes: Vec<Change>) -> Result<Option<Version>, WriterError> {
        let (mut part, mut part_bytes, mut last) = (Vec::new(), 0, None);
        for change in changes {
            let change_bytes = MAX_CHANGE_OVERHEAD_BYTES + change.key.name.len() + change.body.len();
            if part_bytes + change_bytes > MAX_PART_BYTES && !part.is_empty() {
                last = Some(self.write(std::mem::take(&mut part)).await?);
                part_bytes = 0;
            }
            part.push(change);
            part_bytes += change_bytes;
        }
        if !part.is_empty() {
            last = Some(self.write(part).await?);
        }
        Ok(last)
    }
}
