//! Clients of the proxy.

use super::TEST_TIMEOUT;
use super::http_message::{HttpMessage, read_message};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A request to the health check endpoint of the proxy itself.
pub const HEALTH_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// A request of this class with a response deadline of 15 s. Only class `submit` has an idempotency key,
/// equal to `id`.
pub fn request(class: &str, id: &str, body: &str) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    let key = if class == "submit" { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
    format!(
        "{method} /{class}?key=7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: 15000\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client with one connection to the proxy.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to the proxy.
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("connect to the proxy");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        Self { reader: BufReader::new(stream.try_clone().expect("clone the stream")), stream }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("write to the proxy");
    }

    /// Waits for bytes and returns those that have arrived; none at the end of the connection. A call that a stop
    /// of this process interrupts is repeated: with a read timeout the kernel does not restart it.
    pub fn arrived(&mut self) -> io::Result<&[u8]> {
        while self.reader.buffer().is_empty() {
            match self.reader.fill_buf() {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
                Ok([]) => break,
                Ok(_) => {}
            }
        }
        Ok(self.reader.buffer())
    }

    /// Reads one response; fails the test if the connection ends before it.
    pub fn receive(&mut self) -> HttpMessage {
        read_message(&mut self.reader).expect("a complete response")
    }

    /// Sends a request and receives its response.
    pub fn exchange(&mut self, text: &str) -> HttpMessage {
        self.send(text);
        self.receive()
    }

    /// Waits for the end of the connection. Returns false if more bytes or a reset arrive, or nothing within
    /// [`TEST_TIMEOUT`].
    pub fn is_closed_cleanly(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 64]), Ok(0))
    }
}
