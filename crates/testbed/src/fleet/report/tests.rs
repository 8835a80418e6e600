use super::*;

fn row(way: &str, seed: u64, worth: f64) -> Row {
    Row { script: "day".into(), way: way.into(), seed, worth, load: 0.6, asked: 100, ..Row::default() }
}

#[test]
fn rows_are_read_as_written_and_a_wrong_line_is_named() {
    let mut spoilt = row("processes", 7, 0.9);
    spoilt.spread.recovery_s = vec![None, Some(2.0)];
    spoilt.cost = Some(Cost { spoilt: true, ..Cost::default() });
    let rows = vec![row("virtual", 1, 0.5), spoilt];
    let lines: Vec<String> = rows.iter().map(|r| serde_json::to_string(r).expect("a line")).collect();
    assert_eq!(parse(&format!("{}\n\n{}\n", lines[0], lines[1])), Ok(rows));
    let wrong = parse(&format!("{}\n{{\"script\":3}}", lines[0])).expect_err("a number is no title");
    assert!(wrong.starts_with("line 2:"), "{wrong}");
    assert!(parse(&"x".repeat(MAX_LINE_BYTES + 1)).expect_err("too long").contains("at most"));
}

#[test]
fn medians_are_of_each_way_apart() {
    let rows: Vec<Row> =
        [0.1, 0.9, 0.5].into_iter().enumerate().map(|(i, w)| row("a", i as u64, w)).collect();
    let text = compare(&[rows, vec![row("b", 1, 0.7)]].concat());
    assert!(text.contains("0.500 (0.100..0.900)") && text.contains("0.700 (0.700..0.700)"), "{text}");
}
