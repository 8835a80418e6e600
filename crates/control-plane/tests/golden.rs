//! Golden files of the control plane: the frames of messages, the snapshot file, and the configuration keys.

use control_plane::codec::{decode, encode, encode_backend_body};
use control_plane::config::Config;
use control_plane::message::{
    KeyBound, Message, PROTOCOL_VERSION, ReplicaPosition, ServiceDigest, ServiceRange,
};
use control_plane::record::{
    Backend, Change, Cursor, Record, RecordKey, RecordKind, RecordState, Scope, Version,
};
use control_plane::runtime::snapshot::{Snapshot, lock, read};
use golden_files::{GoldenFiles, hex};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Length of the prefix before each message.
const LENGTH_PREFIX_BYTES: usize = 4;

fn golden() -> GoldenFiles {
    GoldenFiles::for_crate(env!("CARGO_MANIFEST_DIR"))
}

fn version(revision: u64) -> Version {
    Version { epoch: 1_796_148_000_000, revision }
}

fn cursor(revision: u64) -> Cursor {
    [version(revision), version(revision + 1), version(revision + 2)]
}

fn key(kind: RecordKind, name: &str) -> RecordKey {
    RecordKey { service: 7_399, kind, name: name.into() }
}

fn backend() -> Backend {
    Backend {
        address: "10.1.0.18:3000".parse().expect("an address"),
        zone: "a".into(),
        machine_kind: "m2".into(),
        cell: 3,
        capacity: 1.5,
        up_since_ms: 1_796_148_000_123,
    }
}

/// Records of each kind and in each state.
fn records() -> Vec<Record> {
    let record = |kind, name, revision, state, body: &[u8]| Record {
        key: key(kind, name),
        version: version(revision),
        state,
        body: body.into(),
    };
    vec![
        record(RecordKind::Backend, "s-5be2a07c", 41, RecordState::Active, &encode_backend_body(&backend())),
        record(RecordKind::Configuration, "timeouts", 42, RecordState::Active, b"{\"a\":1}"),
        record(RecordKind::Route, "/checkout", 300, RecordState::Draining, b"r"),
        record(RecordKind::Tenant, "acme", 70_000, RecordState::Gone, b""),
    ]
}

fn positions() -> Vec<ReplicaPosition> {
    vec![ReplicaPosition { source: 513, epoch: 1_796_148_000_000, cursor: cursor(9) }]
}

fn messages() -> Vec<(&'static str, Message)> {
    let (source, epoch) = (513, 1_796_148_000_000);
    let services = Scope::Services(BTreeSet::from([1, 128, 7_399]));
    let change =
        Change { key: key(RecordKind::Tenant, "acme"), state: RecordState::Active, body: (*b"x").into() };
    vec![
        (
            "hello, scope by services",
            Message::Hello {
                protocol: PROTOCOL_VERSION,
                name: "proxy-1".into(),
                scope: services,
                positions: positions(),
            },
        ),
        (
            "hello, everything in scope",
            Message::Hello {
                protocol: PROTOCOL_VERSION,
                name: "relay-1".into(),
                scope: Scope::All,
                positions: vec![],
            },
        ),
        ("welcome", Message::Welcome { protocol: PROTOCOL_VERSION, name: "region-1".into() }),
        ("alive", Message::Heartbeat),
        (
            "batch",
            Message::Batch {
                source,
                epoch,
                from: cursor(1),
                to: cursor(70_000),
                records: records(),
                scope_digest: Some(0x0123_4567_89ab_cdef),
            },
        ),
        (
            "summary",
            Message::DigestSummary {
                source,
                epoch,
                range: ServiceRange { first: 0, last: u32::MAX },
                to: cursor(5),
                digests: vec![
                    ServiceDigest { service: 1, digest: 2 },
                    ServiceDigest { service: 7_399, digest: u64::MAX },
                ],
            },
        ),
        (
            "service snapshot",
            Message::ServiceSnapshot {
                source,
                epoch,
                as_of: version(300),
                service: 7_399,
                after: Some(KeyBound { kind: RecordKind::Backend, name: "s-1".into() }),
                through: None,
                records: records(),
            },
        ),
        ("resume", Message::Resume { positions: positions() }),
        ("digest request", Message::DigestRequest { source }),
        ("snapshot request", Message::SnapshotRequest { source, services: vec![1, 7_399] }),
        ("write", Message::Write { id: 99, changes: vec![change] }),
        ("written", Message::Written { id: 99, result: Ok(version(301)) }),
        ("written, rejected", Message::Written { id: 100, result: Err("no".into()) }),
        ("goodbye", Message::Close { reason: "over".into() }),
    ]
}

