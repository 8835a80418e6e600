//! Writes changes to a source: an operator's tool, or whoever learns of backends.

use crate::codec::{CodecError, FrameReader, FrameWriter, backend_body};
use crate::message::{MAX_BYTES, Message};
use crate::record::{Backend, Change, Key, Kind, ServiceId, State, Version};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// How long a source may take for a connection and for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest part of many changes, bytes of names and bodies: a message holds it with room to spare.
const PART: usize = MAX_BYTES / 4;
/// What one change takes beside its name and body, bytes at most.
const FIXED: usize = 32;

/// Why changes were not made, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum WriterError {
    /// No connection to the source.
    #[error("no connection to the source at {0}: {1}")]
    NoConnection(SocketAddr, std::io::Error),
    /// It did not answer: the changes may have been made.
    #[error(
        "the source at {0} did not answer within {ms} ms; the changes may have been made, write them again",
        ms = ANSWER_TIMEOUT.as_millis()
    )]
    NoAnswer(SocketAddr),
    /// The connection ended without an answer: the changes may have been made.
    #[error("the source at {0} closed the connection; the changes may have been made, write them again")]
    Closed(SocketAddr),
    /// The source made none of the changes.
    #[error("the source refused: {0}")]
    Refused(String),
    /// The message could not be written or read.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// A connection to a source for writing. One message is out at a time.
#[derive(Debug)]
pub struct Writer {
    address: SocketAddr,
    reader: FrameReader<OwnedReadHalf>,
    writer: FrameWriter<OwnedWriteHalf>,
    id: u64,
}

impl Writer {
    /// Connects to a source.
    ///
    /// # Errors
    /// Where there is no connection in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, WriterError> {
        let stream = timeout(ANSWER_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| WriterError::NoAnswer(address))?;
        let stream = stream.map_err(|e| WriterError::NoConnection(address, e))?;
        stream.set_nodelay(true).map_err(|e| WriterError::NoConnection(address, e))?;
        let (reader, writer) = stream.into_split();
        Ok(Self { address, reader: FrameReader::new(reader), writer: FrameWriter::new(writer), id: 0 })
    }

    /// Makes these changes, all or none. Gives the version of the last one. A change that is made twice does no harm.
    ///
    /// # Errors
    /// Where they were not made, or nobody knows; the connection is of use only after [`WriterError::Refused`].
    pub async fn write(&mut self, changes: Vec<Change>) -> Result<Version, WriterError> {
        self.id += 1;
        let question = Message::Write { id: self.id, changes };
        let answer = timeout(ANSWER_TIMEOUT, async {
            self.writer.write(&question).await?;
            loop {
                match self.reader.read().await? {
                    Some(Message::Written { id, result }) if id == self.id => {
                        return result.map_err(WriterError::Refused);
                    }
                    Some(Message::Goodbye { why }) => return Err(WriterError::Refused(why)),
                    Some(_) => {}
                    None => return Err(WriterError::Closed(self.address)),
                }
            }
        });
        answer.await.map_err(|_| WriterError::NoAnswer(self.address))?
    }

    /// Makes as many changes as one likes, in parts that are each made whole or not. Gives the version of the last one;
    /// `None` without changes.
    ///
    /// # Errors
    /// As [`Writer::write`], for the first part that was not made; those before it were.
    pub async fn write_parts(&mut self, changes: Vec<Change>) -> Result<Option<Version>, WriterError> {
        let (mut part, mut bytes, mut last) = (Vec::new(), 0, None);
        for change in changes {
            let more = FIXED + change.key.name.len() + change.body.len();
            if bytes + more > PART && !part.is_empty() {
                last = Some(self.write(std::mem::take(&mut part)).await?);
                bytes = 0;
            }
            part.push(change);
            bytes += more;
        }
        if !part.is_empty() {
            last = Some(self.write(part).await?);
        }
        Ok(last)
    }
}

/// A change as it stands in a file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    service: ServiceId,
    kind: KindName,
    name: String,
    state: StateName,
    backend: Option<Backend>,
    body: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum KindName {
    Backend,
    Configuration,
    Route,
    Tenant,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateName {
    Active,
    Draining,
    Gone,
}

/// The changes in a text, JSON.
///
/// # Errors
/// Names the entry and the key that is wrong.
pub fn changes(text: &[u8]) -> Result<Vec<Change>, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let written: Vec<Written> =
        serde_path_to_error::deserialize(&mut json).map_err(|e| format!("`{}`: {}", e.path(), e.inner()))?;
    json.end().map_err(|e| e.to_string())?;
    let entries = written.into_iter().enumerate();
    entries.map(|(i, one)| change(one).map_err(|problem| format!("`[{i}]`: {problem}"))).collect()
}

fn change(written: Written) -> Result<Change, String> {
    let Written { service, kind, name, state, backend, body } = written;
    let kind = match kind {
        KindName::Backend => Kind::Backend,
        KindName::Configuration => Kind::Configuration,
        KindName::Route => Kind::Route,
        KindName::Tenant => Kind::Tenant,
    };
    let state = match state {
        StateName::Active => State::Active,
        StateName::Draining => State::Draining,
        StateName::Gone => State::Gone,
    };
    let body = match (state, kind, backend, body) {
        (State::Gone, _, None, None) => [].into(),
        (State::Gone, ..) => return Err(format!("`{name}` is gone; leave out `backend` and `body`")),
        (_, Kind::Backend, Some(backend), None) => {
            if !(backend.size.is_finite() && backend.size > 0.0) {
                return Err(format!("`backend.size` of `{name}` is {}, must be above 0", backend.size));
            }
            backend_body(&backend)
        }
        (_, Kind::Backend, ..) => return Err(format!("`{name}` is a backend; give `backend` and no `body`")),
        (_, _, None, Some(body)) => body.into_bytes().into(),
        _ => return Err(format!("`{name}` is no backend; give `body` and no `backend`")),
    };
    Ok(Change { key: Key { service, kind, name: name.into() }, state, body })
}
