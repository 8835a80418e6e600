//! The pure parts by themselves: each checker must find what it is there for, and find nothing where nothing is wrong.

use super::checker::{Mismatch, compare, compare_list};
use super::fault_injection::{FaultInjector, FaultyProxy};
use super::messages::{InjectedFault, ReplicaRecord, Tally, key_hash};
use super::model::{Model, SourceModel};
use super::plan::{PlannedChange, ScalePlan};
use super::population::Population;
use super::propagation::{Audience, Group, Propagation, percentile, summary};
use super::reachability::{Outage, OutageTarget, Reachability};
use super::report::{ListRow, Report, StepRow};
use super::script::{ScaleScript, ScaleScriptError};
use super::stale_sends::{DRAINED_TIMEOUT, find_stale_sends};
use super::version_monitor::VersionMonitor;
use control_plane::message::{Message, ServiceRange};
use control_plane::record::{Change, Key, Kind, Record, Scope, ServiceId, State, Version};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const SMALL: &str = include_str!("../../../scripts/scale-small.toml");
const WHOLE: &str = include_str!("../../../scripts/scale-day.toml");

fn script(text: &str) -> ScaleScript {
    ScaleScript::parse(text, Path::new("scale.toml")).expect("a good script")
}

#[test]
fn names_the_key_of_an_invalid_script_value() {
    let cases = [
        ("subscribers = 500", "subscribers = 0", "size.subscribers"),
        ("relays = 4", "relays = 1", "size.relays"),
        ("zones = 4", "zones = 1", "size.zones"),
        ("services = 500", "services = 3", "size.services"),
        ("backends = 10000", "backends = 499", "size.backends"),
        ("services_per_proxy = 16", "services_per_proxy = 251", "size.services_per_proxy"),
        ("local = 0.8", "local = 1.1", "size.local"),
        ("patience_s = 25.0", "patience_s = 0.0", "patience_s"),
        ("restarts_a_day = 56000.0", "restarts_a_day = -1.0", "changes.restarts_a_day"),
        ("seconds = 6.0", "seconds = 1.0", "step[0].seconds"),
        ("for_s = 3.0", "for_s = 5.5", "step[0].for_s"),
        ("which = 1", "which = 4", "step[0].which"),
        ("seconds = 7.0", "seconds = 601.0", "step[1].seconds"),
        ("sources = 2", "sources = 1", "step[1].what"),
    ];
    for (good, bad, key) in cases {
        assert!(SMALL.contains(good), "{good}");
        let text = SMALL.replacen(good, bad, 1);
        match ScaleScript::parse(&text, Path::new("scale.toml")) {
            Err(ScaleScriptError::Value { key: named, .. }) => assert_eq!(named, key, "{bad}"),
            other => panic!("{bad}: {other:?}"),
        }
    }
    let unknown = ScaleScript::parse(&format!("speed = 3\n{SMALL}"), Path::new("scale.toml"));
    assert!(unknown.expect_err("unknown").to_string().contains("speed"));
}

#[test]
fn population_and_plan_depend_on_the_seed_alone() {
    let one = script(SMALL);
    let other = ScaleScript { seed: one.seed + 1, ..one.clone() };
    let drawn = |script: &ScaleScript| {
        let population = Population::draw(script);
        let plan = ScalePlan::draw(script, &population);
        (population, plan)
    };
    assert_eq!(drawn(&one), drawn(&one.clone()));
    assert_ne!(drawn(&one).0.backends, drawn(&other).0.backends);
    assert_ne!(drawn(&one).0.proxies, drawn(&other).0.proxies);
    assert_ne!(drawn(&one).1, drawn(&other).1);
}

