//! `scale slopes`: lines and percentiles on known numbers, orders that make no sense, and two small slopes of the real
//! program, judged by their form and by what has to grow, never by a time.

#[path = "shared/program.rs"]
mod program;
mod shared;

use program::{KEEPER, program};
use proptest::prelude::*;
use shared::{Ended, children, runs, wait_until};
use std::collections::HashSet;
use std::path::Path;
use std::process::{Command, Stdio};
use testbed::scale::slopes::fit::{FitError, line, median, percentile};
use testbed::scale::slopes::{Order, QUANTITIES, Row, run};

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-9 * (1.0 + a.abs().max(b.abs()))
}

#[test]
fn points_on_a_line_give_that_line_and_no_deviation() {
    let points: Vec<(f64, f64)> = [10.0, 20.0, 50.0, 400.0].map(|x| (x, 7.0 - 0.25 * x)).into();
    let fitted = line(&points).expect("a line");
    assert!(close(fitted.intercept, 7.0) && close(fitted.slope, -0.25), "{fitted:?}");
    assert!(fitted.slope_deviation < 1e-9 && fitted.residual_deviation < 1e-9, "{fitted:?}");
}

#[test]
fn a_line_through_scattered_points_has_the_deviations_of_the_textbook() {
    // The sizes lie 2, 1, 0, 1 and 2 from their mean: the sum of squares is 10.
    let points = [(1.0, 1.4), (2.0, 2.8), (3.0, 5.4), (4.0, 7.4), (5.0, 9.0)];
    let fitted = line(&points).expect("a line");
    let mean = 26.0 / 5.0;
    let slope =
        [(-2.0, 1.4), (-1.0, 2.8), (1.0, 7.4), (2.0, 9.0)].iter().map(|(x, y)| x * y).sum::<f64>() / 10.0;
    assert!(close(fitted.slope, slope) && close(fitted.intercept, mean - 3.0 * slope), "{fitted:?}");
    let left: f64 = points.iter().map(|(x, y)| (y - fitted.intercept - fitted.slope * x).powi(2)).sum();
    assert!(left > 0.1, "the points are scattered");
    assert!(close(fitted.residual_deviation, (left / 3.0).sqrt()), "{fitted:?}");
    assert!(close(fitted.slope_deviation, (left / 3.0 / 10.0).sqrt()), "{fitted:?}");
}

#[test]
fn points_that_say_nothing_of_a_line_are_refused() {
    assert_eq!(line(&[]), Err(FitError::TooFew(0)));
    assert_eq!(line(&[(1.0, 1.0), (2.0, 2.0)]), Err(FitError::TooFew(2)));
    assert_eq!(line(&[(0.1, 1.0), (0.1, 2.0), (0.1, 3.0)]), Err(FitError::OneSize(3, 0.1)));
    for bad in [f64::NAN, f64::INFINITY] {
        let error = line(&[(1.0, 1.0), (2.0, bad), (3.0, 3.0)]).expect_err("no number");
        assert!(error.to_string().starts_with("point 1 is (2, "), "{error}");
    }
}

#[test]
fn medians_and_percentiles_are_of_the_values_themselves() {
    assert_eq!((median(&[]), percentile(&[], 0.5)), (None, None));
    assert_eq!((median(&[1.0, f64::NAN]), percentile(&[f64::NAN], 0.5)), (None, None));
    assert_eq!(median(&[9.0, 1.0, 5.0]), Some(5.0));
    assert_eq!(median(&[9.0, 1.0, 5.0, 6.0]), Some(5.5));
    let hundred: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    for (part, value) in [(0.0, 1.0), (0.01, 1.0), (0.5, 50.0), (0.99, 99.0), (0.991, 100.0), (1.0, 100.0)] {
        assert_eq!(percentile(&hundred, part), Some(value), "{part}");
    }
}

