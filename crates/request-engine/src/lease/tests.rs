use super::*;

/// Characters of lease ids and some others.
const ALPHABET: [char; 10] = ['0', '1', '9', 'a', 'f', 'F', '-', '+', ' ', 'é'];

fn lease() -> Lease {
    Lease {
        request: 1,
        attempt: 0,
        backend: 7,
        send_by: 50,
        expires_at: 100,
        stage: LeaseStage::Granted,
        is_revoked: false,
    }
}

#[test]
fn settles_a_lease_once_and_classifies_later_reports() {
    let mut leases = Leases::new(9, 2);
    let first = leases.grant(lease()).expect("within the capacity");
    let second = leases.grant(lease()).expect("within the capacity");
    assert_eq!(leases.grant(lease()), None, "at the capacity");
    assert!(leases.settle_reported(first.serial).is_some() && leases.settle_reported(first.serial).is_none());
    assert_eq!(leases.find(10, first).err(), Some(LeaseError::AlreadyReported));
    assert_eq!(
        leases.find(100, second).err(),
        Some(LeaseError::Expired),
        "expired by the clock before its timer"
    );
    assert!(matches!(leases.expire(100, second.serial), Ok(Some(_))));
    assert_eq!(leases.find(100, second).err(), Some(LeaseError::Expired));
    assert_eq!(
        leases.find(10, LeaseId { incarnation: 8, ..first }).err(),
        Some(LeaseError::OtherIncarnation)
    );
    assert_eq!(leases.find(10, LeaseId { serial: 3, ..first }).err(), Some(LeaseError::Unknown));
    assert_eq!(leases.find(10, LeaseId { serial: 0, ..first }).err(), Some(LeaseError::Unknown));
    let counts = leases.counts;
    assert_eq!((counts.granted, counts.reported, counts.expired), (2, 1, 1));
    assert_eq!((counts.late, counts.duplicate, counts.foreign, counts.unknown), (2, 1, 1, 2));
}

#[test]
fn history_of_settled_leases_is_bounded() {
    let mut leases = Leases::new(9, 2);
    let first = leases.grant(lease()).expect("within the capacity");
    leases.settle_reported(first.serial);
    for _ in 0..SETTLED_HISTORY_LENGTH * 3 {
        let id = leases.grant(lease()).expect("within the capacity");
        leases.settle_reported(id.serial);
    }
    assert_eq!((leases.len(), leases.settled.len()), (0, SETTLED_HISTORY_LENGTH));
    assert_eq!(
        leases.find(10, first).err(),
        Some(LeaseError::Expired),
        "no longer in the history, and still not active"
    );
}

#[test]
fn lease_ids_round_trip_and_other_texts_are_rejected() {
    let id = LeaseId { incarnation: u64::MAX, serial: 42 };
    assert_eq!(id.to_string().parse(), Ok(id));
    for text in
        ["", "-", "1-2", "+00000000000000f-0000000000000001", "é", "0000000000000001-000000000000000g"]
    {
        assert!(text.parse::<LeaseId>().is_err(), "{text}");
    }
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..20_000 {
        let text: String = (0..rng.usize(0..40)).map(|_| rng.choice(ALPHABET).unwrap_or('0')).collect();
        if let Ok(id) = text.parse::<LeaseId>() {
            assert_eq!(id.to_string(), text.to_lowercase());
        }
    }
}
