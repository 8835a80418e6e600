//! The external processor: for each request, another proxy asks it for a backend and whether a retry may follow.
//!
//! [`decision_service`] decides, [`decision_request`] parses requests, [`grpc_codec`] converts the messages of the
//! `Decisions` service, and [`envoy`] handles one stream of Envoy's `ext_proc` filter; all of these do no I/O.
//! [`bridge`] connects the engine's thread to the gRPC services of [`server`], which have a thread of their own.

pub mod bridge;
pub mod decision_request;
pub mod decision_service;
pub mod envoy;
/// The messages and services of `proto/haventrack/decisions/v1/decisions.proto`; `tests/generated.rs` keeps them in
/// sync.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod generated;
pub mod grpc_codec;
pub mod server;
pub mod settings;
