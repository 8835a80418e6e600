//! The proxy on real sockets. It carries out what the [engine](request_engine::engine) decides and
//! reports what came of it; it never picks a backend, retries, holds or refuses by itself.

pub mod backend_list;
pub mod backend_pool;
pub mod body;
pub mod bounds;
pub mod claim;
pub mod classes;
pub mod clients;
pub mod config;
pub mod connection;
pub mod discovery;
pub mod exchange;
pub mod log;
pub mod min_transfer_rate;
pub mod name_index;
pub mod poll_schedule;
pub mod stall_detector;
pub mod transport;
pub mod wire;
