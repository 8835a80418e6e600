//! Tests of the parts without I/O: each checker must find its violations, and must find none in valid data.

use super::checker::{Mismatch, compare, compare_list};
use super::fault_injection::{FaultInjector, FaultyProxy};
use super::messages::{InjectedFault, ReplicaRecord, Tally, key_hash};
use super::model::{Model, SourceModel};
use super::plan::{PlannedChange, ScalePlan};
use super::population::Population;
use super::propagation::{Group, Propagation, Subscribers, percentile, summary};
use super::reachability::{Outage, OutageTarget, Reachability};
use super::report::{ListRow, Report, StepRow};
use super::script::{ScaleScript, ScaleScriptError};
use super::stale_sends::{DRAIN_TIMEOUT_US, find_stale_sends};
use super::version_monitor::VersionMonitor;
use control_plane::message::{Message, ServiceRange};
use control_plane::record::{Change, Record, RecordKey, RecordKind, RecordState, Scope, ServiceId, Version};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const SMALL: &str = include_str!("../../../scripts/scale-small.toml");
const FULL_SCALE: &str = include_str!("../../../scripts/scale-day.toml");

fn script(text: &str) -> ScaleScript {
    ScaleScript::parse(text, Path::new("scale.toml")).expect("a valid script")
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
        assert_eq!(population.region_of_zone(backend.zone), region, "the backend is in its service's region");
    }
    assert_eq!(of_service.len(), 500, "each service has a backend");
    let largest = of_service.values().max().expect("a service");
    assert!(*largest > 60, "the largest service has {largest} backends only");
    assert!(of_zone.values().all(|&count| (2_000..3_000).contains(&count)), "{of_zone:?}");
    for proxy in &population.proxies {
        assert_eq!(proxy.scope.len(), 16);
        assert!(proxy.scope.windows(2).all(|pair| pair[0] < pair[1]));
        let is_local = |&&service: &&ServiceId| {
            population.region_of_service(service) == population.region_of_zone(proxy.zone)
        };
        assert_eq!(proxy.scope.iter().filter(is_local).count(), 13, "0.8 of 16 services are local");
    }
    let proxies_with = |service| population.proxies.iter().filter(|p| p.scope.contains(&service)).count();
    assert!((0..500).all(|service| proxies_with(service) > 0), "a service is in no proxy's scope");
}

#[test]
fn full_scale_script_is_valid_at_every_part_size() {
    let full = script(FULL_SCALE);
    for (part, size) in [(1.0, (5_200, 7_400, 160_000)), (0.25, (1_300, 1_850, 40_000))] {
        let script = full.clone().scaled_by(part);
        script.check().expect("valid sizes");
        let s = &script.size;
        assert_eq!((s.subscribers, s.services, s.backends), size);
        assert_eq!((s.relays, s.sources, s.services_per_proxy), (20, 7, 64));
    }
    let last = Population::backend_address(159_999, 80);
    assert!(last.ip().is_loopback());
    for number in [0, 1, 65_535, 65_536, 159_999] {
        assert_eq!(Population::backend_number(*Population::backend_address(number, 80).ip()), Some(number));
    }
    assert_eq!(Population::backend_number([127, 0, 0, 1].into()), None);
    assert_eq!(Population::backend_number([10, 0, 0, 1].into()), None);
}

#[test]
fn plan_has_the_rates_of_its_script_and_valid_state_transitions() {
    let mut script = script(FULL_SCALE);
    script.steps.truncate(2);
    script.size.subscribers = 50;
    (script.steps[0].seconds, script.steps[1].seconds) = (300.0, 300.0);
    let population = Population::draw(&script);
    let plan = ScalePlan::draw(&script, &population);
    assert!(plan.changes.windows(2).all(|pair| pair[0].0 <= pair[1].0), "changes are not ascending by time");
    let half_us = 300_000_000;
    let is_drain = |change: &PlannedChange| {
        matches!(change, PlannedChange::Backend { state: RecordState::Draining, .. })
    };
    let count = |from: u64, to: u64, of: &dyn Fn(&PlannedChange) -> bool| {
        plan.changes.iter().filter(|(at, change)| (from..to).contains(at) && of(change)).count() as f64
    };
    // 56,000 restarts per day are 194 in five minutes. The tolerances are four standard deviations.
    assert!((count(0, half_us, &is_drain) - 194.4).abs() < 56.0, "{}", count(0, half_us, &is_drain));
    assert!(
        (count(half_us, 2 * half_us, &is_drain) - 1_944.0).abs() < 177.0,
        "{}",
        count(half_us, 2 * half_us, &is_drain)
    );
    let is_configuration = |change: &PlannedChange| matches!(change, PlannedChange::Configuration { .. });
    assert!((count(half_us, 2 * half_us, &is_configuration) - 451.4).abs() < 85.0);
    let mut states = BTreeMap::<usize, RecordState>::new();
    for (_, change) in &plan.changes {
        if let PlannedChange::Backend { number, state } = *change {
            let before = states.insert(number, state).unwrap_or(RecordState::Active);
            let is_valid = matches!(
                (before, state),
                (RecordState::Active, RecordState::Draining | RecordState::Gone)
                    | (RecordState::Draining, RecordState::Gone)
                    | (RecordState::Gone, RecordState::Active)
            );
            assert!(is_valid, "b{number} goes from {before:?} to {state:?}");
        }
    }
}

