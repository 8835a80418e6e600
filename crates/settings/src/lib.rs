//! Settings of the decisions as JSON: the simulator sends them, and configuration files hold them.
//!
//! The keys are those of the simulator's protocol; they are mapped to the terms of [`balancer::api`] here and nowhere else.

mod parse;
mod raw;
pub mod reload;

pub use parse::parse_settings;
