//! The proxies' settings, generated from a script.

use super::{ClassSpec, DiscoveryMode, IdempotencySpec, Script, micros};
use serde_json::{Value, json};

impl Script {
    /// The settings of a proxy, in the format of its configuration file.
    #[must_use]
    pub fn settings(&self, proxy: usize) -> Value {
        let warm_up_s = self.fleet.configured_warm_up_s.unwrap_or(self.fleet.warm_up_s);
        let mode = match self.discovery.mode {
            DiscoveryMode::Pushed => "pushed",
            DiscoveryMode::OnRequest => "on_request",
        };
        let class_settings = |class: &ClassSpec| {
            let (effect, group) = match class.idempotency {
                IdempotencySpec::Idempotent => ("retryable", ""),
                IdempotencySpec::NonIdempotent => ("fragile", ""),
                IdempotencySpec::KeyedZone => ("dedup", "zone"),
                IdempotencySpec::KeyedCell => ("dedup", "cell"),
            };
            json!({"name": class.name, "aimUs": class.latency_objective_ms * 1_000, "deadlineUs": class.deadline_ms * 1_000,
                "worth": class.priority_weight, "lateWorth": class.late_weight_fraction, "effect": effect, "group": group,
                "keyTtlUs": micros(class.dedup_s)})
        };
        // The quota of each tenant is one and a half times an equal share of the traffic.
        let tenants = f64::from(self.traffic.tenants);
        let quota_per_s = self.traffic.per_s * 1.5 / tenants.max(1.0);
        let tenant_settings = (0..self.traffic.tenants)
            .map(|tenant| json!({"name": format!("t{tenant}"), "allowancePerS": quota_per_s}));
        let zones: Vec<String> = (0..self.fleet.zones).map(|zone| format!("z{zone}")).collect();
        json!({"me": proxy, "balancers": self.fleet.proxies, "zone": self.zone(proxy),
            "failureDomains": zones, "kinds": ["box"], "membershipMode": mode,
            "classes": self.classes.iter().map(class_settings).collect::<Vec<_>>(),
            "tenants": tenant_settings.collect::<Vec<_>>(), "overShareWorth": 0.2,
            "penalties": {"crossZone": 0.05, "probe": 0.01},
            "permissions": {"maxAttempts": 5, "secondCopies": false, "cancel": true, "probes": false,
                "connIdleUs": 15_000_000, "multiplex": 1, "retryAfter": true, "maxRetryAfterUs": 2_000_000,
                "dialTimeoutUs": 250_000},
            "safety": {"askWithinUs": 10_000_000, "coldFrom": self.fleet.initial_capacity,
                "coldUs": micros(warm_up_s), "fallMultiple": 3.0, "fallUs": 2_000_000}})
    }
}
