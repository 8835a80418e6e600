//! Derives the outcome of an attempt from the backend's response, and releases or closes the connection.

use super::connection::BackendConnection;
use super::{AttemptCompletion, BackendPool, PooledBackend};
use crate::body::{OnComplete, ResponseBody, StreamedResponse};
use crate::exchange::{BackendResponse, ReceivedBody, ReceivedResponse};
use balancer::api::Outcome;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName};
use std::rc::Rc;

/// Has the value `1` if the backend has not processed the request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Contains a load report.
const LOAD_REPORT: HeaderName = HeaderName::from_static("x-backend-load");

impl BackendPool {
    /// The end of an attempt with this response. The connection returns to the pool once the body is
    /// complete.
    pub(super) fn response_end(
        &self,
        response: ReceivedResponse,
        backend: Rc<PooledBackend>,
        connection: BackendConnection,
    ) -> AttemptCompletion {
        let outcome = outcome(response.status, &response.headers);
        let report = response.headers.get(LOAD_REPORT).and_then(|v| v.to_str().ok());
        let load_report = report.map(|text| self.parse_load_report(text)).unwrap_or_default();
        let body = match response.body {
            ReceivedBody::Complete(bytes) => {
                backend.release(connection);
                Some(ResponseBody::buffered(bytes))
            }
            // The remaining body is not forwarded and therefore not read: its connection closes.
            ReceivedBody::Partial(_) if outcome != Outcome::Ok => None,
            ReceivedBody::Partial(partial) => {
                let on_complete: OnComplete = Box::new(move || backend.release(connection));
                let body = StreamedResponse::new(partial, on_complete);
                Some(ResponseBody::Streamed(Box::new(body)))
            }
        };
        let content_type = response.headers.get(CONTENT_TYPE).cloned();
        let body = body.filter(|_| outcome == Outcome::Ok);
        let response = body.map(|body| BackendResponse { body, content_type });
        AttemptCompletion { outcome, response, load_report, client_wait: 0 }
    }

    /// Parses a load report (`name=value,...`). The values are in the order of the settings; a missing or
    /// malformed one is NaN.
    pub(super) fn parse_load_report(&self, text: &str) -> Vec<f32> {
        let value = |field: &String| {
            let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(name, _)| name.trim() == field);
            found.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(f32::NAN)
        };
        self.report_fields.iter().map(value).collect()
    }
}

fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let is_unprocessed = || headers.get(UNPROCESSED).is_some_and(|v| v == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed() => {
            Outcome::Rejected
        }
        _ => Outcome::Error,
    }
}
