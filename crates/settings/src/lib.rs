//! Settings of the balancer in JSON, as the simulator sends them and configuration files contain them.
//!
//! The JSON keys are those of the simulator's protocol. Only this crate maps them to the terms of
//! [`balancer::api`].

mod parse;
mod raw;
pub mod reload;

pub use parse::parse_settings;
