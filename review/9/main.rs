//! A planned restart cuts off long answers that boxes still give: the proxy ends by itself before it is killed.

#[path = "../common2.rs"]
mod common2;

use common2::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLASSES: &str = "{\"name\":\"read\",\"effect\":\"retryable\",\"aimUs\":540000,\"deadlineUs\":1350000,\"worth\":1.0,\"lateWorth\":0.3},
{\"name\":\"submit\",\"effect\":\"dedup\",\"group\":\"cell\",\"keyTtlUs\":3000000,\"aimUs\":1048000,\"deadlineUs\":2620000,\"worth\":3.0,\"lateWorth\":0.3}";
/// The size of a long answer, 32 MB at most; a box gives it in pieces over some seconds.
const ANSWER_BYTES: usize = 4_000_000;
const PIECE_BYTES: usize = 40_000;
const PIECE_EVERY_MS: u64 = 60;
const CLIENTS: usize = 4;
/// The platform kills no sooner than the longest deadline (2.62 s) and 0.7 s after SIGTERM.
const KILL_AFTER_MS: u64 = 12_000;

fn serve_box(name: String, listener: TcpListener) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let name = name.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return };
                let (mut reader, mut writer) = (BufReader::new(reading), stream);
                while let Ok(Some(request)) = read_message(&mut reader, false) {
                    let id = request.header("x-correlation-id").unwrap_or("").to_owned();
                    sleep_ms(20);
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n");
                    if writer.write_all(head.as_bytes()).is_err() {
                        return;
                    }
                    for piece in 0..ANSWER_BYTES / PIECE_BYTES {
                        if writer.write_all(&[b'a' + (piece % 26) as u8; PIECE_BYTES]).is_err() {
                            note(&format!("{name}: {id}: the proxy ended the connection after {} bytes", piece * PIECE_BYTES));
                            return;
                        }
                        sleep_ms(PIECE_EVERY_MS);
                    }
                    note(&format!("{name}: {id}: the whole answer is written"));
                }
            });
        }
    });
}

/// Reads a long answer; returns what is wrong with it.
fn read_long(proxy: SocketAddr, id: &str) -> Result<(), String> {
    let fail = |error: std::io::Error| error.to_string();
    let stream = TcpStream::connect(proxy).map_err(fail)?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).map_err(fail)?;
    let text = format!("GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: read\r\nX-Time-Left-Ms: 1300\r\n\r\n");
    (&stream).write_all(text.as_bytes()).map_err(fail)?;
    let began = now_ms();
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).map_err(fail)?;
    note(&format!("client: {id}: {} after {} ms", line.trim(), now_ms() - began));
    if !line.contains("200") {
        return Err(format!("not served: {}", line.trim()));
    }
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).map_err(fail)?;
        if header.trim().is_empty() {
            break;
        }
    }
    let (mut count, mut buffer) = (0, vec![0; 65_536]);
    while count < ANSWER_BYTES {
        match reader.read(&mut buffer) {
            Ok(0) => return Err(format!("the connection ended after {count} of {ANSWER_BYTES} bytes")),
            Ok(bytes) => count += bytes,
            Err(error) => return Err(format!("{error} after {count} of {ANSWER_BYTES} bytes")),
        }
    }
    Ok(())
}

fn main() {
    let case = begin();
    let mut members = Vec::new();
    for number in 0..4_u16 {
        let (listener, address) = listen();
        let name = format!("box-{number}");
        members.push(Member { id: name.clone(), address, zone: "north".into(), cell: number / 2, phase: "active" });
        serve_box(name, listener);
    }
    let (_discovery, discovery) = Discovery::start(members.clone());
    let listen = free_address();
    let config = ProxyConfig { seed: 0x8c1f_30d2_7a5b_e964, listen, discovery, console: None, classes: CLASSES.into(), known: members };
    let path = case.tmp.join("config.json");
    config.write(&path);
    let proxy = start_proxy("proxy", &path, &case.tmp.join("proxy"), &[]);
    wait_up(listen);
    let results: Arc<Mutex<Vec<(String, Result<(), String>)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let results = Arc::clone(&results);
            thread::spawn(move || {
                let id = format!("long-{number}");
                let result = read_long(listen, &id);
                note(&format!("client: {id}: {result:?}"));
                results.lock().unwrap().push((id, result));
            })
        })
        .collect();
    sleep_ms(1_000);
    let mut ended_by_itself = None;
    if case.trouble {
        signal(proxy, "TERM");
        let told = now_ms();
        if let Some(code) = wait_exit(proxy, KILL_AFTER_MS) {
            note(&format!("the proxy has ended by itself with code {code}, {} ms after SIGTERM", now_ms() - told));
            ended_by_itself = Some(now_ms() - told);
        } else {
            signal(proxy, "KILL");
        }
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    let mut broken = Vec::new();
    for (id, result) in results.lock().unwrap().iter() {
        match result {
            Err(why) if why.starts_with("not served") => cannot_run(&format!("{id}: {why}")),
            // What a SIGKILL cuts off of a request that came before SIGTERM is excused.
            Err(why) if ended_by_itself.is_some() || !case.trouble => broken.push(format!("{id}: {why}; the box still gave it")),
            _ => {}
        }
    }
    verdict(&broken);
}
