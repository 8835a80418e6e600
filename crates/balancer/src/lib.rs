//! The decisions: which server gets a request, whether to try again, what to turn away. Nothing here does I/O
//! or reads a clock; times come in with each call. [`api`] is the interface, [`balancer`] decides,
//! with a file for each kind of decision below it.

pub mod api;
pub mod balancer;
mod slot_map;
mod state;
