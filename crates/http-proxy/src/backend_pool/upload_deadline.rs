//! Waits until the time limit of an attempt whose request is passed on while it arrives.

use super::send_backlog::SendBacklog;
use crate::body::StreamedUpload;
use crate::client_connection::{BodyArrival, ClientPresence};
use crate::exchange::ForwardedRequest;
use crate::min_transfer_rate;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// The interval at which the progress of an upload is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the time limit of an attempt with this body has passed. It counts from the client's last byte, as
/// soon as that has arrived or may have been written; until then the client has to reach the minimum transfer rate.
pub(super) async fn wait_for_upload_deadline(request: &ForwardedRequest, upload: &StreamedUpload) {
    let mut progress = UploadProgress::new(Instant::now());
    loop {
        if let Some(completed_at) = upload.completed_at() {
            return sleep_until(progress.earliest_end(completed_at) + request.timeout).await;
        }
        let arrival = request.client.as_ref().and_then(ClientPresence::body_arrival);
        let now = Instant::now();
        let deadline = match arrival.unwrap_or(BodyArrival::Read) {
            BodyArrival::Complete(last_arrival) => progress.earliest_end(last_arrival) + request.timeout,
            BodyArrival::Unread(unread) => {
                progress.backlog.record(&unread);
                progress.earliest_end(unread.last_arrival) + request.timeout
            }
            BodyArrival::Read => progress.client_deadline(upload),
        };
        let is_client_awaited = matches!(arrival, None | Some(BodyArrival::Read));
        if is_client_awaited {
            progress.backlog.clear();
        } else {
            progress.blocked_time += now.saturating_duration_since(progress.checked_at);
        }
        progress.checked_at = now;
        if now > deadline {
            if !is_client_awaited {
                upload.mark_blocked();
            }
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// The progress of an upload during an attempt.
struct UploadProgress {
    started_at: Instant,
    checked_at: Instant,
    /// The time in which the client could not send on, since its backend did not read.
    blocked_time: Duration,
    backlog: SendBacklog,
}

impl UploadProgress {
    fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            checked_at: now,
            blocked_time: Duration::ZERO,
            backlog: SendBacklog::default(),
        }
    }

    /// The earliest time at which the client may have written its last byte, if the last bytes that are known of
    /// arrived at `last_arrival`.
    fn earliest_end(&self, last_arrival: Instant) -> Instant {
        self.backlog.earliest_end().map_or(last_arrival, |written_at| written_at.min(last_arrival))
    }

    /// When a client that is expected to send on is too slow.
    fn client_deadline(&self, upload: &StreamedUpload) -> Instant {
        let last_arrival = upload.last_arrival().max(self.started_at);
        let rate_time = min_transfer_rate::timeout_after(upload.forwarded_bytes()) + self.blocked_time;
        (self.started_at + rate_time).min(last_arrival + min_transfer_rate::INACTIVITY_TIMEOUT)
    }
}
