//! An unsafe request that has run is refused: a 503 that another proxy words after a reset passes through the external
//! processor, and its client sends the request once more.

#[path = "../common2.rs"]
mod common2;

use common2::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ORDERS: u32 = 60;
/// One order in this many meets a connection that breaks under it.
const BROKEN_EVERY: u32 = 10;

const CLASSES: &str = "{\"name\":\"read\",\"effect\":\"retryable\",\"aimUs\":540000,\"deadlineUs\":1350000,\"worth\":1.0,\"lateWorth\":0.3},
{\"name\":\"order\",\"effect\":\"fragile\",\"aimUs\":1048000,\"deadlineUs\":2620000,\"worth\":3.0,\"lateWorth\":0.3}";

fn header(name: &str, value: &str) -> Vec<u8> {
    let mut pair = bytes_field(1, name.as_bytes());
    pair.extend(bytes_field(3, value.as_bytes()));
    bytes_field(1, &pair)
}

/// `ProcessingRequest` with request headers (field 2) or response headers (field 3).
fn headers_message(number: u64, headers: &[(&str, &str)], details: Option<&str>) -> Vec<u8> {
    let map: Vec<u8> = headers.iter().flat_map(|(name, value)| header(name, value)).collect();
    let mut message = bytes_field(number, &bytes_field(1, &map));
    if let Some(details) = details {
        let mut entry = bytes_field(1, b"response.code_details");
        entry.extend(bytes_field(2, &bytes_field(3, details.as_bytes())));
        let attributes = bytes_field(1, &entry);
        let mut entry = bytes_field(1, b"envoy.filters.http.ext_proc");
        entry.extend(bytes_field(2, &attributes));
        message.extend(bytes_field(9, &entry));
    }
    message
}

/// The headers that a `HeaderMutation` sets.
fn mutations(mutation: &[u8]) -> Vec<(String, String)> {
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    let options = fields(mutation).into_iter().filter(|(number, ..)| *number == 1);
    options
        .filter_map(|(_, option, _)| {
            let pair = field(&option, 1)?;
            Some((text(field(&pair, 1)?), text(field(&pair, 3).or_else(|| field(&pair, 2))?)))
        })
        .collect()
}

/// The status of an `ImmediateResponse`, if the message is one.
fn immediate_status(message: &[u8]) -> Option<u16> {
    let response = field(message, 7)?;
    Some(number(&field(&response, 1)?, 1) as u16)
}

/// One request through the other proxy: it asks the processor, sends, and passes the answer on. Where the connection
/// to the box breaks after the request was written, it words a 503 itself, as such proxies do.
fn through_front(processor: SocketAddr, id: &str, order: &str) -> (u16, String) {
    let target = format!("/order?key={order}");
    let Ok(mut stream) = Grpc::open(processor, "/envoy.service.ext_proc.v3.ExternalProcessor/Process") else {
        return (500, "the processor takes no call".into());
    };
    let head = [
        (":method", "POST"), (":path", target.as_str()), (":authority", "app.svc"), (":scheme", "http"),
        ("x-correlation-id", id), ("x-service-class", "order"), ("x-time-left-ms", "2000"), ("content-length", "2"),
    ];
    let _ = stream.send(&headers_message(2, &head, None), false);
    let Some(decision) = stream.receive(3_000) else { return (500, "no decision".into()) };
    if let Some(status) = immediate_status(&decision) {
        return (status, "the processor's own answer".into());
    }
    let mutation = field(&decision, 1).and_then(|r| field(&r, 1)).and_then(|c| field(&c, 2)).unwrap_or_default();
    let set = mutations(&mutation);
    let value = |name: &str| set.iter().find(|(n, _)| n == name).map(|(_, value)| value.clone());
    let Some(endpoint) = value("x-gateway-destination-endpoint").and_then(|e| e.parse::<SocketAddr>().ok()) else {
        return (500, "no endpoint".into());
    };
    let time_left = value("x-time-left-ms").unwrap_or_else(|| "2000".into());
    let text = format!(
        "POST {target} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: order\r\nX-Time-Left-Ms: {time_left}\r\nContent-Length: 2\r\n\r\nhi"
    );
    let (status, details, headers) = match TcpStream::connect_timeout(&endpoint, Duration::from_millis(250)) {
        Err(_) => (503, "upstream_reset_before_response_started{connection_failure}", Vec::new()),
        Ok(mut connection) => {
            let _ = connection.set_read_timeout(Some(Duration::from_millis(2_000)));
            let _ = connection.write_all(text.as_bytes());
            match read_message(&mut BufReader::new(connection), true) {
                Ok(Some(answer)) => (answer.status(), "via_upstream", answer.headers),
                // The box ended the connection after it had the whole request.
                _ => (503, "upstream_reset_before_response_started{connection_termination}", Vec::new()),
            }
        }
    };
    let status_text = status.to_string();
    let mut head = vec![(":status", status_text.as_str())];
    head.extend(headers.iter().map(|(name, value)| (name.as_str(), value.as_str())));
    let _ = stream.send(&headers_message(3, &head, Some(details)), false);
    let told = stream.receive(1_000);
    stream.finish();
    match told.as_deref().and_then(immediate_status) {
        Some(replaced) => (replaced, format!("replaced by the processor, was {status} ({details})")),
        None => (status, details.to_owned()),
    }
}

fn main() {
    let case = begin();
    // What has run, by order: the box and the id of the request.
    let runs: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let mut members = Vec::new();
    for number in 1..=6_u16 {
        let (listener, address) = listen();
        let runs = Arc::clone(&runs);
        let name = format!("box-{number}");
        members.push(Member { id: name.clone(), address, zone: "north".into(), cell: (number - 1) / 2, phase: "active" });
        serve(listener, move |request| {
            let id = request.header("x-correlation-id").unwrap_or("").to_owned();
            let order = request.target().split("key=").nth(1).unwrap_or("").to_owned();
            sleep_ms(60);
            runs.lock().unwrap().push((order.clone(), id.clone()));
            let index: u32 = order.trim_start_matches("order-").parse().unwrap_or(0);
            // The first try of such an order: the connection breaks after the order was executed.
            if common2::case().trouble && index % BROKEN_EVERY == 5 && id.ends_with("-1") {
                note(&format!("{name}: {order} ({id}) has run; its connection breaks"));
                return Answer::Break;
            }
            note(&format!("{name}: {order} ({id}) has run; answers 200"));
            ok("done")
        });
    }
    let (_discovery, discovery_address) = Discovery::start(members.clone());
    let (listen_at, processor) = (free_address(), free_address());
    let config = ProxyConfig { seed: 0x8c1f_30d2_7a5b_e964, listen: listen_at, discovery: discovery_address, console: None, classes: CLASSES.into(), known: members };
    let path = case.tmp.join("config.json");
    config.write(&path);
    let extproc: PathBuf = case.tmp.join("extproc.toml");
    std::fs::write(&extproc, format!("listen = \"{processor}\"\nreflection = false\n")).expect("extproc.toml");
    start_proxy("proxy", &path, &case.tmp.join("proxy"), &[("EDGE_EXTPROC", extproc.to_str().unwrap())]);
    wait_up(listen_at);
    wait_for("the processor takes connections", 5_000, || TcpStream::connect(processor).is_ok());

    let mut broken = Vec::new();
    let mut served = 0;
    for index in 0..ORDERS {
        let order = format!("order-{index}");
        // A client sends an unsafe request once more only after a refusal, with a new id.
        for attempt in 1..=2 {
            let id = format!("{order}-{attempt}");
            let (status, details) = through_front(processor, &id, &order);
            note(&format!("client: {order} ({id}) is answered {status}: {details}"));
            let has_run = runs.lock().unwrap().iter().any(|(_, run)| *run == id);
            let is_refused = status == 429 || status == 503;
            served += u32::from(status == 200);
            if is_refused && has_run {
                broken.push(format!("{order}: the client was told {status} (refused, harmless to repeat) for {id}, which had run"));
            }
            if !is_refused {
                break;
            }
        }
        let count = runs.lock().unwrap().iter().filter(|(run, _)| *run == order).count();
        if count > 1 {
            broken.push(format!("{order}: ran {count} times"));
        }
        sleep_ms(20);
    }
    note(&format!("{ORDERS} orders, {served} served"));
    if served < ORDERS / 2 {
        cannot_run("fewer than half of the orders were served");
    }
    verdict(&broken);
}
