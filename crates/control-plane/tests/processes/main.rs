//! Tests of sources, relays and agents as processes on loopback, observed through the discovery protocol.

mod commands;
mod faults;
mod malformed_input;
mod stalled_subscribers;
mod support;
#[path = "../test_directory/mod.rs"]
mod test_directory;

use control_plane::record::RecordState::{Active, Draining, Gone};
use support::*;

#[test]
fn changes_reach_only_proxies_with_the_service_in_scope() {
    let region = Region::new("scope", 2);
    let _source = region.start_source();
    let _relays = [region.start_relay(0), region.start_relay(1)];
    let mut writer = ChangeWriter::new(region.source);
    writer.set(1, &[("a-1", Active), ("a-2", Active)]);
    writer.set(2, &[("b-1", Active)]);
    let (_agent, discovery) = region.start_agent("one", &[1]);
    let (_agent_of_both, discovery_of_both) = region.start_agent("both", &[1, 2]);
    let (mut one_service, mut both_services) = (Proxy::new(discovery), Proxy::new(discovery_of_both));
    one_service.wait_for_exactly("the initial records", &[("a-1", "active"), ("a-2", "active")]);
    both_services
        .wait_for_exactly("all services", &[("1/a-1", "active"), ("1/a-2", "active"), ("2/b-1", "active")]);

    writer.set(2, &[("b-1", Draining), ("b-2", Active)]);
    writer.set(1, &[("a-1", Draining), ("a-3", Active), ("a-2", Gone)]);
    one_service.wait_for_exactly("the changes", &[("a-1", "leaving"), ("a-3", "active")]);
    let changed = [("1/a-1", "leaving"), ("1/a-3", "active"), ("2/b-1", "leaving"), ("2/b-2", "active")];
    both_services.wait_for_exactly("the changes of both services", &changed);
    assert!(one_service.received.iter().all(|(id, _)| id.starts_with("a-")), "{:?}", one_service.received);
    // Each proxy received changes, not a second complete list.
    assert_eq!((one_service.complete_lists, both_services.complete_lists), (1, 1));
    assert!(one_service.received.contains(&("a-2".into(), "left".into())), "{:?}", one_service.received);
}

#[test]
fn discovery_serves_the_list_once_it_is_complete_and_while_relays_are_lost() {
    let region = Region::new("ready", 1);
    let (agent, discovery) = region.start_agent("a", &[1]);
    assert_eq!(request_discovery(discovery, "/discovery/hosts").0, 503);
    let relay = region.start_relay(0);
    agent.wait_for_line("connected to relay");
    // The relay has no records yet.
    assert_eq!(request_discovery(discovery, "/discovery/hosts").0, 503);
    let source = region.start_source();
    let mut proxy = Proxy::new(discovery);
    proxy.wait_for_exactly("an empty list", &[]);
    ChangeWriter::new(region.source).set(1, &[("a-1", Active)]);
    proxy.wait_for_exactly("the first backend", &[("a-1", "active")]);

    // The agent continues to serve its list while no relay is reachable.
    source.kill();
    relay.kill();
    agent.wait_for_line("lost relay");
    for _ in 0..3 {
        assert!(proxy.poll());
    }
    let mut another = Proxy::new(discovery);
    assert!(another.poll());
    assert_eq!(another.backends, proxy.backends);
    assert_eq!(another.backends.len(), 1);
}

#[test]
fn rejects_invalid_queries_and_sends_the_complete_list_for_unknown_revisions() {
    let region = Region::new("queries", 1);
    let (_source, _relay) = (region.start_source(), region.start_relay(0));
    ChangeWriter::new(region.source).set(1, &[("a-1", Active)]);
    let (_agent, discovery) = region.start_agent("a", &[1]);
    Proxy::new(discovery).wait_for_exactly("the list", &[("a-1", "active")]);
    for (target, status, expected) in [
        ("/", 404, "only /discovery/hosts is here"),
        ("/discovery/hosts?after=x", 400, "`after=x`: must be a whole number"),
        ("/discovery/hosts?since=1", 400, "`since` is not known"),
    ] {
        let (actual, body) = request_discovery(discovery, target);
        let body = String::from_utf8(body).expect("text");
        assert!(actual == status && body.contains(expected), "{target}: {actual} {body}");
    }
    // For a revision of a former process and an unknown one, the complete list is sent immediately,
    // regardless of `wait_ms`.
    for after in [41, u64::MAX] {
        let (status, body) =
            request_discovery(discovery, &format!("/discovery/hosts?after={after}&wait_ms=60000"));
        let list: serde_json::Value = serde_json::from_slice(&body).expect("a list");
        assert_eq!((status, &list["complete"]), (200, &true.into()));
        assert_eq!(list["members"].as_array().map(Vec::len), Some(1));
    }
}

#[test]
fn restarted_agent_sends_the_complete_list_to_a_known_proxy() {
    let region = Region::new("agent-restarted", 1);
    let (_source, _relay) = (region.start_source(), region.start_relay(0));
    let mut writer = ChangeWriter::new(region.source);
    writer.set(1, &[("a-1", Active), ("a-2", Active)]);
    let (agent, discovery) = region.start_agent("a", &[1]);
    let mut proxy = Proxy::new(discovery);
    proxy.wait_for_exactly("the list", &[("a-1", "active"), ("a-2", "active")]);
    agent.kill();
    // The number of entries is the same as before, so revisions counted from zero would be the same too.
    writer.set(1, &[("a-1", Gone), ("a-3", Active)]);
    let _agent = Process::start("agent", &region.directory.file("a.toml"));
    proxy.wait_for_exactly("the missed changes", &[("a-2", "active"), ("a-3", "active")]);
    assert_eq!(proxy.complete_lists, 2);
}
