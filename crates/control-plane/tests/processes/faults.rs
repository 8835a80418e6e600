//! Relays that die or stand, sources that come back with less than they said.

use super::rig::*;
use control_plane::record::State::{Active, Draining, Gone};

#[test]
fn a_relay_that_dies_is_left_for_another_and_nothing_is_lost() {
    let region = Region::new("killed", 2);
    let _source = region.start_source();
    let mut relays = [Some(region.start_relay(0)), Some(region.start_relay(1))];
    let mut operator = Operator::new(region.source);
    operator.set(1, &[("a-1", Active), ("a-2", Active), ("a-3", Active)]);
    let (agent, discovery) = region.start_agent("a", &[1]);
    let mut proxy = Proxy::new(discovery);
    proxy.until_exactly("what was there", &[("a-1", "active"), ("a-2", "active"), ("a-3", "active")]);

    let (first, lines) = region.followed(&agent, 0);
    relays[first].take().expect("it runs").kill();
    operator.set(1, &[("a-1", Draining), ("a-2", Gone), ("a-4", Active)]);
    let (second, lines) = region.followed(&agent, lines);
    assert_ne!(second, first);
    let changed = [("a-1", "leaving"), ("a-3", "active"), ("a-4", "active")];
    proxy.until_exactly("what was said meanwhile", &changed);
    // What was held went on, and the rest came as changes.
    assert_eq!(proxy.wholes, 1);

    // And back, to one that has just begun and knew nothing.
    let _again = region.start_relay(first);
    relays[second].take().expect("it runs").kill();
    operator.set(1, &[("a-1", Gone), ("a-5", Active)]);
    assert_eq!(region.followed(&agent, lines).0, first);
    proxy.until_exactly("the rest", &[("a-3", "active"), ("a-4", "active"), ("a-5", "active")]);
    assert_eq!(proxy.wholes, 1);
}

#[test]
fn a_relay_that_stood_undoes_nothing_with_its_old_words() {
    let region = Region::new("stalled", 2);
    let _source = region.start_source();
    let mut relays = [Some(region.start_relay(0)), Some(region.start_relay(1))];
    let mut operator = Operator::new(region.source);
    operator.set(1, &[("a-1", Active), ("a-2", Active), ("a-3", Active)]);
    let (agent, discovery) = region.start_agent("a", &[1]);
    let mut proxy = Proxy::new(discovery);
    proxy.until_exactly("what was there", &[("a-1", "active"), ("a-2", "active"), ("a-3", "active")]);

    let (first, lines) = region.followed(&agent, 0);
    let stalled = relays[first].take().expect("it runs");
    stalled.signal("STOP");
    operator.set(1, &[("a-1", Draining), ("a-2", Gone)]);
    let (second, lines) = region.followed(&agent, lines);
    proxy.until_exactly("what the other one says", &[("a-1", "leaving"), ("a-3", "active")]);

    // The one that stood knows the past only, and is all there is.
    let before = proxy.told.len();
    relays[second].take().expect("it runs").kill();
    stalled.signal("CONT");
    assert_eq!(region.followed(&agent, lines).0, first);
    operator.set(1, &[("a-4", Active)]);
    proxy.until_exactly("what is said next", &[("a-1", "leaving"), ("a-3", "active"), ("a-4", "active")]);
    let told = &proxy.told[before..];
    let undone = |(id, phase): &&(String, String)| id == "a-2" || (id == "a-1" && phase == "active");
    assert_eq!(told.iter().find(undone), None, "{told:?}");
    assert_eq!(proxy.wholes, 1);
}

#[test]
fn a_source_that_comes_back_without_its_last_changes_is_right_again_everywhere() {
    let mut region = Region::new("epoch", 2);
    // Kept at its start and end only.
    region.keys.insert("source", "snapshot_every_ms = 3600000".into());
    let mut source = region.start_source();
    let _relays = [region.start_relay(0), region.start_relay(1)];
    let mut operator = Operator::new(region.source);
    let kept = operator.set(1, &[("a-1", Active), ("a-2", Active), ("a-3", Draining)]);
    source.signal("TERM");
    assert_eq!(source.ended().code(), Some(0));
    drop(source);

    let source = region.start_source();
    let mut operator = Operator::new(region.source);
    let agents =
        [region.start_agent("a", &[1]), region.start_agent("b", &[1]), region.start_agent("c", &[1])];
    let mut proxies: Vec<Proxy> = agents.iter().map(|(_, discovery)| Proxy::new(*discovery)).collect();
    let lost = operator.set(1, &[("a-1", Draining), ("a-2", Gone), ("a-4", Active), ("a-5", Active)]);
    assert!(lost.epoch > kept.epoch && lost.revision > kept.revision);
    for proxy in &mut proxies {
        let all = [("a-1", "leaving"), ("a-3", "leaving"), ("a-4", "active"), ("a-5", "active")];
        proxy.until_exactly("what will be lost", &all);
    }
    source.kill();

    let _source = region.start_source();
    for proxy in &mut proxies {
        let all = [("a-1", "active"), ("a-2", "active"), ("a-3", "leaving")];
        proxy.until_exactly("what the source still knows", &all);
    }
    // It has lost count of its changes, and is believed none the less.
    let mut operator = Operator::new(region.source);
    let next = operator.set(1, &[("a-1", Gone), ("a-4", Draining)]);
    assert!(next.epoch > lost.epoch);
    for proxy in &mut proxies {
        proxy
            .until_exactly("what it says next", &[("a-2", "active"), ("a-3", "leaving"), ("a-4", "leaving")]);
        assert_eq!(proxy.wholes, 1, "repairs came as changes");
    }
}

/// A region that is cut from its source: everybody goes on with what there is, agents that start meanwhile as well, and
/// what was said on the other side comes once it can.
#[test]
fn while_a_source_cannot_be_reached_relays_serve_what_they_hold() {
    let region = Region::new("cut", 2);
    let source = region.start_source();
    let _relays = [region.start_relay(0), region.start_relay(1)];
    let mut operator = Operator::new(region.source);
    operator.set(1, &[("a-1", Active), ("a-2", Draining)]);
    let (_first, discovery) = region.start_agent("a", &[1]);
    let mut first = Proxy::new(discovery);
    first.until_exactly("what was there", &[("a-1", "active"), ("a-2", "leaving")]);
    for relay in &_relays {
        relay.says("connected to source");
    }
    source.signal("STOP");
    for relay in &_relays {
        relay.says("lost source");
    }
    let (_late, discovery) = region.start_agent("late", &[1]);
    let mut late = Proxy::new(discovery);
    late.until_exactly("what the relays hold", &[("a-1", "active"), ("a-2", "leaving")]);
    source.signal("CONT");
    let mut operator = Operator::new(region.source);
    operator.set(1, &[("a-1", Draining), ("a-3", Active)]);
    for proxy in [&mut first, &mut late] {
        proxy.until_exactly("all", &[("a-1", "leaving"), ("a-2", "leaving"), ("a-3", "active")]);
        assert_eq!(proxy.wholes, 1);
    }
}
