//! Reloads of the configuration while requests of either front end are in flight or retained. Both front ends
//! apply the new settings from the same moment, and a key stays claimed whatever changes in its class.

use crate::envoy::{envoy_decision, immediate_response, request_head};
use crate::support::*;
use crate::{
    ProxyUnderTest, backend_entries, connect_client, decide, expect_final, expect_rejection, expect_send,
    report, run, send_decide, send_report, start_proxy,
};
use external_processor::generated as pb;
use external_processor::generated::answer::Answer;
use external_processor::generated::decisions_client::DecisionsClient;
use serde_json::{Value, json};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;
use tonic::transport::Channel;

/// Position of the keyed class `submit` in [`balancer_settings`].
const SUBMIT: usize = 1;

/// A change of the settings that a reload applies.
struct Change {
    name: &'static str,
    apply: fn(&mut Value),
}

/// Changes of the class `submit`, after each of which its key may still be in use.
const CLASS_CHANGES: [Change; 6] = [
    Change { name: "objective", apply: |settings| settings["classes"][SUBMIT]["aimUs"] = json!(9_000_000) },
    Change { name: "wider-scope", apply: |settings| settings["classes"][SUBMIT]["group"] = json!("zone") },
    // Neither version is stricter in all respects, so that a combination of both applies at first.
    Change {
        name: "combined",
        apply: |settings| {
            settings["classes"][SUBMIT]["group"] = json!("zone");
            settings["classes"][SUBMIT]["keyTtlUs"] = json!(2_000_000);
        },
    },
    Change { name: "effect", apply: |settings| settings["classes"][SUBMIT]["effect"] = json!("fragile") },
    Change { name: "removed", apply: |settings| drop(classes(settings).remove(SUBMIT)) },
    Change { name: "reordered", apply: |settings| classes(settings).reverse() },
];

fn classes(settings: &mut Value) -> &mut Vec<Value> {
    settings["classes"].as_array_mut().expect("the classes are an array")
}

/// Changes the settings of the proxy's start, and waits until the result is in force.
fn reload(proxy: &mut ProxyUnderTest, change: impl Fn(&mut Value)) {
    let mut config = proxy_config("reload", &proxy.discovery);
    change(&mut config["settings"]);
    proxy.process.reload(&config.to_string());
    proxy.process.wait_for_log("reloaded the configuration");
}

/// A request of the class `submit` for the decision service.
fn decide_keyed(id: &str, key: &str) -> pb::DecideRequest {
    pb::DecideRequest { idempotency_key: key.into(), ..decide("submit", id) }
}

/// A request of the class `submit` for the HTTP front end.
fn http_keyed(id: &str, key: &str) -> String {
    request("submit", key, "x").replace(&format!("Correlation-Id: {key}"), &format!("Correlation-Id: {id}"))
}

/// Requests a decision, and reports that its attempt was served, so that the backend is free again.
async fn decide_and_report(client: &mut DecisionsClient<Channel>, request: pb::DecideRequest) -> pb::Send {
    let decision = expect_send(send_decide(client, request).await);
    let served = send_report(client, report(&decision.lease, pb::Outcome::Served)).await;
    assert_eq!(expect_final(&served), (pb::End::Served, false));
    decision
}

/// The message of a rejection of an invalid request.
fn rejection_message(answer: Answer) -> String {
    assert_eq!(expect_rejection(&answer), pb::Reason::Invalid);
    match answer {
        Answer::Rejected(rejected) => rejected.message,
        other => panic!("{other:?} is no rejection"),
    }
}

async fn envoy_status(proxy: &ProxyUnderTest, key: &str) -> i32 {
    immediate_response(envoy_decision(proxy.external_processor, &request_head("submit", key)).await).0
}

/// Starts a proxy with one backend, which holds its first response until the sender of `released` signals.
fn start_with_held_backend(name: &str, released: Receiver<()>) -> (ProxyUnderTest, Backend) {
    let mut released = Some(released);
    let backend = Backend::start(move |_| match released.take() {
        Some(released) => BackendAction::WaitForSignalThen(released, Box::new(ok_response("first"))),
        None => ok_response("later"),
    });
    let proxy = start_proxy(name, "", &[backend_entry("b0", backend.address, "active", 0)]);
    (proxy, backend)
}

