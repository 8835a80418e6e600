//! Golden-file tests of the files that the processes of one proxy share, and of the console's commands and
//! responses.

use admin::command::{ConsoleCommand, ConsoleResponse};
use admin::exclusion_store::ExclusionStore;
use admin::machine_time::MachineTime;
use admin::process_replacement::InstanceSlot;
use admin::snapshot_file::{
    SnapshotFile, StoredKindLimit, StoredLatency, StoredLearnedState, StoredLimit, parse as parse_learned,
};
use golden_files::GoldenFiles;
use std::fs;
use std::path::{Path, PathBuf};

/// When the golden snapshot was written, in microseconds since the Unix epoch.
const SNAPSHOT_TIME: u64 = 1_796_148_000_000_000;
/// Identifies the configuration to which the golden snapshot belongs.
const CONFIGURATION_FINGERPRINT: u64 = 0x51ab_0000_0000_0007;

fn golden() -> GoldenFiles {
    GoldenFiles::for_crate(env!("CARGO_MANIFEST_DIR"))
}

fn directory(test: &str) -> PathBuf {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{test}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a directory");
    path
}

fn file_names(directory: &Path) -> Vec<String> {
    let entries = fs::read_dir(directory).expect("the directory");
    let mut names: Vec<String> =
        entries.map(|e| e.expect("an entry").file_name().to_string_lossy().into_owned()).collect();
    names.sort();
    names
}

#[tokio::test]
async fn exclusions_file_bytes_are_stable() {
    let directory = directory("exclusions");
    let store = ExclusionStore::new(&directory, "n3", MachineTime::default());
    let none = store.load().expect("no file");
    let (excluded, _) =
        store.change(&none, |exclusions| exclusions.exclude("s-a", 7), |_| ()).await.expect("written");
    let (excluded, _) =
        store.change(&excluded, |exclusions| exclusions.exclude("s-b", 8), |_| ()).await.expect("written");
    store.change(&excluded, |exclusions| Ok(exclusions.include("s-a", 9)), |_| ()).await.expect("written");
    let written = fs::read(directory.join("haventrack-n3.bans.json")).expect("the file");
    golden().assert_bytes("haventrack-n3.bans.json", &written);
}

#[test]
fn reads_the_exclusions_file_of_an_older_process() {
    let directory = directory("older");
    let path = directory.join("haventrack-n3.bans.json");
    fs::write(path, golden().read("haventrack-n3.bans.json")).expect("written");
    let exclusions = ExclusionStore::new(&directory, "n3", MachineTime::default()).load().expect("readable");
    assert_eq!(exclusions.excluded_ids().collect::<Vec<_>>(), ["s-b"]);
    assert_eq!(exclusions.reincluded_at("s-a"), Some(9));
}

fn learned() -> StoredLearnedState {
    StoredLearnedState {
        backends: vec![
            StoredLimit { backend: 7, started_at: None, limit: 1.25, is_shared: true },
            StoredLimit { backend: u32::MAX, started_at: Some(SNAPSHOT_TIME), limit: 0.8, is_shared: false },
        ],
        machine_kinds: vec![
            StoredKindLimit { limit: 2.5, is_doubling: false },
            StoredKindLimit { limit: 40.0, is_doubling: true },
        ],
        latencies: vec![
            StoredLatency { samples: 16, mean: 31_000.5, baseline: Some(24_000.0) },
            StoredLatency { samples: 0, mean: 135_000.0, baseline: None },
        ],
        peak_rate: 210.5,
        rejected_fraction: 0.125,
    }
}

#[tokio::test]
async fn snapshot_file_bytes_are_stable_and_readable() {
    let directory = directory("learned");
    let snapshot = SnapshotFile::new(&directory, "n3");
    snapshot.write(CONFIGURATION_FINGERPRINT, SNAPSHOT_TIME, learned()).await.expect("written");
    let written = fs::read(directory.join("haventrack-n3.learnt.json")).expect("the file");
    golden().assert_bytes("haventrack-n3.learnt.json", &written);
    let stored = golden().read("haventrack-n3.learnt.json");
    assert_eq!(
        parse_learned(&stored, CONFIGURATION_FINGERPRINT, SNAPSHOT_TIME).expect("readable"),
        learned()
    );
}

/// Guards against different file names in two versions, whose processes share these files.
#[tokio::test]
async fn file_names_are_stable() {
    let directory = directory("names");
    for name in ["n3", "kw-proxy_7", "n.1", "", &"n".repeat(65)] {
        let store = ExclusionStore::new(&directory, name, MachineTime::default());
        let none = store.load().expect("no file");
        store.change(&none, |exclusions| exclusions.exclude("s-a", 7), |_| ()).await.expect("written");
        SnapshotFile::new(&directory, name).write(1, 2, learned()).await.expect("written");
        let _first = InstanceSlot::acquire(&directory, name).expect("free");
        let _second = InstanceSlot::acquire(&directory, name).expect("free");
    }
    golden().assert_lines("file-names.txt", &file_names(&directory));
}

#[test]
fn console_commands_and_responses_are_stable() {
    let calls = ["readyz", "exclude s-a", "include s-a"].map(|line| ConsoleCommand::parse(line.as_bytes()));
    assert_eq!(
        calls,
        [
            Ok(ConsoleCommand::Ready),
            Ok(ConsoleCommand::Exclude("s-a".into())),
            Ok(ConsoleCommand::Include("s-a".into()))
        ]
    );
    let mut lines: Vec<String> =
        ["", "reload", "exclude", "include", "exclude a b", "readyz now", "exclude \x01"]
            .iter()
            .map(|line| {
                ConsoleResponse::from(ConsoleCommand::parse(line.as_bytes()).expect_err("not a command"))
                    .to_string()
            })
            .collect();
    let long = [format!("exclude {}", "x".repeat(257)), "x".repeat(513)];
    lines.extend(long.iter().map(|line| {
        ConsoleResponse::from(ConsoleCommand::parse(line.as_bytes()).expect_err("too long")).to_string()
    }));
    lines.push(ConsoleResponse::from(ConsoleCommand::parse(b"\xff").expect_err("not UTF-8")).to_string());
    lines.push(ConsoleResponse::Success(String::new()).to_string());
    lines.push(ConsoleResponse::Success("a\nb".into()).to_string());
    golden().assert_lines("console-answers.txt", &lines);
}
