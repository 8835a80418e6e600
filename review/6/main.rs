//! An answer without a length that never ends: at the end of the client's time the proxy begins to pass it on, and the
//! client never gets a final answer.

#[path = "../common2.rs"]
mod common2;

use common2::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLASSES: &str = "{\"name\":\"read\",\"effect\":\"retryable\",\"aimUs\":540000,\"deadlineUs\":1350000,\"worth\":1.0,\"lateWorth\":0.3},
{\"name\":\"order\",\"effect\":\"fragile\",\"aimUs\":1048000,\"deadlineUs\":2620000,\"worth\":3.0,\"lateWorth\":0.3}";
/// One answer in this many never ends.
const SPOILT_EVERY: u32 = 20;
/// Such an answer: this many bytes, and then as many again, after this time.
const PIECE_BYTES: usize = 64;
const PIECE_EVERY_MS: u64 = 100;
/// How long a client waits for its answer.
const TIME_LEFT_MS: u64 = 1_300;
/// Half a second after its time a request without its final answer is lost; each limit is 50 ms longer on sockets.
const LOST_AFTER_MS: u64 = TIME_LEFT_MS + 500 + 50;
/// The client of the case stays this long, to see what becomes of the answer.
const WATCH_MS: u64 = 12_000;
const CLIENTS: u32 = 6;
const DURATION_MS: u64 = 12_000;

fn serve_box(name: String, listener: TcpListener, count: Arc<Mutex<u32>>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, count) = (name.clone(), Arc::clone(&count));
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return };
                let (mut reader, mut writer) = (BufReader::new(reading), stream);
                while let Ok(Some(request)) = read_message(&mut reader, false) {
                    let id = request.header("x-correlation-id").unwrap_or("").to_owned();
                    let number = {
                        let mut count = count.lock().unwrap();
                        *count += 1;
                        *count
                    };
                    sleep_ms(20);
                    if case().trouble && number % SPOILT_EVERY == 0 {
                        note(&format!("{name}: the answer to {id} has no length and never ends"));
                        let mut written = writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                        let mut pieces = 0;
                        while written.is_ok() {
                            let piece = format!("{PIECE_BYTES:x}\r\n{}\r\n", "x".repeat(PIECE_BYTES));
                            written = writer.write_all(piece.as_bytes());
                            pieces += 1;
                            sleep_ms(PIECE_EVERY_MS);
                        }
                        note(&format!("{name}: the connection of {id} was ended by the proxy after {pieces} pieces"));
                        return;
                    }
                    let body = format!("answer to {id}");
                    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// What a client sees of the answer to one request: its end, and when.
struct Seen {
    status: u16,
    first_byte_ms: Option<u64>,
    /// When the answer was whole, or the connection was ended; `None`: neither while the client watched.
    ended_ms: Option<u64>,
    is_whole: bool,
    bytes: usize,
}

fn ask(proxy: SocketAddr, text: &str) -> std::io::Result<Seen> {
    let stream = TcpStream::connect(proxy)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(WATCH_MS)))?;
    (&stream).write_all(text.as_bytes())?;
    let began = now_ms();
    let mut seen = Seen { status: 0, first_byte_ms: None, ended_ms: None, is_whole: false, bytes: 0 };
    let mut reader = BufReader::new(stream);
    let (mut head, mut length, mut is_chunked) = (true, None::<usize>, false);
    while now_ms() - began < WATCH_MS {
        if head {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                seen.ended_ms = Some(now_ms() - began);
                return Ok(seen);
            }
            seen.first_byte_ms.get_or_insert(now_ms() - began);
            let lower = line.to_ascii_lowercase();
            if lower.starts_with("http/") {
                seen.status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            } else if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().ok();
            } else if lower.starts_with("transfer-encoding:") {
                is_chunked = true;
            } else if line.trim().is_empty() {
                head = false;
            }
            continue;
        }
        if is_chunked {
            let mut line = String::new();
            let count = reader.read_line(&mut line).unwrap_or(0);
            let size = usize::from_str_radix(line.trim(), 16).ok().filter(|_| count > 0);
            let mut chunk = vec![0; size.map_or(0, |size| size + 2)];
            let is_read = size.is_some() && reader.read_exact(&mut chunk).is_ok();
            seen.bytes += size.unwrap_or(0);
            if !is_read || size == Some(0) {
                seen.is_whole = is_read;
                seen.ended_ms = Some(now_ms() - began);
                return Ok(seen);
            }
        } else {
            let mut body = vec![0; length.unwrap_or(0)];
            seen.is_whole = reader.read_exact(&mut body).is_ok();
            seen.bytes = body.len();
            seen.ended_ms = Some(now_ms() - began);
            return Ok(seen);
        }
    }
    Ok(seen)
}

fn main() {
    let case = begin();
    let mut members = Vec::new();
    let count: Arc<Mutex<u32>> = Arc::default();
    for number in 0..6_u16 {
        let (listener, address) = listen();
        let name = format!("box-{number}");
        members.push(Member { id: name.clone(), address, zone: "north".into(), cell: number / 2, phase: "active" });
        serve_box(name, listener, Arc::clone(&count));
    }
    let (_discovery, discovery) = Discovery::start(members.clone());
    let listen = free_address();
    let config = ProxyConfig { seed: 0x8c1f_30d2_7a5b_e964, listen, discovery, console: None, classes: CLASSES.into(), known: members };
    let path = case.tmp.join("config.json");
    config.write(&path);
    start_proxy("proxy", &path, &case.tmp.join("proxy"), &[]);
    wait_up(listen);
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let until = now_ms() + DURATION_MS;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let broken = Arc::clone(&broken);
            thread::spawn(move || {
                let mut served = 0;
                for number in 0.. {
                    if now_ms() > until {
                        break;
                    }
                    let id = format!("c{client}-{number}");
                    let (class, head, body) = if number % 2 == 0 { ("read", "GET /read", "") } else { ("order", "POST /order", "hi") };
                    let length = if body.is_empty() { "" } else { "Content-Length: 2\r\n" };
                    let text = format!("{head} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Time-Left-Ms: {TIME_LEFT_MS}\r\nConnection: close\r\n{length}\r\n{body}");
                    let Ok(seen) = ask(listen, &text) else { continue };
                    served += u32::from(seen.status == 200 && seen.is_whole);
                    let in_time = seen.ended_ms.is_some_and(|at| at <= LOST_AFTER_MS);
                    // An answer over 64 KiB is timed by its first bytes; none here is as long.
                    if !in_time {
                        let end = seen.ended_ms.map_or_else(|| format!("none in {WATCH_MS} ms"), |at| format!("after {at} ms, whole: {}", seen.is_whole));
                        let first = seen.first_byte_ms.map_or_else(|| "never".into(), |at| format!("after {at} ms"));
                        let line = format!("{id} ({class}, {TIME_LEFT_MS} ms left): status {}, first byte {first}, {} bytes, end of the answer: {end}", seen.status, seen.bytes);
                        note(&line);
                        broken.lock().unwrap().push(line);
                    }
                    sleep_ms(30);
                }
                served
            })
        })
        .collect();
    let served: u32 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    note(&format!("{served} requests were served"));
    let broken = broken.lock().unwrap().clone();
    if served < 50 {
        cannot_run("fewer than 50 requests were served");
    }
    verdict(&broken);
}