#[test]
fn frame_bytes_of_all_messages_are_unchanged() {
    let messages = messages();
    let frame = |message: &Message| encode(message).expect("short enough");
    let lines: Vec<String> =
        messages.iter().map(|(name, message)| format!("{name}: {}", hex(&frame(message)))).collect();
    golden().assert_lines("frames.txt", &lines);
    for (name, message) in messages {
        let decoded = decode(&frame(&message)[LENGTH_PREFIX_BYTES..]).expect(name);
        assert_eq!(decoded, message, "{name}");
    }
}

/// The directory of one test, removed when this is dropped.
struct Directory(PathBuf);

impl Directory {
    fn new(test: &str) -> Self {
        let path =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{test}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    fn file_names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).expect("the directory");
        let mut names: Vec<String> =
            entries.map(|e| e.expect("an entry").file_name().to_string_lossy().into_owned()).collect();
        names.sort();
        names
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn snapshot_file_bytes_and_names_are_unchanged() {
    let directory = Directory::new("snapshot");
    let path = directory.0.join("source-1.snapshot");
    let _lock = lock(&path).expect("not locked");
    let snapshot = Snapshot { source: 513, epoch: 9, head: version(70_000), records: records() };
    snapshot.write(&path).expect("written");
    golden().assert_bytes("source.snapshot", &fs::read(&path).expect("the file"));
    assert_eq!(read(&golden().path("source.snapshot"), 513).expect("readable"), Some(snapshot));
    assert_eq!(directory.file_names(), ["source-1.snapshot", "source-1.snapshot.lock"]);
}

/// A configuration with all keys.
const ALL_KEYS: &str = r#"[source]
id = 5
name = "region-5"
listen = "127.0.0.1:7101"
snapshot = "source-5.snapshot"
snapshot_every_ms = 20
connections = 3

[relay]
name = "relay-5"
listen = "127.0.0.1:7201"
connections = 4

[[relay.sources]]
id = 5
address = "127.0.0.1:7101"

[agent]
name = "proxy-5"
listen = "127.0.0.1:7301"
services = [1, 9]
sources = [5]
connections = 2

[[agent.relays]]
name = "relay-5"
address = "127.0.0.1:7201"

[pace]
agent_bytes_per_s = 1001
agent_burst = 1002
relay_bytes_per_s = 1003
relay_burst = 1004
"#;

/// Each section rejects an unknown key, and the error lists all known keys.
#[test]
fn configuration_keys_are_unchanged() {
    Config::parse(ALL_KEYS, Path::new("control.toml")).expect("valid");
    let sections = ["[source]", "[relay]", "[[relay.sources]]", "[agent]", "[[agent.relays]]", "[pace]"];
    let mut lines: Vec<String> = Vec::new();
    for text in std::iter::once(format!("unknown = 1\n{ALL_KEYS}"))
        .chain(sections.iter().map(|section| ALL_KEYS.replace(section, &format!("{section}\nunknown = 1"))))
    {
        lines.push(Config::parse(&text, Path::new("control.toml")).expect_err("unknown").to_string());
    }
    golden().assert_lines("configuration-keys.txt", &lines);
}
