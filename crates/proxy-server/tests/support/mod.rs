//! Test harness: runs the proxy executable with scripted backends, discovery and clients on loopback sockets.
//! The harness waits for events, not for fixed times; a timeout expires only in a test that has failed.
#![allow(dead_code, unused_imports, reason = "each test target uses only some of these items")]

mod backend;
mod client;
mod configuration;
mod discovery;
mod http_message;
mod process_state;
mod proxy;

pub use backend::{Backend, BackendAction, listener_with_full_accept_queue, ok_response};
pub use client::{Client, HEALTH_REQUEST, request};
pub use configuration::{
    backend_entry, balancer_settings, config_with_console, config_with_deadline, proxy_config,
};
pub use discovery::Discovery;
pub use http_message::{HttpMessage, read_message, response_bytes, write_bytes};
pub use process_state::describe_threads;
pub use proxy::{
    Proxy, ProxyCommand, create_empty_folder, send_command, spawn_proxy, spawn_with_external_processor,
};

use std::time::Duration;

/// How long a test waits for an event before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
