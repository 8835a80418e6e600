//! Measures the cost of complete discovery lists, for comparison with the control plane: one proxy receives
//! all backends by the discovery protocol, at sizes that this protocol supports.

use super::ScaleError;
use super::population::Population;
use super::report::ListRow;
use crate::fleet::{ProxyInstance, RunEnvironment, TempFolder};
use crate::http1;
use crate::script::Script;
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::Ipv4Addr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Time until a long poll is answered without changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// An index of proxy addresses that no real proxy of a run has.
const PROXY_INDEX: usize = 200;

fn member(number: usize, phase: &str) -> Value {
    json!({"id": format!("b{number}"), "host_port": Population::backend_address(number, 9).to_string(),
        "locality": format!("z{}", number % 24), "flavor": "box", "cell": number % 1_000, "phase": phase,
        "size": 1.0, "up_since_ms": 0})
}

/// Starts one proxy with a discovery service that lists this many backends, and waits until the proxy is
/// ready.
///
/// # Errors
/// If a process or socket can't be started, or the proxy does not become ready with the complete list.
pub async fn measure(
    folder: &TempFolder,
    machine: &RunEnvironment,
    backends: usize,
) -> Result<ListRow, ScaleError> {
    let members: Vec<Value> = (0..backends).map(|number| member(number, "active")).collect();
    let list = json!({"revision": 1, "complete": true, "members": members}).to_string();
    let change = json!({"revision": 2, "complete": false, "members": [member(0, "leaving")]}).to_string();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let discovery = listener.local_addr()?;
    let sent_bytes = Rc::new(Cell::new(0_u64));
    let counter = Rc::clone(&sent_bytes);
    let served_list = list.clone();
    let serving = tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (list, sent_bytes) = (served_list.clone(), Rc::clone(&counter));
            tokio::task::spawn_local(async move {
                let mut buffer = Vec::new();
                while let Ok(Some(request)) =
                    http1::read(&mut stream, &mut buffer, http1::MessageKind::Request).await
                {
                    let body = if request.path.contains("after=") {
                        sleep(LONG_POLL_TIMEOUT).await;
                        r#"{"revision":1,"complete":false,"members":[]}"#
                    } else {
                        &list
                    };
                    if http1::write_response(&mut stream, "200 OK", "", body.as_bytes()).await.is_err() {
                        return;
                    }
                    sent_bytes.set(sent_bytes.get() + body.len() as u64);
                }
            });
        }
    });
    let text = "seed = 1\nseconds = 60.0\n\
        fleet = { boxes = 1000, proxies = 2, zones = 24, cells = 1, cores = 1.0, holds = 8.0 }\n\
        traffic = { per_s = 100.0 }\n[[class]]\nname = \"read\"\neffect = \"safe\"\nshare = 1.0\n\
        work_ms = [1.0, 2.0]\naim_ms = 500\ndeadline_ms = 1000\nworth = 1.0\n";
    let script = Script::parse(text, Path::new("complete lists"))?;
    let mut instance = ProxyInstance::new(folder, PROXY_INDEX, discovery)?;
    let empty_list = json!({"revision": 0, "complete": true, "members": []});
    let started = Instant::now();
    let mut process = instance.start(&script, machine, &empty_list)?;
    let ready = process.is_ready().await;
    let ready_s = started.elapsed().as_secs_f64();
    serving.abort();
    if !ready || sent_bytes.get() < list.len() as u64 {
        let problem = format!("did not apply a complete list of {backends} backends");
        return Err(ScaleError::ProgramFailed("the proxy".into(), problem, process.log_tail()));
    }
    Ok(ListRow {
        backends,
        bytes: list.len() as u64,
        ready_s,
        cpu_s: process.cpu_s(),
        memory: process.resident_bytes(),
        change_bytes: change.len() as u64,
    })
}
