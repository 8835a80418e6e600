//! Runs a scenario with proxy processes, from the start of the first process to the exit of the last one.

use super::emulator_threads;
use super::process_controller::{ProcessController, run_process_events, wait_for_exit};
use super::process_guard;
use super::processes::{ProxyInstance, RunEnvironment, cpu_s};
use super::relay::Clock;
use super::report::{Cost, Row};
use crate::invariant_checker::{Observation, check_ordered};
use crate::plan::Plan;
use crate::restarts;
use crate::script::{Script, ScriptError, micros};
use crate::slow_start_load;
use crate::sockets::SharedState;
use crate::spread;
use balancer::api::Micros;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Maximum number of proxy processes in one scenario.
const MAX_PROCESSES: usize = 400;
/// Time between the readiness of all processes and the first request, microseconds.
const HEAD_START: Micros = 200_000;
/// 99th percentile of the start delay above which a result measures the machine and not the program,
/// milliseconds.
const MAX_START_DELAY_P99_MS: f64 = 25.0;

/// Why a scenario could not be run.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The script is invalid.
    #[error("{0}")]
    Script(#[from] ScriptError),
    /// An emulator or a process could not be started.
    #[error("testbed I/O error: {0}")]
    Io(#[from] io::Error),
    /// An emulator thread ended early.
    #[error("an emulator thread ended before the scenario did")]
    EmulatorEnded,
    /// The proxy with this index did not become ready: it exited or took too long; with the last lines of its
    /// log.
    #[error("proxy {0} did not become ready; its log ends with: {1}")]
    NotReady(usize, String),
    /// The proxy with this index exited unexpectedly; with its exit status and the last lines of its log.
    #[error("proxy {0} exited unexpectedly ({1}); its log ends with: {2}")]
    Crashed(usize, String, String),
}

/// Runs a scenario with a process for each proxy.
///
/// # Errors
/// The scenario can't be run or a process crashes. Rule violations are not errors; they are counted in the
/// row.
pub fn run(script: &Script, machine: &RunEnvironment) -> Result<Row, FleetError> {
    script.check()?;
    if script.fleet.proxies > MAX_PROCESSES {
        let problem = format!(
            "{} processes, must be at most {MAX_PROCESSES} (use virtual time for more)",
            script.fleet.proxies
        );
        return Err(ScriptError::Value("fleet.proxies".into(), problem).into());
    }
    process_guard::raise_descriptor_limit()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_async(script, machine))
}

async fn run_async(script: &Script, machine: &RunEnvironment) -> Result<Row, FleetError> {
    let (shared_state, backend_changes) = SharedState::new(script.clone(), Plan::draw(script));
    let clock = Clock::default();
    let emulators = emulator_threads::start(&shared_state, backend_changes, machine.threads.max(1), &clock)?;
    let mut controller = ProcessController::new(&shared_state, machine, emulators.lists.clone())?;
    for (proxy, &agent) in emulators.agents.iter().enumerate() {
        controller.instances.push(ProxyInstance::new(&controller.folder, proxy, agent)?);
    }
    controller.start_all().await?;
    let scenario_start = shared_state.now() + HEAD_START;
    clock.start_at(shared_state.instant(scenario_start));
    // A thread that has ended early is reported when it is joined.
    for start_signal in emulators.start_signals {
        let _ = start_signal.send(scenario_start);
    }
    let testbed_cpu_before_s = cpu_s(std::process::id()).unwrap_or(0.0);
    controller.log.borrow_mut().add(scenario_start, Observation::ScenarioStarted);
    let controller = Rc::new(RefCell::new(controller));
    run_process_events(&controller, &shared_state, scenario_start).await;
    let end = scenario_start + micros(script.seconds).max(shared_state.plan.last_process_event_at());
    shared_state.sleep_until(end).await;
    while emulators.threads.iter().any(|thread| !thread.is_finished()) {
        sleep(Duration::from_millis(20)).await;
    }
    let testbed_cpu_s = cpu_s(std::process::id()).unwrap_or(0.0) - testbed_cpu_before_s;
    let terminated = controller.borrow_mut().terminate_all();
    let terminated = wait_for_exit(terminated).await;
    for (proxy, process) in terminated {
        controller.borrow_mut().check_exit(proxy, process);
    }
    let restored_processes = controller.borrow().folder.restored_processes();
    let proxy_cpu_s = controller.borrow_mut().mean_cpu_s()?;
    let (mut log, mut start_delays_us) = (controller.borrow_mut().log.take(), Vec::new());
    for thread in emulators.threads {
        let (thread_log, thread_start_delays) = thread.join().map_err(|_| FleetError::EmulatorEnded)??;
        log.append(thread_log);
        start_delays_us.extend(thread_start_delays);
    }
    start_delays_us.sort_unstable();
    let start_delay_p99_ms =
        start_delays_us.get(start_delays_us.len() * 99 / 100).map_or(0.0, |&us| f64::from(us) / 1e3);
    let observations = log.in_order();
    let report = check_ordered(script, &observations, machine.timing_tolerance_us);
    report.messages.iter().for_each(|message| eprintln!("{message}"));
    let spread = spread::measure(script, &shared_state.plan, &observations, scenario_start);
    let mut row = Row::new(script, "processes", &report, spread);
    row.slow_start_load = slow_start_load::measure(script, &shared_state.plan, &observations);
    row.restarts = restarts::measure(&observations);
    row.restored_processes = restored_processes;
    row.cost = Some(Cost {
        proxy_cpu_s,
        testbed_cpu_s,
        start_delay_p99_ms,
        is_invalid: start_delay_p99_ms > MAX_START_DELAY_P99_MS,
    });
    Ok(row)
}