fn change(service: ServiceId, name: &str, state: RecordState, body: &str) -> Change {
    let key = RecordKey { service, kind: RecordKind::Backend, name: name.into() };
    Change { key, state, body: body.as_bytes().into() }
}

fn version(epoch: u64, revision: u64) -> Version {
    Version { epoch, revision }
}

fn record(epoch: u64, revision: u64, change: Change) -> Record {
    Record { key: change.key, version: version(epoch, revision), state: change.state, body: change.body }
}

/// Source 0 has the services 0 and 2, source 1 has 1 and 3.
fn source_of(service: ServiceId) -> u16 {
    (service % 2) as u16
}

fn written_changes() -> [Vec<Change>; 2] {
    let active = |service, name| change(service, name, RecordState::Active, name);
    [
        vec![
            active(0, "a"),
            active(0, "b"),
            active(2, "c"),
            change(0, "b", RecordState::Draining, "b"),
            change(2, "c", RecordState::Gone, ""),
            active(2, "d"),
        ],
        vec![active(1, "e"), active(3, "f"), change(1, "e", RecordState::Active, "anew")],
    ]
}

fn model() -> Model {
    let mut model = Model::new();
    for (source, changes) in written_changes().into_iter().enumerate() {
        let source_model = model.entry(source as u16).or_default();
        let last = version(5, changes.len() as u64);
        source_model.record_write(&changes, last, 1_000, Some(0));
    }
    model
}

fn replica_record(source: u16, revision: u64, change: Change) -> ReplicaRecord {
    ReplicaRecord::from_record(source, &record(5, revision, change))
}

/// The replica of a subscriber to the services 0, 1 and 2.
fn expected_replica() -> Vec<ReplicaRecord> {
    vec![
        replica_record(0, 1, change(0, "a", RecordState::Active, "a")),
        replica_record(0, 4, change(0, "b", RecordState::Draining, "b")),
        replica_record(0, 6, change(2, "d", RecordState::Active, "d")),
        replica_record(1, 3, change(1, "e", RecordState::Active, "anew")),
    ]
}

fn mismatches(replica: &[ReplicaRecord]) -> Vec<Mismatch> {
    let scope = BTreeSet::from([0, 1, 2]);
    compare(&model(), &scope, source_of, replica).into_iter().map(|difference| difference.mismatch).collect()
}

#[test]
fn checker_finds_each_kind_of_mismatch_and_none_in_an_equal_replica() {
    assert_eq!(mismatches(&expected_replica()), []);
    let with = |record: ReplicaRecord| [expected_replica(), vec![record]].concat();
    let with_replaced = |index: usize, record: ReplicaRecord| {
        let mut all = expected_replica();
        all[index] = record;
        all
    };
    for index in 0..4 {
        let mut fewer = expected_replica();
        fewer.remove(index);
        assert_eq!(mismatches(&fewer), [Mismatch::Missing], "{index}");
    }
    let stale = replica_record(0, 3, change(2, "c", RecordState::Active, "c"));
    assert_eq!(mismatches(&with(stale)), [Mismatch::Unexpected], "a removal that the replica lacks");
    let stray = replica_record(1, 2, change(3, "f", RecordState::Active, "f"));
    assert_eq!(mismatches(&with(stray)), [Mismatch::OutOfScope]);
    assert_eq!(mismatches(&with(expected_replica()[0].clone())), [Mismatch::Duplicate, Mismatch::Unexpected]);
    let old = replica_record(0, 2, change(0, "b", RecordState::Active, "b"));
    assert_eq!(mismatches(&with_replaced(1, old)), [Mismatch::Version]);
    let reverted = replica_record(0, 4, change(0, "b", RecordState::Active, "b"));
    assert_eq!(mismatches(&with_replaced(1, reverted)), [Mismatch::State]);
    let corrupted = replica_record(0, 1, change(0, "a", RecordState::Active, "A"));
    assert_eq!(mismatches(&with_replaced(0, corrupted)), [Mismatch::Body]);
    let foreign = replica_record(1, 1, change(0, "a", RecordState::Active, "a"));
    assert_eq!(mismatches(&with_replaced(0, foreign)), [Mismatch::Unexpected], "a record of another source");
    assert_eq!(mismatches(&[]), [Mismatch::Missing; 4]);
}

