//! Starts, signals, replaces and ends the proxy processes of a scenario.

use super::processes::{END_TIMEOUT, Folder, Machine, Process, ProxyInstance};
use super::scenario::FleetError;
use crate::invariant_checker::{Observation, ObservationLog};
use crate::plan::ProcessAction;
use crate::script::{InitialList, micros};
use crate::sockets::SharedState;
use balancer::api::Micros;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time for which new connections still arrive after a process received SIGTERM.
const TERM_DETECTION_DELAY: Duration = Duration::from_millis(300);

/// Starts, signals and ends the proxy processes, and records what it did.
pub(super) struct ProcessController {
    shared_state: Arc<SharedState>,
    machine: Machine,
    pub(super) instances: Vec<ProxyInstance>,
    running: Vec<Option<Process>>,
    /// Replaced processes that received SIGTERM, and replacements that are not ready yet.
    leaving: Vec<(usize, Process)>,
    lists: Vec<Value>,
    pub(super) record: RefCell<ObservationLog>,
    crashed: Option<FleetError>,
    cpu_s: f64,
    // The last field: dropped after the processes.
    pub(super) folder: Folder,
}

impl ProcessController {
    pub(super) fn new(
        shared_state: &Arc<SharedState>,
        machine: &Machine,
        lists: Vec<Value>,
    ) -> io::Result<Self> {
        Ok(Self {
            shared_state: Arc::clone(shared_state),
            machine: machine.clone(),
            instances: Vec::new(),
            running: Vec::new(),
            leaving: Vec::new(),
            lists,
            record: RefCell::default(),
            crashed: None,
            cpu_s: 0.0,
            folder: Folder::new()?,
        })
    }

    fn record_event(&self, observation: Observation) {
        self.record.borrow_mut().add(self.shared_state.now(), observation);
    }

    fn start(&mut self, proxy: usize, list: InitialList) -> io::Result<Process> {
        let empty_list = json!({"revision": 0, "complete": true, "members": []});
        let known = if list == InitialList::Old { &self.lists[proxy] } else { &empty_list };
        self.instances[proxy].start(&self.shared_state.script, &self.machine, known)
    }

    pub(super) async fn start_all(&mut self) -> Result<(), FleetError> {
        for proxy in 0..self.instances.len() {
            let process = self.start(proxy, InitialList::Old)?;
            self.running.push(Some(process));
        }
        for proxy in 0..self.instances.len() {
            let Some(process) = &mut self.running[proxy] else { continue };
            if !process.is_ready().await {
                return Err((proxy, &*process).into());
            }
            self.shared_state.proxy_endpoint(proxy).set_listen_address(self.instances[proxy].listen());
            self.shared_state.proxy_endpoint(proxy).set_open(true);
        }
        Ok(())
    }

    /// Kills the process of a proxy and waits for it.
    fn kill(&mut self, proxy: usize) {
        self.shared_state.proxy_endpoint(proxy).record_kill();
        if let Some(mut process) = self.running[proxy].take() {
            self.crash(proxy, &mut process);
            self.cpu_s += process.cpu_s();
            process.kill();
        }
        // The requests it had accepted are lost with it.
        self.record_event(Observation::ProxyKilled { proxy });
    }

    /// Records a crash where a process that should run has ended.
    fn crash(&mut self, proxy: usize, process: &mut Process) {
        if let Some(status) = process.ended() {
            let crashed = FleetError::Crashed(proxy, status.to_string(), process.log_tail());
            self.crashed.get_or_insert(crashed);
        }
    }

    /// Sends SIGTERM to a process that no longer serves here. Its processor time from now on is not counted.
    fn dismiss(&mut self, proxy: usize, mut process: Process) {
        self.cpu_s += process.cpu_s();
        process.terminate();
        self.leaving.push((proxy, process));
    }

    /// Ends a process whose grace period after SIGTERM is over.
    fn reap(&mut self, proxy: usize) {
        if let Some(process) = self.running[proxy].take() {
            // Read first: the kernel drops the figure once the exit status is collected.
            self.cpu_s += process.cpu_s();
            self.has_ended(proxy, process);
        }
    }

    /// Handles a process after SIGTERM: a failed exit is a crash; one that still runs is killed on drop.
    pub(super) fn has_ended(&mut self, proxy: usize, mut process: Process) {
        if process.ended_badly() {
            self.crash(proxy, &mut process);
        }
    }

    /// Sends SIGTERM to all and returns those that received it, now or before. A replacement that never became ready is
    /// killed.
    pub(super) fn terminate_all(&mut self) -> Vec<(usize, Process)> {
        self.leaving.retain(|(_, process)| process.was_terminated());
        for (proxy, process) in std::mem::take(&mut self.running).into_iter().enumerate() {
            if let Some(mut process) = process {
                self.crash(proxy, &mut process);
                self.dismiss(proxy, process);
            }
        }
        std::mem::take(&mut self.leaving)
    }

