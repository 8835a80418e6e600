//! The snapshot file: it is written atomically, and a damaged file or one of another source is rejected and
//! not overwritten.

mod test_directory;

use control_plane::record::{Record, RecordKey, RecordKind, RecordState, Version};
use control_plane::runtime::snapshot::{Snapshot, SnapshotError, SnapshotWriter, lock, read};
use std::fs;
use std::process::Command;
use std::time::Duration;
use test_directory::TestDirectory;
use tokio::time::timeout;

const FILE: &str = "source.snapshot";

fn snapshot(records: u64) -> Snapshot {
    let version = |revision| Version { epoch: 9, revision };
    let record = |n: u64| Record {
        key: RecordKey { service: 1, kind: RecordKind::Tenant, name: format!("t-{n}").into() },
        version: version(n),
        state: RecordState::Active,
        body: vec![7; 20].into(),
    };
    Snapshot { source: 3, epoch: 9, head: version(records), records: (0..records).map(record).collect() }
}

#[test]
fn reads_the_written_snapshot_and_accepts_a_missing_file() {
    let directory = TestDirectory::new("snapshot-written");
    assert_eq!(read(&directory.file(FILE), 3).expect("no file"), None);
    for records in [5, 2] {
        snapshot(records).write(&directory.file(FILE)).expect("written");
        assert_eq!(read(&directory.file(FILE), 3).expect("valid"), Some(snapshot(records)));
    }
}

#[test]
fn rejects_any_corrupted_or_truncated_file_and_leaves_it() {
    let directory = TestDirectory::new("snapshot-damaged");
    snapshot(2).write(&directory.file(FILE)).expect("written");
    let valid = fs::read(directory.file(FILE)).expect("bytes");
    let corrupted = (0..valid.len()).map(|index| {
        let mut bytes = valid.clone();
        bytes[index] ^= 1;
        bytes
    });
    let truncated = (0..valid.len()).map(|length| valid[..length].to_vec());
    for bytes in corrupted.chain(truncated) {
        fs::write(directory.file(FILE), &bytes).expect("written");
        let error = read(&directory.file(FILE), 3).expect_err("damaged");
        assert!(matches!(error, SnapshotError::Damaged(..)), "{error}");
        assert_eq!(fs::read(directory.file(FILE)).expect("bytes"), bytes);
    }
}

#[test]
fn rejects_the_file_of_another_source() {
    let directory = TestDirectory::new("snapshot-other");
    snapshot(1).write(&directory.file(FILE)).expect("written");
    let error = read(&directory.file(FILE), 4).expect_err("of another source").to_string();
    assert!(error.contains("is of source 3, this is source 4"), "{error}");
}

#[test]
fn locks_the_file_exclusively() {
    let directory = TestDirectory::new("snapshot-lock");
    let lock_file = lock(&directory.file(FILE)).expect("not locked");
    assert!(matches!(lock(&directory.file(FILE)), Err(SnapshotError::Locked(_))));
    drop(lock_file);
    lock(&directory.file(FILE)).expect("unlocked");
}

#[tokio::test]
async fn writer_thread_writes_and_reports_the_failed_path() {
    let directory = TestDirectory::new("snapshot-thread");
    let writer = SnapshotWriter::start(directory.file(FILE)).expect("a thread");
    writer.write(snapshot(4)).await.expect("written");
    assert_eq!(read(&directory.file(FILE), 3).expect("valid"), Some(snapshot(4)));
    let failing = SnapshotWriter::start(directory.file("none/source.snapshot")).expect("a thread");
    let error = failing.write(snapshot(4)).await.expect_err("no directory").to_string();
    assert!(error.contains("none/source.snapshot.new"), "{error}");
}

/// Guards against reporting that the writer has ended when a write finds another one queued.
#[tokio::test]
async fn writer_reports_a_queued_write_as_busy() {
    let directory = TestDirectory::new("snapshot-busy");
    // The writer's thread blocks on opening this named pipe until the test opens it for reading.
    let pipe = directory.file(FILE).with_extension("snapshot.new");
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
    let writer = SnapshotWriter::start(directory.file(FILE)).expect("a thread");
    let write_with_timeout = async || timeout(Duration::from_millis(100), writer.write(snapshot(4))).await;
    assert!(write_with_timeout().await.is_err(), "in progress");
    assert!(write_with_timeout().await.is_err(), "queued");
    let rejected = writer.write(snapshot(4)).await;
    // Lets the two writes end, and with them the writer's thread.
    let reader = fs::OpenOptions::new().read(true).open(&pipe);
    drop(writer);
    drop(reader);
    assert!(matches!(rejected, Err(SnapshotError::WriterBusy)), "{rejected:?}");
}
