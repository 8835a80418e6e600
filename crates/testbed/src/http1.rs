//! HTTP/1.1 as the stand-ins speak it: plain enough to break it on purpose. Heads are parsed by `httparse`.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The largest head and the largest body that a stand-in takes, in bytes.
const HEAD_CAP: usize = 16 * 1024;
const BODY_CAP: usize = 1024 * 1024;
/// The most fields of a head.
const FIELDS: usize = 64;

/// A message as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Method and target of a request; empty for an answer.
    pub target: (String, String),
    /// Status of an answer; 0 for a request.
    pub status: u16,
    /// Names in lower case, and values.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The id that the rig's clients give a request.
    #[must_use]
    pub fn id(&self) -> Option<u64> {
        self.field("x-correlation-id").and_then(|v| u64::from_str_radix(v, 16).ok())
    }

    /// Whether the sender closes the connection behind it.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Whether a head is whole: its length and the message with no body yet.
///
/// # Errors
/// Where it is none, or too large.
pub fn parse_head(bytes: &[u8], answer: bool) -> io::Result<Option<(usize, Message)>> {
    let broken = |problem: String| io::Error::new(io::ErrorKind::InvalidData, problem);
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut message = Message::default();
    let parsed = if answer {
        let mut head = httparse::Response::new(&mut fields);
        let parsed = head.parse(bytes).map_err(|e| broken(e.to_string()))?;
        message.status = head.code.unwrap_or(0);
        parsed
    } else {
        let mut head = httparse::Request::new(&mut fields);
        let parsed = head.parse(bytes).map_err(|e| broken(e.to_string()))?;
        let text = |part: Option<&str>| part.unwrap_or_default().to_owned();
        message.target = (text(head.method), text(head.path));
        parsed
    };
    let httparse::Status::Complete(length) = parsed else {
        return if bytes.len() > HEAD_CAP { Err(broken("the head is too large".into())) } else { Ok(None) };
    };
    for field in fields.iter().take_while(|f| !f.name.is_empty()) {
        let value = String::from_utf8_lossy(field.value).trim().to_owned();
        message.fields.push((field.name.to_ascii_lowercase(), value));
    }
    Ok(Some((length, message)))
}

/// Reads one message; `None` where the connection ends before its first byte. `buffer` keeps what comes behind.
///
/// # Errors
/// Where the connection breaks, or what comes is no message.
pub async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>, answer: bool) -> io::Result<Option<Message>> {
    Ok(read_sized(stream, buffer, answer).await?.map(|(_, message)| message))
}

/// As [`read`], with the bytes that the message had on the wire.
///
/// # Errors
/// Where the connection breaks, or what comes is no message.
pub async fn read_sized(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    answer: bool,
) -> io::Result<Option<(usize, Message)>> {
    let (length, mut message) = loop {
        if let Some(whole) = parse_head(buffer, answer)? {
            break whole;
        }
        if stream.read_buf(buffer).await? == 0 {
            return if buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    };
    let body = message.field("content-length").map_or(Ok(0), str::parse::<usize>);
    let body = body.ok().filter(|&b| b <= BODY_CAP).ok_or(io::ErrorKind::InvalidData)?;
    while buffer.len() < length + body {
        if stream.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = buffer[length..length + body].to_vec();
    buffer.drain(..length + body);
    Ok(Some((length + body, message)))
}

/// Writes an answer.
///
/// # Errors
/// Where the connection breaks.
pub async fn answer(stream: &mut TcpStream, status: &str, more: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await
}

#[cfg(test)]
mod tests;
