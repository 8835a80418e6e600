//! The proxy processes of a scenario: starts, signals, replacements and exits.

use super::processes::{END_TIMEOUT, Process, ProxyInstance, RunEnvironment, TempFolder};
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

/// Time for which the front end still opens connections to a process that has received SIGTERM.
const TERM_DETECTION_DELAY: Duration = Duration::from_millis(300);

/// Starts, signals, replaces and ends the proxy processes, and logs these events as observations.
pub(super) struct ProcessController {
    shared_state: Arc<SharedState>,
    machine: RunEnvironment,
    pub(super) instances: Vec<ProxyInstance>,
    /// The current process of each proxy.
    running: Vec<Option<Process>>,
    /// Replaced processes that received SIGTERM, and replacements that are not ready yet, with their proxies.
    in_replacement: Vec<(usize, Process)>,
    /// The list of backends at the start of the scenario, for each proxy.
    lists: Vec<Value>,
    pub(super) log: RefCell<ObservationLog>,
    first_crash: Option<FleetError>,
    /// Processor time of the processes that no longer run, seconds.
    cpu_s: f64,
    // Declared last, so that it is dropped after the processes.
    pub(super) folder: TempFolder,
}

impl ProcessController {
    pub(super) fn new(
        shared_state: &Arc<SharedState>,
        machine: &RunEnvironment,
        lists: Vec<Value>,
    ) -> io::Result<Self> {
        Ok(Self {
            shared_state: Arc::clone(shared_state),
            machine: machine.clone(),
            instances: Vec::new(),
            running: Vec::new(),
            in_replacement: Vec::new(),
            lists,
            log: RefCell::default(),
            first_crash: None,
            cpu_s: 0.0,
            folder: TempFolder::new()?,
        })
    }

    fn log_event(&self, observation: Observation) {
        self.log.borrow_mut().add(self.shared_state.now(), observation);
    }

    fn start(&mut self, proxy: usize, list: InitialList) -> io::Result<Process> {
        let empty_list = json!({"revision": 0, "complete": true, "members": []});
        let initial_list = if list == InitialList::Stale { &self.lists[proxy] } else { &empty_list };
        self.instances[proxy].start(&self.shared_state.script, &self.machine, initial_list)
    }

