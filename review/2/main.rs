//! Case 2: a new configuration changes a number of a class. From then on a key that a caller of the external processor
//! holds is sent once more for a client of the HTTP front.
#[path = "../common.rs"]
mod common;
mod grpc;

use common::*;
use grpc::{Caller, bytes_field, bytes_of, decode, number_field};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Eight backends in four cells of two.
const BACKENDS: u32 = 8;
/// How long a backend works on a request.
const WORK_MS: u64 = 200;
/// Pairs of a caller and a client, and how many keys each pair asks about.
const PAIRS: u64 = 4;
const KEYS_EACH: u64 = 10;
/// The client asks so long after the caller began to send.
const CLIENT_AFTER_MS: u64 = 50;
/// Clients take up new settings 1.2 s after they changed.
const SETTLE_MS: u64 = 1_500;
const TIME_LEFT_MS: u64 = 1_300;

/// `Outcome` of a report.
const SERVED: u64 = 1;
const RESET: u64 = 5;
/// The field of `Answer` that holds a decision to send.
const SEND: u64 = 1;

/// By key: the cells whose backends ran the request.
type Runs = Mutex<BTreeMap<String, BTreeSet<u32>>>;

fn serve(mut http: Http, name: &str, cell: u32, runs: &Runs, record: &Record) -> io::Result<()> {
    loop {
        let head = http.head()?;
        http.body(&head)?;
        let (id, key) = (head.header("x-correlation-id"), head.header("idempotency-key"));
        // The backends of one cell drop a repeat of a key.
        let is_first = runs.lock().unwrap().entry(key.to_owned()).or_default().insert(cell);
        let does = if is_first { "runs" } else { "drops the repeat" };
        record.line(&format!("{name} of cell {cell}: {does} {id}, {key}"));
        thread::sleep(ms(WORK_MS));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        http.stream.write_all(answer.as_bytes())?;
    }
}

/// Sends one keyed request on a new connection and returns the status.
fn post(address: SocketAddr, id: &str, key: &str) -> io::Result<u16> {
    let mut http = Http::connect(address, ms(1_000))?;
    http.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let request = request_head(id, "submit", TIME_LEFT_MS, Some(key), 7) + "content";
    http.stream.write_all(request.as_bytes())?;
    let head = http.head()?;
    http.body(&head)?;
    Ok(head.status())
}

/// Asks the external processor about a key, sends as it says, and reports. While the request is open, a client sends the
/// same key to the HTTP front.
fn ask_twice(number: &str, processor: SocketAddr, proxy: SocketAddr, record: &Record) -> io::Result<()> {
    let (key, id) = (format!("key-{number}"), format!("caller-{number}"));
    let mut caller = Caller::connect(processor)?;
    let question = [
        bytes_field(1, id.as_bytes()),
        bytes_field(2, b"submit"),
        bytes_field(4, key.as_bytes()),
        number_field(6, TIME_LEFT_MS),
    ];
    record.line(&format!("caller asks about {id}, {key}"));
    let answer = caller.call("Decide", &question.concat())?;
    let Some(send) = decode(bytes_of(&answer, SEND)).filter(|send| !bytes_of(send, 1).is_empty()) else {
        record.line(&format!("caller is told not to send {id}: {answer:?}"));
        return Ok(());
    };
    let endpoint = String::from_utf8_lossy(bytes_of(&send, 1)).into_owned();
    record.line(&format!("caller is told to send {id} to {endpoint}"));
    let address: SocketAddr = endpoint.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let client = {
        let (id, key, record) = (format!("client-{number}"), key.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(ms(CLIENT_AFTER_MS));
            record.line(&format!("client sends {id}, {key}"));
            match post(proxy, &id, &key) {
                Ok(status) => record.line(&format!("client: {id} got {status}")),
                Err(error) => record.line(&format!("client: {id} got no answer: {error}")),
            }
        })
    };
    let sent = post(address, &id, &key);
    record.line(&format!("caller: {id} got {sent:?}"));
    let outcome = if matches!(sent, Ok(200)) { SERVED } else { RESET };
    let report = [bytes_field(1, bytes_of(&send, 2)), number_field(2, outcome)];
    caller.call("Report", &report.concat())?;
    let _ = client.join();
    Ok(())
}

fn main() {
    let record = Record::create();
    let runs = Arc::new(Runs::default());
    let members: Vec<Member> = (0..BACKENDS)
        .map(|number| {
            let (name, cell) = (format!("box-{number}"), number / 2);
            let (runs, record, id) = (Arc::clone(&runs), record.clone(), name.clone());
            let address = listen(move |http| serve(http, &name, cell, &runs, &record));
            Member { id, address, cell }
        })
        .collect();
    let members = members_json(&members);
    let mut config = Config {
        listen: free_address(),
        discovery: discovery(members.clone()),
        memory_mb: 192,
        sockets: 1_024,
        members,
        classes: classes_json("cell", 1_048_000),
    };
    let processor = free_address();
    let proxy = Proxy::start_with_processor(&config, processor);
    if has_trouble() {
        config.classes = classes_json("cell", 1_000_000);
        proxy.reload(&config);
        record.line("new configuration: `submit` gets another `aimUs`");
    }
    thread::sleep(ms(SETTLE_MS));
    let is_reloaded = proxy.log().contains("reloaded the configuration");
    if is_reloaded != has_trouble() {
        drop(proxy);
        cannot_run("the new configuration was not taken");
    }
    let pairs: Vec<_> = (0..PAIRS)
        .map(|pair| {
            let (address, record) = (proxy.address, record.clone());
            thread::spawn(move || {
                for number in 0..KEYS_EACH {
                    if let Err(error) = ask_twice(&format!("{pair}-{number}"), processor, address, &record) {
                        record.line(&format!("pair {pair}: {error}"));
                    }
                }
            })
        })
        .collect();
    for pair in pairs {
        let _ = pair.join();
    }
    let runs = runs.lock().unwrap();
    for (key, cells) in runs.iter().filter(|(_, cells)| cells.len() > 1) {
        record.line(&format!("{key} RAN TWICE, in the cells {cells:?}"));
    }
    let doubled = runs.values().filter(|cells| cells.len() > 1).count();
    record.say(&format!("{} of {} keys were run", runs.len(), PAIRS * KEYS_EACH));
    if (runs.len() as u64) < PAIRS * KEYS_EACH / 2 {
        proxy.log().lines().for_each(|line| record.line(&format!("proxy's log: {line}")));
        drop(proxy);
        cannot_run("fewer than half of the keys were run");
    }
    finish(&record, proxy, doubled, "keyed requests ran twice because two asked about them");
}