/// Guards against a duplicate execution: after a reload that changed its class, a key that a caller had in
/// flight was sent to a backend again for a client of the HTTP front end.
#[test]
fn key_of_a_caller_stays_claimed_after_a_reload_of_its_class() {
    for Change { name, apply } in CLASS_CHANGES {
        let backend = Backend::start(|_| ok_response("second execution"));
        let members = [backend_entry("b0", backend.address, "active", 0)];
        let mut proxy = start_proxy(&format!("ep-reload-caller-{name}"), "", &members);
        run(async {
            let mut client = connect_client(proxy.external_processor).await;
            let lease = expect_send(send_decide(&mut client, decide_keyed("a", "k")).await).lease;
            reload(&mut proxy, apply);
            let response = proxy.process.client().exchange(&http_keyed("b", "k"));
            assert_eq!(response.status(), 503, "{name}: the key is in flight");
            match send_decide(&mut client, decide_keyed("c", "k")).await {
                Answer::InFlight(in_flight) => assert!(in_flight.by_key, "{name}"),
                other => panic!("{name}: {other:?}"),
            }
            assert_eq!(envoy_status(&proxy, "k").await, 503, "{name}");

            let served = send_report(&mut client, report(&lease, pb::Outcome::Served)).await;
            assert_eq!(expect_final(&served), (pb::End::Served, false), "{name}");
            let response = proxy.process.client().exchange(&http_keyed("b", "k"));
            assert_eq!(response.status(), 409, "{name}: the key is retained");
            let retained = send_decide(&mut client, decide_keyed("c", "k")).await;
            assert_eq!(expect_final(&retained), (pb::End::Served, true), "{name}");
        });
        assert_eq!(backend.take_request_count(), 0, "{name}: the HTTP front end sent the key as well");
    }
}

/// Guards against a duplicate execution: after a reload that changed its class, a caller was told to send a
/// key that a client of the HTTP front end had in flight.
#[test]
fn key_of_an_http_client_stays_claimed_after_a_reload_of_its_class() {
    for Change { name, apply } in CLASS_CHANGES {
        let (release, released) = channel();
        let (mut proxy, backend) = start_with_held_backend(&format!("ep-reload-http-{name}"), released);
        let mut http_client = proxy.process.client();
        http_client.send(&http_keyed("a", "k"));
        backend.next_request();
        run(async {
            let mut client = connect_client(proxy.external_processor).await;
            reload(&mut proxy, apply);
            match send_decide(&mut client, decide_keyed("b", "k")).await {
                Answer::InFlight(in_flight) => assert!(in_flight.by_key, "{name}"),
                other => panic!("{name}: {other:?}"),
            }
            assert_eq!(envoy_status(&proxy, "k").await, 503, "{name}");
            let response = proxy.process.client().exchange(&http_keyed("c", "k"));
            assert_eq!(response.status(), 503, "{name}: the key is in flight");

            release.send(()).expect("the backend waits");
            assert_eq!(http_client.receive().body, b"first", "{name}");
            let retained = send_decide(&mut client, decide_keyed("b", "k")).await;
            assert_eq!(expect_final(&retained), (pb::End::Served, true), "{name}");
        });
        assert_eq!(backend.take_request_count(), 0, "{name}: the backend received more than one attempt");
    }
}

/// Guards against callers that are decided by the settings of the process's start: classes that a reload
/// added were unknown to them, and its deadlines, effects and number of attempts did not apply.
#[test]
fn reload_applies_to_callers_and_http_clients_from_the_same_moment() {
    let backend = Backend::start(|_| ok_response("fine"));
    let members = [backend_entry("b0", backend.address, "active", 0)];
    let mut proxy = start_proxy("ep-reload-settings", "", &members);
    reload(&mut proxy, |settings| {
        settings["classes"][0]["deadlineUs"] = json!(10_000_000);
        settings["classes"][2]["effect"] = json!("retryable");
        let mut added = settings["classes"][0].clone();
        added["name"] = json!("view");
        classes(settings).push(added);
        drop(classes(settings).remove(SUBMIT));
        settings["permissions"]["maxAttempts"] = json!(1);
    });
    run(async {
        let mut client = connect_client(proxy.external_processor).await;
        let added = decide_and_report(&mut client, decide("view", "v")).await;
        assert_eq!(added.repeat, pb::Repeat::Never as i32, "one attempt is the maximum");
        let http_added = request("read", "w", "").replace("read", "view");
        assert_eq!(proxy.process.client().exchange(&http_added).status(), 200);
        let changed = decide_and_report(&mut client, decide("read", "r")).await;
        assert!((9_000..=10_000).contains(&changed.wait_ms), "the new deadline is 10 s: {changed:?}");
        // Requests of a removed class may still come from senders that do not know the new settings.
        decide_and_report(&mut client, decide_keyed("s", "k")).await;

        let unknown = send_decide(&mut client, decide("nothing", "n")).await;
        assert_eq!(rejection_message(unknown), "`class` makes no sense: no class `nothing`");
        let unexpected_key = pb::DecideRequest { class: "view".into(), ..decide_keyed("t", "k") };
        let unexpected_key = send_decide(&mut client, unexpected_key).await;
        assert_eq!(
            rejection_message(unexpected_key),
            "`idempotency_key` makes no sense: the class has no keys"
        );
        let unknown = envoy_decision(proxy.external_processor, &request_head("nothing", "n")).await;
        assert_eq!(immediate_response(unknown).0, 400);
    });
}

