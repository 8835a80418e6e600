//! A shard: the emulators that run on one thread. Each has some of the backends and some of the clients; one
//! of them also has discovery.

use super::ProgressCounts;
use super::backends::EmulatedBackend;
use super::clients::Clients;
use super::discovery::{self, DiscoveryAgent};
use super::shared_state::SharedState;
use crate::invariant_checker::{Observation, ObservationLog};
use crate::script::{BackendFaultKind, micros};
use balancer::api::Micros;
use std::cell::{Cell, Ref, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinHandle;

/// State shared by the emulators of one shard.
pub(crate) struct ShardContext {
    pub(crate) state: Arc<SharedState>,
    record: RefCell<ObservationLog>,
    pub(crate) progress: Cell<ProgressCounts>,
    /// How often a fault was injected into a response or connection.
    pub(crate) fault_hits: Cell<u64>,
    /// By how much each request was sent later than planned, microseconds.
    start_delays_us: RefCell<Vec<u32>>,
}

impl ShardContext {
    pub(crate) fn record(&self, observation: Observation) {
        self.record_at(self.state.now(), observation);
    }

    pub(crate) fn record_at(&self, at: Micros, observation: Observation) {
        self.record.borrow_mut().add(at, observation);
    }

    pub(crate) fn record_start_delay(&self, delay: Micros) {
        self.start_delays_us.borrow_mut().push(u32::try_from(delay).unwrap_or(u32::MAX));
    }
}

/// The emulators of one thread.
pub(crate) struct Shard {
    context: Rc<ShardContext>,
    index: usize,
    count: usize,
    backends: Rc<[Rc<EmulatedBackend>]>,
    agents: Vec<Rc<DiscoveryAgent>>,
    clients: Rc<Clients>,
}

impl Shard {
    /// Starts the backends of this shard: every `shard_count`th, from `shard_index`.
    ///
    /// # Errors
    /// Where a backend gets no socket.
    pub(crate) fn open(
        shared_state: &Arc<SharedState>,
        shard_index: usize,
        shard_count: usize,
    ) -> io::Result<Self> {
        let context = Rc::new(ShardContext {
            state: Arc::clone(shared_state),
            record: RefCell::default(),
            progress: Cell::default(),
            fault_hits: Cell::new(0),
            start_delays_us: RefCell::default(),
        });
        let own_backends = (0..shared_state.script.fleet.backends).filter(|b| b % shard_count == shard_index);
        let backends = own_backends
            .map(|index| EmulatedBackend::start(&context, index))
            .collect::<io::Result<Vec<_>>>()?;
        let clients = Clients::new(&context, shard_index as u64);
        Ok(Self {
            context,
            index: shard_index,
            count: shard_count,
            backends: backends.into(),
            agents: Vec::new(),
            clients,
        })
    }

    /// Starts discovery on this shard, once the backends of all shards listen.
    ///
    /// # Errors
    /// Where discovery gets no socket.
    pub(crate) async fn start_discovery(
        &mut self,
        mut backend_changes: UnboundedReceiver<usize>,
    ) -> io::Result<()> {
        self.agents = discovery::open(&self.context).await?;
        let agents = self.agents.clone();
        tokio::task::spawn_local(async move {
            while let Some(backend) = backend_changes.recv().await {
                for agent in &agents {
                    Rc::clone(agent).schedule_update(backend);
                }
            }
        });
        Ok(())
    }

    pub(crate) fn agents(&self) -> &[Rc<DiscoveryAgent>] {
        &self.agents
    }

    /// Schedules the script's faults, and starts to send the planned requests. The returned task ends when
    /// the last request has been sent.
    pub(crate) fn start(&self, started_at: Micros) -> JoinHandle<()> {
        for index in 0..self.context.state.script.backend_faults.len() {
            let (context, backends, agents) =
                (Rc::clone(&self.context), Rc::clone(&self.backends), self.agents.clone());
            tokio::task::spawn_local(schedule_fault(context, backends, agents, started_at, index));
        }
        tokio::task::spawn_local(Rc::clone(&self.clients).send_all(started_at, self.index, self.count))
    }

    /// Number of requests without a response.
    pub(crate) fn open_requests(&self) -> usize {
        self.clients.in_flight()
    }

    pub(crate) fn progress(&self) -> ProgressCounts {
        self.context.progress.get()
    }

    pub(crate) fn fault_hits(&self) -> u64 {
        self.context.fault_hits.get()
    }

    pub(crate) fn observations(&self) -> Ref<'_, ObservationLog> {
        self.context.record.borrow()
    }

    /// Takes the observations, and the start delay of each request in microseconds.
    pub(crate) fn take_results(&self) -> (ObservationLog, Vec<u32>) {
        (self.context.record.take(), self.context.start_delays_us.take())
    }
}

async fn schedule_fault(
    context: Rc<ShardContext>,
    backends: Rc<[Rc<EmulatedBackend>]>,
    agents: Vec<Rc<DiscoveryAgent>>,
    started_at: Micros,
    index: usize,
) {
    let script = &context.state.script;
    let fault = &script.backend_faults[index];
    let affected = script.faulty_backends(index);
    for (at_s, starts) in [(fault.at_s, true), (fault.at_s + fault.for_s, false)] {
        context.state.sleep_until(started_at + micros(at_s)).await;
        if fault.kind == BackendFaultKind::DiscoveryDown {
            if !agents.is_empty() {
                context.state.set_discovery_down(starts);
            }
            for agent in &agents {
                agent.wake_watches();
            }
            continue;
        }
        for backend in backends.iter().filter(|b| affected.contains(&b.index())) {
            backend.apply_fault(fault, starts);
            if matches!(fault.kind, BackendFaultKind::Crash | BackendFaultKind::Drain) {
                context.state.notify_backend_changed(backend.index());
            }
        }
    }
}
