//! The request engine owns requests, timers, attempts and the balancer behind one interface, for any front end.
//!
//! [`engine::Engine`] is a pure state machine: events and the time go in, commands come out. An attempt is either
//! *proxied* (the engine's transport makes it) or *leased* (an external client makes it and reports its result, or
//! the lease expires). [`driver`] is the thin asynchronous part: one clock, one timer task, and the execution of
//! commands by a [`driver::Transport`].

pub mod driver;
pub mod engine;
pub mod idempotency;
pub mod lease;
pub mod lease_events;
mod messages;
mod open_request;
pub mod request_key;
mod timers;