#[test]
fn agent_list_must_match_every_entry_address_and_phase() {
    let entry = |id: &str, phase: &str| {
        let name = id.rsplit('/').next().unwrap_or_default();
        (id.to_owned(), (format!("at {name}"), phase.to_owned()))
    };
    let expected =
        [entry("0/a", "active"), entry("0/b", "leaving"), entry("2/d", "active"), entry("1/e", "active")];
    let expected = BTreeMap::from(expected);
    let count_differences = |list: &BTreeMap<_, _>| {
        let scope = BTreeSet::from([0, 1, 2]);
        compare_list(&model(), &scope, source_of, |name| format!("at {name}"), list).len()
    };
    assert_eq!((count_differences(&expected), count_differences(&BTreeMap::new())), (0, 4));
    for (id, phase) in [("0/b", "active"), ("2/c", "leaving"), ("3/f", "active")] {
        let mut wrong = expected.clone();
        wrong.extend([entry(id, phase)]);
        assert_eq!(count_differences(&wrong), 1, "{id} {phase}");
    }
    let mut wrong = expected.clone();
    wrong.insert("0/a".into(), ("elsewhere".into(), "active".into()));
    assert_eq!(count_differences(&wrong), 1);
}

proptest! {
    #[test]
    fn checker_finds_any_single_change_of_a_replica(index in 0_usize..4, change in 0_usize..6) {
        let mut all = expected_replica();
        match change {
            0 => { all.remove(index); }
            1 => all[index].version.revision += 1,
            2 => all[index].version.epoch += 1,
            3 => all[index].body ^= 1,
            4 => all[index].name.push('x'),
            _ => all[index].state = if all[index].state == RecordState::Active { RecordState::Draining } else { RecordState::Active },
        }
        prop_assert!(!mismatches(&all).is_empty());
    }
}

#[test]
fn restarted_source_must_hold_a_prefix_of_its_acknowledged_changes() {
    let replica = |revisions: &[(u64, Change)]| -> Vec<ReplicaRecord> {
        revisions.iter().map(|(revision, change)| replica_record(0, *revision, change.clone())).collect()
    };
    let active = |service, name: &str| change(service, name, RecordState::Active, name);
    let prefix = replica(&[(1, active(0, "a")), (2, active(0, "b")), (3, active(2, "c"))]);
    let restarted = |records: &[ReplicaRecord], head| {
        let mut source = model().remove(&0).expect("source 0");
        source
            .reset_to_restarted(records, head)
            .map(|lost| (lost, source.head, source.live_records(0), source.live_records(2)))
    };
    assert_eq!(restarted(&prefix, version(6, 3)), Ok((3, version(6, 3), 2, 1)));
    assert!(restarted(&prefix, version(5, 3)).is_err(), "the epoch is not newer");
    assert!(restarted(&prefix[..2], version(6, 3)).is_err(), "a record is missing");
    assert!(restarted(&prefix, version(6, 4)).is_err(), "the drain is in this prefix");
    let corrupted =
        replica(&[(1, active(0, "a")), (2, change(0, "b", RecordState::Active, "?")), (3, active(2, "c"))]);
    assert!(restarted(&corrupted, version(6, 3)).is_err(), "another body than the acknowledged one");
    let invented = replica(&[(1, active(0, "a")), (2, active(0, "b")), (3, active(2, "x"))]);
    assert!(restarted(&invented, version(6, 3)).is_err(), "a record that was never acknowledged");
}