    /// The mean processor time of a proxy, seconds.
    ///
    /// # Errors
    /// The first crash, where there was one.
    pub(super) fn cost(&mut self) -> Result<f64, FleetError> {
        match self.crashed.take() {
            Some(crashed) => Err(crashed),
            None => Ok(self.cpu_s / self.instances.len().max(1) as f64),
        }
    }
}

/// Waits until all processes have exited, at most for [`END_TIMEOUT`].
pub(super) async fn wait_for_exit(mut sender: Vec<(usize, Process)>) -> Vec<(usize, Process)> {
    let end = tokio::time::Instant::now() + END_TIMEOUT;
    while sender.iter_mut().any(|(_, process)| process.ended().is_none()) && tokio::time::Instant::now() < end
    {
        sleep(Duration::from_millis(20)).await;
    }
    sender
}

/// Runs the plan's process events at their times.
pub(super) async fn run_process_events(
    controller: &Rc<RefCell<ProcessController>>,
    shared_state: &Arc<SharedState>,
    began: Micros,
) {
    for event in &shared_state.plan.processes {
        shared_state.sleep_until(began + event.at).await;
        let proxy = event.proxy;
        match event.action {
            ProcessAction::Kill => {
                controller.borrow_mut().kill(proxy);
                let delay = Duration::from_micros(micros(shared_state.script.fleet.front_end_detection_s));
                close_later(shared_state, proxy, delay);
            }
            ProcessAction::Term => {
                if let Some(process) = &mut controller.borrow_mut().running[proxy] {
                    process.terminate();
                }
                close_later(shared_state, proxy, TERM_DETECTION_DELAY);
            }
            ProcessAction::Reap => controller.borrow_mut().reap(proxy),
            ProcessAction::Stop(until) => {
                let mut controller = controller.borrow_mut();
                if let Some(process) = &mut controller.running[proxy] {
                    process.stop();
                    controller.record_event(Observation::ProxyStalled { proxy, until: began + until });
                }
            }
            ProcessAction::Continue => {
                if let Some(process) = &mut controller.borrow_mut().running[proxy] {
                    process.resume();
                }
            }
            ProcessAction::Start(list) => start_process(controller, shared_state, proxy, list),
            ProcessAction::Replace => {
                tokio::task::spawn_local(replace(Rc::clone(controller), proxy));
            }
        }
    }
}

/// Starts a process for a proxy that has none, and opens the proxy once the process serves.
fn start_process(
    controller: &Rc<RefCell<ProcessController>>,
    shared_state: &Arc<SharedState>,
    proxy: usize,
    list: InitialList,
) {
    // Recorded before the start: the time to readiness includes the start itself.
    controller.borrow().record_event(Observation::ProxyRestarted { proxy });
    let started = controller.borrow_mut().start(proxy, list);
    let Ok(process) = started else { return };
    let (console, listen) = (process.console(), controller.borrow().instances[proxy].listen());
    controller.borrow_mut().running[proxy] = Some(process);
    let (shared_state, controller) = (Arc::clone(shared_state), Rc::clone(controller));
    tokio::task::spawn_local(async move {
        if Process::wait_until_up(listen).await {
            shared_state.proxy_endpoint(proxy).set_open(true);
            let mut controller = controller.borrow_mut();
            controller.record_event(Observation::ProxyReady { proxy });
            let running = controller.running.get_mut(proxy).and_then(Option::as_mut);
            running.into_iter().filter(|p| p.console() == console).for_each(Process::mark_ready);
        }
    });
}

/// Closes a proxy to new requests after the front end's detection delay, unless it was killed or opened again since.
fn close_later(shared_state: &Arc<SharedState>, proxy: usize, delay: Duration) {
    let shared_state = Arc::clone(shared_state);
    let kills_before = shared_state.proxy_endpoint(proxy).kill_count();
    let opens_before = shared_state.proxy_endpoint(proxy).open_count();
    tokio::task::spawn_local(async move {
        sleep(delay).await;
        let endpoint = shared_state.proxy_endpoint(proxy);
        if endpoint.kill_count() == kills_before && endpoint.open_count() == opens_before {
            endpoint.set_open(false);
        }
    });
}

/// Starts a replacement, which takes over once it is ready; the old process serves until then.
async fn replace(controller: Rc<RefCell<ProcessController>>, proxy: usize) {
    let started = controller.borrow_mut().start(proxy, InitialList::Old);
    let Ok(process) = started else { return };
    let console = process.console();
    controller.borrow_mut().leaving.push((proxy, process));
    if !Process::wait_until_ready(console).await {
        return;
    }
    let mut controller = controller.borrow_mut();
    let position = controller.leaving.iter().position(|(_, p)| p.console() == console);
    let Some((_, mut new)) = position.map(|position| controller.leaving.swap_remove(position)) else {
        return;
    };
    new.mark_ready();
    if let Some(old) = controller.running[proxy].replace(new) {
        controller.dismiss(proxy, old);
    }
}
