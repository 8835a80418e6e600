//! What downstream does with single messages, in orders that are rare: each by hand.

use control_plane::Millis;
use control_plane::message::{
    KeyBound, Message, PROTOCOL_VERSION, ReplicaPosition, ServiceDigest, ServiceRange,
};
use control_plane::publisher::PublisherAction;
use control_plane::rate_limit::RateLimit;
use control_plane::record::{Cursor, Epoch, Key, Kind, Record, Scope, ServiceId, State, Urgency, Version};
use control_plane::relay::Relay;
use control_plane::store::VersionedStore;
use control_plane::subscriber::{MessageOutcome, Subscriber};
use control_plane::upstream::Upstream;

const LINE: u64 = 1;
const ALL_SERVICES: ServiceRange = ServiceRange { first: 0, last: ServiceId::MAX };

/// The digests of services 0 to 8 that have records.
fn digests(store: &VersionedStore) -> Vec<ServiceDigest> {
    let digests = (0..9).map(|service| ServiceDigest { service, digest: store.digest(service) });
    digests.filter(|one| one.digest != 0).collect()
}

fn at(epoch: Epoch, revision: u64) -> Version {
    Version { epoch, revision }
}

/// The cursor of life 1 with these revisions, by urgency.
fn cursor(revisions: [u64; 3]) -> Cursor {
    revisions.map(|revision| at(1, revision))
}

fn record(service: ServiceId, name: &str, revision: u64, state: State) -> Record {
    let key = Key { service, kind: Kind::Backend, name: name.into() };
    let body: &[u8] = if state == State::Gone { &[] } else { &[1, 2, 3] };
    Record { key, version: at(1, revision), state, body: body.into() }
}

fn batch(from: [u64; 3], to: [u64; 3], records: Vec<Record>) -> Message {
    Message::Batch { source: 0, epoch: 1, from: cursor(from), to: cursor(to), records, scope_digest: None }
}

fn whole(as_of: u64, service: ServiceId, records: Vec<Record>) -> Message {
    Message::ServiceSnapshot {
        source: 0,
        epoch: 1,
        as_of: at(1, as_of),
        service,
        after: None,
        through: None,
        records,
    }
}

/// A summary of life 1 up to a change; the digests are those of these records.
fn summary(to: u64, records: &[Record]) -> Message {
    let store = VersionedStore::restore(0, 1, at(1, to), records.to_vec());
    let digests = digests(&store);
    Message::DigestSummary { source: 0, epoch: 1, range: ALL_SERVICES, to: cursor([to; 3]), digests }
}

fn hear(subscriber: &mut Subscriber, message: Message) -> MessageOutcome {
    subscriber.on_message(message, 0).expect("it is taken")
}

/// How far it says that it is.
fn claims(subscriber: &Subscriber) -> Option<ReplicaPosition> {
    let Message::Hello { positions, .. } = subscriber.hello() else { panic!("hello is Hello") };
    positions.into_iter().next()
}

fn held(subscriber: &Subscriber) -> Vec<Record> {
    subscriber.stores().flat_map(|(_, store)| store.live_records().cloned()).collect()
}

/// A subscriber of all that holds these records and is at this change.
fn there(to: u64, records: &[Record]) -> Subscriber {
    let mut subscriber = Subscriber::new("agent", Scope::All);
    hear(&mut subscriber, summary(to, records));
    for service in 0..9 {
        let of: Vec<Record> =
            records.iter().filter(|record| record.key.service == service).cloned().collect();
        if !of.is_empty() {
            hear(&mut subscriber, whole(to, service, of));
        }
    }
    assert_eq!(claims(&subscriber), Some(ReplicaPosition { source: 0, epoch: 1, cursor: cursor([to; 3]) }));
    assert_eq!(held(&subscriber), records);
    subscriber
}

#[test]
fn a_service_from_before_the_summary_ends_no_repair() {
    let old = record(1, "a", 3, State::Active);
    let new = record(1, "b", 7, State::Active);
    let mut subscriber = Subscriber::new("agent", Scope::All);
    let heard = hear(&mut subscriber, summary(7, &[old.clone(), new.clone()]));
    assert_eq!(heard.replies, [Message::SnapshotRequest { source: 0, services: vec![1] }]);
    hear(&mut subscriber, whole(5, 1, vec![old.clone()]));
    assert_eq!(claims(&subscriber), None, "it was said before `b` came");
    hear(&mut subscriber, whole(7, 1, vec![old.clone(), new.clone()]));
    assert_eq!(claims(&subscriber).map(|positions| positions.cursor), Some(cursor([7; 3])));
    assert_eq!(held(&subscriber), [old, new]);
}

