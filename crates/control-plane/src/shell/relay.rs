//! A relay: follows all sources, and serves subscribers.

use super::link::{LinkError, Party, follow};
use super::server::{Changes, Server};
use super::{Clock, ShellError, listen, seed};
use crate::Millis;
use crate::config::{PaceConfig, RelayConfig};
use crate::message::Message;
use crate::record::SourceId;
use crate::relay::Relay;
use crate::source::Refusal;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::interval;
use tracing::{info, warn};

/// How often the log says what the relay holds.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// What ticks had to say to sources that are connected, until their own link says it. A tick repeats what was not answered,
/// so that there are few, and those of a connection that ended are dropped.
type Outbox = Rc<RefCell<BTreeMap<SourceId, Vec<Message>>>>;

/// The link to one source.
struct ToSource {
    relay: Rc<RefCell<Relay>>,
    source: SourceId,
    changes: Changes,
    outbox: Outbox,
    failures: u32,
}

impl Party for ToSource {
    fn hello(&mut self) -> Message {
        self.relay.borrow().hello(self.source)
    }

    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, Refusal> {
        let alive = matches!(message, Message::Alive);
        let replies = self.relay.borrow_mut().from_source(self.source, message, now)?;
        if !alive {
            self.changes.notice();
        }
        Ok(replies)
    }

    fn tick(&mut self, now: Millis) -> Vec<Message> {
        let mut outbox = self.outbox.borrow_mut();
        for (source, message) in self.relay.borrow_mut().tick(now) {
            if let Some(words) = outbox.get_mut(&source) {
                words.push(message);
            }
        }
        outbox.get_mut(&self.source).map(std::mem::take).unwrap_or_default()
    }

    fn connected(&mut self, upstream: &str) {
        self.failures = 0;
        self.outbox.borrow_mut().insert(self.source, Vec::new());
        info!("follows source {upstream}");
    }

    fn lost(&mut self, upstream: &str, why: &LinkError) {
        self.outbox.borrow_mut().remove(&self.source);
        if self.failures == 0 {
            warn!("lost source {upstream}: {why}; serving what is held, trying again");
        }
        self.failures = self.failures.saturating_add(1);
    }
}

/// Runs a relay until it is told to stop.
///
/// # Errors
/// Where it can't start.
pub async fn run(
    config: &RelayConfig,
    pace: &PaceConfig,
    stop: impl Future<Output = ()>,
) -> Result<(), ShellError> {
    let listener = listen(config.listen).await?;
    let address = listener.local_addr()?;
    let sources: Vec<_> = config.sources.iter().map(|s| s.id).collect();
    let state =
        Relay::new(&config.name, &sources, pace.of_agents()).with_most_subscribers(config.connections);
    let relay = Rc::new(RefCell::new(state));
    let (changes, clock, outbox) = (Changes::default(), Clock::start(), Outbox::default());
    for source in &config.sources {
        let party = ToSource {
            relay: Rc::clone(&relay),
            source: source.id,
            changes: changes.clone(),
            outbox: Rc::clone(&outbox),
            failures: 0,
        };
        let (name, address) = (config.name.clone(), source.address);
        let at = vec![(source.id.to_string(), address)];
        spawn_local(async move { follow(Rc::new(RefCell::new(party)), at, &name, seed(), clock).await });
    }
    info!("relay `{}` listens on {address}, {} sources", config.name, sources.len());
    let server = Server::new(Rc::clone(&relay), changes, clock, config.connections);
    let open = server.open();
    let report = async {
        let mut every = interval(REPORT_INTERVAL);
        every.tick().await;
        loop {
            every.tick().await;
            for &source in &sources {
                if let Some(ledger) = relay.borrow().ledger(source) {
                    let (records, head) = (ledger.live_count(), ledger.head());
                    info!(
                        "source {source}: {records} records, epoch {}, change {}",
                        head.epoch, head.revision
                    );
                }
            }
            info!("{} connections", open.get());
        }
    };
    tokio::select! {
        () = server.run(listener) => {}
        () = report => {}
        () = stop => {}
    }
    Ok(())
}
