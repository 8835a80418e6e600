//! The proxy server as a library. [`server`] assembles the front ends around one request engine, serves
//! requests, and drains the front ends at the end.
#![forbid(unsafe_code)]

mod admin_handler;
mod class_versions;
mod config_reload;
pub mod error;
mod learned_state;
mod persistence;
pub mod server;
mod unserved_log;
