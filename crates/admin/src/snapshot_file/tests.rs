use super::*;
use proptest::prelude::*;

const CONFIGURATION_FINGERPRINT: u64 = 0x51;
const NOW: Micros = 1_796_148_000_000_000;

fn learned() -> StoredLearnedState {
    StoredLearnedState {
        backends: vec![
            StoredLimit { backend: 7, started_at: None, limit: 1.25, is_shared: true },
            StoredLimit { backend: u32::MAX, started_at: Some(NOW), limit: 0.8, is_shared: false },
        ],
        machine_kinds: vec![StoredKindLimit { limit: 2.5, is_doubling: false }],
        latencies: vec![
            StoredLatency { samples: 16, mean: 31_000.5, baseline: Some(24_000.0) },
            StoredLatency { samples: 0, mean: 135_000.0, baseline: None },
        ],
        peak_rate: 210.5,
        rejected_fraction: 0.125,
    }
}

fn text(version: u32, written_at: Micros, learned: StoredLearnedState) -> String {
    let document = SnapshotDocument {
        version,
        configuration_fingerprint: CONFIGURATION_FINGERPRINT,
        written_at,
        learned,
    };
    serde_json::to_string(&document).expect("text")
}

#[test]
fn accepts_a_snapshot_of_the_same_configuration_until_it_expires() {
    let complete = text(FORMAT_VERSION, NOW, learned());
    assert_eq!(
        parse(complete.as_bytes(), CONFIGURATION_FINGERPRINT, NOW + MAX_SNAPSHOT_AGE).expect("fresh"),
        learned()
    );
    assert!(matches!(
        parse(complete.as_bytes(), CONFIGURATION_FINGERPRINT, NOW + MAX_SNAPSHOT_AGE + 1),
        Err(SnapshotError::Expired)
    ));
    assert!(
        matches!(parse(complete.as_bytes(), CONFIGURATION_FINGERPRINT, NOW - 1), Err(SnapshotError::Expired)),
        "written under a clock that is ahead"
    );
    assert!(matches!(
        parse(complete.as_bytes(), CONFIGURATION_FINGERPRINT + 1, NOW),
        Err(SnapshotError::OtherConfiguration)
    ));
    let other = text(FORMAT_VERSION + 1, NOW, learned());
    assert!(matches!(
        parse(other.as_bytes(), CONFIGURATION_FINGERPRINT, NOW),
        Err(SnapshotError::Version(3))
    ));
}

#[test]
fn reports_the_key_of_an_invalid_value() {
    let invalid_key = |change: fn(&mut StoredLearnedState)| {
        let mut learned = learned();
        change(&mut learned);
        match parse(text(FORMAT_VERSION, NOW, learned).as_bytes(), CONFIGURATION_FINGERPRINT, NOW) {
            Err(SnapshotError::InvalidValue(key)) => key,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(invalid_key(|learned| learned.backends[0].limit = 0.0), "servers.limit");
    assert_eq!(invalid_key(|learned| learned.machine_kinds[0].limit = -1.0), "kinds");
    assert_eq!(invalid_key(|learned| learned.latencies[0].mean = 0.0), "latencies");
    assert_eq!(invalid_key(|learned| learned.latencies[0].baseline = Some(-3.0)), "latencies");
    assert_eq!(invalid_key(|learned| learned.peak_rate = -1.0), "peak");
    assert_eq!(invalid_key(|learned| learned.rejected_fraction = 1.5), "refused");
}

proptest! {
    #[test]
    fn rejects_truncated_snapshots_and_never_panics_on_damaged_ones(
        length_fraction in 0.0_f64..1.0, at in any::<prop::sample::Index>(), byte in any::<u8>(),
    ) {
        let complete = text(FORMAT_VERSION, NOW, learned()).into_bytes();
        let length = (complete.len() as f64 * length_fraction) as usize;
        prop_assert!(parse(&complete[..length], CONFIGURATION_FINGERPRINT, NOW).is_err());
        let mut damaged = complete.clone();
        let at = at.index(complete.len());
        damaged[at] = byte;
        let _ = parse(&damaged, CONFIGURATION_FINGERPRINT, NOW);
    }
}
