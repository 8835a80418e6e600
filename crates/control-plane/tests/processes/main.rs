//! Sources, relays and agents as processes over loopback: what a proxy's discovery holds, whatever happens to them.

mod faults;
mod hostile;
mod rig;
mod slow;
mod tools;

use control_plane::record::State::{Active, Draining, Gone};
use rig::*;

#[test]
fn changes_reach_the_proxies_in_whose_scope_they_are_and_no_others() {
    let region = Region::new("scope", 2);
    let _source = region.start_source();
    let _relays = [region.start_relay(0), region.start_relay(1)];
    let mut operator = Operator::new(region.source);
    operator.set(1, &[("a-1", Active), ("a-2", Active)]);
    operator.set(2, &[("b-1", Active)]);
    let (_agent, discovery) = region.start_agent("one", &[1]);
    let (_both, both) = region.start_agent("both", &[1, 2]);
    let (mut one, mut both) = (Proxy::new(discovery), Proxy::new(both));
    one.until_exactly("what was there", &[("a-1", "active"), ("a-2", "active")]);
    both.until_exactly("all services", &[("1/a-1", "active"), ("1/a-2", "active"), ("2/b-1", "active")]);

    operator.set(2, &[("b-1", Draining), ("b-2", Active)]);
    operator.set(1, &[("a-1", Draining), ("a-3", Active), ("a-2", Gone)]);
    one.until_exactly("the changes", &[("a-1", "leaving"), ("a-3", "active")]);
    let changed = [("1/a-1", "leaving"), ("1/a-3", "active"), ("2/b-1", "leaving"), ("2/b-2", "active")];
    both.until_exactly("the changes of both", &changed);
    assert!(one.told.iter().all(|(id, _)| id.starts_with("a-")), "{:?}", one.told);
    // The changes came as changes.
    assert_eq!((one.wholes, both.wholes), (1, 1));
    assert!(one.told.contains(&("a-2".into(), "left".into())), "{:?}", one.told);
}

#[test]
fn discovery_gives_no_list_before_all_of_it_was_heard_and_then_always_one() {
    let region = Region::new("ready", 1);
    let (agent, discovery) = region.start_agent("a", &[1]);
    assert_eq!(ask(discovery, "/discovery/hosts").0, 503);
    let relay = region.start_relay(0);
    agent.says("connected to relay");
    // The relay knows no more than the agent.
    assert_eq!(ask(discovery, "/discovery/hosts").0, 503);
    let source = region.start_source();
    let mut proxy = Proxy::new(discovery);
    proxy.until_exactly("an empty list, which is one", &[]);
    Operator::new(region.source).set(1, &[("a-1", Active)]);
    proxy.until_exactly("the first backend", &[("a-1", "active")]);

    // Cut off from all of them it goes on with what it has.
    source.kill();
    relay.kill();
    agent.says("lost relay");
    for _ in 0..3 {
        assert!(proxy.call());
    }
    let mut another = Proxy::new(discovery);
    assert!(another.call());
    assert_eq!(another.held, proxy.held);
    assert_eq!(another.held.len(), 1);
}

#[test]
fn questions_that_make_no_sense_are_told_so_and_old_versions_get_the_whole_list() {
    let region = Region::new("questions", 1);
    let (_source, _relay) = (region.start_source(), region.start_relay(0));
    Operator::new(region.source).set(1, &[("a-1", Active)]);
    let (_agent, discovery) = region.start_agent("a", &[1]);
    Proxy::new(discovery).until_exactly("the list", &[("a-1", "active")]);
    for (target, status, says) in [
        ("/", 404, "only /discovery/hosts is here"),
        ("/discovery/hosts?after=x", 400, "`after=x`: must be a whole number"),
        ("/discovery/hosts?since=1", 400, "`since` is not known"),
    ] {
        let (got, body) = ask(discovery, target);
        let body = String::from_utf8(body).expect("text");
        assert!(got == status && body.contains(says), "{target}: {got} {body}");
    }
    // A version of another life, and one that never was: answered at once, whole, however long the watch would wait.
    for after in [41, u64::MAX] {
        let (status, body) = ask(discovery, &format!("/discovery/hosts?after={after}&wait_ms=60000"));
        let list: serde_json::Value = serde_json::from_slice(&body).expect("a list");
        assert_eq!((status, &list["complete"]), (200, &true.into()));
        assert_eq!(list["members"].as_array().map(Vec::len), Some(1));
    }
}

#[test]
fn an_agent_that_begins_anew_tells_the_whole_list_to_a_proxy_that_knows_its_former_versions() {
    let region = Region::new("anew", 1);
    let (_source, _relay) = (region.start_source(), region.start_relay(0));
    let mut operator = Operator::new(region.source);
    operator.set(1, &[("a-1", Active), ("a-2", Active)]);
    let (agent, discovery) = region.start_agent("a", &[1]);
    let mut proxy = Proxy::new(discovery);
    proxy.until_exactly("the list", &[("a-1", "active"), ("a-2", "active")]);
    agent.kill();
    // As many entries as before: versions that were counted from nothing would be the same ones.
    operator.set(1, &[("a-1", Gone), ("a-3", Active)]);
    let _agent = Process::start("agent", &region.folder.file("a.toml"));
    proxy.until_exactly("what it missed", &[("a-2", "active"), ("a-3", "active")]);
    assert_eq!(proxy.wholes, 2);
}
