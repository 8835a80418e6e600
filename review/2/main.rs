//! Case 2: clients send large chunked bodies in small pieces, a few at a time. The platform ends a proxy that goes over
//! its memory limit.
#[path = "../common.rs"]
mod common;

use common::*;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: u32 = 6;
const WORK_MS: u64 = 30;
const MEMORY_MB: u32 = 192;
/// The clients with large bodies; each sends one request.
const UPLOADS: u64 = 4;
const BODY_BYTES: usize = 4_700_000;
/// The pieces in which a body is written have 1 to 3 bytes; without the disruption all but the last have 16 KiB.
const SMALL_PIECE: u64 = 3;
const LARGE_PIECE: usize = 16 * 1_024;
const TIME_LEFT_MS: u64 = 1_300;
const SOUND_EACH_MS: u64 = 100;
const DURATION_MS: u64 = 15_000;

fn serve(mut http: Http, name: &str, record: &Record) -> io::Result<()> {
    loop {
        let head = http.head()?;
        let body = http.body(&head)?;
        let id = head.header("x-correlation-id");
        record.line(&format!("{name} runs {id}, body of {} bytes", body.len()));
        thread::sleep(ms(WORK_MS));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        http.stream.write_all(answer.as_bytes())?;
    }
}

/// A body in chunks of the chosen sizes.
fn chunked_body(random: &mut Random) -> Vec<u8> {
    let (mut encoded, mut left) = (Vec::new(), BODY_BYTES);
    while left > 0 {
        let piece =
            if has_trouble() { 1 + random.below(SMALL_PIECE) as usize } else { LARGE_PIECE }.min(left);
        encoded.extend_from_slice(format!("{piece:x}\r\n").as_bytes());
        encoded.resize(encoded.len() + piece, b'x');
        encoded.extend_from_slice(b"\r\n");
        left -= piece;
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    encoded
}

fn upload(number: u64, proxy: SocketAddr, record: &Record) -> io::Result<u16> {
    let id = format!("large-{number}");
    let body = chunked_body(&mut Random::new(number + 1));
    let mut http = Http::connect(proxy, ms(1_000))?;
    http.stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let length = format!("Content-Length: {BODY_BYTES}");
    let head = request_head(&id, "submit", TIME_LEFT_MS, Some(&format!("key-{id}")), BODY_BYTES);
    let head = head.replace(&length, "Transfer-Encoding: chunked");
    record.line(&format!(
        "client of {id} sends a chunked body of {BODY_BYTES} bytes, {} on the wire",
        body.len()
    ));
    http.stream.write_all(head.as_bytes())?;
    http.stream.write_all(&body)?;
    record.line(&format!("client of {id} has written the last byte"));
    let head = http.head()?;
    http.body(&head)?;
    Ok(head.status())
}

/// A client with small requests, on connections that it keeps.
fn run_sound_client(proxy: SocketAddr, lost: &AtomicUsize, has_ended: &AtomicBool, record: &Record) {
    let (end, mut connection, mut sent) = (Instant::now() + ms(DURATION_MS), None, 0);
    while Instant::now() < end && !has_ended.load(Ordering::Relaxed) {
        sent += 1;
        let id = format!("small-{sent}");
        let connected = connection.take().map_or_else(|| Http::connect(proxy, ms(1_000)), Ok);
        let answered = connected.and_then(|mut http| {
            http.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
            http.stream.write_all(request_head(&id, "read", TIME_LEFT_MS, None, 0).as_bytes())?;
            let head = http.head()?;
            http.body(&head)?;
            connection = (!head.header("connection").eq_ignore_ascii_case("close")).then_some(http);
            Ok(head.status())
        });
        match answered {
            Ok(status) => record.line(&format!("{id} got {status}")),
            Err(error) => {
                lost.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("{id} got no answer: {error}"));
            }
        }
        thread::sleep(ms(SOUND_EACH_MS));
    }
}

/// The anonymous memory of a process in kB: its resident memory without the pages of files.
fn anonymous_memory_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    value.trim().trim_end_matches(" kB").parse().ok()
}

/// The platform: ends the proxy once it is over its limit. Returns the highest figure seen, in kB.
fn enforce_limit(process: u32, is_over: &AtomicBool, has_ended: &AtomicBool, record: &Record) -> u64 {
    let limit = u64::from(MEMORY_MB) * 1_024;
    let mut peak = 0;
    while !has_ended.load(Ordering::Relaxed) {
        let Some(now) = anonymous_memory_kb(process) else { return peak };
        if now > peak + 10 * 1_024 {
            record.line(&format!("the proxy takes {now} kB"));
        }
        peak = peak.max(now);
        if now > limit {
            record.say(&format!("the proxy takes {now} kB, more than {limit} kB: the platform kills it"));
            is_over.store(true, Ordering::Relaxed);
            has_ended.store(true, Ordering::Relaxed);
            end_process(process);
            return peak;
        }
        thread::sleep(ms(5));
    }
    peak
}

fn main() {
    let record = Record::create();
    let members: Vec<Member> = (0..BACKENDS)
        .map(|number| {
            let (name, record) = (format!("box-{number}"), record.clone());
            let id = name.clone();
            let address = listen(move |http| serve(http, &name, &record));
            Member { id, address, cell: number / 2 }
        })
        .collect();
    let members = members_json(&members);
    let config = Config {
        listen: free_address(),
        discovery: discovery(members.clone()),
        memory_mb: MEMORY_MB,
        sockets: 1_024,
        members,
        classes: classes_json("cell", 1_048_000),
    };
    let proxy = Proxy::start(&config);
    let process = proxy.id();
    if anonymous_memory_kb(process).is_none() {
        drop(proxy);
        cannot_run("the proxy's memory cannot be read");
    }
    let (is_over, has_ended) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let platform = {
        let (is_over, has_ended, record) = (Arc::clone(&is_over), Arc::clone(&has_ended), record.clone());
        thread::spawn(move || enforce_limit(process, &is_over, &has_ended, &record))
    };
    let lost = Arc::new(AtomicUsize::new(0));
    let sound = {
        let (address, record) = (proxy.address, record.clone());
        let (lost, has_ended) = (Arc::clone(&lost), Arc::clone(&has_ended));
        thread::spawn(move || run_sound_client(address, &lost, &has_ended, &record))
    };
    thread::sleep(ms(500));
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let (address, record, statuses) = (proxy.address, record.clone(), Arc::clone(&statuses));
            thread::spawn(move || match upload(number, address, &record) {
                Ok(status) => {
                    record.line(&format!("large-{number} got {status}"));
                    statuses.lock().unwrap().push(status);
                }
                Err(error) => record.line(&format!("large-{number} got no answer: {error}")),
            })
        })
        .collect();
    for client in uploads {
        let _ = client.join();
    }
    thread::sleep(ms(200));
    has_ended.store(true, Ordering::Relaxed);
    let _ = sound.join();
    let peak = platform.join().unwrap_or_default();
    let (lost, statuses) = (lost.load(Ordering::Relaxed), statuses.lock().unwrap());
    record.say(&format!(
        "highest memory {peak} kB; large bodies answered: {statuses:?}; small requests with no answer: {lost}"
    ));
    let broken = usize::from(is_over.load(Ordering::Relaxed));
    finish(&record, proxy, broken, "proxies went over the memory limit and were killed");
}
