//! Tracks open requests, their attempts and timers, and drives the balancer, independent of the front end.
//!
//! [`engine::Engine`] is a pure state machine: it takes events with their times and returns commands. An
//! attempt is either *proxied* (the engine's transport makes it) or *leased* (an external client makes it and
//! reports its result, or the lease expires). [`driver`] is the asynchronous layer: one clock, one timer
//! task, and the execution of commands by a [`driver::Transport`].

pub mod class_registry;
pub mod driver;
pub mod engine;
pub mod idempotency;
pub mod lease;
pub mod lease_events;
mod messages;
mod open_request;
pub mod quoted_text;
pub mod request_identity;
pub mod request_key;
pub mod time_left;
mod timers;
