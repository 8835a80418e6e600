//! Settings for tests of the engine, also used by the tests of the external processor.
#![allow(dead_code, reason = "each test file uses a part of it")]

use balancer::api::{
    Class, DedupScope, Idempotency, LoadReportFields, Micros, Permissions, SafetyLimits, Settings,
};

/// One millisecond in microseconds.
pub const MS: Micros = 1_000;
/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;

fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 500 * MS,
        objective_work_factor: 0.0,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        late_weight_fraction: 0.5,
        idempotency,
    }
}

/// Settings of one proxy in one zone, with three classes: idempotent (0), non-idempotent (1), and keyed with
/// a cell as dedup scope (2).
pub fn settings() -> Settings {
    settings_with_key_ttl(SECOND)
}

/// [`settings`] with another time to live of idempotency keys, in microseconds.
pub fn settings_with_key_ttl(ttl: Micros) -> Settings {
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone: 0,
        zone_count: 1,
        machine_kind_count: 1,
        discovery_on_request: false,
        key_affinity: false,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            class(Idempotency::Keyed { scope: DedupScope::Cell, ttl }),
        ],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        cross_zone_cost: 0.0,
        health_check_cost: 0.0,
        load_report_fields: LoadReportFields::default(),
        load_report_by_health_check: false,
        permissions: Permissions {
            max_attempts: 4,
            hedging: false,
            cancellation: true,
            health_checks: false,
            idle_connection_timeout: 5 * SECOND,
            streams_per_connection: 1,
            max_retry_after: Some(SECOND),
        },
        safety: SafetyLimits {
            max_poll_interval: 10 * SECOND,
            initial_capacity: 0.3,
            warm_up_duration: 8 * SECOND,
            overload_factor: 3.0,
            overload_window: 2 * SECOND,
        },
    }
}
