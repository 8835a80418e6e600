//! The proxy on real sockets. It carries out what the [`Balancer`](haventrack_decision::balancer::Balancer) decides and
//! reports what came of it; it never picks a backend, retries, holds or refuses by itself.

pub mod backends;
pub mod bounds;
pub mod clients;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod driver;
pub mod log;
pub mod names;
