//! Fixtures and an emulated proxy for the tests of the decisions.
#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod emulated_proxy;
mod fixtures;

pub use emulated_proxy::{AttemptState, EmulatedProxy, InFlightAttempt};
pub use fixtures::*;
