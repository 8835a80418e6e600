//! Checks that every figure that `docs/CAPACITY.md` quotes from a `scale slopes` or `scale fleet` run matches
//! the committed results. `testbed::scale::figures` documents the notation.
//!
//! Guards against figures that were mistyped, or not updated after a new run.

use std::fs;
use std::path::{Path, PathBuf};
use testbed::scale::figures::Results;
use testbed::scale::slopes::{Host, Row};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn committed_results() -> Results {
    let mut results = Results::default();
    let directory = docs().join("capacity");
    let mut files: Vec<PathBuf> = fs::read_dir(&directory)
        .expect("the results directory")
        .map(|f| f.expect("a directory entry").path())
        .collect();
    files.sort();
    for file in files.iter().filter(|file| file.extension().is_some_and(|e| e == "jsonl")) {
        let name = file.file_name().unwrap_or_default().to_string_lossy();
        let read = results.read(&name, &fs::read_to_string(file).expect("a readable results file"));
        read.unwrap_or_else(|error| panic!("{error}"));
    }
    results
}

#[test]
fn page_matches_the_committed_results() {
    let page = docs().join("CAPACITY.md");
    if !page.exists() {
        assert!(!docs().join("capacity").exists(), "results are committed, but docs/CAPACITY.md is not");
        return;
    }
    let text = fs::read_to_string(page).expect("a readable page");
    match committed_results().check(&text) {
        Ok(count) => assert!(count > 0, "docs/CAPACITY.md quotes no figure from the results"),
        Err(errors) => {
            let errors: Vec<String> =
                errors.iter().map(|error| format!("docs/CAPACITY.md, {error}")).collect();
            panic!("{}", errors.join("\n"));
        }
    }
}

const SIZES: [f64; 4] = [200.0, 1_000.0, 10_000.0, 20_000.0];

/// A row of JSON whose medians lie exactly on this line.
fn row(quantity: &str, unit: &str, intercept: f64, slope: f64) -> String {
    let row = Row {
        quantity: quantity.into(),
        unit: unit.into(),
        per: "one".into(),
        description: "a figure".into(),
        command: "testbed scale slopes".into(),
        seed: 1,
        runs: 5,
        sizes: SIZES.into(),
        medians: SIZES.map(|size| intercept + slope * size).into(),
        spread: vec![1.0; SIZES.len()],
        intercept,
        slope,
        slope_deviation: 0.0,
        residual_deviation: 0.0,
        machine: Host { cores: 8, memory_mb: 24_000 },
        program: "load-balancing-proxy 0.2.0".into(),
    };
    serde_json::to_string(&row).expect("JSON")
}

fn memory_row() -> String {
    row("memory_bytes_per_backend", "bytes", 5_573_520.0, 1_712.77)
}

const FLEET: &str = r#"{"quantity":"in_force_worst_s","size":5200,"value":1.834,"unit":"s"}
{"quantity":"in_force_worst_s","size":2600,"value":1.2,"unit":"s"}"#;

fn results() -> Results {
    let mut results = Results::default();
    results
        .read(
            "slopes.jsonl",
            &format!("{}\n\n{}\n", memory_row(), row("added_p99_us_by_rate", "us", 400.0, -0.0512)),
        )
        .expect("well-formed");
    results.read("fleet.jsonl", FLEET).expect("well-formed");
    results
}

