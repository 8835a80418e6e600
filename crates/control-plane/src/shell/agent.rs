//! The agent beside a proxy: follows relays, and serves the backends of its services to the proxy as discovery.

use super::discovery::{Served, serve};
use super::link::{LinkError, Party, follow};
use super::list::List;
use super::{Clock, ShellError, listen, seed, unix_ms};
use crate::Millis;
use crate::config::AgentConfig;
use crate::message::Message;
use crate::record::{SourceId, State};
use crate::source::Refusal;
use crate::subscriber::Subscriber;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{info, warn};

/// A subscriber that keeps a list.
#[derive(Debug)]
struct Agent {
    subscriber: Subscriber,
    /// Sources that have not yet told all of their part.
    awaited: BTreeSet<SourceId>,
    served: Served,
    /// Tries that failed since a relay welcomed it.
    failures: u32,
}

impl Agent {
    /// Whether all sources that are awaited have been told whole.
    fn is_whole(&mut self) -> bool {
        for (source, ledger) in self.subscriber.ledgers() {
            // A life of a source is held once all of its digests agreed or were made to.
            if ledger.epoch() != 0 {
                self.awaited.remove(&source);
            }
        }
        self.awaited.is_empty()
    }
}

impl Party for Agent {
    fn hello(&mut self) -> Message {
        self.subscriber.hello()
    }

    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, Refusal> {
        let heard = self.subscriber.on_message(message, now)?;
        let mut changed = false;
        for applied in &heard.applied {
            match self.served.list.borrow_mut().apply(applied) {
                Ok(one) => changed |= one,
                Err(error) => {
                    let key = &applied.record.key;
                    let drains = applied.record.state != State::Active;
                    changed |= drains;
                    warn!("passing over `{}` of service {}: {error}", key.name, key.service);
                }
            }
        }
        if !self.served.ready.get() && self.is_whole() {
            self.served.ready.set(true);
            let list = self.served.list.borrow();
            info!("the list is whole, {} backends; discovery is answered", list.whole().members.len());
        }
        if changed {
            self.served.changed.send_replace(());
        }
        Ok(heard.replies)
    }

    fn tick(&mut self, now: Millis) -> Vec<Message> {
        self.subscriber.tick(now)
    }

    fn connected(&mut self, upstream: &str) {
        self.failures = 0;
        info!("follows relay `{upstream}`");
    }

    fn lost(&mut self, upstream: &str, why: &LinkError) {
        // While no relay can be had the first failure says it; the rest would fill the log.
        if self.failures == 0 {
            warn!("lost relay `{upstream}`: {why}; serving what is held, trying the others");
        }
        self.failures = self.failures.saturating_add(1);
    }
}

/// Runs an agent until it is told to stop.
///
/// # Errors
/// Where it can't start.
pub async fn run(config: &AgentConfig, stop: impl Future<Output = ()>) -> Result<(), ShellError> {
    let listener = listen(config.listen).await?;
    let address = listener.local_addr()?;
    let list = List::new(config.services.len() == 1, unix_ms());
    let served = Served::new(list);
    let agent = Agent {
        subscriber: Subscriber::new(&config.name, config.scope()),
        awaited: config.sources.clone(),
        served: served.clone(),
        failures: 0,
    };
    let relays: Vec<_> = config.relays.iter().map(|r| (r.name.clone(), r.address)).collect();
    info!(
        "agent `{}` listens on {address}, {} services, {} relays",
        config.name,
        config.services.len(),
        relays.len()
    );
    tokio::select! {
        never = serve(listener, served, config.connections) => match never {},
        never = follow(Rc::new(RefCell::new(agent)), relays, &config.name, seed(), Clock::start()) => match never {},
        () = stop => Ok(()),
    }
}
