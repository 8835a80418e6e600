//! Adapter between the simulator's protocol and the balancer: reads batches of records, and writes replies
//! that contain the balancers' actions.

pub mod host;
pub mod protocol;
mod session;

pub use session::run;
