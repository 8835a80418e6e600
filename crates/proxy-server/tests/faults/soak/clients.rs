//! The clients of a soak.

use super::Soak;
use crate::support::*;
use fastrand::Rng;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// What a client recorded of a response.
#[derive(Clone, Copy)]
pub struct ResponseRecord {
    pub status: u16,
    /// When the client had received all of it.
    pub received_at: Instant,
}

/// What a client recorded of a request.
pub struct RequestRecord {
    pub id: String,
    pub sent_at: Instant,
    /// The remaining time that the client sends in the request.
    pub client_timeout: Duration,
    /// `None` where the connection ended without a response.
    pub response: Option<ResponseRecord>,
    pub ended_at: Instant,
    /// The connection was open before the request: its close by the proxy may have crossed the request.
    pub is_on_reused_connection: bool,
    /// The kernel accepted all bytes of the request.
    pub is_fully_written: bool,
}

/// Runs one client until the soak stops, or until it needs a new connection and no more are to be opened.
pub fn run_client(soak: &Soak, address: SocketAddr, number: usize, seed: u64) -> Vec<RequestRecord> {
    let mut rng = Rng::with_seed(seed);
    let mut client: Option<Client> = None;
    let mut records = Vec::new();
    for round in 0.. {
        if soak.stop.load(Ordering::Acquire) {
            break;
        }
        thread::sleep(Duration::from_millis(rng.u64(2..30)));
        if rng.u32(0..4) == 0 {
            client = None;
        }
        let is_on_reused_connection = client.is_some();
        if !is_on_reused_connection {
            if soak.stop_connecting.load(Ordering::Acquire) {
                break;
            }
            let Ok(stream) = TcpStream::connect(address) else { continue };
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read timeout is set");
            client = Some(Client {
                reader: BufReader::new(stream.try_clone().expect("the socket is cloned")),
                stream,
            });
        }
        let Some(connection) = &mut client else { continue };
        let class = ["read", "submit", "charge"][rng.usize(0..3)];
        let id = format!("{class}-{number}-{round}");
        let client_timeout = soak.deadline.mul_f64(0.5 + rng.f64() / 2.0);
        let text = request_text(class, &id, client_timeout);
        let is_fully_written = write_in_pieces(&mut connection.stream, &text, &mut rng);
        let sent_at = Instant::now();
        let message = read_message(&mut connection.reader);
        let response = message
            .as_ref()
            .map(|message| ResponseRecord { status: message.status(), received_at: Instant::now() });
        if message.is_none_or(|message| message.header("connection") == Some("close")) {
            client = None;
        }
        let ended_at = Instant::now();
        records.push(RequestRecord {
            id,
            sent_at,
            client_timeout,
            response,
            ended_at,
            is_on_reused_connection,
            is_fully_written,
        });
    }
    records
}

fn request_text(class: &str, id: &str, client_timeout: Duration) -> String {
    let body = if class == "read" { "" } else { "a body" };
    request(class, id, body).replace("15000", &client_timeout.as_millis().to_string())
}

/// Writes a request, sometimes in two pieces. Returns whether the kernel accepted all bytes.
fn write_in_pieces(stream: &mut TcpStream, text: &str, rng: &mut Rng) -> bool {
    let split_at = if rng.u32(0..4) == 0 { rng.usize(1..text.len()) } else { text.len() };
    let mut is_written = stream.write_all(&text.as_bytes()[..split_at]).is_ok();
    if split_at < text.len() {
        thread::sleep(Duration::from_millis(rng.u64(1..20)));
        is_written &= stream.write_all(&text.as_bytes()[split_at..]).is_ok();
    }
    is_written
}

/// Keeps connections open, half of which send nothing and the others an incomplete request head.
pub fn open_idle_connections(soak: &Soak, address: SocketAddr, count: usize) {
    let mut idle = Vec::new();
    while !soak.stop_connecting.load(Ordering::Acquire) {
        if idle.len() < count
            && let Ok(mut stream) = TcpStream::connect(address)
        {
            if idle.len() % 2 == 0 {
                let _ = stream.write_all(b"GET /read HT");
            }
            idle.push(stream);
        }
        thread::sleep(Duration::from_millis(3));
    }
}