    /// Starts a process for each proxy, and opens each one to clients once it is ready, in order.
    pub(super) async fn start_all(&mut self) -> Result<(), FleetError> {
        for proxy in 0..self.instances.len() {
            let process = self.start(proxy, InitialList::Stale)?;
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

    /// Kills the process of a proxy and waits for its exit.
    fn kill(&mut self, proxy: usize) {
        self.shared_state.proxy_endpoint(proxy).record_kill();
        if let Some(mut process) = self.running[proxy].take() {
            self.check_crash(proxy, &mut process);
            self.cpu_s += process.cpu_s();
            process.kill();
        }
        // The requests that it has accepted are lost.
        self.log_event(Observation::ProxyKilled { proxy });
    }

    /// Records a crash if a process that should run has exited; only the first one is reported.
    fn check_crash(&mut self, proxy: usize, process: &mut Process) {
        if let Some(status) = process.exit_status() {
            let crash = FleetError::Crashed(proxy, status.to_string(), process.log_tail());
            self.first_crash.get_or_insert(crash);
        }
    }

    /// Sends SIGTERM to a process that is no longer the proxy's current one. Its processor time from now on
    /// is not counted.
    fn terminate(&mut self, proxy: usize, mut process: Process) {
        self.cpu_s += process.cpu_s();
        process.terminate();
        self.in_replacement.push((proxy, process));
    }

    /// Ends the process of a proxy at the end of its grace period after SIGTERM.
    fn reap(&mut self, proxy: usize) {
        if let Some(process) = self.running[proxy].take() {
            // Read before the exit status is collected, as the kernel then discards the figure.
            self.cpu_s += process.cpu_s();
            self.check_exit(proxy, process);
        }
    }

    /// Handles a process after SIGTERM: a failed exit is a crash; a process that still runs is killed on
    /// drop.
    pub(super) fn check_exit(&mut self, proxy: usize, mut process: Process) {
        if process.has_failed() {
            self.check_crash(proxy, &mut process);
        }
    }

    /// Sends SIGTERM to all current processes, and returns all processes that received it, now or before.
    /// Replacements that never became ready are killed.
    pub(super) fn terminate_all(&mut self) -> Vec<(usize, Process)> {
        self.in_replacement.retain(|(_, process)| process.was_terminated());
        for (proxy, process) in std::mem::take(&mut self.running).into_iter().enumerate() {
            if let Some(mut process) = process {
                self.check_crash(proxy, &mut process);
                self.terminate(proxy, process);
            }
        }
        std::mem::take(&mut self.in_replacement)
    }

    /// The mean processor time of a proxy, seconds.
    ///
    /// # Errors
    /// The first crash, if there was one.
    pub(super) fn mean_cpu_s(&mut self) -> Result<f64, FleetError> {
        match self.first_crash.take() {
            Some(crash) => Err(crash),
            None => Ok(self.cpu_s / self.instances.len().max(1) as f64),
        }
    }
}

/// Waits until all processes have exited, at most for [`END_TIMEOUT`].
pub(super) async fn wait_for_exit(mut processes: Vec<(usize, Process)>) -> Vec<(usize, Process)> {
    let end = tokio::time::Instant::now() + END_TIMEOUT;
    while processes.iter_mut().any(|(_, process)| process.exit_status().is_none())
        && tokio::time::Instant::now() < end
    {
        sleep(Duration::from_millis(20)).await;
    }
    processes
}

/// Runs the plan's process events at their times. `scenario_start` is the start of the scenario,
/// microseconds.
pub(super) async fn run_process_events(
    controller: &Rc<RefCell<ProcessController>>,
    shared_state: &Arc<SharedState>,
    scenario_start: Micros,
) {
    for event in &shared_state.plan.process_events {
        shared_state.sleep_until(scenario_start + event.at).await;
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
                    controller.log_event(Observation::ProxyStalled { proxy, until: scenario_start + until });
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

/// Starts a process for a proxy that has none, and opens the proxy to clients once the process answers `/up`.
fn start_process(
    controller: &Rc<RefCell<ProcessController>>,
    shared_state: &Arc<SharedState>,
    proxy: usize,
    list: InitialList,
) {
    // Logged before the start, so that the time to readiness includes the start itself.
    controller.borrow().log_event(Observation::ProxyRestarted { proxy });
    let started = controller.borrow_mut().start(proxy, list);
    let Ok(process) = started else { return };
    let (console, listen) = (process.console(), controller.borrow().instances[proxy].listen());
    controller.borrow_mut().running[proxy] = Some(process);
    let (shared_state, controller) = (Arc::clone(shared_state), Rc::clone(controller));
    tokio::task::spawn_local(async move {
        if Process::wait_until_up(listen).await {
            shared_state.proxy_endpoint(proxy).set_open(true);
            let mut controller = controller.borrow_mut();
            controller.log_event(Observation::ProxyReady { proxy });
            let running = controller.running.get_mut(proxy).and_then(Option::as_mut);
            running.into_iter().filter(|p| p.console() == console).for_each(Process::mark_ready);
        }
    });
}

/// Closes a proxy to new requests after the front end's detection delay, unless it was killed or reopened
/// since.
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

/// Starts a replacement, which becomes the current process once it is ready. The old process serves until
/// then.
async fn replace(controller: Rc<RefCell<ProcessController>>, proxy: usize) {
    let started = controller.borrow_mut().start(proxy, InitialList::Stale);
    let Ok(process) = started else { return };
    let console = process.console();
    controller.borrow_mut().in_replacement.push((proxy, process));
    if !Process::wait_until_ready(console).await {
        return;
    }
    let mut controller = controller.borrow_mut();
    let position = controller.in_replacement.iter().position(|(_, p)| p.console() == console);
    let Some((_, mut new)) = position.map(|position| controller.in_replacement.swap_remove(position)) else {
        return;
    };
    new.mark_ready();
    if let Some(old) = controller.running[proxy].replace(new) {
        controller.terminate(proxy, old);
    }
}
