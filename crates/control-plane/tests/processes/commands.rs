//! Start and end of the processes, and the commands of operators.

use super::support::*;
use control_plane::record::RecordState::Active;
use control_plane::runtime::snapshot::read;
use std::fs;
use std::path::Path;

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn sigterm_exits_with_code_0_and_persists_all_changes() {
    let mut region = Region::new("sigterm", 1);
    region.extra_keys.insert("source", "snapshot_every_ms = 3600000".into());
    let (mut source, mut relay) = (region.start_source(), region.start_relay(0));
    let (mut agent, discovery) = region.start_agent("a", &[1]);
    let last = ChangeWriter::new(region.source).set(1, &[("a-1", Active), ("a-2", Active)]);
    Proxy::new(discovery).wait_for_exactly("the list", &[("a-1", "active"), ("a-2", "active")]);
    for process in [&mut agent, &mut relay, &mut source] {
        process.signal("TERM");
        assert_eq!(process.wait_for_exit().code(), Some(0));
    }
    let persisted = read(&region.snapshot(), 1).expect("valid").expect("a file");
    assert_eq!((persisted.head, persisted.records.len()), (last, 2));
}

#[test]
fn persists_changes_while_the_source_runs() {
    let mut region = Region::new("persisted", 1);
    region.extra_keys.insert("source", "snapshot_every_ms = 20".into());
    let source = region.start_source();
    let last = ChangeWriter::new(region.source).set(1, &[("a-1", Active)]);
    wait_for("the snapshot", || {
        let persisted = read(&region.snapshot(), 1).expect("a complete file at any time").expect("a file");
        (persisted.head == last).then_some(())
    });
    source.kill();
    let (_source, _relay) = (region.start_source(), region.start_relay(0));
    let (_agent, discovery) = region.start_agent("a", &[1]);
    Proxy::new(discovery).wait_for_exactly("the persisted records", &[("a-1", "active")]);
}

#[test]
fn damaged_snapshot_fails_the_start_and_is_not_overwritten() {
    let region = Region::new("damaged", 1);
    let mut source = region.start_source();
    ChangeWriter::new(region.source).set(1, &[("a-1", Active)]);
    source.signal("TERM");
    assert_eq!(source.wait_for_exit().code(), Some(0));
    let mut bytes = fs::read(region.snapshot()).expect("a file");
    let index = bytes.len() / 2;
    bytes[index] ^= 0x20;
    fs::write(region.snapshot(), &bytes).expect("written");

    let mut source = Process::spawn("source", &region.source_config());
    assert_eq!(source.wait_for_exit().code(), Some(1));
    let error = source.wait_for_line("is damaged");
    assert!(error.contains("source.snapshot") && error.contains("was left as it is"), "{error}");
    assert_eq!(source.lines().len(), 1, "{:#?}", source.lines());
    assert_eq!(fs::read(region.snapshot()).expect("a file"), bytes);
}

#[test]
fn reports_a_locked_snapshot_and_an_address_in_use() {
    let mut region = Region::new("in-use", 1);
    let _source = region.start_source();
    region.source = address();
    let mut second_source = Process::spawn("source", &region.source_config());
    assert_eq!(second_source.wait_for_exit().code(), Some(1));
    second_source.wait_for_line("is held by another process; a source runs once");
    let relay = region.start_relay(0);
    let mut second_relay = Process::spawn("relay", &region.directory.file("relay-1.toml"));
    assert_eq!(second_relay.wait_for_exit().code(), Some(1));
    second_relay.wait_for_line(&format!("cannot listen on {}", region.relays[0].address));
    drop(relay);
}

#[test]
fn check_reports_valid_and_invalid_configurations() {
    let deployed = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/control.toml");
    let valid = run_program(&["check", deployed.to_str().expect("text")]);
    assert_eq!(valid.status.code(), Some(0), "{}", text(&valid.stderr));
    assert!(text(&valid.stdout).contains("agent `proxy-1` answers discovery on 127.0.0.1:7301"));

    let directory = TestDirectory::new("check");
    let path = directory.write("bad.toml", "[relay]\nname = \"r\"\nlisten = \"nowhere\"\nsources = []\n");
    let invalid = run_program(&["check", path.to_str().expect("text")]);
    assert_eq!(invalid.status.code(), Some(1));
    let stderr = text(&invalid.stderr);
    assert!(
        stderr.contains("bad.toml") && stderr.contains("`relay.listen`") && stderr.lines().count() == 1,
        "{stderr}"
    );

    let without_section =
        run_program(&["agent", "--config", directory.write("none.toml", "").to_str().expect("text")]);
    assert_eq!(without_section.status.code(), Some(1));
    assert!(
        text(&without_section.stderr).contains("there is no section `[agent]`"),
        "{}",
        text(&without_section.stderr)
    );
}

