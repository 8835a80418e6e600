//! Conversion between the balancer's learned state and the form in which the snapshot file stores it.

use admin::snapshot_file::{StoredKindLimit, StoredLatency, StoredLearnedState, StoredLimit};
use balancer::api::{LearnedKindLimit, LearnedLatency, LearnedLimit, LearnedState};

/// Converts the balancer's learned state to the stored form.
pub(crate) fn to_stored(state: LearnedState) -> StoredLearnedState {
    let backend = |learned: LearnedLimit| StoredLimit {
        backend: learned.backend,
        started_at: learned.started_at,
        limit: learned.limit,
        is_shared: learned.uses_kind_limit,
    };
    let machine_kind = |learned: LearnedKindLimit| StoredKindLimit {
        limit: learned.limit,
        is_doubling: learned.is_doubling,
    };
    let latency = |learned: LearnedLatency| StoredLatency {
        samples: learned.samples,
        mean: learned.mean_us,
        baseline: learned.baseline_us,
    };
    StoredLearnedState {
        backends: state.backends.into_iter().map(backend).collect(),
        machine_kinds: state.machine_kinds.into_iter().map(machine_kind).collect(),
        latencies: state.latencies.into_iter().map(latency).collect(),
        peak_rate: state.peak_requests_per_s,
        rejected_fraction: state.rejected_fraction,
    }
}

/// Converts the stored form to the state that a balancer restores.
pub(crate) fn from_stored(stored: StoredLearnedState) -> LearnedState {
    let backend = |stored: StoredLimit| LearnedLimit {
        backend: stored.backend,
        started_at: stored.started_at,
        limit: stored.limit,
        uses_kind_limit: stored.is_shared,
    };
    let machine_kind =
        |stored: StoredKindLimit| LearnedKindLimit { limit: stored.limit, is_doubling: stored.is_doubling };
    let latency = |stored: StoredLatency| LearnedLatency {
        samples: stored.samples,
        mean_us: stored.mean,
        baseline_us: stored.baseline,
    };
    LearnedState {
        backends: stored.backends.into_iter().map(backend).collect(),
        machine_kinds: stored.machine_kinds.into_iter().map(machine_kind).collect(),
        latencies: stored.latencies.into_iter().map(latency).collect(),
        peak_requests_per_s: stored.peak_rate,
        rejected_fraction: stored.rejected_fraction,
    }
}
