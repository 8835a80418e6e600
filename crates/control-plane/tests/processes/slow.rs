//! Subscribers that read slowly or not at all: they cost a relay no memory, hold nobody up, and get the newest.

use super::rig::*;
use control_plane::message::Message;
use control_plane::record::Scope;
use control_plane::record::State::Active;
use control_plane::subscriber::Subscriber;

/// How many records are written over and over, how long they are, and how often.
const NAMES: usize = 100;
const BYTES: usize = 4_000;
const ROUNDS: u8 = 50;
/// What may be on its way to a connection that doesn't read: what the system holds on both sides of it (it takes twice what
/// it is told to, 128 KB each) and one message.
const ON_THE_WAY: usize = 1 << 20;

#[test]
fn subscribers_that_do_not_read_hold_up_nobody_and_get_the_newest_later() {
    let mut region = Region::new("slow", 1);
    let much = 1_000_000_000;
    let rate_limit = format!(
        "agent_bytes_per_s = {much}\nagent_burst = {much}\nrelay_bytes_per_s = {much}\nrelay_burst = {much}"
    );
    region.keys.insert("pace", rate_limit);
    let _source = region.start_source();
    let relay = region.start_relay(0);
    let mut operator = Operator::new(region.source);
    let (agent, discovery) = region.start_agent("reads", &[1]);
    let mut proxy = Proxy::new(discovery);
    proxy.until_exactly("an empty list", &[]);
    let (stopped, asleep) = region.start_agent("stands", &[1]);
    Proxy::new(asleep).until_exactly("an empty list", &[]);
    stopped.signal("STOP");
    let mut subscriber = Subscriber::new("raw", Scope::All);
    let mut raw = Raw::new(region.relays[0].1);
    raw.say(&subscriber.hello());

    let round = |fill: u8| (0..NAMES).map(|n| blob(1, &format!("c-{n}"), BYTES, fill)).collect();
    operator.write(round(0)).expect("written");
    let before = relay.memory();
    for fill in 1..=ROUNDS {
        operator.write(round(fill)).expect("written");
        // Each round has arrived where somebody reads before the next one begins.
        let name = format!("a-{fill}");
        operator.set(1, &[(&name, Active)]);
        proxy.until("a round", |held| held.contains_key(&name));
    }
    let grown = relay.memory().saturating_sub(before);
    let written = NAMES * BYTES * usize::from(ROUNDS);
    // Two did not read: were it queued, it would be twice what was written.
    assert!(grown < written as u64 / 1024 / 2, "{grown} KB more for {written} bytes written");

    // Now it reads: the newest of each, and not all that was ever said.
    let (mut records, mut bytes) = (0, 0);
    let newest = |subscriber: &Subscriber| {
        let of = subscriber.stores().find(|(source, _)| *source == 1);
        let found = of.map(|(_, store)| {
            let all = store.service(1).filter(|r| r.body.len() == BYTES);
            all.filter(|record| record.body[0] == ROUNDS).count()
        });
        found == Some(NAMES)
    };
    while !newest(&subscriber) {
        let message = raw.hear().expect("the connection stands");
        if let Message::Batch { records: of, .. } | Message::ServiceSnapshot { records: of, .. } = &message {
            records += of.len();
            bytes += of.iter().map(|record| record.body.len()).sum::<usize>();
        }
        for reply in subscriber.on_message(message, 0).expect("sense").replies {
            raw.say(&reply);
        }
    }
    assert!(bytes < ON_THE_WAY + 4 * NAMES * BYTES, "{records} records, {bytes} bytes of {written}");

    stopped.signal("CONT");
    let last = format!("a-{ROUNDS}");
    let count = usize::from(ROUNDS);
    Proxy::new(asleep).until("all, woken", |held| held.contains_key(&last) && held.len() == count);
    assert!(!agent.lines().iter().any(|line| line.contains("lost relay")), "{:#?}", agent.lines());
}
