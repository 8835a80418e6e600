//! A minimal HTTP/1.1 implementation for emulators, which also have to violate the protocol on purpose. Heads
//! are parsed by `httparse`.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 1024 * 1024;
const MAX_HEADERS: usize = 64;

/// The kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Sent by a client.
    Request,
    /// Sent by a server.
    Response,
}

/// A received message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The method of a request; empty for a response.
    pub method: String,
    /// The path and query of a request; empty for a response.
    pub path: String,
    /// The status of a response; 0 for a request.
    pub status: u16,
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, by its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The request id that the testbed's clients send; `None` where it is missing or malformed.
    #[must_use]
    pub fn id(&self) -> Option<u64> {
        self.header("x-correlation-id").and_then(|v| u64::from_str_radix(v, 16).ok())
    }

    /// Whether the sender closes the connection after this message.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Parses a head. Returns its length in bytes and the message without its body, or `None` while the head is
/// incomplete.
///
/// # Errors
/// Where it is malformed or larger than 16 KiB.
pub fn parse_head(bytes: &[u8], kind: MessageKind) -> io::Result<Option<(usize, Message)>> {
    let invalid = |problem: String| io::Error::new(io::ErrorKind::InvalidData, problem);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut message = Message::default();
    let parsed = match kind {
        MessageKind::Response => {
            let mut head = httparse::Response::new(&mut headers);
            let parsed = head.parse(bytes).map_err(|e| invalid(e.to_string()))?;
            message.status = head.code.unwrap_or(0);
            parsed
        }
        MessageKind::Request => {
            let mut head = httparse::Request::new(&mut headers);
            let parsed = head.parse(bytes).map_err(|e| invalid(e.to_string()))?;
            message.method = head.method.unwrap_or_default().into();
            message.path = head.path.unwrap_or_default().into();
            parsed
        }
    };
    let httparse::Status::Complete(length) = parsed else {
        let is_too_large = bytes.len() > MAX_HEAD_BYTES;
        return if is_too_large {
            Err(invalid("the head of the message is larger than 16 KiB".into()))
        } else {
            Ok(None)
        };
    };
    for header in headers.iter().take_while(|header| !header.name.is_empty()) {
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        message.headers.push((header.name.to_ascii_lowercase(), value));
    }
    Ok(Some((length, message)))
}

/// Reads one message; `None` where the connection closes before its first byte. Bytes that follow the message
/// stay in `buffer`, which has to be passed to the next call for this connection.
///
/// # Errors
/// Where the connection fails, or the message is invalid or has a body of more than 1 MiB.
pub async fn read(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    kind: MessageKind,
) -> io::Result<Option<Message>> {
    Ok(read_sized(stream, buffer, kind).await?.map(|(_, message)| message))
}

/// As [`read`], and also returns the length of the message in bytes.
///
/// # Errors
/// Where the connection fails, or the message is invalid or has a body of more than 1 MiB.
pub async fn read_sized(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    kind: MessageKind,
) -> io::Result<Option<(usize, Message)>> {
    let (head_length, mut message) = loop {
        if let Some(head) = parse_head(buffer, kind)? {
            break head;
        }
        if stream.read_buf(buffer).await? == 0 {
            return if buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    };
    let body_length = message.header("content-length").map_or(Ok(0), str::parse::<usize>);
    let body_length =
        body_length.ok().filter(|&length| length <= MAX_BODY_BYTES).ok_or(io::ErrorKind::InvalidData)?;
    while buffer.len() < head_length + body_length {
        if stream.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = buffer[head_length..head_length + body_length].to_vec();
    buffer.drain(..head_length + body_length);
    Ok(Some((head_length + body_length, message)))
}

/// Writes a response. `status` is the code with its reason phrase; `headers` consists of complete lines, each
/// with its line end; `Content-Length` is added.
///
/// # Errors
/// Where the connection fails.
pub async fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await
}

#[cfg(test)]
mod tests;
