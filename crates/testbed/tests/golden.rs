//! Golden check of the committed results: each line of `docs/capacity` is read, and written again as it
//! stands.

use golden_files::GoldenFiles;
use std::fs;
use std::path::Path;
use testbed::scale::fleet::report::Line;
use testbed::scale::slopes::Row;

fn committed(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity").join(file);
    fs::read_to_string(path).expect("a file of results")
}

#[test]
fn lines_of_slopes_are_written_as_they_stand() {
    for line in committed("slopes.jsonl").lines().filter(|line| !line.is_empty()) {
        let row: Row = serde_json::from_str(line).expect("a row");
        assert_eq!(serde_json::to_string(&row).expect("JSON"), line);
    }
}

#[test]
fn a_line_of_a_scale_run_keeps_its_keys() {
    let line = Line {
        quantity: "in_force_worst_s".into(),
        size: 5_200,
        value: 1.834,
        unit: "s",
        command: "scale fleet script.toml".into(),
        seed: 20_261_202,
        script: "a script".into(),
        bound: Some(4.0),
    };
    let golden = GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"));
    golden.assert_lines("scale-run.txt", &[serde_json::to_string(&line).expect("JSON")]);
}
