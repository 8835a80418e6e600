use super::*;

const VALID: &str = r#"
seed = 7
seconds = 10.0
fleet = { boxes = 12, proxies = 2, zones = 2, cells = 3, cores = 1.0, holds = 2.0 }
traffic = { per_s = 100.0 }
[[class]]
name = "read"
effect = "safe"
share = 1.0
work_ms = [10.0, 20.0]
aim_ms = 200
deadline_ms = 500
worth = 1.0
[[trouble]]
what = "crash"
at_s = 2.0
for_s = 3.0
part = 0.5
"#;

fn parse(text: &str) -> Result<Script, ScriptError> {
    Script::parse(text, Path::new("scenario.toml"))
}

#[test]
fn parses_a_valid_script_and_renders_valid_settings() {
    let script = parse(VALID).expect("a valid script");
    assert_eq!(script.faulty_backends(0).len(), 6);
    assert_eq!(
        script.faulty_backends(0),
        script.faulty_backends(0),
        "the same seed selects the same backends"
    );
    let settings = script.settings(1).to_string();
    assert!(settings::parse_settings(settings.as_bytes()).is_ok(), "{settings}");
    // Each cell belongs to one zone.
    for (a, b) in (0..12).flat_map(|a| (0..12).map(move |b| (a, b))) {
        assert!(script.cell(a) != script.cell(b) || script.zone(a) == script.zone(b));
    }
}

#[test]
fn rejects_invalid_values_by_key() {
    for (valid, invalid, expected) in [
        ("seconds = 10.0", "seconds = 1e9", "seconds"),
        ("boxes = 12", "boxes = 0", "fleet.boxes"),
        ("per_s = 100.0", "per_s = 1e9", "traffic.per_s"),
        ("aim_ms = 200", "aim_ms = 600", "class[0].aim_ms"),
        ("work_ms = [10.0, 20.0]", "work_ms = [30.0, 20.0]", "class[0].work_ms[0]"),
        ("part = 0.5", "part = 1.5", "trouble[0].part"),
        ("part = 0.5", "zone = 2", "trouble[0].zone"),
        ("\"crash\"", "\"fire\"", "fire"),
        ("share = 1.0", "shard = 1.0", "line 9"),
        ("share = 1.0", "share = 0.0", "class"),
    ] {
        let text = VALID.replace(valid, invalid);
        assert_ne!(text, VALID);
        let error = parse(&text).expect_err(invalid).to_string();
        assert!(error.contains(expected), "{invalid}: {error}");
    }
}

#[test]
fn mutated_scripts_never_panic_the_parser() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..5_000 {
        let mut bytes = VALID.as_bytes().to_vec();
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(0..bytes.len());
            bytes[at] = rng.u8(..);
        }
        let _ = parse(&String::from_utf8_lossy(&bytes));
    }
}
