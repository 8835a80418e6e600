//! What the staff on call asks of a running proxy. [`call`], [`bans`] and [`stand`] decide and do no I/O; [`console`],
//! [`store`], [`snapshot`] and [`succession`] are their sockets and files.
#![forbid(unsafe_code)]

pub mod bans;
pub mod call;
pub mod console;
pub mod machine_time;
pub mod pending;
pub mod snapshot;
pub mod stand;
pub mod store;
pub mod succession;
