//! Tests of the exclusions file: shared by processes, damaged, locked, and not writable.

mod support;

use admin::exclusion_store::{ExclusionStore, StoreError, parse};
use admin::exclusions::{Exclusions, TooManyExclusions};
use admin::machine_time::MachineTime;
use proptest::prelude::*;
use std::fs;
use support::empty_directory;

async fn exclude(store: &ExclusionStore, current: &Exclusions, id: &str) -> Result<Exclusions, StoreError> {
    let changed = store.change(current, |exclusions| exclusions.exclude(id, 7), |_| ()).await;
    changed.map(|(exclusions, _)| exclusions)
}

#[tokio::test]
async fn exclusions_persist_and_are_merged_across_processes() {
    let directory = empty_directory("outlive");
    let (old, new) = (
        ExclusionStore::new(&directory, "n3", MachineTime::default()),
        ExclusionStore::new(&directory, "n3", MachineTime::default()),
    );
    assert_eq!(old.load().expect("no file"), Exclusions::default());
    let current = exclude(&old, &Exclusions::default(), "a").await.expect("persisted");
    let before = new.version();
    // The other process has no exclusions in memory, and its change is merged into the persisted exclusions.
    let both = exclude(&new, &Exclusions::default(), "b").await.expect("persisted");
    assert!(both.is_excluded("a") && both.is_excluded("b"));
    assert_ne!(old.version(), before, "the file's version changes");
    assert_eq!(old.load().expect("a file"), both);
    assert_eq!(current.differing_ids(&both), ["b"]);
    assert_eq!(
        ExclusionStore::new(&directory, "n4", MachineTime::default()).load().expect("no file"),
        Exclusions::default(),
        "the file of another proxy"
    );
}

#[tokio::test]
async fn an_exclusion_that_cannot_be_written_changes_nothing() {
    let directory = empty_directory("lost");
    let store = ExclusionStore::new(&directory, "n3", MachineTime::default());
    exclude(&store, &Exclusions::default(), "a").await.expect("persisted");
    // A directory at the path of the temporary file makes the write fail.
    fs::create_dir(directory.join("haventrack-n3.bans.new")).expect("a directory");
    assert!(matches!(exclude(&store, &Exclusions::default(), "b").await, Err(StoreError::Io(..))));
    assert!(!store.load().expect("the old file").is_excluded("b"));
    let rejected = store.change(&Exclusions::default(), |_| Err::<(), _>(TooManyExclusions), |_| ()).await;
    assert!(matches!(rejected, Err(StoreError::TooManyExclusions(_))));
}

#[tokio::test]
async fn reports_a_lock_that_is_never_released() {
    let directory = empty_directory("locked");
    let store = ExclusionStore::new(&directory, "n3", MachineTime::default());
    let lock = fs::File::create(directory.join("haventrack-n3.bans.lock")).expect("a file");
    lock.lock().expect("locked");
    assert!(matches!(exclude(&store, &Exclusions::default(), "a").await, Err(StoreError::Locked(_))));
    drop(lock);
    assert!(exclude(&store, &Exclusions::default(), "a").await.expect("persisted").is_excluded("a"));
}

#[tokio::test]
async fn reports_and_renames_a_damaged_file() {
    let directory = empty_directory("damaged");
    let store = ExclusionStore::new(&directory, "n3", MachineTime::default());
    exclude(&store, &Exclusions::default(), "a").await.expect("persisted");
    let path = directory.join("haventrack-n3.bans.json");
    let complete = fs::read(&path).expect("a file");
    for text in
        [&b""[..], &complete[..complete.len() - 1], b"{\"version\":2,\"bans\":{\"out\":{},\"back\":{}}}"]
    {
        fs::write(&path, text).expect("written");
        assert!(matches!(store.load(), Err(StoreError::Damaged(..))));
    }
    // The exclusions in force in the process replace those of the damaged file.
    let mut current = Exclusions::default();
    current.exclude("own", 1).expect("below the bound");
    let mut reported = false;
    let (exclusions, _) = store
        .change(&current, |exclusions| exclusions.exclude("b", 2), |_| reported = true)
        .await
        .expect("persisted");
    assert!(
        reported
            && exclusions.is_excluded("own")
            && exclusions.is_excluded("b")
            && !exclusions.is_excluded("a")
    );
    assert!(directory.join("haventrack-n3.bans.damaged").exists());
    assert_eq!(store.load().expect("replaced"), exclusions);
}

proptest! {
    #[test]
    fn rejects_arbitrary_bytes(text in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(parse(&text).is_err(), "arbitrary bytes are not a valid file");
    }

    #[test]
    fn rejects_truncated_files(ids in proptest::collection::btree_set("[a-z0-9-]{1,20}", 1..9), length_fraction in 0.0_f64..1.0) {
        let mut exclusions = Exclusions::default();
        for id in &ids {
            exclusions.exclude(id, 1).expect("below the bound");
        }
        let complete = format!("{{\"version\":1,\"bans\":{}}}", serde_json::to_string(&exclusions).expect("text"));
        let parsed = parse(complete.as_bytes()).map_err(|error| error.to_string());
        prop_assert_eq!(parsed, Ok(exclusions));
        let length = (complete.len() as f64 * length_fraction) as usize;
        prop_assert!(parse(&complete.as_bytes()[..length]).is_err());
    }
}