#[test]
fn figures_that_round_to_the_results_are_accepted() {
    let page = "| memory | `memory_bytes_per_backend` = 1.7 KB a backend | `memory_bytes_per_backend` = 1,713 bytes |
        `memory_bytes_per_backend` = 1,700 bytes, `memory_bytes_per_backend.intercept` = 5.6 MB;
        `memory_bytes_per_backend@10000` = 23 MB (`memory_bytes_per_backend@10,000` = 22.7 MB).
        `added_p99_us_by_rate@200` = 0.39 ms. `added_p99_us_by_rate` = -0.051 us, `in_force_worst_s@5200` = 1.8 s.
        No figures: `LIST_CAP` = 4 MiB, `balancers` of 100, `x` = y, a lone ` and `memory_bytes_per_backend` by itself.";
    assert_eq!(results().check(page), Ok(9));
}

#[test]
fn wrong_or_malformed_figure_is_reported_with_its_line() {
    let valid = "`memory_bytes_per_backend` = 1.7 KB\n";
    assert_eq!(results().check(valid), Ok(1));
    for (wrong_figure, expected) in [
        ("`memory_bytes_per_backend` = 1.8 KB", "the page has 1.8, the results have 1.7 KB"),
        ("`memory_bytes_per_backend` = 1,712 bytes", "the results have 1713 bytes"),
        ("`memory_bytes_per_backend` = 1.7 MB", "the page has 1.7"),
        ("`memory_bytes_per_backend` = 2 KB", "the page has 2"),
        ("`memory_bytes_per_backend` = 0.2 MB", "fewer than 2 digits"),
        ("`memory_bytes_per_backend` = 1.7", "the results are in bytes, the page has ``"),
        ("`memory_bytes_per_backend` = 1.7 ms", "the results are in bytes, the page has `ms`"),
        ("`memory_bytes_per_backend.intercept` = 1.7 KB", "the page has 1.7, the results have 5600 KB"),
        ("`memory_bytes_per_backend@10000` = 24 MB", "the results have 23 MB"),
        ("`memory_bytes_per_backend@5000` = 14 MB", "the results have the sizes 1000, 10000, 200, 20000"),
        ("`memory_bytes_per_backends` = 1.7 KB", "no such quantity"),
        ("`added_p99_us_by_rate` = 0.051 us", "the page has 0.051, the results have -0.051 us"),
        ("`in_force_worst_s` = 1.8 s", "the results have no line for it"),
        ("`in_force_worst_s@5200` = 1.9 s", "the results have 1.8 s"),
        ("`in_force_worst_s@5200` = 1.8.3 s", "is not a number"),
    ] {
        let errors =
            results().check(&format!("{valid}{wrong_figure}, and more.\n{valid}")).expect_err(wrong_figure);
        assert_eq!(errors.len(), 1, "{wrong_figure}: {errors:?}");
        let message = errors[0].to_string();
        assert!(message.starts_with("line 2: ") && message.contains(expected), "{wrong_figure}: {message}");
    }
}

#[test]
fn invalid_or_conflicting_result_line_is_reported() {
    let valid = memory_row();
    for (text, expected) in [
        (format!("{valid}\nnonsense"), "slopes.jsonl, line 2"),
        (format!("{valid}\n{valid}"), "appears a second time"),
        (valid.replace("[200.0,", "["), "3 sizes (at least 4 required)"),
        (valid.replace("\"spread\":[1.0,", "\"spread\":["), "[4, 3] medians and spreads"),
        (valid.replace("\"spread\":[1.0,", "\"spread\":[-1.0,"), "negative spread"),
        (valid.replace("\"slope\":1712.77", "\"slope\":\"steep\""), "line 1"),
        (
            valid.replace("\"slope\":1712.77", "\"slope\":1722.77"),
            "does not match the line fitted to its medians",
        ),
        (
            valid.replace("\"intercept\":5573520.0", "\"intercept\":5673520.0"),
            "does not match the line fitted to its medians",
        ),
        (valid.replace("\"slope_deviation\":0.0,", ""), "missing field `slope_deviation`"),
        (
            valid.replace("\"slope_deviation\":0.0,", "\"slope_deviation\":9.0,"),
            "does not match the line fitted to its medians",
        ),
        (valid.replace("[200.0,1000.0,10000.0,20000.0]", "[200.0,200.0,200.0,200.0]"), "different sizes"),
        (valid.replace("testbed scale slopes", ""), "has no command"),
        (format!("{FLEET}\n{FLEET}"), "two values at 5200"),
        (FLEET.replacen("\"unit\":\"s\"", "\"unit\":\"ms\"", 1), "two different units"),
        (FLEET.replace(",\"value\":1.2", ""), "missing field `value`"),
        (format!("{FLEET}\n{}", row("in_force_worst_s", "s", 1.0, 1.0)), "appears a second time"),
    ] {
        let error = Results::default().read("slopes.jsonl", &text).expect_err(expected).to_string();
        assert!(error.contains(expected), "{expected}: {error}");
    }
}
