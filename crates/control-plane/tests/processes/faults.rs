//! Failures of relays and sources: killed, suspended, and restarted without their last changes.

use super::support::*;
use control_plane::record::RecordState::{Active, Draining, Gone};

#[test]
fn agent_fails_over_from_a_killed_relay_without_loss() {
    let region = Region::new("relay-killed", 2);
    let _source = region.start_source();
    let mut relays = [Some(region.start_relay(0)), Some(region.start_relay(1))];
    let mut writer = ChangeWriter::new(region.source);
    writer.set(1, &[("a-1", Active), ("a-2", Active), ("a-3", Active)]);
    let (agent, discovery) = region.start_agent("a", &[1]);
    let mut proxy = Proxy::new(discovery);
    proxy.wait_for_exactly("the initial records", &[("a-1", "active"), ("a-2", "active"), ("a-3", "active")]);

    let (first, lines) = region.wait_for_relay(&agent, 0);
    relays[first].take().expect("it runs").kill();
    writer.set(1, &[("a-1", Draining), ("a-2", Gone), ("a-4", Active)]);
    let (second, lines) = region.wait_for_relay(&agent, lines);
    assert_ne!(second, first);
    let changed = [("a-1", "leaving"), ("a-3", "active"), ("a-4", "active")];
    proxy.wait_for_exactly("the changes during the failover", &changed);
    // The proxy received only the changes, not a second complete list.
    assert_eq!(proxy.complete_lists, 1);

    // Failover back to the first relay, which has just restarted without records.
    let _restarted = region.start_relay(first);
    relays[second].take().expect("it runs").kill();
    writer.set(1, &[("a-1", Gone), ("a-5", Active)]);
    assert_eq!(region.wait_for_relay(&agent, lines).0, first);
    proxy.wait_for_exactly("the last changes", &[("a-3", "active"), ("a-4", "active"), ("a-5", "active")]);
    assert_eq!(proxy.complete_lists, 1);
}

#[test]
fn stalled_relay_does_not_undo_newer_changes() {
    let region = Region::new("relay-stalled", 2);
    let _source = region.start_source();
    let mut relays = [Some(region.start_relay(0)), Some(region.start_relay(1))];
    let mut writer = ChangeWriter::new(region.source);
    writer.set(1, &[("a-1", Active), ("a-2", Active), ("a-3", Active)]);
    let (agent, discovery) = region.start_agent("a", &[1]);
    let mut proxy = Proxy::new(discovery);
    proxy.wait_for_exactly("the initial records", &[("a-1", "active"), ("a-2", "active"), ("a-3", "active")]);

    let (first, lines) = region.wait_for_relay(&agent, 0);
    let stalled = relays[first].take().expect("it runs");
    stalled.signal("STOP");
    writer.set(1, &[("a-1", Draining), ("a-2", Gone)]);
    let (second, lines) = region.wait_for_relay(&agent, lines);
    proxy.wait_for_exactly("the records of the other relay", &[("a-1", "leaving"), ("a-3", "active")]);

    // The stalled relay has only old records, and is the only running one.
    let before = proxy.received.len();
    relays[second].take().expect("it runs").kill();
    stalled.signal("CONT");
    assert_eq!(region.wait_for_relay(&agent, lines).0, first);
    writer.set(1, &[("a-4", Active)]);
    proxy.wait_for_exactly("the next change", &[("a-1", "leaving"), ("a-3", "active"), ("a-4", "active")]);
    let received = &proxy.received[before..];
    let undone = |(id, phase): &&(String, String)| id == "a-2" || (id == "a-1" && phase == "active");
    assert_eq!(received.iter().find(undone), None, "{received:?}");
    assert_eq!(proxy.complete_lists, 1);
}

#[test]
fn source_restarted_without_its_last_changes_converges_everywhere() {
    let mut region = Region::new("source-restarted", 2);
    // The snapshot is written only at the start and at the end.
    region.extra_keys.insert("source", "snapshot_every_ms = 3600000".into());
    let mut source = region.start_source();
    let _relays = [region.start_relay(0), region.start_relay(1)];
    let mut writer = ChangeWriter::new(region.source);
    let persisted = writer.set(1, &[("a-1", Active), ("a-2", Active), ("a-3", Draining)]);
    source.signal("TERM");
    assert_eq!(source.wait_for_exit().code(), Some(0));
    drop(source);

    let source = region.start_source();
    let mut writer = ChangeWriter::new(region.source);
    let agents =
        [region.start_agent("a", &[1]), region.start_agent("b", &[1]), region.start_agent("c", &[1])];
    let mut proxies: Vec<Proxy> = agents.iter().map(|(_, discovery)| Proxy::new(*discovery)).collect();
    let lost = writer.set(1, &[("a-1", Draining), ("a-2", Gone), ("a-4", Active), ("a-5", Active)]);
    assert!(lost.epoch > persisted.epoch && lost.revision > persisted.revision);
    for proxy in &mut proxies {
        let all = [("a-1", "leaving"), ("a-3", "leaving"), ("a-4", "active"), ("a-5", "active")];
        proxy.wait_for_exactly("the changes that will be lost", &all);
    }
    source.kill();

    let _source = region.start_source();
    for proxy in &mut proxies {
        let all = [("a-1", "active"), ("a-2", "active"), ("a-3", "leaving")];
        proxy.wait_for_exactly("the persisted records", &all);
    }
    // The source reuses the lost revisions. Its changes are applied because their epoch is newer.
    let mut writer = ChangeWriter::new(region.source);
    let next = writer.set(1, &[("a-1", Gone), ("a-4", Draining)]);
    assert!(next.epoch > lost.epoch);
    for proxy in &mut proxies {
        proxy.wait_for_exactly(
            "the next changes",
            &[("a-2", "active"), ("a-3", "leaving"), ("a-4", "leaving")],
        );
        assert_eq!(proxy.complete_lists, 1, "repairs are sent as changes");
    }
}

/// While the source is unreachable, agents retain their records, and agents that start receive the records of
/// the relays. New changes arrive once the source is reachable.
#[test]
fn relays_serve_replicated_records_while_a_source_is_unreachable() {
    let region = Region::new("source-unreachable", 2);
    let source = region.start_source();
    let relays = [region.start_relay(0), region.start_relay(1)];
    let mut writer = ChangeWriter::new(region.source);
    writer.set(1, &[("a-1", Active), ("a-2", Draining)]);
    let (_first, discovery) = region.start_agent("a", &[1]);
    let mut first = Proxy::new(discovery);
    first.wait_for_exactly("the initial records", &[("a-1", "active"), ("a-2", "leaving")]);
    for relay in &relays {
        relay.wait_for_line("connected to source");
    }
    source.signal("STOP");
    for relay in &relays {
        relay.wait_for_line("lost source");
    }
    let (_late, discovery) = region.start_agent("late", &[1]);
    let mut late = Proxy::new(discovery);
    late.wait_for_exactly("the records of the relays", &[("a-1", "active"), ("a-2", "leaving")]);
    source.signal("CONT");
    let mut writer = ChangeWriter::new(region.source);
    writer.set(1, &[("a-1", Draining), ("a-3", Active)]);
    for proxy in [&mut first, &mut late] {
        proxy.wait_for_exactly(
            "the new changes",
            &[("a-1", "leaving"), ("a-2", "leaving"), ("a-3", "active")],
        );
        assert_eq!(proxy.complete_lists, 1);
    }
}
