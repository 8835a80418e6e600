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

pub use processes::Machine;
pub(crate) use processes::{Folder, Process, ProxyInstance, cpu_s, memory};
pub use scenario::{FleetError, play};
