//! Distribution of control state by scope and by change: what a source of truth says reaches whoever has it in scope, and
//! nobody else.
//!
//! [`record`] and [`message`] are the words. [`ledger`], [`feed`], [`replica`], [`source`], [`relay`], [`subscriber`] and
//! [`failover`] decide, and have neither I/O nor clocks: whoever calls them says what time it is. [`shell`] holds the
//! sockets and files.
#![forbid(unsafe_code)]

pub mod codec;
pub mod config;
pub mod failover;
pub mod feed;
pub mod ledger;
mod line;
pub mod message;
mod pace;
pub mod record;
pub mod relay;
pub mod replica;
pub mod shell;
pub mod source;
pub mod subscriber;

/// Milliseconds on any steady clock; the same one at every call of one state machine.
pub type Millis = u64;
