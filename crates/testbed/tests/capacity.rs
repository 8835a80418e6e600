//! Every figure that `docs/CAPACITY.md` takes from a measured slope or scale run stands in the committed results, to the
//! digits in which it is written; `testbed::scale::figures` has the notation.

use std::fs;
use std::path::{Path, PathBuf};
use testbed::scale::figures::Results;
use testbed::scale::slopes::{Host, Row};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

/// The committed results.
fn committed() -> Results {
    let mut results = Results::default();
    let folder = docs().join("capacity");
    let mut files: Vec<PathBuf> =
        fs::read_dir(&folder).expect("the folder of results").map(|f| f.expect("a file").path()).collect();
    files.sort();
    for file in files.iter().filter(|file| file.extension().is_some_and(|e| e == "jsonl")) {
        let name = file.file_name().unwrap_or_default().to_string_lossy();
        let read = results.read(&name, &fs::read_to_string(file).expect("a file of results"));
        read.unwrap_or_else(|error| panic!("{error}"));
    }
    results
}

#[test]
fn the_page_takes_its_figures_from_the_committed_results() {
    let page = docs().join("CAPACITY.md");
    if !page.exists() {
        assert!(!docs().join("capacity").exists(), "results are committed, and docs/CAPACITY.md is not");
        return;
    }
    let text = fs::read_to_string(page).expect("the page");
    match committed().check(&text) {
        Ok(count) => assert!(count > 0, "docs/CAPACITY.md takes no figure from the results"),
        Err(wrong) => {
            let wrong: Vec<String> = wrong.iter().map(|error| format!("docs/CAPACITY.md, {error}")).collect();
            panic!("{}", wrong.join("\n"));
        }
    }
}

const SIZES: [f64; 4] = [200.0, 1_000.0, 10_000.0, 20_000.0];

/// A row whose medians lie on this line.
fn row(quantity: &str, unit: &str, intercept: f64, slope: f64) -> String {
    let row = Row {
        quantity: quantity.into(),
        unit: unit.into(),
        per: "one".into(),
        what: "a figure".into(),
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

fn memory() -> String {
    row("memory_bytes_per_backend", "bytes", 5_573_520.0, 1_712.77)
}

const FLEET: &str = r#"{"quantity":"in_force_worst_s","size":5200,"value":1.834,"unit":"s"}
{"quantity":"in_force_worst_s","size":2600,"value":1.2,"unit":"s"}"#;

fn results() -> Results {
    let mut results = Results::default();
    results
        .read(
            "slopes.jsonl",
            &format!("{}\n\n{}\n", memory(), row("added_p99_us_by_rate", "us", 400.0, -0.0512)),
        )
        .expect("well-formed");
    results.read("fleet.jsonl", FLEET).expect("well-formed");
    results
}

#[test]
fn figures_that_round_to_the_results_are_good() {
    let page = "| memory | `memory_bytes_per_backend` = 1.7 KB a backend | `memory_bytes_per_backend` = 1,713 bytes |
        `memory_bytes_per_backend` = 1,700 bytes, `memory_bytes_per_backend.intercept` = 5.6 MB;
        `memory_bytes_per_backend@10000` = 23 MB (`memory_bytes_per_backend@10,000` = 22.7 MB).
        `added_p99_us_by_rate@200` = 0.39 ms. `added_p99_us_by_rate` = -0.051 us, `in_force_worst_s@5200` = 1.8 s.
        No figures: `LIST_CAP` = 4 MiB, `balancers` of 100, `x` = y, a lone ` and `memory_bytes_per_backend` by itself.";
    assert_eq!(results().check(page), Ok(9));
}

#[test]
fn a_planted_wrong_figure_is_found() {
    let good = "`memory_bytes_per_backend` = 1.7 KB\n";
    assert_eq!(results().check(good), Ok(1));
    for (planted, words) in [
        ("`memory_bytes_per_backend` = 1.8 KB", "the page says 1.8 and the results 1.7 KB"),
        ("`memory_bytes_per_backend` = 1,712 bytes", "the results 1713 bytes"),
        ("`memory_bytes_per_backend` = 1.7 MB", "the page says 1.7"),
        ("`memory_bytes_per_backend` = 2 KB", "the page says 2"),
        ("`memory_bytes_per_backend` = 0.2 MB", "fewer than 2 digits"),
        ("`memory_bytes_per_backend` = 1.7", "the results are in bytes, the page says ``"),
        ("`memory_bytes_per_backend` = 1.7 ms", "the results are in bytes, the page says `ms`"),
        ("`memory_bytes_per_backend.intercept` = 1.7 KB", "the page says 1.7 and the results 5600 KB"),
        ("`memory_bytes_per_backend@10000` = 24 MB", "the results 23 MB"),
        ("`memory_bytes_per_backend@5000` = 14 MB", "the results have the sizes 1000, 10000, 200, 20000"),
        ("`memory_bytes_per_backends` = 1.7 KB", "no such quantity"),
        ("`added_p99_us_by_rate` = 0.051 us", "the page says 0.051 and the results -0.051 us"),
        ("`in_force_worst_s` = 1.8 s", "no line stands in the results"),
        ("`in_force_worst_s@5200` = 1.9 s", "the results 1.8 s"),
        ("`in_force_worst_s@5200` = 1.8.3 s", "is no number"),
    ] {
        let wrong = results().check(&format!("{good}{planted}, and more.\n{good}")).expect_err(planted);
        assert_eq!(wrong.len(), 1, "{planted}: {wrong:?}");
        let told = wrong[0].to_string();
        assert!(told.starts_with("line 2: ") && told.contains(words), "{planted}: {told}");
    }
}

#[test]
fn results_that_are_none_are_named_with_their_line() {
    let good = memory();
    for (text, words) in [
        (format!("{good}\nnonsense"), "slopes.jsonl, line 2"),
        (format!("{good}\n{good}"), "stands here a second time"),
        (good.replace("[200.0,", "["), "3 sizes (4 at least)"),
        (good.replace("\"spread\":[1.0,", "\"spread\":["), "[4, 3] figures"),
        (good.replace("\"spread\":[1.0,", "\"spread\":[-1.0,"), "spread below 0"),
        (good.replace("\"slope\":1712.77", "\"slope\":\"steep\""), "line 1"),
        (good.replace("\"slope\":1712.77", "\"slope\":1722.77"), "another line than its medians"),
        (good.replace("\"intercept\":5573520.0", "\"intercept\":5673520.0"), "another line than its medians"),
        (good.replace("\"slope_deviation\":0.0,", ""), "missing field `slope_deviation`"),
        (
            good.replace("\"slope_deviation\":0.0,", "\"slope_deviation\":9.0,"),
            "another line than its medians",
        ),
        (good.replace("[200.0,1000.0,10000.0,20000.0]", "[200.0,200.0,200.0,200.0]"), "different ones"),
        (good.replace("testbed scale slopes", ""), "names no command"),
        (format!("{FLEET}\n{FLEET}"), "two values at 5200"),
        (FLEET.replacen("\"unit\":\"s\"", "\"unit\":\"ms\"", 1), "two units"),
        (FLEET.replace(",\"value\":1.2", ""), "missing field `value`"),
        (format!("{FLEET}\n{}", row("in_force_worst_s", "s", 1.0, 1.0)), "second time"),
    ] {
        let error = Results::default().read("slopes.jsonl", &text).expect_err(words).to_string();
        assert!(error.contains(words), "{words}: {error}");
    }
}
