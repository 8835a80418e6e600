//! Starts, ends, and the operator's tools.

use super::rig::*;
use control_plane::record::State::Active;
use control_plane::runtime::snapshot::read;
use std::fs;
use std::path::Path;

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn sigterm_ends_each_with_code_0_and_a_source_keeps_all_it_was_told() {
    let mut region = Region::new("ends", 1);
    region.keys.insert("source", "snapshot_every_ms = 3600000".into());
    let (mut source, mut relay) = (region.start_source(), region.start_relay(0));
    let (mut agent, discovery) = region.start_agent("a", &[1]);
    let last = Operator::new(region.source).set(1, &[("a-1", Active), ("a-2", Active)]);
    Proxy::new(discovery).until_exactly("the list", &[("a-1", "active"), ("a-2", "active")]);
    for process in [&mut agent, &mut relay, &mut source] {
        process.signal("TERM");
        assert_eq!(process.ended().code(), Some(0));
    }
    let kept = read(&region.snapshot(), 1).expect("good").expect("a file");
    assert_eq!((kept.head, kept.records.len()), (last, 2));
}

#[test]
fn what_changed_is_kept_while_the_source_runs() {
    let mut region = Region::new("kept", 1);
    region.keys.insert("source", "snapshot_every_ms = 20".into());
    let source = region.start_source();
    let last = Operator::new(region.source).set(1, &[("a-1", Active)]);
    wait_for("the snapshot", || {
        let kept = read(&region.snapshot(), 1).expect("never half a file").expect("a file");
        (kept.head == last).then_some(())
    });
    source.kill();
    let (_source, _relay) = (region.start_source(), region.start_relay(0));
    let (_agent, discovery) = region.start_agent("a", &[1]);
    Proxy::new(discovery).until_exactly("what was kept", &[("a-1", "active")]);
}

#[test]
fn a_damaged_snapshot_ends_the_start_with_one_error_and_is_left_as_it_is() {
    let region = Region::new("damaged", 1);
    let mut source = region.start_source();
    Operator::new(region.source).set(1, &[("a-1", Active)]);
    source.signal("TERM");
    assert_eq!(source.ended().code(), Some(0));
    let mut bytes = fs::read(region.snapshot()).expect("a file");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x20;
    fs::write(region.snapshot(), &bytes).expect("written");

    let mut source = Process::begin("source", &region.source_config());
    assert_eq!(source.ended().code(), Some(1));
    let error = source.says("is damaged");
    assert!(error.contains("source.snapshot") && error.contains("was left as it is"), "{error}");
    assert_eq!(source.lines().len(), 1, "{:#?}", source.lines());
    assert_eq!(fs::read(region.snapshot()).expect("a file"), bytes);
}

#[test]
fn a_second_source_of_the_same_file_and_a_taken_address_are_told_so() {
    let mut region = Region::new("twice", 1);
    let _source = region.start_source();
    region.source = address();
    let mut second = Process::begin("source", &region.source_config());
    assert_eq!(second.ended().code(), Some(1));
    second.says("is held by another process; a source runs once");
    let relay = region.start_relay(0);
    let mut again = Process::begin("relay", &region.folder.file("relay-1.toml"));
    assert_eq!(again.ended().code(), Some(1));
    again.says(&format!("cannot listen on {}", region.relays[0].1));
    drop(relay);
}

#[test]
fn check_says_what_is_good_and_what_is_not_by_key() {
    let deployed = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/control.toml");
    let good = program(&["check", deployed.to_str().expect("text")]);
    assert_eq!(good.status.code(), Some(0), "{}", text(&good.stderr));
    assert!(text(&good.stdout).contains("agent `proxy-1` answers discovery on 127.0.0.1:7301"));

    let folder = Folder::new("check");
    let bad = folder.write("bad.toml", "[relay]\nname = \"r\"\nlisten = \"nowhere\"\nsources = []\n");
    let bad = program(&["check", bad.to_str().expect("text")]);
    assert_eq!(bad.status.code(), Some(1));
    let said = text(&bad.stderr);
    assert!(
        said.contains("bad.toml") && said.contains("`relay.listen`") && said.lines().count() == 1,
        "{said}"
    );

    let none = program(&["agent", "--config", folder.write("none.toml", "").to_str().expect("text")]);
    assert_eq!(none.status.code(), Some(1));
    assert!(text(&none.stderr).contains("there is no section `[agent]`"), "{}", text(&none.stderr));
}

#[test]
fn an_operator_writes_changes_from_a_file_and_is_told_what_is_wrong_with_them() {
    let region = Region::new("write", 1);
    let (_source, _relay) = (region.start_source(), region.start_relay(0));
    let (_agent, discovery) = region.start_agent("a", &[7]);
    let source = region.source.to_string();
    let write = |json: &str, more: &[&str]| {
        let path = region.folder.write("changes.json", json);
        let path = path.to_str().expect("text").to_owned();
        program(&[&["write", "--source", &source], more, &[&path]].concat())
    };
    let one = |name: &str, state: &str| {
        format!(
            r#"{{"service":7,"kind":"backend","name":"{name}","state":"{state}","backend":{{"address":"127.0.0.1:3000","locality":"a","flavor":"m","cell":1,"size":1.0,"up_since_ms":0}}}}"#
        )
    };
    let done = write(&format!("[{},{}]", one("s-1", "active"), one("s-2", "draining")), &[]);
    assert_eq!(done.status.code(), Some(0), "{}", text(&done.stderr));
    assert!(text(&done.stdout).starts_with("2 changes made, the last is change 2 of epoch "));
    let mut proxy = Proxy::new(discovery);
    proxy.until_exactly("what was written", &[("s-1", "active"), ("s-2", "leaving")]);
    let gone = write(r#"[{"service":7,"kind":"backend","name":"s-1","state":"gone"}]"#, &["--parts"]);
    assert_eq!(gone.status.code(), Some(0), "{}", text(&gone.stderr));
    proxy.until_exactly("one gone", &[("s-2", "leaving")]);

    let long = format!(
        "[{{\"service\":7,\"kind\":\"route\",\"name\":\"{}\",\"state\":\"active\",\"body\":\"x\"}}]",
        "n".repeat(300)
    );
    let second_bad = format!("[{},{}]", one("s-9", "active"), one("s-8", "active").replace("1.0", "0.0"));
    for (json, says) in [
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
        (second_bad.as_str(), "`[1]`: `backend.size` of `s-8` is 0, must be above 0"),
        (long.as_str(), "the source refused: the name of `nnn"),
    ] {
        let refused = write(json, &[]);
        assert_eq!(refused.status.code(), Some(1), "{json}");
        assert!(text(&refused.stderr).contains(says), "{json}: {}", text(&refused.stderr));
    }
    // Nothing of the file that was half good was made: what is told next comes alone.
    assert_eq!(write(&format!("[{}]", one("s-3", "active")), &[]).status.code(), Some(0));
    proxy.until("the next", |held| held.contains_key("s-3"));
    assert_eq!(proxy.held.len(), 2, "{:?}", proxy.held);

    let nobody = program(&[
        "write",
        "--source",
        &address().to_string(),
        region.folder.file("changes.json").to_str().expect("text"),
    ]);
    assert_eq!(nobody.status.code(), Some(1));
    assert!(text(&nobody.stderr).contains("no connection to the source at"), "{}", text(&nobody.stderr));
}
