//! The external processor: a gRPC service that chooses a backend for each request of another proxy or client,
//! and decides whether a failed attempt may be retried.
//!
//! [`decision_service`] makes the decisions, [`decision_request`] parses requests, [`grpc_codec`] converts
//! the messages of the `Decisions` service, and [`envoy`] handles one stream of Envoy's `ext_proc` filter.
//! None of these does I/O. [`bridge`] connects the engine's thread to the gRPC services in [`server`], which
//! run on a separate thread.

pub mod bridge;
pub mod decision_request;
pub mod decision_service;
pub mod envoy;
/// The messages and services of `proto/haventrack/decisions/v1/decisions.proto`. `tests/generated.rs` checks
/// that they match it, and can regenerate them.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod generated;
pub mod grpc_codec;
pub mod server;
pub mod settings;
