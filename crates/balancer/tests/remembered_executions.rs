//! Tests of keys that come again under another version of their class.

mod common;

use balancer::api::*;
use common::*;

const KEY: u64 = 77;

/// A request with this id and [`KEY`] under the rules of these versions of its class.
fn keyed_request(id: RequestId, rules: Idempotency, key_ttl: Micros) -> Request {
    let identity = RequestIdentity { id: u64::from(id), key: Some(KEY), key_ttl };
    Request { idempotency: Some(rules), identity: Some(identity), ..request(id, KEYED_ALL) }
}

fn keyed(scope: DedupScope, ttl: Micros) -> Idempotency {
    Idempotency::Keyed { scope, ttl }
}

/// A key that is executed under one version of its class, and comes again under another one.
struct KeyReuse {
    first: (Idempotency, Micros),
    second: (Idempotency, Micros),
    /// Time between the two, in microseconds.
    after: Micros,
    /// Whether the second request may be sent, within the cell of the first one or anywhere.
    may_be_sent: Option<DedupScope>,
}

/// Guards against a duplicate execution: a key that was executed under one version of its class was sent again by
/// the rules of another version alone, and was forgotten after the shorter window of two versions.
#[test]
fn key_executed_under_another_version_is_sent_by_the_stricter_rules_of_both() {
    let long = 4 * SECOND;
    let cases = [
        // Two versions applied to both: the shorter window for retries, the longer one for the memory.
        KeyReuse {
            first: (keyed(DedupScope::Cell, SECOND), long),
            second: (keyed(DedupScope::Cell, SECOND), long),
            after: 2 * SECOND,
            may_be_sent: None,
        },
        KeyReuse {
            first: (Idempotency::NonIdempotent, long),
            second: (Idempotency::NonIdempotent, long),
            after: SECOND,
            may_be_sent: None,
        },
        // The class changes in between.
        KeyReuse {
            first: (keyed(DedupScope::Cell, long), long),
            second: (keyed(DedupScope::All, long), long),
            after: 2 * SECOND,
            may_be_sent: Some(DedupScope::Cell),
        },
        KeyReuse {
            first: (keyed(DedupScope::Zone, SECOND), SECOND),
            second: (keyed(DedupScope::Cell, long), long),
            after: 2 * SECOND,
            may_be_sent: None,
        },
        KeyReuse {
            first: (keyed(DedupScope::Zone, long), long),
            second: (keyed(DedupScope::Zone, SECOND), SECOND),
            after: 2 * SECOND,
            may_be_sent: None,
        },
        // Both versions have forgotten the key.
        KeyReuse {
            first: (keyed(DedupScope::Cell, SECOND), SECOND),
            second: (keyed(DedupScope::Cell, SECOND), SECOND),
            after: 2 * SECOND,
            may_be_sent: Some(DedupScope::All),
        },
    ];
    for (number, KeyReuse { first, second, after, may_be_sent }) in cases.into_iter().enumerate() {
        let mut cells = std::collections::BTreeSet::new();
        for attempt in 0..20 {
            let seed = 100 * number as u32 + 2 * attempt;
            let mut proxy = EmulatedProxy::new(settings(), (0..24).map(backend));
            // Draws of other requests come first, so that each attempt chooses other backends.
            (0..attempt).for_each(|id| _ = proxy.request(request(10_000 + id, IDEMPOTENT)));
            proxy.finish_all(|_| Outcome::Ok);
            let executed_by =
                sent_to(&proxy.request(keyed_request(seed, first.0, first.1))).expect("a backend");
            proxy.finish(seed, 0, Outcome::Ok);
            proxy.advance(after);
            let sent = sent_to(&proxy.request(keyed_request(seed + 1, second.0, second.1)));
            let Some(sent) = sent else {
                assert_eq!(may_be_sent, None, "case {number}");
                continue;
            };
            assert!(may_be_sent.is_some(), "case {number}: executed again by {sent}");
            cells.insert(backend(sent).cell == backend(executed_by).cell);
        }
        if may_be_sent == Some(DedupScope::Cell) {
            assert!(!cells.contains(&false), "case {number}: executed in another cell");
        }
    }
}
