//! Limits and timing tolerance of test machines, for scenarios with processes.

use crate::program::{TESTBED_PROGRAM, proxy_program};
use testbed::fleet::RunEnvironment;

/// Scheduling delay, microseconds, of a machine with two cores that runs a build at the same time.
const SLACK: u64 = 1_000_000;

/// A machine with few threads and small processes, similar to the production platform.
pub fn machine() -> RunEnvironment {
    RunEnvironment {
        proxy: proxy_program(),
        testbed_binary: TESTBED_PROGRAM.into(),
        memory_mb: 32,
        descriptors: 256,
        threads: 2,
        timing_tolerance_us: SLACK,
    }
}
