//! Reload of settings while the proxy runs. Pure: no I/O, no clock.

mod classes;
mod error;
mod keys;

pub use classes::{ClassIndices, MAX_CLASSES};
pub use error::ReloadError;
pub use keys::{has_all_keys, restart_only_keys};
