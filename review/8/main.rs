//! Two configurations in quick succession: a request that its client sent under the class's rules before both is
//! repeated outside of the group that drops its repeats, and runs twice.

#[path = "../common2.rs"]
mod common2;

use common2::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;

/// How long the boxes of a group drop a repeat, in all three configurations.
const KEY_TTL_MS: u64 = 3_000;
/// Clients use changed settings this much later than the signal.
const CLIENT_LAG_MS: u64 = 1_200;
const WARM_UP: u32 = 60;

fn classes(group: &str, aim_us: u32) -> String {
    format!(
        "{{\"name\":\"read\",\"effect\":\"retryable\",\"aimUs\":540000,\"deadlineUs\":1350000,\"worth\":1.0,\"lateWorth\":0.3}},
{{\"name\":\"submit\",\"effect\":\"dedup\",\"group\":\"{group}\",\"keyTtlUs\":3000000,\"aimUs\":{aim_us},\"deadlineUs\":2620000,\"worth\":3.0,\"lateWorth\":0.3}}"
    )
}

#[derive(Default)]
struct Ledger {
    /// When a key ran in a cell.
    memory: HashMap<(u16, String), u64>,
    /// The boxes in which a key ran.
    runs: HashMap<String, Vec<String>>,
    /// Requests by key.
    attempts: HashMap<String, u32>,
}

fn submit(proxy: SocketAddr, key: &str) {
    let text = format!(
        "POST /submit HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: id-{key}\r\nX-Service-Class: submit\r\nX-Time-Left-Ms: 2600\r\nIdempotency-Key: {key}\r\nContent-Length: 2\r\nConnection: close\r\n\r\n"
    );
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
            sleep_ms(80);
            let now = now_ms();
            let mut ledger = ledger.lock().unwrap();
            let attempts = ledger.attempts.entry(key.clone()).or_default();
            *attempts += 1;
            let is_first = *attempts == 1;
            let known = ledger.memory.get(&(cell, key.clone())).is_some_and(|at| now < at + KEY_TTL_MS);
            if known {
                note(&format!("{name} (cell {cell}): {key} is a repeat and dropped; answers 200"));
                return ok("done");
            }
            ledger.memory.insert((cell, key.clone()), now);
            ledger.runs.entry(key.clone()).or_default().push(format!("{name} (cell {cell})"));
            if is_first && key.starts_with("late") {
                note(&format!("{name} (cell {cell}): {key} has run; its connection breaks"));
                return Answer::Break;
            }
            note(&format!("{name} (cell {cell}): {key} has run; answers 200"));
            ok("done")
        });
    }
    let (_discovery, discovery) = Discovery::start(members.clone());
    let listen = free_address();
    let config = |classes: String| ProxyConfig { seed: 0x8c1f_30d2_7a5b_e964, listen, discovery, console: None, classes, known: members.clone() };
    let path = case.tmp.join("config.json");
    config(classes("cell", 1_048_000)).write(&path);
    let proxy = start_proxy("proxy", &path, &case.tmp.join("proxy"), &[]);
    wait_up(listen);
    for index in 0..WARM_UP {
        submit(listen, &format!("warm-{index}"));
    }

    // The first new configuration widens the group, the second one changes what an answer in time is.
    config(classes("zone", 1_048_000)).write(&path);
    signal(proxy, "HUP");
    let first_signal = now_ms();
    sleep_ms(400);
    if case.trouble {
        config(classes("zone", 1_100_000)).write(&path);
        signal(proxy, "HUP");
    }
    sleep_ms(100);
    // Until 1.2 s after the first signal clients use the class as it was: the boxes of a cell drop a repeat.
    let mut clients = Vec::new();
    for index in 0..10 {
        clients.push(thread::spawn(move || submit(listen, &format!("late-{index}"))));
        sleep_ms(45);
    }
    if now_ms() > first_signal + CLIENT_LAG_MS {
        cannot_run("the requests were sent too late");
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
