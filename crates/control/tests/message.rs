//! Messages as they are encoded.

use haventrack_control::message::{Have, Message, PROTOCOL};
use haventrack_control::record::{Change, Key, Kind, Record, Scope, State, Version};
use proptest::prelude::*;

fn keys() -> impl Strategy<Value = Key> {
    let kind =
        prop_oneof![Just(Kind::Backend), Just(Kind::Configuration), Just(Kind::Route), Just(Kind::Tenant)];
    (any::<u32>(), kind, "\\PC{0,20}").prop_map(|(service, kind, name)| Key {
        service,
        kind,
        name: name.into(),
    })
}

fn states() -> impl Strategy<Value = State> {
    prop_oneof![Just(State::Active), Just(State::Draining), Just(State::Gone)]
}

fn versions() -> impl Strategy<Value = Version> {
    any::<(u64, u64)>().prop_map(|(epoch, revision)| Version { epoch, revision })
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let record = (keys(), versions(), states(), prop::collection::vec(any::<u8>(), 0..30));
    let record =
        record.prop_map(|(key, version, state, body)| Record { key, version, state, body: body.into() });
    prop::collection::vec(record, 0..4)
}

fn messages() -> impl Strategy<Value = Message> {
    let cursor = || prop::array::uniform3(versions());
    let have = || {
        let have = (any::<u16>(), any::<u64>(), cursor());
        let have = have.prop_map(|(source, epoch, cursor)| Have { source, epoch, cursor });
        prop::collection::vec(have, 0..3)
    };
    let scope = prop_oneof![
        Just(Scope::All),
        prop::collection::btree_set(any::<u32>(), 0..9).prop_map(Scope::Services)
    ];
    let bound = || prop::option::of(keys().prop_map(|key| (key.kind, key.name)));
    prop_oneof![
        ("\\PC{0,9}", scope, have()).prop_map(|(name, scope, have)| Message::Hello {
            protocol: PROTOCOL,
            name,
            scope,
            have
        }),
        "\\PC{0,9}".prop_map(|name| Message::Welcome { protocol: PROTOCOL, name }),
        Just(Message::Alive),
        (any::<(u16, u64)>(), cursor(), cursor(), records(), any::<Option<u64>>()).prop_map(
            |((source, epoch), from, to, records, check)| Message::Batch {
                source,
                epoch,
                from,
                to,
                records,
                check
            }
        ),
        (any::<(u16, u64)>(), any::<(u32, u32)>(), cursor(), any::<Vec<(u32, u64)>>()).prop_map(
            |((source, epoch), covers, to, digests)| Message::Summary { source, epoch, covers, to, digests }
        ),
        (any::<(u16, u64, u32)>(), versions(), bound(), bound(), records()).prop_map(
            |((source, epoch, service), as_of, after, upto, records)| Message::Whole {
                source,
                epoch,
                as_of,
                service,
                after,
                upto,
                records
            }
        ),
        have().prop_map(|have| Message::Resume { have }),
        any::<u16>().prop_map(|source| Message::Compare { source }),
        any::<(u16, Vec<u32>)>().prop_map(|(source, services)| Message::Want { source, services }),
        (any::<u64>(), records()).prop_map(|(id, records)| {
            let change = |record: Record| Change { key: record.key, state: record.state, body: record.body };
            Message::Write { id, changes: records.into_iter().map(change).collect() }
        }),
        (any::<u64>(), versions()).prop_map(|(id, version)| Message::Written { id, result: Ok(version) }),
        (any::<u64>(), "\\PC{0,9}").prop_map(|(id, why)| Message::Written { id, result: Err(why) }),
        "\\PC{0,9}".prop_map(|why| Message::Goodbye { why }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// What is encoded is read again; a message that was cut anywhere is an error and never another message.
    #[test]
    fn a_message_comes_whole_or_not_at_all(message in messages()) {
        let bytes = postcard::to_stdvec(&message).expect("it is encoded");
        prop_assert_eq!(postcard::from_bytes::<Message>(&bytes).expect("it is read"), message);
        for cut in 0..bytes.len() {
            prop_assert!(postcard::from_bytes::<Message>(&bytes[..cut]).is_err(), "cut at {}", cut);
        }
    }

    /// Whatever comes in place of a message is a message or an error, and takes no memory that wasn't sent.
    #[test]
    fn noise_is_read_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
            let again = postcard::to_stdvec(&message).expect("it is encoded");
            prop_assert!(again.len() <= bytes.len(), "{:?}", message);
        }
    }
}
