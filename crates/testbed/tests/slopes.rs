//! Tests of `scale slopes`: fits and percentiles on known numbers, invalid options, and small measurements of
//! the real program. The latter check the form of the results and that what must grow does grow, but never a
//! duration: that would depend on the load of the machine.

#[path = "shared/program.rs"]
mod program;
mod shared;

use program::{TESTBED_PROGRAM, proxy_program};
use proptest::prelude::*;
use shared::{KillOnDrop, children, is_proxy_running, wait_until};
use std::collections::HashSet;
use std::path::Path;
use std::process::{Command, Stdio};
use testbed::scale::slopes::fit::{FitError, line, median, percentile};
use testbed::scale::slopes::{Options, QUANTITIES, Row, run};

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-9 * (1.0 + a.abs().max(b.abs()))
}

#[test]
fn points_on_a_line_give_that_line_without_deviation() {
    let points: Vec<(f64, f64)> = [10.0, 20.0, 50.0, 400.0].map(|x| (x, 7.0 - 0.25 * x)).into();
    let fitted = line(&points).expect("a line");
    assert!(is_close(fitted.intercept, 7.0) && is_close(fitted.slope, -0.25), "{fitted:?}");
    assert!(fitted.slope_deviation < 1e-9 && fitted.residual_deviation < 1e-9, "{fitted:?}");
}

#[test]
fn scattered_points_give_the_textbook_least_squares_line_and_deviations() {
    // The sizes differ by -2, -1, 0, 1 and 2 from their mean, so the sum of squares is 10.
    let points = [(1.0, 1.4), (2.0, 2.8), (3.0, 5.4), (4.0, 7.4), (5.0, 9.0)];
    let fitted = line(&points).expect("a line");
    let mean = 26.0 / 5.0;
    let slope =
        [(-2.0, 1.4), (-1.0, 2.8), (1.0, 7.4), (2.0, 9.0)].iter().map(|(x, y)| x * y).sum::<f64>() / 10.0;
    assert!(is_close(fitted.slope, slope) && is_close(fitted.intercept, mean - 3.0 * slope), "{fitted:?}");
    let residual_squares: f64 =
        points.iter().map(|(x, y)| (y - fitted.intercept - fitted.slope * x).powi(2)).sum();
    assert!(residual_squares > 0.1, "the points are scattered");
    assert!(is_close(fitted.residual_deviation, (residual_squares / 3.0).sqrt()), "{fitted:?}");
    assert!(is_close(fitted.slope_deviation, (residual_squares / 3.0 / 10.0).sqrt()), "{fitted:?}");
}

#[test]
fn too_few_equal_or_non_finite_points_are_rejected() {
    assert_eq!(line(&[]), Err(FitError::TooFewPoints(0)));
    assert_eq!(line(&[(1.0, 1.0), (2.0, 2.0)]), Err(FitError::TooFewPoints(2)));
    assert_eq!(line(&[(0.1, 1.0), (0.1, 2.0), (0.1, 3.0)]), Err(FitError::EqualSizes(3, 0.1)));
    for not_finite in [f64::NAN, f64::INFINITY] {
        let error =
            line(&[(1.0, 1.0), (2.0, not_finite), (3.0, 3.0)]).expect_err("a value that is not finite");
        assert!(error.to_string().starts_with("point 1 is (2, "), "{error}");
    }
}

#[test]
fn medians_and_percentiles_match_known_values_and_reject_nan() {
    assert_eq!((median(&[]), percentile(&[], 0.5)), (None, None));
    assert_eq!((median(&[1.0, f64::NAN]), percentile(&[f64::NAN], 0.5)), (None, None));
    assert_eq!(median(&[9.0, 1.0, 5.0]), Some(5.0));
    assert_eq!(median(&[9.0, 1.0, 5.0, 6.0]), Some(5.5));
    let hundred: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    for (fraction, value) in
        [(0.0, 1.0), (0.01, 1.0), (0.5, 50.0), (0.99, 99.0), (0.991, 100.0), (1.0, 100.0)]
    {
        assert_eq!(percentile(&hundred, fraction), Some(value), "{fraction}");
    }
}

