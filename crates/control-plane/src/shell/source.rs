//! A source of truth: takes changes from writers, tells relays, and keeps its records over a restart.

use super::server::{Changes, Server};
use super::snapshot::{Keeper, Snapshot, lock, read};
use super::{Clock, ShellError, listen, unix_ms};
use crate::config::{PaceConfig, SourceConfig};
use crate::ledger::Ledger;
use crate::source::Source;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{error, info};

/// What is kept.
fn snapshot(config: &SourceConfig, ledger: &Ledger) -> Snapshot {
    Snapshot {
        source: config.id,
        epoch: ledger.epoch(),
        head: ledger.head(),
        records: ledger.live().cloned().collect(),
    }
}

/// Runs a source until it is told to stop; what it holds is kept then.
///
/// # Errors
/// Where it can't start (a snapshot that is damaged or another's is left as it is), or could not keep what it held at the
/// end.
pub async fn run(
    config: &SourceConfig,
    pace: &PaceConfig,
    stop: impl Future<Output = ()>,
) -> Result<(), ShellError> {
    let _lock = lock(&config.snapshot)?;
    let ledger = match read(&config.snapshot, config.id)? {
        None => Ledger::new(config.id, unix_ms()),
        Some(kept) => {
            // Greater than the last one also where the clock was set back.
            let epoch = unix_ms().max(kept.epoch.saturating_add(1));
            info!(
                "{} records as of change {} of epoch {}",
                kept.records.len(),
                kept.head.revision,
                kept.head.epoch
            );
            Ledger::restore(config.id, epoch, kept.head, kept.records)
        }
    };
    // The epoch is kept before anybody hears of it, so that none is used twice; and a place that can't be written to is
    // noticed now.
    snapshot(config, &ledger).write(&config.snapshot)?;
    let listener = listen(config.listen).await?;
    let address = listener.local_addr()?;
    info!("source `{}` (number {}) listens on {address}, epoch {}", config.name, config.id, ledger.epoch());
    let mut kept = ledger.head();
    let state = Source::new(&config.name, ledger, pace.of_relays()).with_most_subscribers(config.connections);
    let source = Rc::new(RefCell::new(state));
    let server = Server::new(Rc::clone(&source), Changes::default(), Clock::start(), config.connections);
    let keeper = Keeper::start(config.snapshot.clone())?;
    let keep = async {
        let mut every = interval(Duration::from_millis(config.snapshot_every_ms));
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut failed = false;
        loop {
            every.tick().await;
            let head = source.borrow().ledger().head();
            if head == kept {
                continue;
            }
            let snapshot = snapshot(config, source.borrow().ledger());
            match keeper.keep(snapshot).await {
                Ok(()) => (kept, failed) = (head, false),
                Err(error) if !failed => {
                    failed = true;
                    error!("{error}; serving on, trying again each {} ms", config.snapshot_every_ms);
                }
                Err(_) => {}
            }
        }
    };
    tokio::select! {
        () = server.run(listener) => {}
        () = keep => {}
        () = stop => {}
    }
    // Nobody is served any more: what waits now is only the end. A snapshot that is being written is finished first.
    drop(keeper);
    snapshot(config, source.borrow().ledger()).write(&config.snapshot)?;
    info!("kept {} records in {}", source.borrow().ledger().live_count(), config.snapshot.display());
    Ok(())
}
