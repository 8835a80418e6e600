//! Periodic log of the causes for which requests ended without a backend's response.

use balancer::api::UnservedCounts;
use http_proxy::log::log;
use http_proxy::transport::EngineHandle;
use std::time::Duration;
use tokio::time::sleep;

/// The interval at which new causes are logged, if there are any.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the counts of requests that ended without a backend's response since the last line, by cause, until
/// the process ends.
pub(crate) async fn log_unserved(handle: EngineHandle) {
    let mut logged = UnservedCounts::default();
    loop {
        sleep(LOG_INTERVAL).await;
        let counts = handle.counts().unserved;
        let new = counts.since(&logged);
        if new.total() > 0 {
            log(format_args!("requests ended without a backend's response: {new}"));
            logged = counts;
        }
    }
}
