//! The decisions: which server gets a request, whether to try again, what to turn away. Nothing here does I/O
//! or reads a clock; times come in with each call. [`api`] is the interface, [`balancer`] decides.

pub mod api;
pub mod balancer;
mod state;
