//! Subscribers that do not read: they do not grow the memory of a relay or delay other subscribers, and later
//! receive the newest records.

use super::support::*;
use control_plane::message::Message;
use control_plane::record::RecordState::Active;
use control_plane::record::Scope;
use control_plane::subscriber::Subscriber;

/// Number of records written in each round.
const RECORDS: usize = 100;
/// Length of their bodies.
const BODY_BYTES: usize = 4_000;
/// Number of rounds.
const ROUNDS: u8 = 50;
/// Limit for the bytes in flight on a connection that is not read: the socket buffers on both sides (the
/// kernel doubles the configured 128 KB of each) and one message.
const MAX_IN_FLIGHT_BYTES: usize = 1 << 20;

#[test]
fn stalled_subscribers_delay_no_others_and_receive_the_newest_records_later() {
    let mut region = Region::new("stalled-subscribers", 1);
    let unlimited = 1_000_000_000;
    let rate_limit = format!(
        "agent_bytes_per_s = {unlimited}\nagent_burst = {unlimited}\nrelay_bytes_per_s = {unlimited}\nrelay_burst = {unlimited}"
    );
    region.extra_keys.insert("pace", rate_limit);
    let _source = region.start_source();
    let relay = region.start_relay(0);
    let mut writer = ChangeWriter::new(region.source);
    let (agent, discovery) = region.start_agent("reads", &[1]);
    let mut proxy = Proxy::new(discovery);
    proxy.wait_for_exactly("an empty list", &[]);
    let (stalled, stalled_discovery) = region.start_agent("stalled", &[1]);
    Proxy::new(stalled_discovery).wait_for_exactly("an empty list", &[]);
    stalled.signal("STOP");
    let mut subscriber = Subscriber::new("raw", Scope::All);
    let mut connection = RawConnection::new(region.relays[0].address);
    connection.send_message(&subscriber.hello());

    let round = |fill: u8| {
        (0..RECORDS).map(|n| configuration_change(1, &format!("c-{n}"), BODY_BYTES, fill)).collect()
    };
    writer.write(round(0)).expect("written");
    let memory_before_kb = relay.resident_memory_kb();
    for fill in 1..=ROUNDS {
        writer.write(round(fill)).expect("written");
        // The next round starts when the reading subscriber has received this one.
        let name = format!("a-{fill}");
        writer.set(1, &[(&name, Active)]);
        proxy.wait_until("a round", |backends| backends.contains_key(&name));
    }
    let grown_kb = relay.resident_memory_kb().saturating_sub(memory_before_kb);
    let written = RECORDS * BODY_BYTES * usize::from(ROUNDS);
    // Queues for the two stalled subscribers would take twice the written bytes.
    assert!(grown_kb < written as u64 / 1024 / 2, "grew by {grown_kb} KB for {written} written bytes");

    // When it reads, it receives the newest version of each record, not all versions.
    let (mut records, mut bytes) = (0, 0);
    let has_newest = |subscriber: &Subscriber| {
        let store = subscriber.stores().find(|(source, _)| *source == 1);
        let found = store.map(|(_, store)| {
            let records = store.service(1).filter(|r| r.body.len() == BODY_BYTES);
            records.filter(|record| record.body[0] == ROUNDS).count()
        });
        found == Some(RECORDS)
    };
    while !has_newest(&subscriber) {
        let message = connection.receive().expect("an open connection");
        if let Message::Batch { records: received, .. } | Message::ServiceSnapshot { records: received, .. } =
            &message
        {
            records += received.len();
            bytes += received.iter().map(|record| record.body.len()).sum::<usize>();
        }
        for reply in subscriber.on_message(message, 0).expect("accepted").replies {
            connection.send_message(&reply);
        }
    }
    assert!(
        bytes < MAX_IN_FLIGHT_BYTES + 4 * RECORDS * BODY_BYTES,
        "{records} records, {bytes} bytes of {written}"
    );

    stalled.signal("CONT");
    let last = format!("a-{ROUNDS}");
    let count = usize::from(ROUNDS);
    Proxy::new(stalled_discovery).wait_until("all records after resuming", |backends| {
        backends.contains_key(&last) && backends.len() == count
    });
    assert!(!agent.lines().iter().any(|line| line.contains("lost relay")), "{:#?}", agent.lines());
}
