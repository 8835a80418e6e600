//! Fixtures and an emulated proxy for the tests of the balancer.
#![allow(dead_code, unused_imports, reason = "each test file uses only some of the items")]

mod emulated_proxy;
mod fixtures;

pub use emulated_proxy::{AttemptState, EmulatedProxy, InFlightAttempt};
pub use fixtures::*;
