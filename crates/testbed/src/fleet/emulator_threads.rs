//! The threads that run the emulators of a scenario with proxy processes, one shard each.

use super::link_relays;
use super::relay::Clock;
use super::scenario::FleetError;
use crate::invariant_checker::ObservationLog;
use crate::plan::TAIL;
use crate::script::micros;
use crate::sockets::{Shard, SharedState};
use balancer::api::Micros;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// A thread's observations, and the start delay of each of its requests in microseconds.
type ThreadResults = (ObservationLog, Vec<u32>);

/// The running emulator threads of a scenario.
pub(super) struct EmulatorThreads {
    /// The discovery address of each proxy.
    pub(super) agents: Vec<SocketAddr>,
    /// The initial backend list of each proxy.
    pub(super) lists: Vec<Value>,
    /// Each starts the load of one thread at the time sent, microseconds on the scenario's clock.
    pub(super) start_signals: Vec<oneshot::Sender<Micros>>,
    /// The threads; they end once no response can arrive any more.
    pub(super) threads: Vec<JoinHandle<io::Result<ThreadResults>>>,
}

/// Starts the emulators on this number of threads, and a thread for relays if the script has link faults.
///
/// # Errors
/// A socket can't be opened, or a thread ends early.
pub(super) fn start(
    shared_state: &Arc<SharedState>,
    backend_changes: UnboundedReceiver<usize>,
    thread_count: usize,
    clock: &Clock,
) -> Result<EmulatorThreads, FleetError> {
    let (sender, receiver) = mpsc::channel();
    let (mut start_signals, mut threads, mut discovery_signals, mut backend_changes) =
        (Vec::new(), Vec::new(), Vec::new(), Some(backend_changes));
    for shard_index in 0..thread_count {
        let (start_signal, start_signalled) = oneshot::channel();
        let (discovery_signal, discovery_signalled) = oneshot::channel();
        let (shared_state, sender) = (Arc::clone(shared_state), sender.clone());
        let backend_changes = backend_changes.take_if(|_| shard_index == 0);
        start_signals.push(start_signal);
        discovery_signals.push(discovery_signal);
        threads.push(std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            LocalSet::new().block_on(&runtime, async {
                let mut shard = Shard::open(&shared_state, shard_index, thread_count)?;
                let _ = sender.send(None);
                let signalled: Result<(), _> = discovery_signalled.await;
                if let (Ok(()), Some(backend_changes)) = (signalled, backend_changes) {
                    shard.start_discovery(backend_changes).await?;
                    let agents = shard.agents();
                    let _ = sender.send(Some(agents.iter().map(|a| (a.address, a.list())).unzip()));
                }
                drop(sender);
                let Ok(scenario_start) = start_signalled.await else { return Ok(ThreadResults::default()) };
                let load = shard.start(scenario_start);
                let _ = load.await;
                // The backends of this thread serve requests of other threads until the scenario ends.
                let load_end = shared_state.now().max(scenario_start + micros(shared_state.script.seconds));
                shared_state.sleep_until(load_end + shared_state.script.longest_deadline() + TAIL).await;
                Ok(shard.take_results())
            })
        }));
    }
    drop(sender);
    for _ in 0..thread_count {
        receiver.recv().map_err(|_| FleetError::EmulatorEnded)?;
    }
    let relays = link_relays::start(shared_state, clock)?;
    for signal in discovery_signals {
        let _ = signal.send(());
    }
    let (agents, lists): (Vec<SocketAddr>, Vec<Value>) =
        receiver.recv().ok().flatten().ok_or(FleetError::EmulatorEnded)?;
    let agents = match relays {
        Some(relays) => relays.proxy_targets(&agents),
        None => agents,
    };
    Ok(EmulatorThreads { agents, lists, start_signals, threads })
}
