//! Adapter between the simulator's protocol and the decisions: batches of records in, replies with actions out.

pub mod host;
pub mod protocol;
mod session;

pub use session::run;
