//! Simulation of sources, relays and subscribers in virtual time, over links that lose, duplicate, reorder and delay messages.
//! The results are compared with the records of the sources, and with the records that each subscriber reported as applied.

mod applied_records;
mod convergence;
mod events;
mod faults;
mod link;
mod nodes;
mod simulation;
mod verification;
