//! Bans and places in files, with the failures that a folder can have.

use admin::exclusion_store::{ExclusionStore, StoreError, parse};
use admin::exclusions::{Exclusions, TooManyExclusions};
use admin::machine_time::MachineTime;
use admin::process_replacement::{InstanceSlot, MAX_PROCESSES, steer};
use proptest::prelude::*;
use std::fs;
use std::net::TcpListener;
use std::path::PathBuf;

/// A folder of its own for a test, empty.
fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("admin-files-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}

async fn exclude(store: &ExclusionStore, held: &Exclusions, id: &str) -> Result<Exclusions, StoreError> {
    let changed = store.change(held, |bans| bans.exclude(id, 7), |_| ()).await;
    changed.map(|(bans, _)| bans)
}

#[tokio::test]
async fn bans_outlive_their_process_and_two_processes_add_to_one_another() {
    let folder = folder("outlive");
    let (old, new) = (
        ExclusionStore::new(&folder, "n3", MachineTime::default()),
        ExclusionStore::new(&folder, "n3", MachineTime::default()),
    );
    assert_eq!(old.load().expect("no file"), Exclusions::default());
    let held = exclude(&old, &Exclusions::default(), "a").await.expect("kept");
    let before = new.stamp();
    // The other process holds nothing yet, and keeps what it did not know.
    let both = exclude(&new, &Exclusions::default(), "b").await.expect("kept");
    assert!(both.is_out("a") && both.is_out("b"));
    assert_ne!(old.stamp(), before, "the change can be seen");
    assert_eq!(old.load().expect("a file"), both);
    assert_eq!(held.changed(&both), ["b"]);
    assert_eq!(
        ExclusionStore::new(&folder, "n4", MachineTime::default()).load().expect("no file"),
        Exclusions::default(),
        "another proxy's"
    );
}

#[tokio::test]
async fn a_ban_that_cannot_be_kept_does_not_half_hold() {
    let folder = folder("lost");
    let store = ExclusionStore::new(&folder, "n3", MachineTime::default());
    exclude(&store, &Exclusions::default(), "a").await.expect("kept");
    // The new file can't be made where a folder has its name.
    fs::create_dir(folder.join("haventrack-n3.bans.new")).expect("a folder");
    assert!(matches!(exclude(&store, &Exclusions::default(), "b").await, Err(StoreError::Io(..))));
    assert!(!store.load().expect("the old file").is_out("b"));
    let refused = store.change(&Exclusions::default(), |_| Err::<(), _>(TooManyExclusions), |_| ()).await;
    assert!(matches!(refused, Err(StoreError::TooManyExclusions(_))));
}

#[tokio::test]
async fn a_lock_that_is_never_given_back_is_a_no_within_the_second() {
    let folder = folder("locked");
    let store = ExclusionStore::new(&folder, "n3", MachineTime::default());
    let lock = fs::File::create(folder.join("haventrack-n3.bans.lock")).expect("a file");
    lock.lock().expect("locked");
    assert!(matches!(exclude(&store, &Exclusions::default(), "a").await, Err(StoreError::Busy(_))));
    drop(lock);
    assert!(exclude(&store, &Exclusions::default(), "a").await.expect("kept").is_out("a"));
}

#[tokio::test]
async fn a_damaged_store_is_told_and_set_aside() {
    let folder = folder("damaged");
    let store = ExclusionStore::new(&folder, "n3", MachineTime::default());
    exclude(&store, &Exclusions::default(), "a").await.expect("kept");
    let path = folder.join("haventrack-n3.bans.json");
    let whole = fs::read(&path).expect("a file");
    for text in [&b""[..], &whole[..whole.len() - 1], b"{\"version\":2,\"bans\":{\"out\":{},\"back\":{}}}"] {
        fs::write(&path, text).expect("written");
        assert!(matches!(store.load(), Err(StoreError::Damaged(..))));
    }
    // What the process itself holds is what goes on.
    let mut held = Exclusions::default();
    held.exclude("held", 1).expect("room");
    let mut told = false;
    let (bans, _) = store.change(&held, |bans| bans.exclude("b", 2), |_| told = true).await.expect("kept");
    assert!(told && bans.is_out("held") && bans.is_out("b") && !bans.is_out("a"));
    assert!(folder.join("haventrack-n3.bans.damaged").exists());
    assert_eq!(store.load().expect("whole again"), bans);
}

#[test]
fn places_are_taken_by_the_living_only() {
    let folder = folder("places");
    let first = InstanceSlot::take(&folder, "n3").expect("a place");
    assert_eq!(first.peers(), 0);
    let second = InstanceSlot::take(&folder, "n3").expect("a place");
    assert_eq!((first.peers(), second.peers()), (1, 1));
    let more: Vec<_> =
        (2..MAX_PROCESSES).map(|_| InstanceSlot::take(&folder, "n3").expect("a place")).collect();
    assert!(InstanceSlot::take(&folder, "n3").is_err(), "no more places");
    assert_eq!(InstanceSlot::take(&folder, "n4").expect("another proxy's").peers(), 0);
    drop((first, more));
    assert_eq!(second.peers(), 0, "what the others left behind says nothing");
    drop(InstanceSlot::take(&folder, "n3").expect("a place that was left"));
    assert!(InstanceSlot::take(&folder.join("none"), "n3").is_err());
}

/// The kernel gives every new connection to the listener that the filter names, and finds one where none has the number.
#[test]
fn connections_go_where_they_are_steered() {
    let open = |address| {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_reuse_port(true).expect("shared");
        let address: std::net::SocketAddr = address;
        socket.bind(&address.into()).expect("bound");
        socket.listen(64).expect("listening");
        TcpListener::from(socket)
    };
    let old = open(([127, 0, 0, 1], 0).into());
    let address = old.local_addr().expect("an address");
    steer(&old, 0).expect("the filter is taken");
    let new = open(address);
    let waiting = |listener: &TcpListener| {
        listener.set_nonblocking(true).expect("non-blocking");
        std::iter::from_fn(|| listener.accept().ok()).count()
    };
    let connect =
        || (0..40).map(|_| std::net::TcpStream::connect(address).expect("accepted")).collect::<Vec<_>>();
    let _first = connect();
    assert_eq!((waiting(&old), waiting(&new)), (40, 0), "the new one is not ready yet");
    steer(&new, 1).expect("the filter is taken");
    let _second = connect();
    assert_eq!((waiting(&old), waiting(&new)), (0, 40), "the old one gets nothing new");
    drop(old);
    let _third = connect();
    assert_eq!(waiting(&new), 40, "no listener has that number any more");
}

proptest! {
    #[test]
    fn any_text_is_read_or_named_damaged(text in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(parse(&text).is_err(), "no such text is a store");
    }

    #[test]
    fn a_cut_file_is_never_taken(ids in proptest::collection::btree_set("[a-z0-9-]{1,20}", 1..9), part in 0.0_f64..1.0) {
        let mut bans = Exclusions::default();
        for id in &ids {
            bans.exclude(id, 1).expect("room");
        }
        let whole = format!("{{\"version\":1,\"bans\":{}}}", serde_json::to_string(&bans).expect("text"));
        prop_assert_eq!(parse(whole.as_bytes()), Ok(bans));
        let cut = (whole.len() as f64 * part) as usize;
        prop_assert!(parse(&whole.as_bytes()[..cut]).is_err());
    }
}
