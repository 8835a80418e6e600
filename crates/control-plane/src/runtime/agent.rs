//! The agent process, which runs on the machine of a proxy: subscribes to a relay, and serves the backends of
//! its services to the proxy over the discovery protocol.

use super::discovery::{DiscoveryState, serve};
use super::discovery_list::DiscoveryList;
use super::upstream_link::{DownstreamNode, LinkError, UpstreamAddress, follow};
use super::{Clock, RuntimeError, listen, random_seed, unix_time_ms};
use crate::Millis;
use crate::config::{AgentConfig, RelayAddress};
use crate::message::Message;
use crate::record::{RecordState, SourceId};
use crate::replica::AppliedRecord;
use crate::session::SessionError;
use crate::subscriber::Subscriber;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{info, warn};

/// A subscriber that maintains the list of backends for discovery.
#[derive(Debug)]
struct Agent {
    subscriber: Subscriber,
    /// Configured sources whose records have not been complete yet.
    incomplete_sources: BTreeSet<SourceId>,
    discovery: DiscoveryState,
    /// Number of connections lost or failed since the last welcome of a relay.
    failures: u32,
}

impl Agent {
    /// Updates `incomplete_sources`. Returns whether the records of all configured sources have been
    /// complete.
    fn update_completeness(&mut self) -> bool {
        for (source, store) in self.subscriber.stores() {
            // A store has an epoch as soon as its first repair has finished.
            if store.epoch() != 0 {
                self.incomplete_sources.remove(&source);
            }
        }
        self.incomplete_sources.is_empty()
    }

    /// Applies a record to the list of backends. Returns whether the list may have changed.
    fn apply(&self, applied: &AppliedRecord) -> bool {
        match self.discovery.list.borrow_mut().apply(applied) {
            Ok(changed) => changed,
            Err(error) => {
                let key = &applied.record.key;
                warn!("ignoring the body of `{}` of service {}: {error}", key.name, key.service);
                applied.record.state != RecordState::Active
            }
        }
    }
}

impl DownstreamNode for Agent {
    fn hello(&mut self) -> Message {
        self.subscriber.hello()
    }

    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, SessionError> {
        let outcome = self.subscriber.on_message(message, now)?;
        let mut changed = false;
        for applied in &outcome.applied {
            changed |= self.apply(applied);
        }
        if !self.discovery.is_ready.get() && self.update_completeness() {
            self.discovery.is_ready.set(true);
            let backends = self.discovery.list.borrow().snapshot().members.len();
            info!("the list is complete, {backends} backends; serving discovery");
        }
        if changed {
            self.discovery.changed.send_replace(());
        }
        Ok(outcome.replies)
    }

    fn tick(&mut self, now: Millis) -> Vec<Message> {
        self.subscriber.tick(now)
    }

    fn on_connected(&mut self, upstream: &str) {
        self.failures = 0;
        info!("connected to relay `{upstream}`");
    }

    fn on_lost(&mut self, upstream: &str, cause: &LinkError) {
        // Only the first failure in a row is logged, so that the log does not fill up while no relay is
        // available.
        if self.failures == 0 {
            warn!("lost relay `{upstream}`: {cause}; serving the replicated records, trying other relays");
        }
        self.failures = self.failures.saturating_add(1);
    }
}

/// Runs an agent until `shutdown` completes.
///
/// # Errors
/// The listener can't be opened.
pub async fn run(config: &AgentConfig, shutdown: impl Future<Output = ()>) -> Result<(), RuntimeError> {
    let listener = listen(config.listen).await?;
    let address = listener.local_addr()?;
    let discovery = DiscoveryState::new(DiscoveryList::new(config.services.len() == 1, unix_time_ms()));
    let agent = Agent {
        subscriber: Subscriber::new(&config.name, config.scope()),
        incomplete_sources: config.sources.clone(),
        discovery: discovery.clone(),
        failures: 0,
    };
    let agent = Rc::new(RefCell::new(agent));
    let relay = |relay: &RelayAddress| UpstreamAddress { name: relay.name.clone(), address: relay.address };
    let relays: Vec<_> = config.relays.iter().map(relay).collect();
    info!(
        "agent `{}` listens on {address}, {} services, {} relays",
        config.name,
        config.services.len(),
        relays.len()
    );
    tokio::select! {
        never = serve(listener, discovery, config.max_connections) => match never {},
        never = follow(agent, relays, &config.name, random_seed(), Clock::start()) => match never {},
        () = shutdown => Ok(()),
    }
}
