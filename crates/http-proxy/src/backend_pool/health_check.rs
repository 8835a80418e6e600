//! Health checks of backends.

use super::{AttemptCompletion, BackendPool, PooledBackend};
use crate::exchange::{
    ExchangeError, ForwardedRequest, ReceivedBody, RequestBody, ResponseDeadlines, build_request, exchange,
};
use balancer::api::Outcome;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The time limit for a health check, counted from an established connection.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

impl BackendPool {
    /// Checks the health of a backend. `with_load_report` requests a load report as well, which may be in a
    /// header or in the body.
    pub async fn check_health(
        self: Rc<Self>,
        backend: Rc<PooledBackend>,
        with_load_report: bool,
    ) -> AttemptCompletion {
        let deadline = Instant::now() + self.connect_timeout.get() + HEALTH_CHECK_TIMEOUT;
        let mut connection = match self.take_or_connect(&backend, deadline).await {
            Ok(connection) => connection,
            Err(error) => return error.outcome().into(),
        };
        let request = health_check_request(with_load_report);
        let outbound = build_request(&request, backend.address.get(), HEALTH_CHECK_TIMEOUT);
        let deadlines = ResponseDeadlines { attempt: sleep_until(deadline), client: None };
        match exchange(&mut connection.sender, outbound, deadlines).await {
            Err(ExchangeError::TimedOut | ExchangeError::ResponseIncomplete(_)) => Outcome::Timeout.into(),
            Err(ExchangeError::Malformed) => Outcome::Malformed.into(),
            Err(_) => Outcome::Reset.into(),
            Ok(response) => {
                let body = match &response.body {
                    ReceivedBody::Complete(bytes) => String::from_utf8_lossy(bytes).into_owned(),
                    ReceivedBody::Partial(_) => String::new(),
                };
                let mut end = self.response_end(response, backend, connection);
                end.response = None;
                let has_report_in_body = with_load_report
                    && end.outcome == Outcome::Ok
                    && end.load_report.is_empty()
                    && !body.is_empty();
                if has_report_in_body {
                    end.load_report = self.parse_load_report(body.trim());
                }
                end
            }
        }
    }
}

fn health_check_request(with_load_report: bool) -> ForwardedRequest {
    ForwardedRequest {
        method: Method::GET,
        target: Uri::from_static(if with_load_report { "/metrics/load" } else { "/alive" }),
        headers: HeaderMap::new(),
        body: RequestBody::Buffered(Bytes::new()),
        timeout: HEALTH_CHECK_TIMEOUT,
        deadline: None,
        client: None,
    }
}
