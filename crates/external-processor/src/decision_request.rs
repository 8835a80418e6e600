//! Builds a [`DecisionRequest`] from HTTP headers or message fields: resolves the name of its tenant, and names
//! a missing, duplicate or invalid field in its error. The decision service resolves the name of the class,
//! since a reload changes classes. No I/O and no clock.

use crate::decision_service::{ClassMismatch, DecisionRequest};
use crate::settings::Headers;
use balancer::api::Micros;
use request_engine::idempotency::MAX_ID_BYTES;
use request_engine::quoted_text::truncated;
use request_engine::request_key::request_key;
use request_engine::time_left::{MAX_TIME_LEFT_MS, parse_time_left};
use rustc_hash::FxHashMap;
use thiserror::Error;

/// Why a request or message is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidRequest {
    /// This required field is missing.
    #[error("`{0}` is missing")]
    Missing(String),
    /// This header occurs more than once: another component might use another of its values.
    #[error("`{0}` comes more than once")]
    Duplicate(String),
    /// The value of this field is not UTF-8.
    #[error("`{0}` is not UTF-8")]
    NotText(String),
    /// The value of a field is invalid.
    #[error("`{field}` makes no sense: {problem}")]
    InvalidValue {
        /// Name of the field.
        field: String,
        /// Why the value is invalid.
        problem: String,
    },
}

impl InvalidRequest {
    /// The error of a request that does not match its class. `names` are the names of its fields.
    #[must_use]
    pub fn class_mismatch(mismatch: &ClassMismatch, names: &Headers) -> Self {
        match mismatch {
            ClassMismatch::Unknown(_) => invalid_value(&names.class, mismatch.to_string()),
            ClassMismatch::MissingKey => missing_field(&names.idempotency_key),
            ClassMismatch::UnexpectedKey => invalid_value(&names.idempotency_key, mismatch.to_string()),
        }
    }
}

/// Parses requests; resolves the names of tenants to their indices in the settings, which no reload changes.
pub struct RequestParser {
    tenants: FxHashMap<String, u16>,
}

/// The fields of a request, as its caller sent them.
#[derive(Clone, Debug, Default)]
pub struct RequestFields<'a> {
    /// Its correlation id; empty if missing.
    pub id: &'a [u8],
    /// The name of its class; empty if missing.
    pub class: &'a str,
    /// The name of its tenant; empty if missing.
    pub tenant: &'a str,
    /// Its idempotency key; empty if missing.
    pub idempotency_key: &'a [u8],
    /// Affinity key; see [`request_engine::request_key`].
    pub affinity_key: Option<u64>,
    /// How long its client waits for the response, microseconds; `None`: until the class's response deadline.
    pub timeout: Option<Micros>,
    /// Expected work on a standard core, microseconds.
    pub expected_work: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
}

fn missing_field(field: &str) -> InvalidRequest {
    InvalidRequest::Missing(field.into())
}

fn invalid_value(field: &str, problem: impl Into<String>) -> InvalidRequest {
    InvalidRequest::InvalidValue { field: field.into(), problem: problem.into() }
}

impl RequestParser {
    /// Creates a parser for tenants with these names, in the order of the settings.
    #[must_use]
    pub fn new(tenants: &[String]) -> Self {
        Self { tenants: tenants.iter().cloned().zip(0..=u16::MAX).collect() }
    }

    /// Builds a request that arrived at `now` from its fields. `names` are the names of the fields in errors.
    ///
    /// # Errors
    /// Names the first field that is missing or invalid.
    pub fn request_from_fields(
        &self,
        now: Micros,
        fields: &RequestFields<'_>,
        names: &Headers,
    ) -> Result<DecisionRequest, InvalidRequest> {
        if fields.class.is_empty() {
            return Err(missing_field(&names.class));
        }
        for (name, value) in [(&names.id, fields.id), (&names.idempotency_key, fields.idempotency_key)] {
            if value.len() > MAX_ID_BYTES {
                return Err(invalid_value(name, format!("{} bytes, {MAX_ID_BYTES} at most", value.len())));
            }
        }
        if fields.id.is_empty() {
            return Err(missing_field(&names.id));
        }
        let tenant = match fields.tenant {
            _ if self.tenants.is_empty() => 0,
            "" => return Err(missing_field(&names.tenant)),
            name => *self
                .tenants
                .get(name)
                .ok_or_else(|| invalid_value(&names.tenant, format!("no tenant `{}`", truncated(name))))?,
        };
        Ok(DecisionRequest {
            id: fields.id.into(),
            idempotency_key: (!fields.idempotency_key.is_empty()).then(|| fields.idempotency_key.into()),
            class: fields.class.into(),
            tenant,
            affinity_key: fields.affinity_key,
            arrived_at: now,
            timeout: fields.timeout,
            expected_work: fields.expected_work,
            is_retry: fields.is_retry,
            prior_lease: None,
            waits_for_result: false,
            is_single_attempt: false,
        })
    }

