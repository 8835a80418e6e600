//! The process laboratory: a day with many processes of the program, faults of processes, boxes and links, and what plain
//! choices make of the same arrivals.

pub mod process_guard;
mod processes;
pub mod relay;
pub mod report;
mod scenario;

pub use processes::Machine;
pub(crate) use processes::{Folder, Place, Process, cpu_s, memory};
pub use scenario::{FleetError, play};
