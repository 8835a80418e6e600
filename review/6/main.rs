//! A box sends a second answer some milliseconds after the first: the proxy has used the connection again, and a client
//! gets the answer to another client's request.

#[path = "../common2.rs"]
mod common2;

use common2::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLASSES: &str = "{\"name\":\"read\",\"effect\":\"retryable\",\"aimUs\":540000,\"deadlineUs\":1350000,\"worth\":1.0,\"lateWorth\":0.3}";
const BOXES: u16 = 6;
const CLIENTS: u32 = 6;
const DURATION_MS: u64 = 30_000;
/// One answer in this many is followed by a second one.
const SPOILT_EVERY: u32 = 50;

fn answer(id: &str) -> Vec<u8> {
    let body = format!("answer to {id}");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn serve_box(name: String, listener: TcpListener, spoilt: Arc<Mutex<u32>>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, spoilt) = (name.clone(), Arc::clone(&spoilt));
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return };
                let (mut reader, writer) = (BufReader::new(reading), Arc::new(Mutex::new(stream)));
                let mut count = 0;
                while let Ok(Some(request)) = read_message(&mut reader, false) {
                    let id = request.header("x-correlation-id").unwrap_or("").to_owned();
                    sleep_ms(15);
                    count += 1;
                    if writer.lock().unwrap().write_all(&answer(&id)).is_err() {
                        return;
                    }
                    if case().trouble && count % SPOILT_EVERY == 0 {
                        // 2, 3 or 4 ms.
                        let delay = 2 + u64::from(count / SPOILT_EVERY % 3);
                        *spoilt.lock().unwrap() += 1;
                        note(&format!("{name}: a second answer for {id}, {delay} ms after the first"));
                        let writer = Arc::clone(&writer);
                        thread::spawn(move || {
                            sleep_ms(delay);
                            let _ = writer.lock().unwrap().write_all(&answer(&id));
                        });
                    }
                }
            });
        }
    });
}

fn client(proxy: SocketAddr, number: u32, until: u64, wrong: &Mutex<Vec<String>>) -> u32 {
    let mut served = 0;
    let mut connection: Option<(BufReader<TcpStream>, TcpStream)> = None;
    for request in 0.. {
        if now_ms() > until {
            break;
        }
        if connection.is_none() {
            let Ok(stream) = TcpStream::connect(proxy) else { continue };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            connection = stream.try_clone().ok().map(|reading| (BufReader::new(reading), stream));
        }
        let Some((reader, writer)) = &mut connection else { continue };
        let id = format!("c{number}-{request}");
        let text = format!("GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: read\r\nX-Time-Left-Ms: 1300\r\n\r\n");
        let told = writer.write_all(text.as_bytes()).and_then(|()| read_message(reader, true));
        match told {
            Ok(Some(message)) => {
                if message.status() == 200 {
                    served += 1;
                    let expected = format!("answer to {id}");
                    if message.text() != expected {
                        let line = format!("{id} was answered 200 with `{}`", message.text());
                        note(&line);
                        wrong.lock().unwrap().push(line);
                    }
                }
                if message.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
                    connection = None;
                }
            }
            _ => connection = None,
        }
        sleep_ms(u64::from((number * 7 + request * 13) % 20));
    }
    served
}

fn main() {
    let case = begin();
    let spoilt: Arc<Mutex<u32>> = Arc::default();
    let mut members = Vec::new();
    for number in 0..BOXES {
        let (listener, address) = listen();
        let name = format!("box-{number}");
        members.push(Member { id: name.clone(), address, zone: "north".into(), cell: number, phase: "active" });
        serve_box(name, listener, Arc::clone(&spoilt));
    }
    let (_discovery, discovery) = Discovery::start(members.clone());
    let listen = free_address();
    let config = ProxyConfig { seed: 0x8c1f_30d2_7a5b_e964, listen, discovery, console: None, classes: CLASSES.into(), known: members };
    let path = case.tmp.join("config.json");
    config.write(&path);
    start_proxy("proxy", &path, &case.tmp.join("proxy"), &[]);
    wait_up(listen);
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let until = now_ms() + DURATION_MS;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let wrong = Arc::clone(&wrong);
            thread::spawn(move || client(listen, number, until, &wrong))
        })
        .collect();
    let served: u32 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    note(&format!("{served} requests served, {} answers were followed by a second one", spoilt.lock().unwrap()));
    if served < 1_000 {
        cannot_run("fewer than 1000 requests were served");
    }
    let wrong = wrong.lock().unwrap().clone();
    verdict(&wrong);
}
