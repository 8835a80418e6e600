//! The machine that days over processes are played on.

use crate::program::{KEEPER, program};
use testbed::fleet::Machine;

/// Microseconds: a machine of two cores that builds something else besides.
const SLACK: u64 = 1_000_000;

/// Few threads and small processes, as the platform has them.
pub fn machine() -> Machine {
    Machine {
        proxy: program(),
        keeper: KEEPER.into(),
        memory_mb: 32,
        descriptors: 256,
        threads: 2,
        slack: SLACK,
    }
}
