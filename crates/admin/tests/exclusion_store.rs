//! The file of exclusions, with the faults that a folder can have.

mod support;

use admin::exclusion_store::{ExclusionStore, StoreError, parse};
use admin::exclusions::{Exclusions, TooManyExclusions};
use admin::machine_time::MachineTime;
use proptest::prelude::*;
use std::fs;
use support::empty_folder;

async fn exclude(store: &ExclusionStore, current: &Exclusions, id: &str) -> Result<Exclusions, StoreError> {
    let changed = store.change(current, |exclusions| exclusions.exclude(id, 7), |_| ()).await;
    changed.map(|(exclusions, _)| exclusions)
}

#[tokio::test]
async fn exclusions_outlive_their_process_and_merge_across_processes() {
    let folder = empty_folder("outlive");
    let (old, new) = (
        ExclusionStore::new(&folder, "n3", MachineTime::default()),
        ExclusionStore::new(&folder, "n3", MachineTime::default()),
    );
    assert_eq!(old.load().expect("no file"), Exclusions::default());
    let current = exclude(&old, &Exclusions::default(), "a").await.expect("persisted");
    let before = new.version();
    // The other process has no exclusions yet, and merges its own into the persisted ones.
    let both = exclude(&new, &Exclusions::default(), "b").await.expect("persisted");
    assert!(both.is_excluded("a") && both.is_excluded("b"));
    assert_ne!(old.version(), before, "the file's version changes");
    assert_eq!(old.load().expect("a file"), both);
    assert_eq!(current.differing_ids(&both), ["b"]);
    assert_eq!(
        ExclusionStore::new(&folder, "n4", MachineTime::default()).load().expect("no file"),
        Exclusions::default(),
        "the file of another proxy"
    );
}

#[tokio::test]
async fn an_exclusion_that_cannot_be_written_changes_nothing() {
    let folder = empty_folder("lost");
    let store = ExclusionStore::new(&folder, "n3", MachineTime::default());
    exclude(&store, &Exclusions::default(), "a").await.expect("persisted");
    // A folder in place of the temporary file makes the write fail.
    fs::create_dir(folder.join("haventrack-n3.bans.new")).expect("a folder");
    assert!(matches!(exclude(&store, &Exclusions::default(), "b").await, Err(StoreError::Io(..))));
    assert!(!store.load().expect("the old file").is_excluded("b"));
    let rejected = store.change(&Exclusions::default(), |_| Err::<(), _>(TooManyExclusions), |_| ()).await;
    assert!(matches!(rejected, Err(StoreError::TooManyExclusions(_))));
}

#[tokio::test]
async fn reports_a_lock_that_is_never_released() {
    let folder = empty_folder("locked");
    let store = ExclusionStore::new(&folder, "n3", MachineTime::default());
    let lock = fs::File::create(folder.join("haventrack-n3.bans.lock")).expect("a file");
    lock.lock().expect("locked");
    assert!(matches!(exclude(&store, &Exclusions::default(), "a").await, Err(StoreError::Locked(_))));
    drop(lock);
    assert!(exclude(&store, &Exclusions::default(), "a").await.expect("persisted").is_excluded("a"));
}

#[tokio::test]
async fn reports_a_damaged_file_and_sets_it_aside() {
    let folder = empty_folder("damaged");
    let store = ExclusionStore::new(&folder, "n3", MachineTime::default());
    exclude(&store, &Exclusions::default(), "a").await.expect("persisted");
    let path = folder.join("haventrack-n3.bans.json");
    let complete = fs::read(&path).expect("a file");
    for text in
        [&b""[..], &complete[..complete.len() - 1], b"{\"version\":2,\"bans\":{\"out\":{},\"back\":{}}}"]
    {
        fs::write(&path, text).expect("written");
        assert!(matches!(store.load(), Err(StoreError::Damaged(..))));
    }
    // The process's own exclusions replace the damaged file.
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
    assert!(folder.join("haventrack-n3.bans.damaged").exists());
    assert_eq!(store.load().expect("replaced"), exclusions);
}

proptest! {
    #[test]
    fn rejects_arbitrary_bytes(text in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(parse(&text).is_err(), "no such text is a valid file");
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
