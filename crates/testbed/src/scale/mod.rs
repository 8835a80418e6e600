//! Measurements of growth: how the resource use of one proxy grows with its load, the check of figures that a
//! page quotes from results, and a run of the planned fleet.

pub mod figures;
pub mod fleet;
pub mod slopes;