#[test]
fn population_has_the_sizes_of_its_script() {
    let script = script(SMALL);
    let population = Population::draw(&script);
    assert_eq!(population.backends.len(), 10_000);
    let mut of_service = BTreeMap::<ServiceId, usize>::new();
    let mut of_zone = BTreeMap::<usize, usize>::new();
    for backend in &population.backends {
        *of_service.entry(backend.service).or_default() += 1;
        *of_zone.entry(backend.zone).or_default() += 1;
        let region = population.region_of_service(backend.service);
        assert_eq!(population.region_of_zone(backend.zone), region, "it lies in its service's region");
    }
    assert_eq!(of_service.len(), 500, "each service has one at least");
    let largest = of_service.values().max().expect("some");
    assert!(*largest > 60, "services are of unlike size, the largest has {largest}");
    assert!(of_zone.values().all(|&count| (2_000..3_000).contains(&count)), "{of_zone:?}");
    for proxy in &population.proxies {
        assert_eq!(proxy.scope.len(), 16);
        assert!(proxy.scope.windows(2).all(|pair| pair[0] < pair[1]));
        let near = |&&service: &&ServiceId| {
            population.region_of_service(service) == population.region_of_zone(proxy.zone)
        };
        assert_eq!(proxy.scope.iter().filter(near).count(), 13, "0.8 of 16");
    }
    let popular = |service| population.proxies.iter().filter(|p| p.scope.contains(&service)).count();
    assert!((0..500).all(|service| popular(service) > 0), "nobody is left out");
}

#[test]
fn full_scale_script_is_valid_at_every_part_size() {
    let whole = script(WHOLE);
    for (part, size) in [(1.0, (5_200, 7_400, 160_000)), (0.25, (1_300, 1_850, 40_000))] {
        let script = whole.clone().part(part);
        script.check().expect("good");
        let s = &script.size;
        assert_eq!((s.subscribers, s.services, s.backends), size);
        assert_eq!((s.relays, s.sources, s.services_per_proxy), (20, 7, 64));
    }
    let spot = Population::address(159_999, 80);
    assert!(spot.ip().is_loopback());
    for number in [0, 1, 65_535, 65_536, 159_999] {
        assert_eq!(Population::number(*Population::address(number, 80).ip()), Some(number));
    }
    assert_eq!(Population::number([127, 0, 0, 1].into()), None);
    assert_eq!(Population::number([10, 0, 0, 1].into()), None);
}

#[test]
fn plan_has_the_rates_of_its_script_and_valid_state_transitions() {
    let mut script = script(WHOLE);
    script.step.truncate(2);
    script.size.subscribers = 50;
    (script.step[0].seconds, script.step[1].seconds) = (300.0, 300.0);
    let population = Population::draw(&script);
    let plan = ScalePlan::draw(&script, &population);
    assert!(plan.changes.windows(2).all(|pair| pair[0].0 <= pair[1].0), "in order");
    let half = 300_000_000;
    let begun =
        |change: &PlannedChange| matches!(change, PlannedChange::Backend { state: State::Draining, .. });
    let count = |from: u64, to: u64, of: &dyn Fn(&PlannedChange) -> bool| {
        plan.changes.iter().filter(|(at, change)| (from..to).contains(at) && of(change)).count() as f64
    };
    // 56,000 a day are 194 in five minutes; four deviations of chance.
    assert!((count(0, half, &begun) - 194.4).abs() < 56.0, "{}", count(0, half, &begun));
    assert!((count(half, 2 * half, &begun) - 1_944.0).abs() < 177.0, "{}", count(half, 2 * half, &begun));
    let configured = |change: &PlannedChange| matches!(change, PlannedChange::Configuration { .. });
    assert!((count(half, 2 * half, &configured) - 451.4).abs() < 85.0);
    let mut states = BTreeMap::<usize, State>::new();
    for (_, change) in &plan.changes {
        if let PlannedChange::Backend { number, state } = *change {
            let before = states.insert(number, state).unwrap_or(State::Active);
            let follows = matches!(
                (before, state),
                (State::Active, State::Draining | State::Gone)
                    | (State::Draining, State::Gone)
                    | (State::Gone, State::Active)
            );
            assert!(follows, "b{number} goes from {before:?} to {state:?}");
        }
    }
}

fn change(service: ServiceId, name: &str, state: State, body: &str) -> Change {
    let key = Key { service, kind: Kind::Backend, name: name.into() };
    Change { key, state, body: body.as_bytes().into() }
}

