//! Test and measurement tools for the proxy: emulators that inject faults, an invariant checker that does not
//! rely on the proxies' own reports, and cost measurements. No product crate depends on this crate.
//!
//! A [`script`] describes a scenario: its fleet, traffic and faults. It runs in [`virtual_time`], on loopback
//! [`sockets`], or with each proxy in its own process ([`fleet`]). In each case [`invariant_checker`]
//! determines from the observations of the emulators whether the four rules held, and the goodput.

pub mod address;
pub mod backend_model;
pub mod call_queue;
pub mod callers;
pub mod connection_fault_matrix;
pub mod cost;
pub mod demo;
pub mod fleet;
pub mod http1;
pub mod invariant_checker;
pub mod links;
pub mod plan;
pub mod reference;
pub mod restarts;
pub mod scale;
pub mod script;
pub mod slow_start_load;
pub mod sockets;
pub mod spread;
pub mod virtual_time;
