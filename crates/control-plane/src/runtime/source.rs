//! The source process: accepts changes from writers, publishes them to relays, and persists the records.

use super::server::{ChangeNotifier, Server};
use super::snapshot::{Snapshot, SnapshotWriter, lock, read};
use super::{Clock, RuntimeError, listen, unix_time_ms};
use crate::config::{RateLimitConfig, SourceConfig};
use crate::record::Version;
use crate::source::Source;
use crate::store::VersionedStore;
use crate::upstream::Upstream;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{error, info};

/// Runs a source until `shutdown` completes, and then persists its records.
///
/// # Errors
/// The process can't start, or the final snapshot can't be written. A snapshot that is damaged or belongs to
/// another source prevents the start, and is not overwritten.
pub async fn run(
    config: &SourceConfig,
    rate_limit: &RateLimitConfig,
    shutdown: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let _lock = lock(&config.snapshot_path)?;
    let store = restore(config)?;
    // The epoch is persisted before it is published, so that no epoch is used twice. This also detects a path
    // that can't be written.
    snapshot(config, &store).write(&config.snapshot_path)?;
    let listener = listen(config.listen).await?;
    let address = listener.local_addr()?;
    info!("source `{}` (number {}) listens on {address}, epoch {}", config.name, config.id, store.epoch());
    let persisted = store.head();
    let state = Source::new(&config.name, store, rate_limit.relay_limit());
    let source = Rc::new(RefCell::new(state.with_max_subscribers(config.max_connections)));
    let notifier = ChangeNotifier::default();
    let server = Server::new(Rc::clone(&source), notifier, Clock::start(), config.max_connections);
    let writer = SnapshotWriter::start(config.snapshot_path.clone())?;
    tokio::select! {
        () = server.run(listener) => {}
        never = persist_changes(config, &source, &writer, persisted) => match never {},
        () = shutdown => {}
    }
    // Dropping the writer waits for a snapshot in progress. The final one is written on this thread, since
    // there are no connections left to serve.
    drop(writer);
    snapshot(config, source.borrow().store()).write(&config.snapshot_path)?;
    let count = source.borrow().store().live_count();
    info!("persisted {count} records in {}", config.snapshot_path.display());
    Ok(())
}

/// Restores the records that the former process persisted, in a new epoch.
fn restore(config: &SourceConfig) -> Result<VersionedStore, RuntimeError> {
    let Some(snapshot) = read(&config.snapshot_path, config.id)? else {
        return Ok(VersionedStore::new(config.id, unix_time_ms()));
    };
    // The new epoch is greater than the former one even if the system clock was set back.
    let epoch = unix_time_ms().max(snapshot.epoch.saturating_add(1));
    let Snapshot { head, records, .. } = snapshot;
    info!("restored {} records as of change {} of epoch {}", records.len(), head.revision, head.epoch);
    Ok(VersionedStore::restore(config.id, epoch, head, records))
}

fn snapshot(config: &SourceConfig, store: &VersionedStore) -> Snapshot {
    Snapshot {
        source: config.id,
        epoch: store.epoch(),
        head: store.head(),
        records: store.live_records().cloned().collect(),
    }
}

/// Writes a snapshot after each interval in which records changed. `persisted` is the head in the last
/// snapshot.
async fn persist_changes(
    config: &SourceConfig,
    source: &RefCell<Source>,
    writer: &SnapshotWriter,
    mut persisted: Version,
) -> Infallible {
    let mut ticks = interval(Duration::from_millis(config.snapshot_interval_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut has_failed = false;
    loop {
        ticks.tick().await;
        let head = source.borrow().store().head();
        if head == persisted {
            continue;
        }
        let snapshot = snapshot(config, source.borrow().store());
        match writer.write(snapshot).await {
            Ok(()) => (persisted, has_failed) = (head, false),
            Err(error) if !has_failed => {
                has_failed = true;
                let interval_ms = config.snapshot_interval_ms;
                error!("{error}; still serving, retrying every {interval_ms} ms");
            }
            Err(_) => {}
        }
    }
}
