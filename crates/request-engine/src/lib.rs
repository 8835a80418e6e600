//! The engine owns requests, timers, attempts and the decisions behind one interface, for any front.
//!
//! [`engine::Engine`] is a pure state machine: events and the time go in, commands come out. An attempt is either
//! *proxied* (the engine's own transport makes it and reports) or *leased* (a caller outside makes it and reports,
//! or its lease runs out). [`driver`] is the thin asynchronous part: one clock, one sleeping task, and the way from
//! commands to a [`driver::Transport`].

pub mod driver;
pub mod engine;
pub mod idempotency;
pub mod lease;
pub mod lease_events;
mod messages;
mod open;
pub mod request_key;
mod timers;
