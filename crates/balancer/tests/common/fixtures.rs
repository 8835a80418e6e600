//! Settings, backends and requests for the tests, and predicates on actions.

use balancer::api::*;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// Index of the idempotent class of [`settings`].
pub const IDEMPOTENT: u8 = 0;
/// Index of the non-idempotent class of [`settings`].
pub const NON_IDEMPOTENT: u8 = 1;
/// Index of the keyed class of [`settings`] whose dedup scope is every backend.
pub const KEYED_ALL: u8 = 2;
/// Index of the keyed class of [`settings`] whose dedup scope is one zone.
pub const KEYED_ZONE: u8 = 3;
/// Index of the keyed class of [`settings`] whose dedup scope is one cell.
pub const KEYED_CELL: u8 = 4;

/// A class with a latency objective of 500 ms and a deadline of 2 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 500 * MS,
        objective_work_factor: 0.0,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency,
    }
}

/// Two zones, one instance, and one class of each kind of idempotency.
pub fn settings() -> Settings {
    let keyed = |scope| class(Idempotency::Keyed { scope, ttl: 600 * MS });
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone: 0,
        zone_count: 2,
        machine_kind_count: 1,
        discovery_on_request: false,
        key_affinity: false,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            keyed(DedupScope::All),
            keyed(DedupScope::Zone),
            keyed(DedupScope::Cell),
        ],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        cross_zone_cost: 0.05,
        health_check_cost: 0.01,
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
            initial_capacity: 0.2,
            warm_up_duration: 10 * SECOND,
            overload_factor: 2.5,
            overload_window: 2 * SECOND,
        },
    }
}

/// [`settings`] with one zone.
pub fn single_zone() -> Settings {
    Settings { zone_count: 1, ..settings() }
}

/// A backend that warmed up long ago. Even ids are in zone 0 and odd ones in zone 1; each cell has three
/// backends.
pub fn backend(id: BackendId) -> Backend {
    Backend {
        id,
        zone: (id % 2) as u16,
        machine_kind: 0,
        cell: (id / 6 * 2 + id % 2) as u16,
        readiness: Readiness::Ready,
        started_at: None,
    }
}

/// `count` backends that warmed up long ago, all in zone 0 and cell 0.
pub fn one_zone(count: u32) -> Vec<Backend> {
    (0..count).map(|id| Backend { zone: 0, cell: 0, ..backend(id) }).collect()
}

/// A request without a key, with a timeout of 2 s.
pub fn request(id: RequestId, class: u8) -> Request {
    Request {
        id,
        class,
        idempotency: None,
        tenant: 0,
        key: None,
        timeout: 2 * SECOND,
        expected_work: None,
        is_retry: false,
        is_proxied: true,
        identity: None,
    }
}

/// The backend of the first send in these actions.
pub fn sent_to(actions: &[Action]) -> Option<BackendId> {
    actions.iter().find_map(|action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    })
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

pub fn closes_connections(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::CloseIdleConnections(_)))
}
