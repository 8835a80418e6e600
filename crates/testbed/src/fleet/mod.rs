//! Scenarios with many proxy processes and with faults of processes, backends and links. The results can be
//! compared with reference policies on the same arrivals.

mod emulator_threads;
mod link_relays;
mod process_controller;
pub mod process_guard;
mod processes;
pub mod relay;
pub mod report;
mod scenario;

pub use processes::RunEnvironment;
pub(crate) use processes::{Process, ProxyInstance, TempFolder, cpu_s, resident_bytes};
pub use scenario::{FleetError, run};
