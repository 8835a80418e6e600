//! The relay process: replicates the records of all sources, and serves subscribers.

use super::server::{ChangeNotifier, Server};
use super::upstream_link::{DownstreamNode, LinkError, UpstreamAddress, follow};
use super::{Clock, RuntimeError, listen, random_seed};
use crate::Millis;
use crate::config::{RateLimitConfig, RelayConfig};
use crate::message::Message;
use crate::record::SourceId;
use crate::relay::Relay;
use crate::session::SessionError;
use crate::upstream::Upstream;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::interval;
use tracing::{info, warn};

/// Interval at which the number of records and connections is logged.
const STATISTICS_INTERVAL: Duration = Duration::from_secs(60);

/// Requests to retry, for each connected source, until its link sends them. There are few, since only
/// requests without a response are retried. Those for a connection that ended are dropped.
type SendQueues = Rc<RefCell<BTreeMap<SourceId, Vec<Message>>>>;

/// The downstream end of the connection to one source.
struct SourceLink {
    relay: Rc<RefCell<Relay>>,
    source: SourceId,
    notifier: ChangeNotifier,
    send_queues: SendQueues,
    /// Number of connections lost or failed since the last welcome.
    failures: u32,
}

impl DownstreamNode for SourceLink {
    fn hello(&mut self) -> Message {
        self.relay.borrow().hello(self.source)
    }

    fn on_message(&mut self, message: Message, now: Millis) -> Result<Vec<Message>, SessionError> {
        let is_heartbeat = matches!(message, Message::Heartbeat);
        let replies = self.relay.borrow_mut().on_source_message(self.source, message, now)?;
        if !is_heartbeat {
            self.notifier.notify();
        }
        Ok(replies)
    }

    fn tick(&mut self, now: Millis) -> Vec<Message> {
        let mut send_queues = self.send_queues.borrow_mut();
        for request in self.relay.borrow_mut().tick(now) {
            if let Some(queue) = send_queues.get_mut(&request.source) {
                queue.push(request.message);
            }
        }
        send_queues.get_mut(&self.source).map(std::mem::take).unwrap_or_default()
    }

    fn on_connected(&mut self, upstream: &str) {
        self.failures = 0;
        self.send_queues.borrow_mut().insert(self.source, Vec::new());
        info!("connected to source {upstream}");
    }

    fn on_lost(&mut self, upstream: &str, cause: &LinkError) {
        self.send_queues.borrow_mut().remove(&self.source);
        if self.failures == 0 {
            warn!("lost source {upstream}: {cause}; serving the replicated records, retrying");
        }
        self.failures = self.failures.saturating_add(1);
    }
}

/// Runs a relay until `shutdown` completes.
///
/// # Errors
/// The listener can't be opened.
pub async fn run(
    config: &RelayConfig,
    rate_limit: &RateLimitConfig,
    shutdown: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let listener = listen(config.listen).await?;
    let address = listener.local_addr()?;
    let sources: Vec<_> = config.sources.iter().map(|source| source.id).collect();
    let state = Relay::new(&config.name, &sources, rate_limit.agent_limit());
    let relay = Rc::new(RefCell::new(state.with_max_subscribers(config.max_connections)));
    let (notifier, clock) = (ChangeNotifier::default(), Clock::start());
    spawn_source_links(config, &relay, &notifier, clock);
    info!("relay `{}` listens on {address}, {} sources", config.name, sources.len());
    let server = Server::new(Rc::clone(&relay), notifier, clock, config.max_connections);
    let open_connections = server.open_connections();
    tokio::select! {
        () = server.run(listener) => {}
        never = log_statistics(&sources, &relay, &open_connections) => match never {},
        () = shutdown => {}
    }
    Ok(())
}

/// Starts a task for the connection to each source.
fn spawn_source_links(
    config: &RelayConfig,
    relay: &Rc<RefCell<Relay>>,
    notifier: &ChangeNotifier,
    clock: Clock,
) {
    let send_queues = SendQueues::default();
    for source in &config.sources {
        let link = SourceLink {
            relay: Rc::clone(relay),
            source: source.id,
            notifier: notifier.clone(),
            send_queues: Rc::clone(&send_queues),
            failures: 0,
        };
        let name = config.name.clone();
        let upstream = vec![UpstreamAddress { name: source.id.to_string(), address: source.address }];
        spawn_local(async move {
            follow(Rc::new(RefCell::new(link)), upstream, &name, random_seed(), clock).await
        });
    }
}

async fn log_statistics(
    sources: &[SourceId],
    relay: &RefCell<Relay>,
    open_connections: &Cell<usize>,
) -> Infallible {
    let mut ticks = interval(STATISTICS_INTERVAL);
    // The first tick completes immediately.
    ticks.tick().await;
    loop {
        ticks.tick().await;
        for &source in sources {
            if let Some(store) = relay.borrow().store(source) {
                let (records, head) = (store.live_count(), store.head());
                info!("source {source}: {records} records, epoch {}, change {}", head.epoch, head.revision);
            }
        }
        info!("{} connections", open_connections.get());
    }
}
