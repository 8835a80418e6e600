//! What the service costs as it grows: lines through figures of the real program, what a page takes from them, and a run of
//! the fleet that is planned.

pub mod figures;
pub mod fleet;
pub mod slopes;
