//! The simulator's wire. The program of this crate hosts balancers on it.

pub mod wire;