/// Found by the random worlds (seed 22): a service that the newer summary found to be rightly empty was filled from an
/// older question's answer, and the repair's end then said that all was there.
#[test]
fn nothing_from_before_a_summary_undoes_what_it_compared() {
    let (gone, kept) = (record(1, "a", 3, State::Active), record(2, "b", 4, State::Active));
    let late =
        [whole(5, 1, vec![gone.clone()]), batch([0; 3], [6; 3], vec![record(1, "c", 6, State::Active)])];
    for late in late {
        let mut subscriber = Subscriber::new("agent", Scope::All);
        hear(&mut subscriber, summary(5, &[gone.clone(), kept.clone()]));
        hear(&mut subscriber, summary(7, std::slice::from_ref(&kept)));
        assert_eq!(hear(&mut subscriber, late).applied, []);
        hear(&mut subscriber, whole(7, 2, vec![kept.clone()]));
        assert_eq!(claims(&subscriber).map(|positions| positions.cursor), Some(cursor([7; 3])));
        assert_eq!(held(&subscriber), std::slice::from_ref(&kept));
    }
}

#[test]
fn an_old_service_does_not_bring_back_what_is_gone() {
    let old = record(1, "a", 3, State::Active);
    let mut subscriber = there(5, std::slice::from_ref(&old));
    hear(&mut subscriber, batch([5; 3], [10; 3], vec![record(1, "a", 9, State::Gone)]));
    assert_eq!(held(&subscriber), []);
    // Its tombstone is forgotten by now: all cursors are beyond it.
    assert!(subscriber.stores().all(|(_, store)| store.get(&old.key).is_none()));
    assert_eq!(hear(&mut subscriber, whole(5, 1, vec![old.clone()])).applied, []);
    assert_eq!(hear(&mut subscriber, batch([0; 3], [5; 3], vec![old])).applied, []);
    assert_eq!(held(&subscriber), []);
}

#[test]
fn an_old_service_takes_nothing_newer_away_and_puts_nothing_back() {
    let newer = record(1, "a", 8, State::Draining);
    let other = record(1, "b", 9, State::Active);
    let mut subscriber = there(10, &[newer.clone(), other.clone()]);
    assert_eq!(hear(&mut subscriber, whole(5, 1, vec![record(1, "a", 3, State::Active)])).applied, []);
    assert_eq!(held(&subscriber), [newer, other]);
}

#[test]
fn a_tombstone_stays_until_all_cursors_are_beyond_it() {
    let mut subscriber = there(5, &[]);
    // A drain that overtook what came before it.
    let heard = hear(&mut subscriber, batch([8, 5, 5], [9, 5, 5], vec![record(1, "a", 9, State::Gone)]));
    let positions = vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([5; 3]) }];
    assert_eq!(heard.replies, [Message::Resume { positions }], "something is missing before it");
    hear(&mut subscriber, batch([5; 3], [5, 6, 5], vec![record(2, "b", 6, State::Active)]));
    let heard = hear(&mut subscriber, batch([5, 6, 5], [5, 7, 5], vec![record(1, "a", 7, State::Active)]));
    assert_eq!(heard.applied, [], "it is gone since");
    hear(&mut subscriber, batch([5, 7, 5], [9; 3], vec![record(1, "a", 9, State::Gone)]));
    assert_eq!(held(&subscriber), [record(2, "b", 6, State::Active)]);
    assert_eq!(claims(&subscriber).map(|positions| positions.cursor), Some(cursor([9; 3])));
}

#[test]
fn batches_during_a_repair_count_up_to_the_first_gap() {
    let mut subscriber = there(5, &[record(1, "a", 3, State::Active)]);
    let now = [record(1, "a", 6, State::Active)];
    hear(&mut subscriber, summary(7, &now));
    hear(&mut subscriber, batch([7; 3], [9; 3], vec![record(2, "b", 8, State::Active)]));
    hear(&mut subscriber, batch([12; 3], [13; 3], vec![record(2, "c", 13, State::Active)]));
    assert_eq!(
        claims(&subscriber).map(|positions| positions.cursor),
        Some(cursor([5; 3])),
        "not before the repair is over"
    );
    hear(&mut subscriber, whole(7, 1, now.to_vec()));
    assert_eq!(claims(&subscriber).map(|positions| positions.cursor), Some(cursor([9; 3])));
}

