//! The HTTP/1.1 front end: client connections, backend connections, and the discovery client.
//!
//! It carries out the decisions of the [engine](request_engine::engine) and reports their results. It never
//! selects a backend, and never retries, queues or sheds a request on its own.

pub mod backend_list;
pub mod backend_pool;
pub mod body;
pub mod class_check;
pub mod client_connection;
pub mod clients;
pub mod config;
pub mod connection_events;
pub mod counting_socket;
pub mod discovery;
pub mod exchange;
pub mod http_grammar;
pub mod idempotency_claim;
pub mod log;
pub mod min_transfer_rate;
pub mod name_index;
pub mod poll_schedule;
pub mod shared_claims;
pub mod size_limits;
pub mod stall_detector;
pub mod transport;
