//! Tests of the file that passes versions of classes on.

mod support;

use admin::class_version_file::{ClassVersionFile, StoredClassVersion, StoredIdempotency, StoredScope};
use admin::machine_time::MachineTime;
use std::fs;

#[test]
fn versions_are_read_as_they_were_written_and_a_damaged_file_is_rejected() {
    let folder = support::empty_directory("class-versions");
    let file = ClassVersionFile::new(&folder, "n7", MachineTime::new(1_000_000));
    assert!(file.read().expect("no file").is_empty());
    let version = |idempotency, replaced_at| StoredClassVersion {
        name: "submit".into(),
        idempotency,
        deadline: 2_620_000,
        replaced_at,
    };
    let versions = vec![
        version(StoredIdempotency::Keyed(StoredScope::Cell, 4_000_000), Some(900_000)),
        version(StoredIdempotency::NonIdempotent, Some(950_000)),
        version(StoredIdempotency::Idempotent, None),
    ];
    file.write(versions.clone()).expect("written");
    assert_eq!(file.read().expect("read"), versions);
    let path = folder.join("haventrack-n7.classes.json");
    let text = fs::read_to_string(&path).expect("the file");
    for damaged in ["", &text[..text.len() / 2], &text.replace("\"version\":1", "\"version\":2")] {
        fs::write(&path, damaged).expect("damaged");
        assert!(file.read().is_err(), "{damaged}");
    }
}