#[test]
fn a_service_in_parts_is_whole_with_all_of_them() {
    let records: Vec<Record> = ["a", "b", "c"].map(|name| record(1, name, 3, State::Active)).to_vec();
    let bound = |place: usize| Some(KeyBound { kind: Kind::Backend, name: records[place].key.name.clone() });
    let part = |after: Option<usize>, through: Option<usize>, some: std::ops::Range<usize>| {
        Message::ServiceSnapshot {
            source: 0,
            epoch: 1,
            as_of: at(1, 7),
            service: 1,
            after: after.and_then(bound),
            through: through.and_then(bound),
            records: records[some].to_vec(),
        }
    };
    let stale = record(1, "bb", 2, State::Active);
    let mut subscriber = there(5, std::slice::from_ref(&stale));
    hear(&mut subscriber, summary(7, &records));
    hear(&mut subscriber, part(None, Some(0), 0..1));
    // The second part is lost.
    hear(&mut subscriber, part(Some(1), None, 2..3));
    assert_eq!(claims(&subscriber).map(|positions| positions.cursor), Some(cursor([5; 3])));
    assert_eq!(held(&subscriber).len(), 2, "what is between parts that came is not judged, but `bb` is");
    hear(&mut subscriber, part(Some(0), Some(1), 1..2));
    hear(&mut subscriber, part(Some(1), None, 2..3));
    assert_eq!(claims(&subscriber).map(|positions| positions.cursor), Some(cursor([7; 3])));
    assert_eq!(held(&subscriber), records);
}

/// What a lost past said goes, even where it is newer by number than all that the new life knows.
#[test]
fn a_lost_past_is_taken_back() {
    let (kept, lost) = (record(1, "a", 3, State::Active), record(1, "b", 9, State::Active));
    let drained = record(2, "c", 8, State::Draining);
    let mut subscriber = there(9, &[kept.clone(), lost, drained]);
    let active = record(2, "c", 4, State::Active);
    let truth = VersionedStore::restore(0, 2, at(1, 5), vec![kept.clone(), active.clone()]);
    let heard = hear(
        &mut subscriber,
        Message::DigestSummary {
            source: 0,
            epoch: 2,
            range: ALL_SERVICES,
            to: [truth.head(); 3],
            digests: digests(&truth),
        },
    );
    assert_eq!(heard.replies, [Message::SnapshotRequest { source: 0, services: vec![1, 2] }]);
    for (service, record) in [(1, &kept), (2, &active)] {
        assert_eq!(
            claims(&subscriber).map(|positions| positions.epoch),
            Some(1),
            "not before all is repaired"
        );
        let (as_of, records) = (truth.head(), vec![record.clone()]);
        let whole = Message::ServiceSnapshot {
            source: 0,
            epoch: 2,
            as_of,
            service,
            after: None,
            through: None,
            records,
        };
        hear(&mut subscriber, whole);
    }
    assert_eq!(held(&subscriber), [kept, active]);
    assert_eq!(claims(&subscriber), Some(ReplicaPosition { source: 0, epoch: 2, cursor: [truth.head(); 3] }));
}

#[test]
fn a_question_without_answer_is_asked_again_less_and_less_often() {
    let mut subscriber = there(5, &[]);
    hear(&mut subscriber, batch([8; 3], [9; 3], vec![]));
    let mut asked: Vec<Millis> = Vec::new();
    for now in (0..200_000).step_by(100) {
        let questions = subscriber.tick(now);
        assert!(questions.iter().all(|question| matches!(question, Message::Resume { .. })));
        asked.extend(questions.iter().map(|_| now));
    }
    assert_eq!(asked, [2_000, 6_000, 14_000, 30_000, 62_000, 94_000, 126_000, 158_000, 190_000]);
    hear(&mut subscriber, batch([5; 3], [9; 3], vec![]));
    assert_eq!(subscriber.tick(900_000), [], "it is answered");
    // On a new connection what is open is asked at once.
    hear(&mut subscriber, summary(9, &[record(1, "a", 3, State::Active)]));
    let heard = hear(&mut subscriber, Message::Welcome { protocol: PROTOCOL_VERSION, name: "relay".into() });
    assert_eq!(heard.replies, [Message::SnapshotRequest { source: 0, services: vec![1] }]);
}