#[test]
fn lost_changes_are_not_expected_after_a_source_restart() {
    let mut source = SourceModel::default();
    let active = |name: &str| change(0, name, RecordState::Active, name);
    source.record_write(
        &[active("a"), change(0, "a", RecordState::Draining, "a")],
        version(1, 2),
        10,
        Some(0),
    );
    let retained = [ReplicaRecord::from_record(0, &record(1, 1, active("a")))];
    assert_eq!(source.reset_to_restarted(&retained, version(2, 1)), Ok(1));
    source.record_write(&[change(0, "a", RecordState::Gone, "")], version(2, 2), 20, Some(0));
    let key = key_hash(0, RecordKind::Backend, "a");
    let states: Vec<RecordState> = source.history(key).map(|change| change.state).collect();
    assert_eq!(states, [RecordState::Active, RecordState::Gone]);
    let since = |from| source.changes(key, from, version(2, 2)).count();
    assert_eq!((since(Version::default()), since(version(1, 1)), since(version(2, 2))), (2, 1, 0));
}

struct FixedGroups(Vec<(Group, u32)>);

impl Subscribers for FixedGroups {
    fn groups(&self, service: ServiceId) -> &[(Group, u32)] {
        if service == 0 { &self.0 } else { &[] }
    }

    fn reachable_from_us(&self, _: u16, group: Group, written_at_us: u64) -> Option<u64> {
        match group.zone {
            // Zone 7 is reachable 500 µs after the write; changes do not count for zone 9.
            7 => Some(written_at_us + 500),
            9 => None,
            _ => Some(written_at_us),
        }
    }
}

#[test]
fn change_has_propagated_when_the_last_subscriber_has_it_or_a_newer_one() {
    let group = |zone| Group { process: 0, zone };
    let subscribers = FixedGroups(vec![(group(3), 2), (group(7), 1), (group(9), 5)]);
    let mut model = Model::new();
    let source = model.entry(0).or_default();
    source.record_write(&[change(0, "a", RecordState::Active, "1")], version(1, 1), 1_000, None);
    source.record_write(&[change(0, "a", RecordState::Draining, "1")], version(1, 2), 2_000, Some(0));
    source.record_write(&[change(0, "a", RecordState::Gone, "")], version(1, 3), 3_000, Some(1));
    source.record_write(&[change(5, "b", RecordState::Active, "1")], version(1, 4), 3_000, Some(1));
    let key = key_hash(0, RecordKind::Backend, "a");
    let tally = |zone, from, to, count, last| Tally {
        source: 0,
        key,
        from: version(1, from),
        to: version(1, to),
        group: zone,
        count,
        last,
    };
    let mut propagation = Propagation::default();
    // One subscriber of zone 3 applies both changes; the other one and that of zone 7 apply the second alone.
    propagation.add_tallies(&model, 0, &[tally(3, 1, 2, 1, 2_100), tally(3, 2, 3, 1, 3_100)]);
    propagation.add_tallies(&model, 0, &[tally(3, 1, 3, 1, 4_000)]);
    let early = propagation.changes(&model, &subscribers);
    assert_eq!(
        early.iter().map(|r| (r.step, r.from_reachable_us)).collect::<Vec<_>>(),
        [(0, None), (1, None)]
    );
    propagation.add_tallies(&model, 0, &[tally(7, 1, 3, 1, 4_400)]);
    let all = propagation.changes(&model, &subscribers);
    let times: Vec<_> = all.iter().map(|r| (r.step, r.from_reachable_us, r.from_write_us)).collect();
    // Zone 7 was reachable 500 µs after the write, so zone 3 is the last one by the time from reachability.
    assert_eq!(times, [(0, Some(2_000), Some(2_400)), (1, Some(1_000), Some(1_400))]);
    let first = summary(&all, 0, |r| r.from_write_us);
    assert_eq!((first.changes, first.never_received, first.max_s), (1, 0, 0.0024));
    assert_eq!(summary(&early, 0, |r| r.from_reachable_us).never_received, 1);
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
    let mut reachability = Reachability::new(&population, 2);
    let outage = |target| Outage { target, from_us: 1_000_000, to_us: 2_000_000 };
    let group = |process, zone| Group { process, zone };
    let at =
        |reachability: &Reachability, source, group| reachability.reachable_from_us(source, group, 1_500_000);
    reachability.outages = vec![outage(OutageTarget::Region(0))];
    // Zones 0 and 2 belong to region 0.
    assert_eq!(at(&reachability, 0, group(0, 0)), Some(1_500_000), "region 0's source to region 0");
    assert_eq!(at(&reachability, 1, group(0, 2)), Some(2_000_000), "region 1's source to region 0");
    assert_eq!(at(&reachability, 0, group(0, 1)), Some(2_000_000), "region 0's source to region 1");
    assert_eq!(at(&reachability, 1, group(0, 3)), Some(1_500_000), "region 1's source to region 1");
    assert_eq!(
        reachability.reachable_from_us(1, group(0, 0), 2_000_000),
        Some(2_000_000),
        "after the outage"
    );
    assert_eq!(reachability.reachable_from_us(1, group(0, 0), 100), Some(100), "long before the outage");
    assert_eq!(reachability.all_reachable_from_us(1, 1_500_000), 2_000_000);
    reachability.outages = vec![outage(OutageTarget::Process(1))];
    assert_eq!(
        (at(&reachability, 0, group(0, 0)), at(&reachability, 0, group(1, 0))),
        (Some(1_500_000), Some(2_000_000))
    );
    reachability.outages = vec![outage(OutageTarget::Zone(2))];
    assert_eq!(
        (at(&reachability, 0, group(0, 0)), at(&reachability, 0, group(0, 2))),
        (Some(1_500_000), None)
    );
    let expected: u32 =
        (0..500).flat_map(|service| reachability.groups(service)).map(|(_, count)| count).sum();
    assert_eq!(expected, 500 * 16, "each proxy is counted once for each service in its scope");
}

