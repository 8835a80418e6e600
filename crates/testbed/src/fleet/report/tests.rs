use super::*;

fn row(mode: &str, seed: u64, goodput: f64) -> Row {
    Row {
        script: "scenario".into(),
        mode: mode.into(),
        seed,
        goodput,
        load: 0.6,
        requests: 100,
        ..Row::default()
    }
}

#[test]
fn parses_serialized_rows_and_reports_the_number_of_a_malformed_line() {
    let mut invalid = row("processes", 7, 0.9);
    invalid.spread.recovery_s = vec![None, Some(2.0)];
    invalid.cost = Some(Cost { is_invalid: true, ..Cost::default() });
    let rows = vec![row("virtual", 1, 0.5), invalid];
    let lines: Vec<String> =
        rows.iter().map(|r| serde_json::to_string(r).expect("a row serializes")).collect();
    assert_eq!(parse(&format!("{}\n\n{}\n", lines[0], lines[1])), Ok(rows));
    let error = parse(&format!("{}\n{{\"script\":3}}", lines[0])).expect_err("a number is not a title");
    assert!(error.starts_with("line 2:"), "{error}");
    assert!(parse(&"x".repeat(MAX_LINE_BYTES + 1)).expect_err("too long").contains("at most"));
}

#[test]
fn computes_medians_separately_for_each_mode() {
    let rows: Vec<Row> = [0.1, 0.9, 0.5]
        .into_iter()
        .enumerate()
        .map(|(seed, goodput)| row("a", seed as u64, goodput))
        .collect();
    let text = format_medians(&[rows, vec![row("b", 1, 0.7)]].concat());
    assert!(text.contains("0.500 (0.100..0.900)") && text.contains("0.700 (0.700..0.700)"), "{text}");
}