/// A relay at this change with these records, and a subscriber connected that was told all.
fn relay_at(to: u64, records: &[Record]) -> Relay {
    let mut relay = Relay::new("relay", &[0], RateLimit::unbounded());
    relay.on_source_message(0, summary(to, records), 0).expect("it is taken");
    for service in 0..9 {
        let of: Vec<Record> =
            records.iter().filter(|record| record.key.service == service).cloned().collect();
        if !of.is_empty() {
            relay.on_source_message(0, whole(to, service, of), 0).expect("it is taken");
        }
    }
    relay
}

fn join(relay: &mut Relay, positions: Vec<ReplicaPosition>) {
    let hello =
        Message::Hello { protocol: PROTOCOL_VERSION, name: "agent".into(), scope: Scope::All, positions };
    relay.on_message(LINE, hello, 0).expect("hello is taken");
}

fn say(relay: &mut Relay, message: Message) {
    assert_eq!(relay.on_message(LINE, message, 0), Ok(vec![]));
}

/// All that is said at one moment.
fn said(relay: &mut Relay) -> Vec<Message> {
    std::iter::from_fn(|| match relay.next_action(LINE, 0) {
        PublisherAction::Send(message) => Some(message),
        PublisherAction::WaitUntil(_) => None,
    })
    .collect()
}

fn is_summary(message: &Message) -> bool {
    matches!(message, Message::DigestSummary { .. })
}

/// A relay may know of drains before it knows of additions. What it then says of a service speaks for the part that it has
/// whole, and has the tombstones beyond that: else a relay that knows less could bring back what is gone.
#[test]
fn a_relay_amid_a_batch_says_which_are_gone() {
    let (old, gone) = (record(1, "a", 3, State::Active), record(1, "a", 9, State::Gone));
    let mut relay = relay_at(5, std::slice::from_ref(&old));
    relay.on_source_message(0, batch([5; 3], [9, 5, 5], vec![gone.clone()]), 0).expect("it is taken");
    join(&mut relay, vec![]);
    assert!(said(&mut relay).iter().any(is_summary));
    say(&mut relay, Message::SnapshotRequest { source: 0, services: vec![1] });
    let told = said(&mut relay);
    let expected = whole(5, 1, vec![gone]);
    assert_eq!(told, std::slice::from_ref(&expected));
    let mut subscriber = there(5, std::slice::from_ref(&old));
    assert_eq!(hear(&mut subscriber, expected).applied.len(), 1);
    assert_eq!(hear(&mut subscriber, whole(5, 1, vec![old])).applied, [], "a relay that knows less");
}

#[test]
fn a_relay_under_repair_to_a_new_life_says_nothing_of_it() {
    let old = record(1, "a", 3, State::Active);
    let mut relay = relay_at(5, std::slice::from_ref(&old));
    relay
        .on_source_message(0, batch([5; 3], [8; 3], vec![record(1, "c", 7, State::Active)]), 0)
        .expect("it is taken");
    // It was not told of `c` yet.
    join(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([5; 3]) }]);
    let truth = VersionedStore::restore(0, 2, at(1, 4), vec![record(2, "b", 4, State::Active)]);
    let digests = digests(&truth);
    let (to, range) = ([truth.head(); 3], ALL_SERVICES);
    let part = Message::DigestSummary { source: 0, epoch: 2, range, to, digests };
    let answers = relay.on_source_message(0, part, 0).expect("it is taken");
    assert_eq!(answers, [Message::SnapshotRequest { source: 0, services: vec![1, 2] }]);
    assert_eq!(said(&mut relay), [], "`c` may be of a lost past");
    let service = |service: ServiceId| Message::ServiceSnapshot {
        source: 0,
        epoch: 2,
        as_of: truth.head(),
        service,
        after: None,
        through: None,
        records: truth.service(service).cloned().collect(),
    };
    relay.on_source_message(0, service(1), 0).expect("it is taken");
    assert_eq!(said(&mut relay), [], "half of a repair is nobody's truth");
    relay.on_source_message(0, service(2), 0).expect("it is taken");
    assert!(matches!(said(&mut relay)[..], [Message::DigestSummary { epoch: 2, .. }]));
}

