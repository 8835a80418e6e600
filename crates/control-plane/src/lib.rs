//! Distributes control state (backends, configuration, routes, tenants) from sources of truth to subscribers.
//! A change is sent as a delta, and only to subscribers that have its service in scope.
//!
//! [`record`] and [`message`] define the data model and the protocol. [`store`], [`publisher`], [`replica`],
//! [`source`], [`relay`], [`subscriber`] and [`failover`] are state machines without I/O or clocks: each call
//! passes the current time. [`runtime`] connects them to sockets and files.
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

/// Milliseconds on a monotonic clock. All times passed to one state machine come from the same clock.
pub type Millis = u64;
