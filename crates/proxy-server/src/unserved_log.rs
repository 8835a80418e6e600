//! Periodic log of the causes for which requests ended without a backend's response, were refused, or had
//! their connections closed.

use balancer::api::UnservedCounts;
use http_proxy::clients::ClientConnections;
use http_proxy::connection_events::EventCounts;
use http_proxy::log::log;
use http_proxy::transport::EngineHandle;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The interval at which new causes are logged, if there are any.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the counts of requests that ended without a backend's response, and of events of client connections,
/// since the last line, by cause, until the process ends.
pub(crate) async fn log_unserved(handle: EngineHandle, clients: Rc<ClientConnections>) {
    let mut logged = UnservedCounts::default();
    let mut logged_events = EventCounts::default();
    loop {
        sleep(LOG_INTERVAL).await;
        let counts = handle.counts().unserved;
        let new = counts.since(&logged);
        if new.total() > 0 {
            log(format_args!("requests ended without a backend's response: {new}"));
            logged = counts;
        }
        let event_counts = clients.event_counts();
        let new_events = event_counts.since(&logged_events);
        if new_events.total() > 0 {
            log(format_args!("client connections: {} open, {new_events}", clients.open_connections()));
            logged_events = event_counts;
        }
    }
}
