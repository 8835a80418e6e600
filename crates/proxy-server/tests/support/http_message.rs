//! Reading and writing of HTTP/1.1 messages in tests.

use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::time::Instant;

/// A received request or response.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    /// The first line and the headers, including the empty line at the end.
    pub head: String,
    pub body: Vec<u8>,
    /// The index of the connection on which a [`Backend`](super::Backend) received it; otherwise 0.
    pub connection: usize,
    /// When the last byte was read.
    pub received_at: Instant,
}

impl HttpMessage {
    /// A message without a body, received now.
    pub fn from_head(head: String) -> Self {
        Self { head, body: Vec::new(), connection: 0, received_at: Instant::now() }
    }

    /// The request line or status line, without its line end.
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.first_line().split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }

    /// The trimmed value of the first header with this name, whatever its case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(':'));
        fields.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }
}

/// Reads one message with its body. Returns `None` if the connection ends or fails before its end.
pub fn read_message(reader: &mut impl BufRead) -> Option<HttpMessage> {
    let mut message = HttpMessage::from_head(read_head(reader)?);
    if message.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut message.body)?;
    } else {
        let length =
            message.header("content-length").map_or(0, |l| l.parse().expect("a valid Content-Length"));
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body).ok()?;
    }
    message.received_at = Instant::now();
    Some(message)
}

fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim(), 16).expect("a valid chunk size");
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..]).ok()?;
        reader.read_line(&mut line).ok()?;
        if size == 0 {
            return Some(());
        }
    }
}

/// The bytes of a response. `headers` are complete lines, each with its line end.
pub fn response_bytes(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Writes all bytes. Returns false if the write failed, for example after a close by the peer.
pub fn write_bytes(mut stream: &TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}