fn version(epoch: u64, revision: u64) -> Version {
    Version { epoch, revision }
}

fn record(epoch: u64, revision: u64, change: Change) -> Record {
    Record { key: change.key, version: version(epoch, revision), state: change.state, body: change.body }
}

/// Source 0 has services 0 and 2, source 1 has 1 and 3.
fn source_of(service: ServiceId) -> u16 {
    (service % 2) as u16
}

fn written_changes() -> [Vec<Change>; 2] {
    let active = |service, name| change(service, name, State::Active, name);
    [
        vec![
            active(0, "a"),
            active(0, "b"),
            active(2, "c"),
            change(0, "b", State::Draining, "b"),
            change(2, "c", State::Gone, ""),
            active(2, "d"),
        ],
        vec![active(1, "e"), active(3, "f"), change(1, "e", State::Active, "anew")],
    ]
}

fn model() -> Model {
    let mut model = Model::new();
    for (source, changes) in written_changes().into_iter().enumerate() {
        let one = model.entry(source as u16).or_default();
        let last = version(5, changes.len() as u64);
        one.record_write(&changes, last, 1_000, Some(0));
    }
    model
}

fn replica_record(source: u16, revision: u64, change: Change) -> ReplicaRecord {
    ReplicaRecord::of(source, &record(5, revision, change))
}

/// What somebody with services 0, 1 and 2 holds.
fn expected_replica() -> Vec<ReplicaRecord> {
    vec![
        replica_record(0, 1, change(0, "a", State::Active, "a")),
        replica_record(0, 4, change(0, "b", State::Draining, "b")),
        replica_record(0, 6, change(2, "d", State::Active, "d")),
        replica_record(1, 3, change(1, "e", State::Active, "anew")),
    ]
}

fn mismatches(held: &[ReplicaRecord]) -> Vec<Mismatch> {
    let scope = BTreeSet::from([0, 1, 2]);
    compare(&model(), &scope, source_of, held).into_iter().map(|difference| difference.mismatch).collect()
}

#[test]
fn checker_finds_each_kind_of_mismatch_and_none_in_an_equal_replica() {
    assert_eq!(mismatches(&expected_replica()), []);
    let with = |held: ReplicaRecord| [expected_replica(), vec![held]].concat();
    let but = |place: usize, held: ReplicaRecord| {
        let mut all = expected_replica();
        all[place] = held;
        all
    };
    for place in 0..4 {
        let mut fewer = expected_replica();
        fewer.remove(place);
        assert_eq!(mismatches(&fewer), [Mismatch::Missing], "{place}");
    }
    let stale = replica_record(0, 3, change(2, "c", State::Active, "c"));
    assert_eq!(mismatches(&with(stale)), [Mismatch::NotThere], "a drain that was never heard of");
    let stray = replica_record(1, 2, change(3, "f", State::Active, "f"));
    assert_eq!(mismatches(&with(stray)), [Mismatch::OutOfScope]);
    assert_eq!(mismatches(&with(expected_replica()[0].clone())), [Mismatch::Twice, Mismatch::NotThere]);
    let old = replica_record(0, 2, change(0, "b", State::Active, "b"));
    assert_eq!(mismatches(&but(1, old)), [Mismatch::Version]);
    let undone = replica_record(0, 4, change(0, "b", State::Active, "b"));
    assert_eq!(mismatches(&but(1, undone)), [Mismatch::State]);
    let spoilt = replica_record(0, 1, change(0, "a", State::Active, "A"));
    assert_eq!(mismatches(&but(0, spoilt)), [Mismatch::Body]);
    let foreign = replica_record(1, 1, change(0, "a", State::Active, "a"));
    assert_eq!(mismatches(&but(0, foreign)), [Mismatch::NotThere], "another source's");
    assert_eq!(mismatches(&[]), [Mismatch::Missing; 4]);
}

