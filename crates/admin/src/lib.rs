//! Administration of a running proxy: the console, exclusions of backends, and the replacement of the
//! process.
//!
//! [`command`], [`exclusions`], [`process_status`] and [`unpersisted`] contain the logic and do no I/O.
//! [`claim_file`], [`class_version_file`], [`console`], [`exclusion_store`], [`snapshot_file`], [`machine_time`] and [`process_replacement`] access
//! sockets, files, the kernel and the clock.
#![forbid(unsafe_code)]

pub mod claim_file;
pub mod class_version_file;
pub mod command;
pub mod console;
pub mod exclusion_store;
pub mod exclusions;
mod file_names;
pub mod fingerprint;
pub mod machine_time;
pub mod process_replacement;
pub mod process_status;
pub mod snapshot_file;
pub mod unpersisted;