proptest! {
    #[test]
    fn noise_moves_a_slope_by_a_few_deviations_at_most(
        slope in -100.0..100.0f64, begins in -1e4..1e4f64, seed in any::<u64>()
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Twelve numbers between 0 and 1 in sum, less 6: all but normal, of deviation 1.
        let mut noise = || (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
        let points: Vec<(f64, f64)> =
            (1..=200).map(|x| (f64::from(x), begins + slope * f64::from(x) + 5.0 * noise())).collect();
        let fitted = line(&points).expect("a line");
        prop_assert!((fitted.slope - slope).abs() < 6.0 * fitted.slope_deviation, "{fitted:?}");
        prop_assert!((3.5..6.5).contains(&fitted.residual_deviation), "{fitted:?}");
    }

    #[test]
    fn no_other_line_is_nearer(
        points in prop::collection::vec((0.0..1e3f64, -1e3..1e3f64), 3..20), by in -1.0..1.0f64, up in -5.0..5.0f64
    ) {
        prop_assume!(points.iter().any(|p| (p.0 - points[0].0).abs() > 1.0));
        let fitted = line(&points).expect("a line");
        let far = |begins: f64, slope: f64| {
            points.iter().map(|(x, y)| (y - begins - slope * x).powi(2)).sum::<f64>()
        };
        let best = far(fitted.intercept, fitted.slope);
        prop_assert!(best <= far(fitted.intercept + up, fitted.slope + by) * (1.0 + 1e-9) + 1e-6);
    }
}

fn order(only: &str, sizes: &[usize]) -> Order {
    Order {
        proxy: program(),
        keeper: KEEPER.into(),
        runs: 1,
        seed: 7,
        only: only.into(),
        sizes: sizes.to_vec(),
        seconds: 0.2,
    }
}

#[test]
fn orders_that_make_no_sense_or_go_too_far_are_refused_with_what_would_be_right() {
    let base = order("", &[]);
    assert_eq!(base.check().expect("all").len(), 10);
    let refused = |order: Order, words: &[&str]| {
        let error = order.check().expect_err("refused").to_string();
        assert!(words.iter().all(|word| error.contains(word)), "{error}");
    };
    refused(Order { runs: 0, ..base.clone() }, &["--runs 0", "1 to 50"]);
    refused(Order { seconds: f64::NAN, ..base.clone() }, &["--seconds NaN", "0.1 to 30"]);
    refused(Order { only: "wine".into(), ..base.clone() }, &["--only wine", "backends, tenants"]);
    refused(Order { sizes: vec![10, 20, 30, 40], ..base.clone() }, &["--sizes", "--only", "open_requests"]);
    refused(order("backends", &[10, 20, 30, 20]), &["3 different sizes", "4 to 12"]);
    refused(order("backends", &[10, 20, 30, 25_000]), &["from 10 to 24000", "25000", "4 MiB"]);
    refused(order("classes", &[10, 20, 30, 251]), &["from 1 to 250", "251"]);
    refused(order("open_requests", &[10, 20, 30, 5_000]), &["10 to 4000", "5000", "descriptors"]);
    let sorted = order("classes", &[30, 10, 20, 40, 10]).check().expect("good");
    assert_eq!(sorted[0].1, [10, 20, 30, 40]);
    let missing = Order { proxy: "no/such/program".into(), ..order("classes", &[1, 2, 3, 4]) };
    let error = run(&missing, |_| ()).expect_err("no program").to_string();
    assert!(error.contains("no/such/program") && error.contains("--proxy"), "{error}");
}

#[test]
fn quantities_have_names_of_their_own() {
    let names: HashSet<&str> = QUANTITIES.iter().map(|q| q.id).collect();
    assert_eq!(names.len(), QUANTITIES.len());
    let is_part = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    assert!(names.iter().all(|name| name.chars().all(is_part)), "{names:?}");
}

/// The rows of a small run, each of a form that a results file can hold, by their names.
fn measured(only: &str, sizes: &[usize]) -> impl Fn(&str) -> Row {
    let order = order(only, sizes);
    let mut steps = 0;
    let rows = run(&order, |_| steps += 1).expect("measured");
    assert_eq!(steps, 1, "one run of one family");
    let family: Vec<&str> = QUANTITIES.iter().filter(|q| rows[0].quantity == q.id).map(|q| q.id).collect();
    assert_eq!(family.len(), 1, "the table names it");
    for row in &rows {
        let given: Vec<f64> = sizes.iter().map(|&size| size as f64).collect();
        assert_eq!((&row.sizes, row.runs, row.seed), (&given, 1, 7), "{row:?}");
        assert_eq!((row.medians.len(), row.spread.len()), (given.len(), given.len()), "{row:?}");
        assert!(row.medians.iter().all(|m| m.is_finite()), "{row:?}");
        assert!(row.command.contains(only) && row.program.starts_with("load-balancing-proxy "), "{row:?}");
        let text = serde_json::to_string(row).expect("JSON");
        assert_eq!(&serde_json::from_str::<Row>(&text).expect("a row"), row);
    }
    move |id| {
        rows.iter().find(|row| row.quantity == id).unwrap_or_else(|| panic!("{id} was measured")).clone()
    }
}

#[test]
fn a_longer_list_takes_more_memory_bytes_and_work() {
    let row = measured("backends", &[20, 400, 1_500, 4_000]);
    for id in ["memory_bytes_per_backend", "list_wire_bytes_per_backend", "list_cpu_us_per_backend"] {
        let row = row(id);
        assert!(row.medians.is_sorted_by(|a, b| a < b) && row.slope > 0.0, "{row:?}");
    }
    // An entry is some 140 bytes on the wire, whatever the list is; a change is one entry and the call for the next.
    let (list, change) = (row("list_wire_bytes_per_backend"), row("change_wire_bytes_per_backend"));
    assert!((100.0..200.0).contains(&list.slope), "{list:?}");
    assert!(change.medians.iter().all(|&m| (150.0..600.0).contains(&m)), "{change:?}");
    let (held, peak) = (row("memory_bytes_per_backend"), row("memory_peak_bytes_per_backend"));
    // The second whole list is read beside the first.
    assert!(held.medians.iter().zip(&peak.medians).all(|(held, peak)| held <= peak), "{held:?} {peak:?}");
    assert!(held.slope < peak.slope && held.medians[3] < peak.medians[3], "{held:?} {peak:?}");
}

#[test]
fn a_larger_configuration_takes_more_to_read_and_open_requests_take_memory() {
    let config = measured("config", &[10, 200, 500, 1_000]);
    for id in ["config_bytes_per_tenant", "config_cpu_us_per_tenant", "memory_peak_bytes_per_tenant"] {
        let row = config(id);
        assert!(row.medians.is_sorted_by(|a, b| a < b) && row.slope > 0.0, "{row:?}");
    }
    let open = measured("open_requests", &[10, 50, 100, 200]);
    let memory = open("memory_bytes_per_open_request");
    assert!(memory.medians.is_sorted_by(|a, b| a < b), "{memory:?}");
    // A connection's buffers on either side are a few kilobytes each, and bounded.
    assert!((1e3..3e5).contains(&memory.slope), "{memory:?}");
    let idle = measured("idle_clients", &[10, 100, 200, 400])("memory_bytes_per_idle_client");
    assert!(idle.medians.is_sorted_by(|a, b| a < b), "{idle:?}");
    assert!(
        (1e2..memory.slope).contains(&idle.slope),
        "a request takes more than a connection: {idle:?} {memory:?}"
    );
}

#[test]
fn requests_of_two_streams_are_counted_and_timed() {
    let row = measured("rate", &[60, 120, 180, 240]);
    let (cpu, bytes) = (row("cpu_us_per_request"), row("wire_bytes_per_request"));
    assert!(cpu.medians.iter().all(|&m| m > 0.0), "{cpu:?}");
    // Request and answer, before and behind the proxy: some hundred bytes each.
    assert!((200.0..1_500.0).contains(&bytes.slope), "{bytes:?}");
}

#[test]
fn no_process_outlives_a_measurement_that_is_killed() {
    let mut command = Command::new(KEEPER);
    // What a killed measurement leaves behind goes with the test.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("killed-measurement");
    std::fs::create_dir_all(&folder).expect("a folder");
    command.env("TMPDIR", &folder).args(["scale", "slopes", "--only", "rate", "--seconds", "30"]);
    command.arg("--proxy").arg(program());
    let mut rig = Ended(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts"));
    let mut proxies = Vec::new();
    wait_until("a proxy is measured", || {
        proxies = children(rig.0.id()).into_iter().filter(|&id| runs(id)).collect();
        // The first run of the program only asks for its version.
        proxies.len() == 1
            && std::fs::read(format!("/proc/{}/cmdline", proxies[0]))
                .is_ok_and(|line| !String::from_utf8_lossy(&line).contains("--version") && !line.is_empty())
    });
    rig.0.kill().expect("it is killed");
    rig.0.wait().expect("it ends");
    wait_until("the proxy is gone", || !proxies.iter().any(|&id| runs(id)));
    std::fs::remove_dir_all(&folder).expect("only this test uses it");
}
