//! The proxy's program as a library: [`server`] puts the fronts round one engine and takes them down again in order.

mod admin_handler;
mod config_reload;
mod learned_state;
mod persistence;
pub mod server;
