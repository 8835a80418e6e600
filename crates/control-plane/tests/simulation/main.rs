//! Simulation of sources, relays and subscribers in virtual time, over links that lose, duplicate, reorder
//! and delay messages. The records of all nodes, and those that each subscriber reported as applied, are
//! compared with the records of the sources.

mod applied_records;
mod convergence;
mod events;
mod faults;
mod link;
mod nodes;
mod simulation;
mod verification;
