//! Distribution of control state by scope and by change: each change at a source reaches the subscribers that have its
//! service in scope, and no others.
//!
//! [`record`] and [`message`] define the data model and the protocol. [`store`], [`publisher`], [`replica`], [`source`],
//! [`relay`], [`subscriber`] and [`failover`] are state machines without I/O or clocks: each call passes the current time.
//! [`runtime`] connects them to sockets and files.
#![forbid(unsafe_code)]

pub mod codec;
pub mod config;
pub mod failover;
pub mod message;
pub mod publisher;
pub mod rate_limit;
pub mod record;
pub mod relay;
pub mod replica;
pub mod runtime;
pub mod session;
pub mod source;
pub mod store;
pub mod subscriber;
mod subscription_cursor;
pub mod upstream;

/// Milliseconds on a monotonic clock; one state machine is always given times of the same clock.
pub type Millis = u64;
