use super::*;
use proptest::prelude::*;

const OWN: u64 = 0x51;
const NOW: Micros = 1_796_148_000_000_000;

fn learnt() -> StoredLearnedState {
    StoredLearnedState {
        servers: vec![
            StoredLimit { backend: 7, started: None, limit: 1.25, common: true },
            StoredLimit { backend: u32::MAX, started: Some(NOW), limit: 0.8, common: false },
        ],
        kinds: vec![(2.5, false)],
        latencies: vec![(16, 31_000.5, Some(24_000.0)), (0, 135_000.0, None)],
        peak: 210.5,
        refused: 0.125,
    }
}

fn text(version: u32, at: Micros, learnt: StoredLearnedState) -> String {
    serde_json::to_string(&Kept { version, of: OWN, at, learnt }).expect("text")
}

#[test]
fn what_was_written_is_read_while_it_is_fresh() {
    let whole = text(VERSION, NOW, learnt());
    assert_eq!(parse(whole.as_bytes(), OWN, NOW + FRESH).expect("fresh"), learnt());
    assert!(matches!(parse(whole.as_bytes(), OWN, NOW + FRESH + 1), Err(SnapshotError::Old)));
    assert!(
        matches!(parse(whole.as_bytes(), OWN, NOW - 1), Err(SnapshotError::Old)),
        "another's clock is ahead"
    );
    assert!(matches!(parse(whole.as_bytes(), OWN + 1, NOW), Err(SnapshotError::Another)));
    let other = text(VERSION + 1, NOW, learnt());
    assert!(matches!(parse(other.as_bytes(), OWN, NOW), Err(SnapshotError::Version(3))));
}

#[test]
fn figures_that_make_no_sense_are_named() {
    let senseless = |change: fn(&mut StoredLearnedState)| {
        let mut learnt = learnt();
        change(&mut learnt);
        match parse(text(VERSION, NOW, learnt).as_bytes(), OWN, NOW) {
            Err(SnapshotError::Senseless(what)) => what,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(senseless(|l| l.servers[0].limit = 0.0), "servers.limit");
    assert_eq!(senseless(|l| l.kinds[0].0 = -1.0), "kinds");
    assert_eq!(senseless(|l| l.latencies[0].1 = 0.0), "latencies");
    assert_eq!(senseless(|l| l.latencies[0].2 = Some(-3.0)), "latencies");
    assert_eq!(senseless(|l| l.peak = -1.0), "peak");
    assert_eq!(senseless(|l| l.refused = 1.5), "refused");
}

proptest! {
    #[test]
    fn a_cut_or_spoilt_snapshot_never_panics_and_a_cut_one_is_never_taken(
        part in 0.0_f64..1.0, at in any::<prop::sample::Index>(), byte in any::<u8>(),
    ) {
        let whole = text(VERSION, NOW, learnt()).into_bytes();
        let cut = (whole.len() as f64 * part) as usize;
        prop_assert!(parse(&whole[..cut], OWN, NOW).is_err());
        let mut spoilt = whole.clone();
        let at = at.index(whole.len());
        spoilt[at] = byte;
        let _ = parse(&spoilt, OWN, NOW);
    }
}
