//! The process laboratory: a day with many processes of the program, faults of processes, boxes and links, and what plain
//! choices make of the same arrivals.

mod day;
pub mod keep;
mod processes;
pub mod relay;
pub mod report;

pub use day::{FleetError, play};
pub use processes::Machine;
pub(crate) use processes::{Folder, Place, Process, cpu_s, memory};