#[test]
fn agent_list_must_match_every_entry_address_and_phase() {
    let entry = |id: &str, phase: &str| {
        let name = id.rsplit('/').next().unwrap_or_default();
        (id.to_owned(), (format!("at {name}"), phase.to_owned()))
    };
    let right =
        [entry("0/a", "active"), entry("0/b", "leaving"), entry("2/d", "active"), entry("1/e", "active")];
    let right = BTreeMap::from(right);
    let differ = |list: &BTreeMap<_, _>| {
        let scope = BTreeSet::from([0, 1, 2]);
        compare_list(&model(), &scope, source_of, |name| format!("at {name}"), list).len()
    };
    assert_eq!((differ(&right), differ(&BTreeMap::new())), (0, 4));
    for (id, phase) in [("0/b", "active"), ("2/c", "leaving"), ("3/f", "active")] {
        let mut wrong = right.clone();
        wrong.extend([entry(id, phase)]);
        assert_eq!(differ(&wrong), 1, "{id} {phase}");
    }
    let mut wrong = right.clone();
    wrong.insert("0/a".into(), ("elsewhere".into(), "active".into()));
    assert_eq!(differ(&wrong), 1);
}

proptest! {
    #[test]
    fn checker_finds_any_single_change_of_a_replica(place in 0_usize..4, what in 0_usize..6) {
        let mut all = expected_replica();
        match what {
            0 => { all.remove(place); }
            1 => all[place].version.revision += 1,
            2 => all[place].version.epoch += 1,
            3 => all[place].body ^= 1,
            4 => all[place].name.push('x'),
            _ => all[place].state = if all[place].state == State::Active { State::Draining } else { State::Active },
        }
        prop_assert!(!mismatches(&all).is_empty());
    }
}

#[test]
fn restarted_source_must_hold_a_prefix_of_its_acknowledged_changes() {
    let of = |revisions: &[(u64, Change)]| -> Vec<ReplicaRecord> {
        revisions.iter().map(|(revision, change)| replica_record(0, *revision, change.clone())).collect()
    };
    let active = |service, name: &str| change(service, name, State::Active, name);
    let cut = of(&[(1, active(0, "a")), (2, active(0, "b")), (3, active(2, "c"))]);
    let restarted = |held: &[ReplicaRecord], head| {
        let mut source = model().remove(&0).expect("it is there");
        source.restarted(held, head).map(|lost| (lost, source.head, source.live(0), source.live(2)))
    };
    assert_eq!(restarted(&cut, version(6, 3)), Ok((3, version(6, 3), 2, 1)));
    assert!(restarted(&cut, version(5, 3)).is_err(), "no new life");
    assert!(restarted(&cut[..2], version(6, 3)).is_err(), "a record is missing");
    assert!(restarted(&cut, version(6, 4)).is_err(), "the drain was said by then");
    let spoilt = of(&[(1, active(0, "a")), (2, change(0, "b", State::Active, "?")), (3, active(2, "c"))]);
    assert!(restarted(&spoilt, version(6, 3)).is_err(), "another body");
    let invented = of(&[(1, active(0, "a")), (2, active(0, "b")), (3, active(2, "x"))]);
    assert!(restarted(&invented, version(6, 3)).is_err(), "never said");
}

#[test]
fn lost_changes_are_not_expected_after_a_source_restart() {
    let mut source = SourceModel::default();
    let active = |name: &str| change(0, name, State::Active, name);
    source.record_write(&[active("a"), change(0, "a", State::Draining, "a")], version(1, 2), 10, Some(0));
    let kept = [ReplicaRecord::of(0, &record(1, 1, active("a")))];
    assert_eq!(source.restarted(&kept, version(2, 1)), Ok(1));
    source.record_write(&[change(0, "a", State::Gone, "")], version(2, 2), 20, Some(0));
    let key = key_hash(0, Kind::Backend, "a");
    let states: Vec<State> = source.history(key).map(|said| said.state).collect();
    assert_eq!(states, [State::Active, State::Gone]);
    let since = |from| source.changes(key, from, version(2, 2)).count();
    assert_eq!((since(Version::default()), since(version(1, 1)), since(version(2, 2))), (2, 1, 0));
}

