//! A caller of the external processor: unary gRPC calls over HTTP/2 in plain text, as much of both as a caller
//! needs that makes one call at a time.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;

/// The fields of a message, by field number.
pub type Message = HashMap<u64, Field>;

#[derive(Debug)]
#[allow(dead_code)]
pub enum Field {
    Bytes(Vec<u8>),
    Number(u64),
}

fn varint(mut value: u64, out: &mut Vec<u8>) {
    while value > 127 {
        out.push(value as u8 | 128);
        value >>= 7;
    }
    out.push(value as u8);
}

pub fn bytes_field(number: u64, bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    varint(number << 3 | 2, &mut out);
    varint(bytes.len() as u64, &mut out);
    out.extend_from_slice(bytes);
    out
}

pub fn number_field(number: u64, value: u64) -> Vec<u8> {
    let mut out = Vec::new();
    varint(number << 3, &mut out);
    varint(value, &mut out);
    out
}

fn read_varint(bytes: &mut &[u8]) -> Option<u64> {
    let (mut value, mut shift) = (0, 0);
    loop {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        value |= u64::from(byte & 127) << shift;
        if byte < 128 {
            return Some(value);
        }
        shift += 7;
    }
}

/// Decodes a message; `None` if it is malformed.
pub fn decode(mut bytes: &[u8]) -> Option<Message> {
    let mut fields = Message::new();
    while !bytes.is_empty() {
        let key = read_varint(&mut bytes)?;
        let field = match key & 7 {
            0 => Field::Number(read_varint(&mut bytes)?),
            2 => {
                let length = usize::try_from(read_varint(&mut bytes)?).ok()?;
                let (value, rest) = bytes.split_at_checked(length)?;
                bytes = rest;
                Field::Bytes(value.to_vec())
            }
            _ => return None,
        };
        fields.insert(key >> 3, field);
    }
    Some(fields)
}

/// The bytes of a field; empty if it is missing.
pub fn bytes_of(message: &Message, number: u64) -> &[u8] {
    match message.get(&number) {
        Some(Field::Bytes(bytes)) => bytes,
        _ => &[],
    }
}

fn invalid() -> io::Error {
    ErrorKind::InvalidData.into()
}

pub struct Caller {
    stream: TcpStream,
    last_stream: u32,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut caller = Self { stream, last_stream: 0 };
        caller.stream.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")?;
        caller.write_frame(SETTINGS, 0, 0, &[])?;
        Ok(caller)
    }

    fn write_frame(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> io::Result<()> {
        let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
        frame.extend_from_slice(&[kind, flags]);
        frame.extend_from_slice(&stream.to_be_bytes());
        frame.extend_from_slice(payload);
        self.stream.write_all(&frame)
    }

    /// Makes a call of the service `Decisions` and returns its answer.
    pub fn call(&mut self, method: &str, message: &[u8]) -> io::Result<Message> {
        self.last_stream = if self.last_stream == 0 { 1 } else { self.last_stream + 2 };
        let stream = self.last_stream;
        let path = format!("/haventrack.decisions.v1.Decisions/{method}");
        let fields = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", &path),
            (":authority", "processor"),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ];
        let mut head = Vec::new();
        for (name, value) in fields {
            // A literal header field that is not indexed, with a new name.
            head.push(0);
            for text in [name, value] {
                head.push(text.len() as u8);
                head.extend_from_slice(text.as_bytes());
            }
        }
        self.write_frame(HEADERS, END_HEADERS, stream, &head)?;
        let mut body = vec![0];
        body.extend_from_slice(&(message.len() as u32).to_be_bytes());
        body.extend_from_slice(message);
        self.write_frame(DATA, END_STREAM, stream, &body)?;
        let mut answer = Vec::new();
        loop {
            let mut head = [0; 9];
            self.stream.read_exact(&mut head)?;
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
            let (kind, flags) = (head[3], head[4]);
            let of = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
            let mut payload = vec![0; length as usize];
            self.stream.read_exact(&mut payload)?;
            match kind {
                SETTINGS | PING if flags & ACK == 0 => {
                    let echo = if kind == PING { payload } else { Vec::new() };
                    self.write_frame(kind, ACK, 0, &echo)?;
                }
                RST_STREAM if of == stream => return Err(ErrorKind::ConnectionReset.into()),
                DATA if of == stream => answer.extend_from_slice(&payload),
                _ => {}
            }
            if of == stream && matches!(kind, DATA | HEADERS) && flags & END_STREAM != 0 {
                return answer.get(5..).and_then(decode).ok_or_else(invalid);
            }
        }
    }
}
