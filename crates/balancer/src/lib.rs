//! Decision logic of the load balancer: backend selection, concurrency limits, retries and admission.
//!
//! The crate does no I/O and reads no clock; callers pass the current time with each event. [`api`] defines
//! the interface, [`balancer`] implements the decisions, with one module for each kind of decision.

pub mod api;
pub mod balancer;
mod slot_map;
mod state;
