//! The external processor: other proxies ask on each request where it should go and whether it may be sent again.
//!
//! [`decision_service`] decides whose question gets an attempt and who is told what; [`decision_request`] reads requests; [`envoy`] follows
//! one stream of Envoy's `ext_proc` filter; all three without I/O. [`bridge`] stands between the engine's thread and the
//! gRPC services of [`server`], which have a thread of their own.

pub mod bridge;
pub mod decision_service;
pub mod envoy;
/// The messages and services of `proto/haventrack/decisions/v1/decisions.proto`; `tests/generated.rs` keeps them true.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod generated;
pub mod decision_request;
pub mod plain;
pub mod server;
pub mod settings;
