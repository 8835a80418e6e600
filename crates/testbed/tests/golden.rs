//! Formats of the results: the committed lines of `docs/capacity/slopes.jsonl` can be read and are written
//! back unchanged, and a line of a scale run keeps its keys.

use golden_files::GoldenFiles;
use std::fs;
use std::path::Path;
use testbed::scale::fleet::report::Line;
use testbed::scale::slopes::Row;

fn committed(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity").join(file);
    fs::read_to_string(path).expect("a committed file of results")
}

#[test]
fn committed_slopes_are_written_back_unchanged() {
    for line in committed("slopes.jsonl").lines().filter(|line| !line.is_empty()) {
        let row: Row = serde_json::from_str(line).expect("a row");
        assert_eq!(serde_json::to_string(&row).expect("JSON"), line);
    }
}

#[test]
fn line_of_a_scale_run_keeps_its_keys() {
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
    let golden = GoldenFiles::for_crate(env!("CARGO_MANIFEST_DIR"));
    golden.assert_lines("scale-run.txt", &[serde_json::to_string(&line).expect("JSON")]);
}