#[test]
fn writes_changes_from_a_file_and_reports_invalid_ones() {
    let region = Region::new("write", 1);
    let (_source, _relay) = (region.start_source(), region.start_relay(0));
    let (_agent, discovery) = region.start_agent("a", &[7]);
    let source = region.source.to_string();
    let write = |json: &str, options: &[&str]| {
        let path = region.directory.write("changes.json", json);
        let path = path.to_str().expect("text").to_owned();
        run_program(&[&["write", "--source", &source], options, &[&path]].concat())
    };
    let backend_entry = |name: &str, state: &str| {
        format!(
            r#"{{"service":7,"kind":"backend","name":"{name}","state":"{state}","backend":{{"address":"127.0.0.1:3000","locality":"a","flavor":"m","cell":1,"size":1.0,"up_since_ms":0}}}}"#
        )
    };
    let written =
        write(&format!("[{},{}]", backend_entry("s-1", "active"), backend_entry("s-2", "draining")), &[]);
    assert_eq!(written.status.code(), Some(0), "{}", text(&written.stderr));
    assert!(text(&written.stdout).starts_with("2 changes made, the last is change 2 of epoch "));
    let mut proxy = Proxy::new(discovery);
    proxy.wait_for_exactly("the written backends", &[("s-1", "active"), ("s-2", "leaving")]);
    let removed = write(r#"[{"service":7,"kind":"backend","name":"s-1","state":"gone"}]"#, &["--parts"]);
    assert_eq!(removed.status.code(), Some(0), "{}", text(&removed.stderr));
    proxy.wait_for_exactly("the removal", &[("s-2", "leaving")]);

    let too_long_name = format!(
        "[{{\"service\":7,\"kind\":\"route\",\"name\":\"{}\",\"state\":\"active\",\"body\":\"x\"}}]",
        "n".repeat(300)
    );
    let second_invalid = format!(
        "[{},{}]",
        backend_entry("s-9", "active"),
        backend_entry("s-8", "active").replace("1.0", "0.0")
    );
    for (json, expected) in [
        ("{}", "changes.json: `.`: invalid type: map"),
        (r#"[{"service":-1}]"#, "changes.json: `[0].service`: invalid value"),
        (r#"[{"service":7,"kind":"box"}]"#, "`[0].kind`: unknown variant `box`, expected one of `backend`"),
        (
            r#"[{"service":7,"kind":"backend","name":"x","state":"active"}]"#,
            "`[0]`: `x` is a backend; give `backend`",
        ),
        (
            r#"[{"service":7,"kind":"route","name":"x","state":"gone","body":"b"}]"#,
            "`[0]`: `x` is gone; leave out",
        ),
        (second_invalid.as_str(), "`[1]`: `backend.size` of `s-8` is 0, must be above 0"),
        (too_long_name.as_str(), "the source refused: the name of `nnn"),
    ] {
        let rejected = write(json, &[]);
        assert_eq!(rejected.status.code(), Some(1), "{json}");
        assert!(text(&rejected.stderr).contains(expected), "{json}: {}", text(&rejected.stderr));
    }
    // No change of the file with one invalid entry was applied: only the next write adds a backend.
    assert_eq!(write(&format!("[{}]", backend_entry("s-3", "active")), &[]).status.code(), Some(0));
    proxy.wait_until("the next change", |backends| backends.contains_key("s-3"));
    assert_eq!(proxy.backends.len(), 2, "{:?}", proxy.backends);

    let unreachable = run_program(&[
        "write",
        "--source",
        &address().to_string(),
        region.directory.file("changes.json").to_str().expect("text"),
    ]);
    assert_eq!(unreachable.status.code(), Some(1));
    assert!(
        text(&unreachable.stderr).contains("no connection to the source at"),
        "{}",
        text(&unreachable.stderr)
    );
}