#[test]
fn finds_requests_sent_after_the_drain_timeout() {
    let population = Population::draw(&script(SMALL));
    let mut reachability = Reachability::new(&population, 2);
    let service = population.backends[7].service;
    let source = population.region_of_service(service) as u16;
    let changes = |state, body: &str| [change(service, "b7", state, body)];
    let mut model = Model::new();
    let source_model = model.entry(source).or_default();
    source_model.record_write(&changes(RecordState::Active, "1"), version(1, 1), 100, None);
    source_model.record_write(&changes(RecordState::Draining, "1"), version(1, 2), 1_000_000, Some(0));
    source_model.record_write(&changes(RecordState::Gone, ""), version(1, 3), 5_000_000, Some(0));
    source_model.record_write(&changes(RecordState::Active, "2"), version(1, 4), 30_000_000, Some(0));
    let end_us = 1_000_000 + DRAIN_TIMEOUT_US;
    let found = |reachability: &Reachability, at| {
        find_stale_sends(&[(at, 7), (at, 8)], &model, &population, reachability).len()
    };
    let times = [500_000, end_us, end_us + 1, 29_999_999, 30_000_001];
    assert_eq!(times.map(|at| found(&reachability, at)), [0, 0, 1, 1, 0]);
    // While the source's region was isolated, the timeout counts from the end of the outage.
    reachability.outages =
        vec![Outage { target: OutageTarget::Region(0), from_us: 900_000, to_us: 8_000_000 }];
    assert_eq!(
        (found(&reachability, end_us + 1), found(&reachability, 8_000_001 + DRAIN_TIMEOUT_US)),
        (0, 1)
    );
}

fn batch(epoch: u64, records: Vec<Record>) -> Message {
    let at = version(epoch, 9);
    Message::Batch { source: 0, epoch, from: [at; 3], to: [at; 3], records, scope_digest: Some(77) }
}

#[test]
fn version_monitor_finds_regressions_except_after_a_new_epoch() {
    let active = |revision| record(1, revision, change(0, "a", RecordState::Active, "a"));
    let drained = record(1, 5, change(0, "a", RecordState::Draining, "a"));
    let mut monitor = VersionMonitor::default();
    monitor.observe_epoch(&batch(1, Vec::new()));
    assert_eq!(monitor.on_applied(0, &active(3)), Version::default());
    assert_eq!(monitor.on_applied(0, &drained), version(1, 3));
    assert_eq!((monitor.live_records(), monitor.violations().len()), (1, 0));
    monitor.on_applied(0, &active(4));
    assert!(monitor.violations()[0].starts_with("drain reverted"), "{:?}", monitor.violations());
    monitor.on_applied(0, &active(4));
    assert!(
        monitor.violations()[1].starts_with("version not newer"),
        "the same version again: {:?}",
        monitor.violations()
    );
    let mut monitor = VersionMonitor::default();
    monitor.on_applied(0, &drained);
    monitor.observe_epoch(&batch(2, Vec::new()));
    monitor.on_applied(0, &active(3));
    assert_eq!(
        monitor.violations(),
        &[] as &[String],
        "the source lost the drain, and its new epoch shows it"
    );
    monitor.on_applied(0, &record(2, 6, change(0, "a", RecordState::Gone, "")));
    assert_eq!((monitor.live_records(), monitor.violations().len()), (0, 0));
}

