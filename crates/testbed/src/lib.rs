//! Stand-ins that cause failures, a judge that believes no proxy, and measurements. Nothing in the product
//! imports this crate.
//!
//! A [`script`] says what fleet, traffic and troubles a day has. It is played in [`virtual_time`] or on
//! loopback [`sockets`]; either way [`invariant_checker`] tells from what the stand-ins saw whether the four
//! rules held and what the service was worth.

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
