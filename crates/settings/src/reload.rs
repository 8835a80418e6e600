//! Reload of settings while the proxy is running. No I/O and no clock.

mod classes;
mod error;
mod keys;

pub use classes::{ClassIndices, MAX_CLASSES};
pub use error::ReloadError;
pub use keys::{check_required_keys, restart_only_keys};