    /// Builds a request that arrived at `now` from its HTTP headers, whose names are in lower case. The
    /// caller can make only one attempt.
    ///
    /// # Errors
    /// Names the first header that is missing, duplicate or invalid.
    pub fn request_from_headers<'a>(
        &self,
        now: Micros,
        headers: impl Iterator<Item = (&'a str, &'a [u8])>,
        names: &Headers,
    ) -> Result<DecisionRequest, InvalidRequest> {
        let head = RequestHead::read(headers, names)?;
        let text = |name: &str, value: Option<&'a [u8]>| match value {
            None => Ok(""),
            Some(bytes) => std::str::from_utf8(bytes).map_err(|_| InvalidRequest::NotText(name.into())),
        };
        let path = text(":path", head.path)?;
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let class_in_path = path.split('/').nth(1).unwrap_or_default();
        let class = match text(&names.class, head.class)? {
            "" => class_in_path,
            class => class,
        };
        let timeout = match text(&names.time_left, head.time_left)? {
            "" => None,
            digits => Some(time_left(&names.time_left, digits)?),
        };
        let expected_work = text(&names.expected_work, head.expected_work)?;
        let expected_work = (!expected_work.is_empty()).then(|| {
            expected_work
                .trim()
                .parse()
                .map_err(|_| invalid_value(&names.expected_work, "a whole number of microseconds"))
        });
        let fields = RequestFields {
            id: head.id.unwrap_or_default(),
            class,
            tenant: text(&names.tenant, head.tenant)?,
            idempotency_key: head.idempotency_key.unwrap_or_default(),
            affinity_key: request_key(query),
            timeout,
            expected_work: expected_work.transpose()?,
            is_retry: head.retry == Some(b"1"),
        };
        Ok(DecisionRequest { is_single_attempt: true, ..self.request_from_fields(now, &fields, names)? })
    }
}

/// The values of the headers that describe a request; `None` if missing.
#[derive(Default)]
struct RequestHead<'a> {
    path: Option<&'a [u8]>,
    id: Option<&'a [u8]>,
    class: Option<&'a [u8]>,
    tenant: Option<&'a [u8]>,
    idempotency_key: Option<&'a [u8]>,
    time_left: Option<&'a [u8]>,
    expected_work: Option<&'a [u8]>,
    retry: Option<&'a [u8]>,
}

impl<'a> RequestHead<'a> {
    fn read(
        headers: impl Iterator<Item = (&'a str, &'a [u8])>,
        names: &Headers,
    ) -> Result<Self, InvalidRequest> {
        let mut head = Self::default();
        for (name, value) in headers {
            let field = match name {
                ":path" => &mut head.path,
                _ if name == names.id => &mut head.id,
                _ if name == names.class => &mut head.class,
                _ if name == names.tenant => &mut head.tenant,
                _ if name == names.idempotency_key => &mut head.idempotency_key,
                _ if name == names.time_left => &mut head.time_left,
                _ if name == names.expected_work => &mut head.expected_work,
                _ if name == names.retry => &mut head.retry,
                _ => continue,
            };
            if field.replace(value).is_some() {
                return Err(InvalidRequest::Duplicate(truncated(name)));
            }
        }
        Ok(head)
    }
}

/// Parses the time left in this field; in microseconds.
fn time_left(name: &str, digits: &str) -> Result<Micros, InvalidRequest> {
    let problem = || format!("whole milliseconds to {MAX_TIME_LEFT_MS}");
    parse_time_left(digits).ok_or_else(|| invalid_value(name, problem()))
}

#[cfg(test)]
mod tests;