struct Everybody(Vec<(Group, u32)>);

impl Audience for Everybody {
    fn of(&self, service: ServiceId) -> &[(Group, u32)] {
        if service == 0 { &self.0 } else { &[] }
    }

    fn reachable(&self, _: u16, group: Group, written: u64) -> Option<u64> {
        match group.zone {
            // Could be reached a little later, or is not asked for.
            7 => Some(written + 500),
            9 => None,
            _ => Some(written),
        }
    }
}

#[test]
fn change_is_in_force_when_the_last_subscriber_has_it_or_a_newer_one() {
    let group = |zone| Group { process: 0, zone };
    let audience = Everybody(vec![(group(3), 2), (group(7), 1), (group(9), 5)]);
    let mut model = Model::new();
    let source = model.entry(0).or_default();
    source.record_write(&[change(0, "a", State::Active, "1")], version(1, 1), 1_000, None);
    source.record_write(&[change(0, "a", State::Draining, "1")], version(1, 2), 2_000, Some(0));
    source.record_write(&[change(0, "a", State::Gone, "")], version(1, 3), 3_000, Some(1));
    source.record_write(&[change(5, "b", State::Active, "1")], version(1, 4), 3_000, Some(1));
    let key = key_hash(0, Kind::Backend, "a");
    let tally = |zone, from, to, count, last| Tally {
        source: 0,
        key,
        from: version(1, from),
        to: version(1, to),
        group: zone,
        count,
        last,
    };
    let mut in_force = Propagation::default();
    // One takes both; the other one of zone 3 hears of the second alone; zone 7 likewise.
    in_force.take(&model, 0, &[tally(3, 1, 2, 1, 2_100), tally(3, 2, 3, 1, 3_100)]);
    in_force.take(&model, 0, &[tally(3, 1, 3, 1, 4_000)]);
    let early = in_force.changes(&model, &audience);
    assert_eq!(early.iter().map(|r| (r.step, r.after)).collect::<Vec<_>>(), [(0, None), (1, None)]);
    in_force.take(&model, 0, &[tally(7, 1, 3, 1, 4_400)]);
    let all = in_force.changes(&model, &audience);
    let times: Vec<_> = all.iter().map(|r| (r.step, r.after, r.after_written)).collect();
    // Zone 7 could be reached 500 later than it was written, so zone 3 was last.
    assert_eq!(times, [(0, Some(2_000), Some(2_400)), (1, Some(1_000), Some(1_400))]);
    let first = summary(&all, 0, |r| r.after_written);
    assert_eq!((first.changes, first.never, first.worst_s), (1, 0, 0.0024));
    assert_eq!(summary(&early, 0, |r| r.after).never, 1);
}

#[test]
fn percentile_is_the_smallest_value_at_or_above_its_rank() {
    let values: Vec<u64> = (1..=200).collect();
    let at = |part| percentile(&values, part);
    assert_eq!((at(0.5), at(0.99), at(1.0), at(0.0)), (100, 198, 200, 1));
    assert_eq!((percentile(&[], 0.5), percentile(&[7], 0.99)), (0, 7));
}

#[test]
fn propagation_to_unreachable_groups_counts_from_the_end_of_the_outage() {
    let population = Population::draw(&script(SMALL));
    let mut reach = Reachability::new(&population, 2);
    let window = |who| Outage { target: who, from: 1_000_000, to: 2_000_000 };
    let group = |process, zone| Group { process, zone };
    let at = |reach: &Reachability, source, group| reach.reachable(source, group, 1_500_000);
    reach.outages = vec![window(OutageTarget::Region(0))];
    // Zones 0 and 2 are region 0's.
    assert_eq!(at(&reach, 0, group(0, 0)), Some(1_500_000), "its own source");
    assert_eq!(at(&reach, 1, group(0, 2)), Some(2_000_000), "the others' source");
    assert_eq!(at(&reach, 0, group(0, 1)), Some(2_000_000), "its source, to the others");
    assert_eq!(at(&reach, 1, group(0, 3)), Some(1_500_000), "the others among themselves");
    assert_eq!(reach.reachable(1, group(0, 0), 2_000_000), Some(2_000_000), "it is over");
    assert_eq!(reach.reachable(1, group(0, 0), 100), Some(100), "long before");
    assert_eq!(reach.latest(1, 1_500_000), 2_000_000);
    reach.outages = vec![window(OutageTarget::Process(1))];
    assert_eq!((at(&reach, 0, group(0, 0)), at(&reach, 0, group(1, 0))), (Some(1_500_000), Some(2_000_000)));
    reach.outages = vec![window(OutageTarget::Zone(2))];
    assert_eq!((at(&reach, 0, group(0, 0)), at(&reach, 0, group(0, 2))), (Some(1_500_000), None));
    let must: u32 = (0..500).flat_map(|service| reach.of(service)).map(|(_, count)| count).sum();
    assert_eq!(must, 500 * 16, "each proxy and service of its scope once");
}

