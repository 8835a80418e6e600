//! A class is dropped and added again with a shorter window, in quick succession: a request under the new class is
//! repeated after the window in which the boxes drop its repeat, and runs twice.

#[path = "../common2.rs"]
mod common2;

use common2::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;

/// How long the boxes of the zone drop a repeat under the new class.
const NEW_TTL_MS: u64 = 1_000;
/// The boxes of the cell drop a repeat for this time under the old class.
const OLD_TTL_MS: u64 = 4_000;
/// Clients use changed settings this much later than the signal.
const CLIENT_LAG_MS: u64 = 1_200;
const WARM_UP: u32 = 60;

const READ: &str = "{\"name\":\"read\",\"effect\":\"retryable\",\"aimUs\":540000,\"deadlineUs\":1350000,\"worth\":1.0,\"lateWorth\":0.3}";

fn with_submit(group: &str, ttl_ms: u64) -> String {
    let ttl_us = ttl_ms * 1_000;
    format!(
        "{READ},
{{\"name\":\"submit\",\"effect\":\"dedup\",\"group\":\"{group}\",\"keyTtlUs\":{ttl_us},\"aimUs\":1048000,\"deadlineUs\":2620000,\"worth\":3.0,\"lateWorth\":0.3}}"
    )
}

#[derive(Default)]
struct Ledger {
    /// When a key ran, and in which cell.
    memory: HashMap<String, (u64, u16)>,
    /// The boxes in which a key ran, with the time.
    runs: HashMap<String, Vec<String>>,
    attempts: HashMap<String, u32>,
}

fn submit(proxy: SocketAddr, key: &str) {
    let text = format!(
        "POST /submit HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: id-{key}\r\nX-Service-Class: submit\r\nX-Time-Left-Ms: 2600\r\nIdempotency-Key: {key}\r\nContent-Length: 2\r\nConnection: close\r\n\r\n"
    );
    note(&format!("client: sends {key}"));
    let answer = call(proxy, &text, b"hi", 4_000);
    note(&format!("client: {key} is answered {}", answer.map_or_else(|e| e.to_string(), |m| m.status().to_string())));
}

fn main() {
    let case = begin();
    let ledger: Arc<Mutex<Ledger>> = Arc::default();
    let mut members = Vec::new();
    // Three cells of two boxes, one zone.
    for number in 0..6_u16 {
        let (listener, address) = listen();
        let (name, cell) = (format!("box-{number}"), number / 2);
        members.push(Member { id: name.clone(), address, zone: "north".into(), cell, phase: "active" });
        let ledger = Arc::clone(&ledger);
        serve(listener, move |request| {
            let key = request.header("idempotency-key").unwrap_or("").to_owned();
            let is_new_class = key.starts_with("new");
            sleep_ms(90);
            let now = now_ms();
            let (is_first, is_repeat) = {
                let mut ledger = ledger.lock().unwrap();
                let attempts = ledger.attempts.entry(key.clone()).or_default();
                *attempts += 1;
                let is_first = *attempts == 1;
                let is_repeat = ledger.memory.get(&key).is_some_and(|&(at, ran_in)| {
                    if is_new_class { now < at + NEW_TTL_MS } else { ran_in == cell && now < at + OLD_TTL_MS }
                });
                if !is_repeat {
                    ledger.memory.insert(key.clone(), (now, cell));
                    ledger.runs.entry(key.clone()).or_default().push(format!("{name} (cell {cell}) at {now} ms"));
                }
                (is_first, is_repeat)
            };
            note(&format!("{name} (cell {cell}): {key} {}", if is_repeat { "is a repeat and dropped" } else { "has run" }));
            if is_first && is_new_class {
                // The answer gets lost: the connection breaks long after the request was executed.
                sleep_ms(1_200);
                note(&format!("{name}: the connection of {key} breaks"));
                return Answer::Break;
            }
            ok("done")
        });
    }
    let (_discovery, discovery) = Discovery::start(members.clone());
    let listen = free_address();
    let config = |classes: String| ProxyConfig { seed: 0x8c1f_30d2_7a5b_e964, listen, discovery, console: None, classes, known: members.clone() };
    let path = case.tmp.join("config.json");
    config(with_submit("cell", OLD_TTL_MS)).write(&path);
    let proxy = start_proxy("proxy", &path, &case.tmp.join("proxy"), &[]);
    wait_up(listen);
    for index in 0..WARM_UP {
        submit(listen, &format!("warm-{index}"));
    }

    // The first new configuration drops the class, the second one adds it with another group and window.
    if case.trouble {
        config(READ.to_owned()).write(&path);
        signal(proxy, "HUP");
    }
    sleep_ms(400);
    config(with_submit("zone", NEW_TTL_MS)).write(&path);
    signal(proxy, "HUP");
    // Clients use the new class from here on.
    sleep_ms(CLIENT_LAG_MS + 50);
    let mut clients = Vec::new();
    for index in 0..10 {
        clients.push(thread::spawn(move || submit(listen, &format!("new-{index}"))));
        sleep_ms(90);
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    let ledger = ledger.lock().unwrap();
    let mut broken: Vec<String> = ledger
        .runs
        .iter()
        .filter(|(_, boxes)| boxes.len() > 1)
        .map(|(key, boxes)| format!("{key} ran in {}", boxes.join(" and in ")))
        .collect();
    broken.sort();
    verdict(&broken);
}
