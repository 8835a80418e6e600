//! The stand-ins of one thread: some of the boxes, some of the clients, and on one thread discovery.

use super::Live;
use super::backends::StandIn;
use super::clients::Clients;
use super::discovery::{self, Agent};
use super::shared_state::Board;
use crate::invariant_checker::{Observation, ObservationLog};
use crate::script::{BackendFaultKind, micros};
use balancer::api::Micros;
use std::cell::{Cell, Ref, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinHandle;

/// What the stand-ins of a thread share.
pub(crate) struct Shared {
    pub(crate) board: Arc<Board>,
    record: RefCell<ObservationLog>,
    pub(crate) live: Cell<Live>,
    /// How often a trouble of answers or connections hit.
    pub(crate) hits: Cell<u64>,
    /// How late each request was asked, microseconds.
    late: RefCell<Vec<u32>>,
}

impl Shared {
    pub(crate) fn saw(&self, seen: Observation) {
        self.saw_at(self.board.now(), seen);
    }

    pub(crate) fn saw_at(&self, at: Micros, seen: Observation) {
        self.record.borrow_mut().add(at, seen);
    }

    pub(crate) fn asked_late(&self, by: Micros) {
        self.late.borrow_mut().push(u32::try_from(by).unwrap_or(u32::MAX));
    }
}

/// The stand-ins of one thread.
pub(crate) struct Shard {
    shared: Rc<Shared>,
    number: usize,
    of: usize,
    boxes: Rc<[Rc<StandIn>]>,
    agents: Vec<Rc<Agent>>,
    clients: Rc<Clients>,
}

impl Shard {
    /// Opens every box whose turn is this one's among so many.
    pub(crate) fn open(board: &Arc<Board>, number: usize, of: usize) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            board: Arc::clone(board),
            record: RefCell::default(),
            live: Cell::default(),
            hits: Cell::new(0),
            late: RefCell::default(),
        });
        let mine = (0..board.script.fleet.backends).filter(|b| b % of == number);
        let boxes = mine.map(|index| StandIn::start(&shared, index)).collect::<io::Result<Vec<_>>>()?;
        let clients = Clients::new(&shared, number as u64);
        Ok(Self { shared, number, of, boxes: boxes.into(), agents: Vec::new(), clients })
    }

    /// Opens discovery here, once the boxes of all threads are open.
    pub(crate) async fn open_agents(&mut self, mut news: UnboundedReceiver<usize>) -> io::Result<()> {
        self.agents = discovery::open(&self.shared).await?;
        let agents = self.agents.clone();
        tokio::task::spawn_local(async move {
            while let Some(at_box) = news.recv().await {
                for agent in &agents {
                    Rc::clone(agent).news(at_box);
                }
            }
        });
        Ok(())
    }

    pub(crate) fn agents(&self) -> &[Rc<Agent>] {
        &self.agents
    }

    /// Begins to ask, and to do what the script says. What it gives ends when the last request was asked.
    pub(crate) fn begin(&self, began: Micros) -> JoinHandle<()> {
        for index in 0..self.shared.board.script.backend_faults.len() {
            let (shared, boxes, agents) =
                (Rc::clone(&self.shared), Rc::clone(&self.boxes), self.agents.clone());
            tokio::task::spawn_local(trouble(shared, boxes, agents, began, index));
        }
        tokio::task::spawn_local(Rc::clone(&self.clients).ask_all(began, self.number, self.of))
    }

    /// Requests that wait for their answer.
    pub(crate) fn open_requests(&self) -> usize {
        self.clients.open()
    }

    pub(crate) fn live(&self) -> Live {
        self.shared.live.get()
    }

    pub(crate) fn hits(&self) -> u64 {
        self.shared.hits.get()
    }

    pub(crate) fn record(&self) -> Ref<'_, ObservationLog> {
        self.shared.record.borrow()
    }

    /// What was seen here, and how late requests were asked.
    pub(crate) fn take(&self) -> (ObservationLog, Vec<u32>) {
        (self.shared.record.take(), self.shared.late.take())
    }
}

async fn trouble(
    shared: Rc<Shared>,
    boxes: Rc<[Rc<StandIn>]>,
    agents: Vec<Rc<Agent>>,
    began: Micros,
    index: usize,
) {
    let script = &shared.board.script;
    let trouble = &script.backend_faults[index];
    let struck = script.faulty_backends(index);
    for (at_s, begins) in [(trouble.at_s, true), (trouble.at_s + trouble.for_s, false)] {
        shared.board.sleep_until(began + micros(at_s)).await;
        if trouble.what == BackendFaultKind::DiscoveryDown {
            if !agents.is_empty() {
                shared.board.set_discovery_down(begins);
            }
            for agent in &agents {
                agent.look();
            }
            continue;
        }
        for stand_in in boxes.iter().filter(|b| struck.contains(&b.index())) {
            stand_in.strike(trouble, begins);
            if matches!(trouble.what, BackendFaultKind::Crash | BackendFaultKind::Drain) {
                shared.board.changed(stand_in.index());
            }
        }
    }
}