#[test]
fn finds_requests_sent_after_the_drain_timeout() {
    let population = Population::draw(&script(SMALL));
    let mut reach = Reachability::new(&population, 2);
    let service = population.backends[7].service;
    let source = population.region_of_service(service) as u16;
    let said = |state, body: &str| [change(service, "b7", state, body)];
    let mut model = Model::new();
    let one = model.entry(source).or_default();
    one.record_write(&said(State::Active, "1"), version(1, 1), 100, None);
    one.record_write(&said(State::Draining, "1"), version(1, 2), 1_000_000, Some(0));
    one.record_write(&said(State::Gone, ""), version(1, 3), 5_000_000, Some(0));
    one.record_write(&said(State::Active, "2"), version(1, 4), 30_000_000, Some(0));
    let told = 1_000_000 + DRAINED_TIMEOUT;
    let found =
        |reach: &Reachability, at| find_stale_sends(&[(at, 7), (at, 8)], &model, &population, reach).len();
    let times = [500_000, told, told + 1, 29_999_999, 30_000_001];
    assert_eq!(times.map(|at| found(&reach, at)), [0, 0, 1, 1, 0]);
    // Where its source and somebody were cut off from one another, from the end of that on.
    reach.outages = vec![Outage { target: OutageTarget::Region(0), from: 900_000, to: 8_000_000 }];
    assert_eq!((found(&reach, told + 1), found(&reach, 8_000_001 + DRAINED_TIMEOUT)), (0, 1));
}

fn batch(epoch: u64, records: Vec<Record>) -> Message {
    let at = version(epoch, 9);
    Message::Batch { source: 0, epoch, from: [at; 3], to: [at; 3], records, scope_digest: Some(77) }
}

#[test]
fn version_monitor_finds_regressions_except_after_a_new_epoch() {
    let active = |revision| record(1, revision, change(0, "a", State::Active, "a"));
    let drained = record(1, 5, change(0, "a", State::Draining, "a"));
    let mut watch = VersionMonitor::default();
    watch.observe_epoch(&batch(1, Vec::new()));
    assert_eq!(watch.applied(0, &active(3)), Version::default());
    assert_eq!(watch.applied(0, &drained), version(1, 3));
    assert_eq!((watch.live(), watch.breaks().len()), (1, 0));
    watch.applied(0, &active(4));
    assert!(watch.breaks()[0].starts_with("a drain undone"), "{:?}", watch.breaks());
    watch.applied(0, &active(4));
    assert!(watch.breaks()[1].starts_with("an older version"), "the same once more: {:?}", watch.breaks());
    let mut watch = VersionMonitor::default();
    watch.applied(0, &drained);
    watch.observe_epoch(&batch(2, Vec::new()));
    watch.applied(0, &active(3));
    assert_eq!(watch.breaks(), &[] as &[String], "the source lost the drain, and says so with its new life");
    watch.applied(0, &record(2, 6, change(0, "a", State::Gone, "")));
    assert_eq!((watch.live(), watch.breaks().len()), (0, 0));
}

