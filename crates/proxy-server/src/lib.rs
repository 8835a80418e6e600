//! The proxy's program as a library: [`program`] puts the fronts round one engine and takes them down again in order.

mod files;
mod operators;
pub mod program;
mod renewal;