#[test]
fn a_relay_in_doubt_says_changes_and_no_digests() {
    let records = [record(1, "a", 3, State::Active), record(2, "b", 4, State::Active)];
    let mut relay = relay_at(5, &records);
    join(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([5; 3]) }]);
    said(&mut relay);
    // The source's digests are others: it asks for service 2.
    let mended = record(2, "b", 5, State::Active);
    let answers = relay
        .on_source_message(0, summary(5, &[records[0].clone(), mended.clone()]), 0)
        .expect("it is taken");
    assert_eq!(answers, [Message::SnapshotRequest { source: 0, services: vec![2] }]);
    // What changes meanwhile is told at once.
    let drained = record(1, "a", 6, State::Draining);
    relay.on_source_message(0, batch([5; 3], [6; 3], vec![drained.clone()]), 0).expect("it is taken");
    let told = said(&mut relay);
    let check = told.iter().any(|message| matches!(message, Message::Batch { scope_digest: Some(_), .. }));
    assert!(
        matches!(&told[..], [Message::Batch { records, .. }] if *records == [drained]) && !check,
        "{told:?}"
    );
    say(&mut relay, Message::DigestRequest { source: 0 });
    assert_eq!(said(&mut relay), []);
    let before = relay.store(0).map(VersionedStore::generation);
    relay.on_source_message(0, whole(5, 2, vec![mended]), 0).expect("it is taken");
    assert!(relay.store(0).map(VersionedStore::generation) > before);
    assert!(matches!(&said(&mut relay)[..], [Message::DigestSummary { digests, .. }] if digests.len() == 2));
}

/// Found by the random worlds: amid a repair there is a newer life of the source, and its summary is lost. What it says is not
/// taken, so the question has to be for its digests, not for the services of the former life.
#[test]
fn a_newer_life_goes_before_a_repair() {
    let mut subscriber = there(5, &[]);
    let heard = hear(&mut subscriber, summary(7, &[record(1, "a", 6, State::Active)]));
    assert_eq!(heard.replies, [Message::SnapshotRequest { source: 0, services: vec![1] }]);
    let newer = Message::Batch {
        source: 0,
        epoch: 2,
        from: [at(2, 7); 3],
        to: [at(2, 8); 3],
        records: vec![record(2, "b", 4, State::Active)],
        scope_digest: None,
    };
    let heard = hear(&mut subscriber, newer);
    assert_eq!(
        heard,
        MessageOutcome { replies: vec![Message::DigestRequest { source: 0 }], applied: vec![] }
    );
    assert_eq!(
        subscriber.tick(2_000),
        [Message::DigestRequest { source: 0 }],
        "again, as it wasn't answered"
    );
}

/// Found by the random worlds (seed 35): a relay heard in a repair that something is gone, as of a later change, and then of
/// the change itself. Told up to that change, a subscriber would have been told nothing.
#[test]
fn a_relay_tells_what_is_gone_at_its_place_in_the_log() {
    let old = record(1, "a", 1, State::Active);
    let mut relay = relay_at(1, std::slice::from_ref(&old));
    relay.on_source_message(0, whole(4, 1, vec![]), 0).expect("it is taken");
    let gone = record(1, "a", 2, State::Gone);
    relay.on_source_message(0, batch([1; 3], [3, 1, 3], vec![gone.clone()]), 0).expect("it is taken");
    join(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([1; 3]) }]);
    let told = said(&mut relay);
    assert!(matches!(&told[..], [Message::Batch { records, .. }, ..] if *records == [gone]), "{told:?}");
}

/// What a repair changed at a relay lies before the cursors of its subscribers: they are told digests.
#[test]
fn a_repair_at_a_relay_reaches_its_subscribers() {
    let mut relay = relay_at(5, &[record(1, "a", 3, State::Active)]);
    join(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([5; 3]) }]);
    said(&mut relay);
    let mended = record(2, "b", 4, State::Active);
    relay
        .on_source_message(0, summary(5, &[record(1, "a", 3, State::Active), mended.clone()]), 0)
        .expect("it is taken");
    relay.on_source_message(0, whole(5, 2, vec![mended.clone()]), 0).expect("it is taken");
    assert!(matches!(said(&mut relay)[..], [Message::DigestSummary { .. }]));
    // The same where nobody asked for the service.
    let other = record(3, "c", 4, State::Active);
    relay.on_source_message(0, whole(5, 3, vec![other]), 0).expect("it is taken");
    assert!(matches!(said(&mut relay)[..], [Message::DigestSummary { .. }]));
    // And one that comes with a cursor from before the repair may have missed tombstones that the relay never heard.
    relay.disconnect(LINE);
    join(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([4; 3]) }]);
    assert!(matches!(said(&mut relay)[..], [Message::DigestSummary { .. }]));
}

