//! Proxies as threads of this process, which show their limits while they run.

use super::SocketsError;
use crate::script::Script;
use http_proxy::config::Config;
use proxy_server::server::{self, BoundAddresses};
use request_engine::engine::Counts;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, mpsc};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// How long a proxy may take to come up, and to end.
pub(super) const PROXY_TIME: Duration = Duration::from_secs(10);
/// How often a proxy's limits are looked at.
pub(super) const LIMITS_INTERVAL: Duration = Duration::from_millis(250);
/// What a proxy may use: plenty, the sockets are this machine's.
const MEMORY_MB: usize = 192;
const SOCKETS: usize = 4_096;

/// What a proxy shows of itself while it runs: limits and requests in flight, and its counts.
type Shown = Arc<Mutex<(Vec<(f64, u32)>, Counts)>>;

pub(super) struct Proxy {
    pub(super) address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: JoinHandle<Result<(), String>>,
    pub(super) shown: Shown,
}

pub(super) fn start(script: &Script, index: usize, discovery: SocketAddr) -> Result<Proxy, SocketsError> {
    let config = json!({"name": format!("p{index}"), "listen": "127.0.0.1:0",
        "discovery": discovery.to_string(), "seed": format!("{:x}", script.seed.wrapping_add(index as u64)),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"revision": 0, "complete": true, "members": []}, "settings": script.settings(index)});
    // Checked here, so that a fault is told with its words.
    Config::parse(config.to_string().as_bytes(), |_| None)?;
    let (stop, stopped) = oneshot::channel();
    let (told, addresses) = mpsc::channel();
    let shown = Shown::default();
    let seen = Arc::clone(&shown);
    let thread = thread::spawn(move || {
        let config = Config::parse(config.to_string().as_bytes(), |_| None).map_err(|e| e.to_string())?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let started = move |handle: &http_proxy::transport::Handle, listening: BoundAddresses| {
            let _ = told.send(listening.clients);
            let handle = handle.clone();
            tokio::task::spawn_local(async move {
                loop {
                    let now = (handle.limits(), handle.counts());
                    if let Ok(mut seen) = seen.lock() {
                        *seen = now;
                    }
                    sleep(LIMITS_INTERVAL).await;
                }
            });
        };
        let stop = async {
            let _ = stopped.await;
        };
        let served = LocalSet::new().block_on(&runtime, server::serve(config, stop, None, started));
        served.map_err(|e| e.to_string())
    });
    let address = addresses.recv_timeout(PROXY_TIME);
    let address = address.map_err(|_| SocketsError::Proxy(index, "did not listen in time".into()))?;
    Ok(Proxy { address, stop: Some(stop), thread, shown })
}

pub(super) async fn stop_all(proxies: Vec<Proxy>) -> Result<(), SocketsError> {
    let stopping = proxies.into_iter().map(|mut proxy| {
        drop(proxy.stop.take());
        proxy.thread
    });
    for (index, thread) in stopping.collect::<Vec<_>>().into_iter().enumerate() {
        let began = Instant::now();
        while !thread.is_finished() && began.elapsed() < PROXY_TIME {
            sleep(Duration::from_millis(20)).await;
        }
        if !thread.is_finished() {
            return Err(SocketsError::Proxy(index, "did not end in time".into()));
        }
        let ended = thread.join().unwrap_or_else(|_| Err("panicked".into()));
        ended.map_err(|why| SocketsError::Proxy(index, why))?;
    }
    Ok(())
}
