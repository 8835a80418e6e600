//! The engine owns requests, timers, attempts and the decisions behind one interface, for any front.
//!
//! [`engine::Engine`] is a pure state machine: events and the time go in, commands come out. An attempt is either
//! *carried* (the engine's own transport makes it and reports) or *leased* (a caller outside makes it and reports,
//! or its lease runs out). [`shell`] is the thin asynchronous part: one clock, one sleeping task, and the way from
//! commands to a [`shell::Transport`].

pub mod claims;
pub mod engine;
pub mod lease;
mod open;
pub mod outside;
pub mod shell;
pub mod subject;
mod terms;
mod timers;