#[test]
fn each_injected_fault_changes_only_its_own_messages() {
    let one = || record(1, 3, change(0, "a", RecordState::Active, "a"));
    let two = || record(1, 4, change(0, "b", RecordState::Active, "b"));
    let both = batch(1, vec![one(), two()]);
    let mut none = FaultInjector::new(InjectedFault::None);
    none.arm();
    assert_eq!(none.incoming(both.clone()), Some(both.clone()));

    let records = |message: Option<Message>| match message {
        Some(Message::Batch { records, scope_digest: None, .. }) => records,
        other => panic!("{other:?}"),
    };
    let mut drop = FaultInjector::new(InjectedFault::Drop);
    assert_eq!(records(drop.incoming(both.clone())), [one(), two()], "no fault before it is armed");
    drop.arm();
    assert_eq!(records(drop.incoming(both.clone())), [two()]);
    assert_eq!(
        records(drop.incoming(batch(1, vec![two(), one()]))),
        [two()],
        "only the record dropped before"
    );

    let mut digest = FaultInjector::new(InjectedFault::Digest);
    digest.arm();
    let corrupted = records(digest.incoming(both.clone()));
    assert_eq!(
        (corrupted[0].version, &*corrupted[0].body, &corrupted[1]),
        (one().version, &b"`"[..], &two())
    );

    let services = |count| Scope::Services((0..count).collect());
    let hello = |scope| Message::Hello { protocol: 1, name: "n".into(), scope, positions: Vec::new() };
    assert_eq!(FaultInjector::new(InjectedFault::Scope).outgoing(hello(services(4))), hello(services(3)));
    assert_eq!(FaultInjector::new(InjectedFault::Drop).outgoing(hello(services(4))), hello(services(4)));

    let mut epoch = FaultInjector::new(InjectedFault::Epoch);
    assert_eq!(records(epoch.incoming(both)).len(), 2);
    match epoch.incoming(batch(2, vec![one()])) {
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
    assert_eq!(epoch.incoming(summary(2)), None);
    assert_eq!(epoch.incoming(summary(1)), Some(summary(1)), "a summary of the first epoch");
}

#[test]
fn every_report_figure_has_a_unique_name_and_size() {
    let step = |name: &str, rate_factor| StepRow { name: name.into(), rate_factor, ..StepRow::default() };
    let mut report = Report { size: (5_200, 160_000), real_proxies: 16, relays: 20, ..Report::default() };
    report.steps = vec![step("0 ordinary", 1.0), step("1 ordinary", 10.0), step("2 ordinary", 10.0)];
    report.steps[1].propagation.max_s = 1.834;
    report.lists =
        [5_000, 20_000].map(|backends| ListRow { backends, bytes: 7, ..ListRow::default() }).into();
    let lines = report.lines("testbed scale fleet", "day");
    let text: Vec<String> =
        lines.iter().map(|line| serde_json::to_string(line).expect("a JSON line")).collect();
    let mut results = crate::scale::figures::Results::default();
    results.read("fleet.jsonl", &text.join("\n")).expect("unique names and sizes");
    let page = "`ordinary_10x_in_force_worst_s@5200` = 1.8 s, `ordinary_in_force_worst_s@5200` = 0 s, \
        `ordinary_10x_2_subscriber_cores@5200` = 0 cores, `whole_list_bytes@20000` = 7 bytes";
    assert_eq!(results.check(page), Ok(4));
}

/// Guards against a fault that moves to a later proxy: a process with over 500 proxies receives them in
/// several commands.
#[test]
fn first_proxy_keeps_the_fault_over_several_commands() {
    let mut faulty = FaultyProxy::default();
    faulty.assign(0..500, InjectedFault::Drop);
    faulty.assign(500..700, InjectedFault::Drop);
    let with_fault: Vec<u32> = (0..700).filter(|&n| faulty.fault_of(n) != InjectedFault::None).collect();
    assert_eq!(with_fault, [0]);
}
