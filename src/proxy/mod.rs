//! The proxy on real sockets. It carries out what the [`Balancer`](crate::balancer::Balancer) decides and
//! reports what came of it; it never picks a backend, retries, holds or refuses by itself.

pub mod backends;
pub mod clients;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod driver;

/// The largest body of a request, and of an answer as the protocol has it.
pub const BODY_CAP: usize = 64 * 1024;

/// The largest answer that is passed on. Backends were seen to send good ones of 400 KB.
pub const ANSWER_CAP: usize = 1024 * 1024;

/// A line for the operators. Unlike `eprintln!` it does not panic when nobody reads standard error.
pub fn log(line: std::fmt::Arguments<'_>) {
    use std::io::Write;
    let _ = writeln!(std::io::stderr(), "{line}");
}