/// A relay that is behind a subscriber says nothing until it is there: neither of an older life nor of older changes.
#[test]
fn one_that_is_ahead_of_its_relay_waits() {
    let mut relay = relay_at(5, &[record(1, "a", 3, State::Active)]);
    join(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([9; 3]) }]);
    assert_eq!(said(&mut relay), []);
    relay
        .on_source_message(0, batch([5; 3], [10; 3], vec![record(1, "b", 10, State::Draining)]), 0)
        .expect("it is taken");
    let told = said(&mut relay);
    assert!(
        matches!(&told[..], [Message::Batch { records, .. }, ..] if records.len() == 1 && records[0].urgency() == Urgency::Drain)
    );
    relay.disconnect(LINE);
    join(&mut relay, vec![ReplicaPosition { source: 0, epoch: 2, cursor: [at(2, 9); 3] }]);
    assert_eq!(said(&mut relay), []);
}

/// What a repair took away has one version for all of it, the repair's: a cut between them would lose the rest.
#[test]
fn records_of_one_version_are_not_parted() {
    // These many fit into a message as it is cut, these into one message at all, these into none: digests tell of them.
    for (count, by_digest) in [(600, false), (6_000, false), (20_000, true)] {
        let name = |place: usize| format!("backend-{place:06}");
        // In two services, of which only one is in scope.
        let records: Vec<Record> = (0..count)
            .map(|place| record(1 + place as u32 % 2, &name(place), place as u64 + 1, State::Active))
            .collect();
        let to = count as u64;
        let mut sorted = records.clone();
        sorted.sort_by(|one, other| one.key.cmp(&other.key));
        let rate_limit = RateLimit { bytes_per_s: 1_000_000, burst: 1_000_000 };
        let mut relay = Relay::new("relay", &[0], rate_limit);
        let load = |relay: &mut Relay, to: u64, records: &[Record]| {
            relay.on_source_message(0, summary(to, records), 0).expect("it is taken");
            for service in [1, 2] {
                let of = records.iter().filter(|record| record.key.service == service).cloned().collect();
                relay.on_source_message(0, whole(to, service, of), 0).expect("it is taken");
            }
        };
        load(&mut relay, to, &sorted);
        let mut subscriber = Subscriber::new("agent", Scope::Services([2].into()));
        let mut now = 0;
        let mut talk = |relay: &mut Relay, subscriber: &mut Subscriber| {
            let mut names = Vec::new();
            for _ in 0..300 {
                now += 100;
                while let PublisherAction::Send(message) = relay.next_action(LINE, now) {
                    names.push(message.name());
                    for reply in subscriber.on_message(message, now).expect("it is taken").replies {
                        relay.on_message(LINE, reply, now).expect("it may be said");
                    }
                }
            }
            names
        };
        relay.on_message(LINE, subscriber.hello(), 0).expect("hello is taken");
        talk(&mut relay, &mut subscriber);
        assert_eq!(held(&subscriber).len(), count / 2);
        // All is gone at the source; the relay hears of it in a repair as of ten changes later, while its own cursors are
        // at the summary's. The subscriber goes away before and comes back with the repaired relay's cursor.
        relay.disconnect(LINE);
        relay.on_source_message(0, summary(to + 1, &[]), 0).expect("it is taken");
        for service in [1, 2] {
            relay.on_source_message(0, whole(to + 10, service, vec![]), 0).expect("it is taken");
        }
        let Message::Hello { protocol, name, scope, mut positions } = subscriber.hello() else {
            panic!("hello is Hello")
        };
        positions[0].cursor = cursor([to + 1; 3]);
        relay
            .on_message(LINE, Message::Hello { protocol, name, scope, positions }, 0)
            .expect("hello is taken");
        relay.on_source_message(0, batch([to + 1; 3], [to + 11; 3], vec![]), 0).expect("it is taken");
        // As if it were there itself.
        let ahead = Message::Batch {
            source: 0,
            epoch: 1,
            from: cursor([to; 3]),
            to: cursor([to + 1; 3]),
            records: vec![],
            scope_digest: None,
        };
        subscriber.on_message(ahead, 0).expect("it is taken");
        let names = talk(&mut relay, &mut subscriber);
        assert_eq!(held(&subscriber), []);
        assert_eq!(names.contains(&"Summary"), by_digest, "{names:?}");
    }
}
