//! Configurations of the proxies under test.

use super::discovery::Discovery;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The entry of a backend in a discovery list. `phase` is `active`, `leaving` or `left`.
pub fn backend_entry(id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": up_since_ms})
}

/// Settings of the balancer with a retryable, a keyed and a non-idempotent request class.
pub fn balancer_settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimUs": 10_000_000, "deadlineUs": 20_000_000, "worth": 1.0, "lateWorth": 0.5,
               "effect": effect, "group": "cell", "keyTtlUs": 3_000_000})
    };
    json!({"me": 0, "balancers": 1, "zone": 0, "failureDomains": ["a"], "kinds": ["m"],
        "membershipMode": "pushed",
        "classes": [class("read", "retryable"), class("submit", "dedup"), class("charge", "fragile")],
        "permissions": {"maxAttempts": 4, "secondCopies": true, "cancel": true, "probes": true,
                        "connIdleUs": 15_000_000, "multiplex": 1, "retryAfter": true,
                        "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 5_000_000},
        "safety": {"coldFrom": 0.3, "coldUs": 8_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}})
}

/// A configuration whose list of known backends is complete and empty.
pub fn proxy_config(name: &str, discovery: &Discovery) -> Value {
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": true, "members": []}, "settings": balancer_settings()})
}

/// A configuration with a console. `listen` is the address of the process to be replaced, if there is one.
pub fn config_with_console(discovery: &Discovery, listen: Option<SocketAddr>) -> Value {
    let mut config = proxy_config("n7", discovery);
    config["console"] = json!("127.0.0.1:0");
    if let Some(listen) = listen {
        config["listen"] = json!(listen.to_string());
    }
    config
}

/// A configuration in which each class has this response deadline, and half of it as its latency objective.
pub fn config_with_deadline(name: &str, discovery: &Discovery, deadline_ms: u64) -> Value {
    let mut config = proxy_config(name, discovery);
    for class in config["settings"]["classes"].as_array_mut().expect("the classes are an array") {
        class["aimUs"] = (deadline_ms * 500).into();
        class["deadlineUs"] = (deadline_ms * 1_000).into();
    }
    config
}