/// A caller's open request keeps the rules under which it came, as one of the HTTP front end does.
#[test]
fn open_request_of_a_caller_keeps_its_rules_after_a_reload() {
    let mut proxy = start_proxy("ep-reload-open", "", &backend_entries(4));
    run(async {
        let mut client = connect_client(proxy.external_processor).await;
        let first = expect_send(send_decide(&mut client, decide("read", "a")).await);
        reload(&mut proxy, |settings| {
            settings["classes"][0]["effect"] = json!("fragile");
            settings["permissions"]["maxAttempts"] = json!(1);
        });
        let second = send_report(&mut client, report(&first.lease, pb::Outcome::Reset)).await;
        let second = expect_send(second);
        assert_eq!((second.attempt, second.repeat), (1, pb::Repeat::Always as i32));
    });
}

/// How long a backend of [`start_with_breaking_backends`] takes until it breaks the connection of a request.
const TIME_TO_BREAK: Duration = Duration::from_millis(600);
/// A time to live of keys that is over when a backend breaks the connection.
const SHORT_TTL_US: u64 = 400_000;
/// A time to live of keys that is not over then.
const LONG_TTL_US: u64 = 5_000_000;

/// Starts a proxy with two cells of two backends, which break the connection of each request that they have
/// executed.
fn start_with_breaking_backends(name: &str) -> (ProxyUnderTest, Vec<Backend>) {
    let breaks =
        || BackendAction::DelayThen(TIME_TO_BREAK, Box::new(BackendAction::WriteAndClose(Vec::new())));
    let backends: Vec<Backend> = (0..4).map(|_| Backend::start(move |_| breaks())).collect();
    let entry = |(number, backend): (usize, &Backend)| {
        let mut entry = backend_entry(&format!("b{number}"), backend.address, "active", 0);
        entry["cell"] = json!(number / 2);
        entry
    };
    let entries: Vec<Value> = backends.iter().enumerate().map(entry).collect();
    (start_proxy(name, "", &entries), backends)
}

fn set_group_and_ttl(settings: &mut Value, group: &str, ttl_us: u64) {
    settings["classes"][SUBMIT]["group"] = json!(group);
    settings["classes"][SUBMIT]["keyTtlUs"] = json!(ttl_us);
}

/// Reloads in quick succession.
struct Succession {
    name: &'static str,
    changes: &'static [fn(&mut Value)],
    /// Whether a version that may apply has a time to live that is over when the connection breaks.
    is_ttl_over: bool,
}

const SUCCESSIONS: [Succession; 3] = [
    Succession {
        name: "wider-scope",
        changes: &[
            |settings| set_group_and_ttl(settings, "all", LONG_TTL_US),
            |settings| settings["classes"][SUBMIT]["aimUs"] = json!(9_000_000),
        ],
        is_ttl_over: false,
    },
    Succession {
        name: "shorter-ttl",
        changes: &[
            |settings| set_group_and_ttl(settings, "all", SHORT_TTL_US),
            |settings| set_group_and_ttl(settings, "all", LONG_TTL_US),
            |settings| set_group_and_ttl(settings, "zone", LONG_TTL_US),
        ],
        is_ttl_over: true,
    },
    Succession {
        name: "added-again",
        changes: &[
            |settings| drop(classes(settings).remove(SUBMIT)),
            |settings| set_group_and_ttl(settings, "zone", SHORT_TTL_US),
        ],
        is_ttl_over: true,
    },
];

/// Guards against a duplicate execution: after reloads in quick succession, a keyed request was retried by the
/// rules of some versions of its class, although its sender might know another one.
#[test]
fn request_is_retried_by_the_strictest_rules_of_all_versions_that_may_apply() {
    for Succession { name, changes, is_ttl_over } in SUCCESSIONS {
        let (mut proxy, backends) = start_with_breaking_backends(&format!("ep-versions-{name}"));
        for change in changes {
            reload(&mut proxy, change);
        }
        run(async {
            let mut client = connect_client(proxy.external_processor).await;
            let first = expect_send(send_decide(&mut client, decide_keyed("a", "k")).await);
            let status = proxy.process.client().exchange(&http_keyed("b", "l")).status();
            assert_eq!(status, 502, "{name}: a request that may have run is not rejected");
            let attempts: Vec<usize> = backends.iter().map(Backend::take_request_count).collect();
            let cells: Vec<usize> = attempts.chunks(2).map(|cell| cell.iter().sum()).collect();
            assert!(cells.contains(&0), "{name}: retried in another cell: {attempts:?}");
            let has_retry = attempts.iter().sum::<usize>() > 1;
            assert_eq!(has_retry, !is_ttl_over, "{name}: {attempts:?}");

            let cell_of = |decision: &pb::Send| {
                let endpoint = decision.endpoint.parse().expect("an address");
                backends.iter().position(|backend| backend.address == endpoint).expect("a backend") / 2
            };
            match send_report(&mut client, report(&first.lease, pb::Outcome::Reset)).await {
                Answer::Send(retry) if !is_ttl_over => assert_eq!(cell_of(&retry), cell_of(&first), "{name}"),
                answer => assert_eq!(expect_final(&answer), (pb::End::Failed, false), "{name}"),
            }
        });
    }
}
