//! Clients of the proxy.

use super::TEST_TIMEOUT;
use super::http_message::{HttpMessage, read_message};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// The proxy's own health check.
pub const HEALTH_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// A request of a class, in the form that clients use. `id` is also its idempotency key.
pub fn request(class: &str, id: &str, body: &str) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    let key = if class == "submit" { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
    format!(
        "{method} /{class}?key=7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: 15000\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client on one connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the proxy accepts");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Self { reader: BufReader::new(stream.try_clone().expect("a clone")), stream }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the proxy reads");
    }

    pub fn receive(&mut self) -> HttpMessage {
        read_message(&mut self.reader).expect("a complete response")
    }

    /// Sends a request and receives its response.
    pub fn exchange(&mut self, text: &str) -> HttpMessage {
        self.send(text);
        self.receive()
    }

    /// Whether the proxy closes the connection without a reset and without another byte.
    pub fn is_closed_cleanly(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 64]), Ok(0))
    }
}