proptest! {
    #[test]
    fn noise_moves_a_slope_by_less_than_six_deviations(
        slope in -100.0..100.0f64, intercept in -1e4..1e4f64, seed in any::<u64>()
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        // The sum of twelve numbers between 0 and 1, minus 6: nearly normal with deviation 1.
        let mut noise = || (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
        let points: Vec<(f64, f64)> =
            (1..=200).map(|x| (f64::from(x), intercept + slope * f64::from(x) + 5.0 * noise())).collect();
        let fitted = line(&points).expect("a line");
        prop_assert!((fitted.slope - slope).abs() < 6.0 * fitted.slope_deviation, "{fitted:?}");
        prop_assert!((3.5..6.5).contains(&fitted.residual_deviation), "{fitted:?}");
    }

    #[test]
    fn no_other_line_has_a_smaller_sum_of_squares(
        points in prop::collection::vec((0.0..1e3f64, -1e3..1e3f64), 3..20),
        slope_change in -1.0..1.0f64, intercept_change in -5.0..5.0f64
    ) {
        prop_assume!(points.iter().any(|p| (p.0 - points[0].0).abs() > 1.0));
        let fitted = line(&points).expect("a line");
        let squares = |intercept: f64, slope: f64| {
            points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>()
        };
        let fitted_squares = squares(fitted.intercept, fitted.slope);
        prop_assert!(
            fitted_squares
                <= squares(fitted.intercept + intercept_change, fitted.slope + slope_change) * (1.0 + 1e-9) + 1e-6
        );
    }
}

fn order(only: &str, sizes: &[usize]) -> Options {
    Options {
        proxy: proxy_program(),
        guard: TESTBED_PROGRAM.into(),
        runs: 1,
        seed: 7,
        only: only.into(),
        sizes: sizes.to_vec(),
        seconds: 0.2,
    }
}

#[test]
fn invalid_options_are_rejected_with_the_accepted_values() {
    let base = order("", &[]);
    assert_eq!(base.check().expect("valid options").len(), 10);
    let assert_rejected = |order: Options, texts: &[&str]| {
        let error = order.check().expect_err("invalid options").to_string();
        assert!(texts.iter().all(|text| error.contains(text)), "{error}");
    };
    assert_rejected(Options { runs: 0, ..base.clone() }, &["--runs 0", "1 to 50"]);
    assert_rejected(Options { seconds: f64::NAN, ..base.clone() }, &["--seconds NaN", "0.1 to 30"]);
    assert_rejected(Options { only: "wine".into(), ..base.clone() }, &["--only wine", "backends, tenants"]);
    assert_rejected(
        Options { sizes: vec![10, 20, 30, 40], ..base.clone() },
        &["--sizes", "--only", "open_requests"],
    );
    assert_rejected(order("backends", &[10, 20, 30, 20]), &["3 different sizes", "4 to 12"]);
    assert_rejected(order("backends", &[10, 20, 30, 25_000]), &["from 10 to 24000", "25000", "4 MiB"]);
    assert_rejected(order("classes", &[10, 20, 30, 251]), &["from 1 to 250", "251"]);
    assert_rejected(order("open_requests", &[10, 20, 30, 5_000]), &["10 to 4000", "5000", "descriptors"]);
    let sorted = order("classes", &[30, 10, 20, 40, 10]).check().expect("valid options");
    assert_eq!(sorted[0].1, [10, 20, 30, 40]);
    let missing = Options { proxy: "no/such/program".into(), ..order("classes", &[1, 2, 3, 4]) };
    let error = run(&missing, |_| ()).expect_err("a missing program").to_string();
    assert!(error.contains("no/such/program") && error.contains("--proxy"), "{error}");
}

#[test]
fn quantities_have_unique_lowercase_names() {
    let names: HashSet<&str> = QUANTITIES.iter().map(|q| q.id).collect();
    assert_eq!(names.len(), QUANTITIES.len());
    let is_part = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    assert!(names.iter().all(|name| name.chars().all(is_part)), "{names:?}");
}

/// Runs a small measurement, checks the form of its rows, and returns a lookup of rows by quantity.
fn measure(only: &str, sizes: &[usize]) -> impl Fn(&str) -> Row {
    let order = order(only, sizes);
    let mut steps = 0;
    let rows = run(&order, |_| steps += 1).expect("a measurement");
    assert_eq!(steps, 1, "one progress line for one run of one family");
    let family: Vec<&str> = QUANTITIES.iter().filter(|q| rows[0].quantity == q.id).map(|q| q.id).collect();
    assert_eq!(family.len(), 1, "the quantity is not in QUANTITIES exactly once");
    for row in &rows {
        let expected_sizes: Vec<f64> = sizes.iter().map(|&size| size as f64).collect();
        assert_eq!((&row.sizes, row.runs, row.seed), (&expected_sizes, 1, 7), "{row:?}");
        assert_eq!(
            (row.medians.len(), row.spread.len()),
            (expected_sizes.len(), expected_sizes.len()),
            "{row:?}"
        );
        assert!(row.medians.iter().all(|m| m.is_finite()), "{row:?}");
        assert!(row.command.contains(only) && row.program.starts_with("load-balancing-proxy "), "{row:?}");
        let text = serde_json::to_string(row).expect("JSON");
        assert_eq!(&serde_json::from_str::<Row>(&text).expect("a row"), row);
    }
    move |id| {
        rows.iter().find(|row| row.quantity == id).unwrap_or_else(|| panic!("{id} was not measured")).clone()
    }
}

#[test]
fn longer_list_uses_more_memory_wire_bytes_and_cpu_time() {
    let row = measure("backends", &[20, 400, 1_500, 4_000]);
    for id in ["memory_bytes_per_backend", "list_wire_bytes_per_backend", "list_cpu_us_per_backend"] {
        let row = row(id);
        assert!(row.medians.is_sorted_by(|a, b| a < b) && row.slope > 0.0, "{row:?}");
    }
    // An entry is about 140 bytes on the wire, regardless of the list's length. A change is one entry and the
    // next poll.
    let (list, change) = (row("list_wire_bytes_per_backend"), row("change_wire_bytes_per_backend"));
    assert!((100.0..200.0).contains(&list.slope), "{list:?}");
    assert!(change.medians.iter().all(|&m| (150.0..600.0).contains(&m)), "{change:?}");
    let (resident, peak) = (row("memory_bytes_per_backend"), row("memory_peak_bytes_per_backend"));
    // The second complete list is parsed while the first is still in memory.
    assert!(
        resident.medians.iter().zip(&peak.medians).all(|(resident, peak)| resident <= peak),
        "{resident:?} {peak:?}"
    );
    assert!(resident.slope < peak.slope && resident.medians[3] < peak.medians[3], "{resident:?} {peak:?}");
}

#[test]
fn larger_configuration_costs_more_to_reload_and_open_requests_use_memory() {
    let config = measure("config", &[10, 200, 500, 1_000]);
    for id in ["config_bytes_per_tenant", "config_cpu_us_per_tenant", "memory_peak_bytes_per_tenant"] {
        let row = config(id);
        assert!(row.medians.is_sorted_by(|a, b| a < b) && row.slope > 0.0, "{row:?}");
    }
    let open = measure("open_requests", &[10, 50, 100, 200]);
    let memory = open("memory_bytes_per_open_request");
    assert!(memory.medians.is_sorted_by(|a, b| a < b), "{memory:?}");
    // The buffers of a connection on either side are bounded, a few kilobytes each.
    assert!((1e3..3e5).contains(&memory.slope), "{memory:?}");
    let idle = measure("idle_clients", &[10, 100, 200, 400])("memory_bytes_per_idle_client");
    assert!(idle.medians.is_sorted_by(|a, b| a < b), "{idle:?}");
    assert!(
        (1e2..memory.slope).contains(&idle.slope),
        "an open request must use more memory than an idle connection: {idle:?} {memory:?}"
    );
}

#[test]
fn steady_rate_reports_cpu_time_and_plausible_wire_bytes() {
    let row = measure("rate", &[60, 120, 180, 240]);
    let (cpu, bytes) = (row("cpu_us_per_request"), row("wire_bytes_per_request"));
    assert!(cpu.medians.iter().all(|&m| m > 0.0), "{cpu:?}");
    // Request and response, on the client's and the backend's side: some hundred bytes each.
    assert!((200.0..1_500.0).contains(&bytes.slope), "{bytes:?}");
}

#[test]
fn killed_measurement_leaves_no_process_behind() {
    let mut command = Command::new(TESTBED_PROGRAM);
    // A killed measurement leaves its temporary files behind; the test removes them.
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("killed-measurement");
    std::fs::create_dir_all(&directory).expect("a directory");
    command.env("TMPDIR", &directory).args(["scale", "slopes", "--only", "rate", "--seconds", "30"]);
    command.arg("--proxy").arg(proxy_program());
    let mut measurement = KillOnDrop(
        command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the measurement starts"),
    );
    let mut proxies = Vec::new();
    wait_until("a proxy is measured", || {
        proxies = children(measurement.0.id()).into_iter().filter(|&id| is_proxy_running(id)).collect();
        // The first proxy process only prints its version.
        proxies.len() == 1
            && std::fs::read(format!("/proc/{}/cmdline", proxies[0]))
                .is_ok_and(|line| !String::from_utf8_lossy(&line).contains("--version") && !line.is_empty())
    });
    measurement.0.kill().expect("the measurement is killed");
    measurement.0.wait().expect("the measurement ends");
    wait_until("the proxy is gone", || !proxies.iter().any(|&id| is_proxy_running(id)));
    std::fs::remove_dir_all(&directory).expect("only this test uses it");
}
