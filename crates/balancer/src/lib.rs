//! The decisions of the load balancer: backend choice, concurrency limits, retries and admission.
//!
//! Nothing here does I/O or reads a clock; the time comes in with each call. [`api`] is the interface,
//! [`balancer`] takes the decisions, with a file below it for each kind of decision.

pub mod api;
pub mod balancer;
mod slot_map;
mod state;
