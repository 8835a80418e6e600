use super::*;
use balancer::api::Backend;
use proptest::prelude::*;
use std::net::SocketAddr;

fn entry(name: &str, readiness: Readiness, started: Option<Micros>) -> Entry {
    let id = name.bytes().map(u32::from).sum();
    let backend = Backend { id, zone: 0, machine_kind: 0, cell: 0, readiness, started_at: started };
    Entry {
        name: name.into(),
        listed: ListedBackend { backend, address: SocketAddr::from(([127, 0, 0, 1], 9)) },
    }
}

fn change(backend_list: &mut BackendList, change: impl FnOnce(&mut Exclusions)) -> Vec<ListedBackend> {
    let mut bans = backend_list.bans().clone();
    change(&mut bans);
    backend_list.govern(bans)
}

fn exclude(backend_list: &mut BackendList, name: &str) -> Vec<ListedBackend> {
    change(backend_list, |bans| assert!(bans.exclude(name, 5).is_ok()))
}

#[test]
fn a_ban_holds_whatever_the_list_says() {
    let mut backend_list = BackendList::default();
    let ready = |name| entry(name, Readiness::Ready, None);
    backend_list.take(true, vec![ready("a"), ready("b")]);
    let told = exclude(&mut backend_list, "a");
    assert_eq!(told.iter().map(|l| l.backend.readiness).collect::<Vec<_>>(), [Readiness::Draining]);
    assert!(exclude(&mut backend_list, "a").is_empty(), "nothing new");
    assert_eq!(backend_list.serving(), 1);
    // Told as changed, in a whole list, and after it was gone.
    assert_eq!(backend_list.take(false, vec![ready("a")])[0].backend.readiness, Readiness::Draining);
    assert_eq!(
        backend_list.take(true, vec![ready("a"), ready("b")])[0].backend.readiness,
        Readiness::Draining
    );
    let gone = backend_list.take(false, vec![entry("a", Readiness::Removed, None)]);
    assert_eq!(gone[0].backend.readiness, Readiness::Removed);
    assert!(backend_list.knows("a"), "it is out and can be called back");
    assert_eq!(backend_list.take(false, vec![ready("a")])[0].backend.readiness, Readiness::Draining);
    assert!(!backend_list.knows("c"));
}

#[test]
fn a_backend_that_is_called_back_is_cold() {
    let mut backend_list = BackendList::default();
    backend_list.take(true, vec![entry("a", Readiness::Ready, Some(1_000))]);
    exclude(&mut backend_list, "a");
    let told = change(&mut backend_list, |bans| assert!(bans.include("a", 9_000)));
    assert_eq!((told[0].backend.readiness, told[0].backend.started_at), (Readiness::Ready, Some(9_000)));
    // The list tells the restart within the ban late: that is not a further one.
    let late = backend_list.take(false, vec![entry("a", Readiness::Ready, Some(7_000))]);
    assert_eq!(late[0].backend.started_at, Some(9_000));
    let again = backend_list.take(false, vec![entry("a", Readiness::Ready, Some(12_000))]);
    assert_eq!(again[0].backend.started_at, Some(12_000));
    let leaves = backend_list.take(false, vec![entry("a", Readiness::Draining, Some(12_000))]);
    assert_eq!(leaves[0].backend.readiness, Readiness::Draining, "a call back does not undo the list");
}

proptest! {
    /// In whatever order lists and calls come, nothing that is out is ever told as ready.
    #[test]
    fn nothing_that_is_out_is_told_as_ready(steps in proptest::collection::vec((0_u8..4, 0_u8..4, 0_u8..3), 0..60)) {
        let mut backend_list = BackendList::default();
        let mut told = FxHashMap::default();
        for (step, name, phase) in steps {
            let name = ["a", "b", "c", "d"][usize::from(name)];
            let phase = [Readiness::Ready, Readiness::Draining, Readiness::Removed][usize::from(phase)];
            let news = match step {
                0 => exclude(&mut backend_list, name),
                1 => change(&mut backend_list, |bans| _ = bans.include(name, 6)),
                2 => backend_list.take(false, vec![entry(name, phase, None)]),
                _ => {
                    told.clear();
                    backend_list.take(true, vec![entry(name, phase, None)])
                }
            };
            told.extend(news.iter().map(|l| (l.backend.id, l.backend.readiness)));
            for name in ["a", "b", "c", "d"] {
                let seen = told.get(&entry(name, phase, None).listed.backend.id);
                if backend_list.bans().is_out(name) {
                    prop_assert_ne!(seen, Some(&Readiness::Ready));
                } else if backend_list.listed.get(name).is_some_and(|l| l.backend.readiness == Readiness::Ready) {
                    prop_assert_eq!(seen, Some(&Readiness::Ready));
                }
            }
        }
    }
}
