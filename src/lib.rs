#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]

pub mod api;
pub mod balancer;
pub mod proxy;
mod state;
pub mod wire;