#[test]
fn each_injected_fault_changes_only_its_own_messages() {
    let one = || record(1, 3, change(0, "a", State::Active, "a"));
    let two = || record(1, 4, change(0, "b", State::Active, "b"));
    let whole = batch(1, vec![one(), two()]);
    let mut none = FaultInjector::new(InjectedFault::None);
    none.arm();
    assert_eq!(none.pass(whole.clone()), Some(whole.clone()));

    let records = |message: Option<Message>| match message {
        Some(Message::Batch { records, scope_digest: None, .. }) => records,
        other => panic!("{other:?}"),
    };
    let mut drop = FaultInjector::new(InjectedFault::Drop);
    assert_eq!(records(drop.pass(whole.clone())), [one(), two()], "not before it is armed");
    drop.arm();
    assert_eq!(records(drop.pass(whole.clone())), [two()]);
    assert_eq!(records(drop.pass(batch(1, vec![two(), one()]))), [two()], "the same record again, no other");

    let mut digest = FaultInjector::new(InjectedFault::Digest);
    digest.arm();
    let spoilt = records(digest.pass(whole.clone()));
    assert_eq!((spoilt[0].version, &*spoilt[0].body, &spoilt[1]), (one().version, &b"`"[..], &two()));

    let services = |count| Scope::Services((0..count).collect());
    let hello = |scope| Message::Hello { protocol: 1, name: "n".into(), scope, positions: Vec::new() };
    assert_eq!(FaultInjector::new(InjectedFault::Scope).out(hello(services(4))), hello(services(3)));
    assert_eq!(FaultInjector::new(InjectedFault::Drop).out(hello(services(4))), hello(services(4)));

    let mut epoch = FaultInjector::new(InjectedFault::Epoch);
    assert_eq!(records(epoch.pass(whole)).len(), 2);
    match epoch.pass(batch(2, vec![one()])) {
        Some(Message::Batch { epoch: 1, records, .. }) => assert_eq!(records, [one()]),
        other => panic!("{other:?}"),
    }
    let summary = |epoch| Message::DigestSummary {
        source: 0,
        epoch,
        range: ServiceRange { first: 0, last: u32::MAX },
        to: [version(epoch, 9); 3],
        digests: Vec::new(),
    };
    assert_eq!(epoch.pass(summary(2)), None);
    assert_eq!(epoch.pass(summary(1)), Some(summary(1)), "of the life that it knows");
}

#[test]
fn every_report_figure_has_a_unique_name_and_size() {
    let step = |name: &str, times| StepRow { name: name.into(), times, ..StepRow::default() };
    let mut report = Report { size: (5_200, 160_000), real: 16, relays: 20, ..Report::default() };
    report.steps = vec![step("0 ordinary", 1.0), step("1 ordinary", 10.0), step("2 ordinary", 10.0)];
    report.steps[1].in_force.worst_s = 1.834;
    report.lists =
        [5_000, 20_000].map(|backends| ListRow { backends, bytes: 7, ..ListRow::default() }).into();
    let lines = report.lines("testbed scale fleet", "day");
    let text: Vec<String> = lines.iter().map(|line| serde_json::to_string(line).expect("a line")).collect();
    let mut results = crate::scale::figures::Results::default();
    results.read("fleet.jsonl", &text.join("\n")).expect("each figure has a name of its own");
    let page = "`ordinary_10x_in_force_worst_s@5200` = 1.8 s, `ordinary_in_force_worst_s@5200` = 0 s, \
        `ordinary_10x_2_subscriber_cores@5200` = 0 cores, `whole_list_bytes@20000` = 7 bytes";
    assert_eq!(results.check(page), Ok(4));
}

/// Guards against a fault that moves to the last chunk of a process that is assigned over 500 proxies.
#[test]
fn first_proxy_keeps_the_fault_over_several_commands() {
    let mut faulty = FaultyProxy::default();
    faulty.assign(0..500, InjectedFault::Drop);
    faulty.assign(500..700, InjectedFault::Drop);
    let with_fault: Vec<u32> = (0..700).filter(|&n| faulty.fault_of(n) != InjectedFault::None).collect();
    assert_eq!(with_fault, [0]);
}
