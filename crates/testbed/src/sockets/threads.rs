//! Proxies as threads of this process, which publish their limits and counters while they run.

use super::SocketScenarioError;
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

/// Upper bound on the time that a proxy takes to start, and to shut down.
pub(super) const PROXY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a proxy publishes its status.
pub(super) const STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// Memory limit of a proxy, MB.
const MEMORY_MB: usize = 192;
/// Socket limit of a proxy.
const MAX_SOCKETS: usize = 4_096;

/// Concurrency limit and requests in flight for each ready backend, and the counters of the proxy.
type SharedStatus = Arc<Mutex<(Vec<(f64, u32)>, Counts)>>;

/// A proxy that runs on its own thread.
pub(super) struct Proxy {
    pub(super) address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: JoinHandle<Result<(), String>>,
    pub(super) status: SharedStatus,
}

/// Starts a proxy and waits until it listens.
///
/// # Errors
/// Where the configuration is invalid or the proxy does not listen within [`PROXY_TIMEOUT`].
pub(super) fn start(
    script: &Script,
    index: usize,
    discovery: SocketAddr,
) -> Result<Proxy, SocketScenarioError> {
    let config = json!({"name": format!("p{index}"), "listen": "127.0.0.1:0",
        "discovery": discovery.to_string(), "seed": format!("{:x}", script.seed.wrapping_add(index as u64)),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_SOCKETS},
        "known": {"revision": 0, "complete": true, "members": []}, "settings": script.settings(index)});
    // Parsed here first, so that the caller gets the typed error.
    Config::parse(config.to_string().as_bytes(), |_| None)?;
    let (stop, stopped) = oneshot::channel();
    let (address_sender, address_receiver) = mpsc::channel();
    let status = SharedStatus::default();
    let published = Arc::clone(&status);
    let thread = thread::spawn(move || {
        let config = Config::parse(config.to_string().as_bytes(), |_| None).map_err(|e| e.to_string())?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let started = move |handle: &http_proxy::transport::EngineHandle, bound: BoundAddresses| {
            let _ = address_sender.send(bound.clients);
            let handle = handle.clone();
            tokio::task::spawn_local(async move {
                loop {
                    let current_status = (handle.backend_limits(), handle.counts());
                    if let Ok(mut published) = published.lock() {
                        *published = current_status;
                    }
                    sleep(STATUS_INTERVAL).await;
                }
            });
        };
        let stop = async {
            let _ = stopped.await;
        };
        let served = LocalSet::new().block_on(&runtime, server::serve(config, stop, None, started));
        served.map_err(|e| e.to_string())
    });
    let address = address_receiver.recv_timeout(PROXY_TIMEOUT);
    let address = address
        .map_err(|_| SocketScenarioError::Proxy(index, "did not listen within the time limit".into()))?;
    Ok(Proxy { address, stop: Some(stop), thread, status })
}

/// Stops all proxies and waits for their threads, each for at most [`PROXY_TIMEOUT`].
///
/// # Errors
/// For the first proxy that did not end in time, or ended with an error.
pub(super) async fn stop_all(proxies: Vec<Proxy>) -> Result<(), SocketScenarioError> {
    let threads = proxies.into_iter().map(|mut proxy| {
        drop(proxy.stop.take());
        proxy.thread
    });
    for (index, thread) in threads.collect::<Vec<_>>().into_iter().enumerate() {
        let stopped_at = Instant::now();
        while !thread.is_finished() && stopped_at.elapsed() < PROXY_TIMEOUT {
            sleep(Duration::from_millis(20)).await;
        }
        if !thread.is_finished() {
            return Err(SocketScenarioError::Proxy(index, "did not shut down within the time limit".into()));
        }
        let result = thread.join().unwrap_or_else(|_| Err("panicked".into()));
        result.map_err(|cause| SocketScenarioError::Proxy(index, cause))?;
    }
    Ok(())
}
