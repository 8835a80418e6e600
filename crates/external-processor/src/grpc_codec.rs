//! Converts the messages of the gRPC service `Decisions` to and from the types of the decision service. No
//! I/O and no clock.

use crate::decision_request::{InvalidRequest, RequestFields, RequestParser};
use crate::decision_service::{
    DecisionRequest, IN_FLIGHT_RETRY_DELAY, RejectReason, Reply, Report, RetryScope, SendDecision,
};
use crate::generated as pb;
use crate::settings::Headers;
use balancer::api::{Micros, Outcome};
use request_engine::idempotency::{ClaimError, FinalStatus};
use request_engine::lease::{LeaseError, LeaseId, ParseLeaseIdError};

/// The field names of [`pb::DecideRequest`], which errors refer to.
#[must_use]
pub fn field_names() -> Headers {
    Headers {
        id: "id".into(),
        class: "class".into(),
        tenant: "tenant".into(),
        idempotency_key: "idempotency_key".into(),
        time_left: "time_left_ms".into(),
        expected_work: "work_us".into(),
        retry: "repeat".into(),
    }
}

fn invalid_value(field: &str, problem: String) -> InvalidRequest {
    InvalidRequest::InvalidValue { field: field.into(), problem }
}

fn parse_lease_id(field: &str, text: &str) -> Result<LeaseId, InvalidRequest> {
    match text {
        "" => Err(InvalidRequest::Missing(field.into())),
        text => text.parse().map_err(|error: ParseLeaseIdError| invalid_value(field, error.to_string())),
    }
}

/// Decodes a request for a decision that arrived at `now`. `names` are the names of the fields in errors.
///
/// # Errors
/// Names the first field that is missing or invalid.
pub fn decode_request(
    now: Micros,
    message: &pb::DecideRequest,
    parser: &RequestParser,
    names: &Headers,
) -> Result<DecisionRequest, InvalidRequest> {
    let non_zero = |value: u64| (value > 0).then_some(value);
    let fields = RequestFields {
        id: &message.id,
        class: &message.class,
        tenant: &message.tenant,
        idempotency_key: &message.idempotency_key,
        affinity_key: non_zero(message.about),
        timeout: non_zero(u64::from(message.time_left_ms)).map(|ms| ms * 1_000),
        expected_work: non_zero(message.work_us),
        is_retry: message.repeat,
    };
    let prior_lease = match message.prior_lease.as_str() {
        "" => None,
        text => Some(parse_lease_id("prior_lease", text)?),
    };
    Ok(DecisionRequest {
        prior_lease,
        waits_for_result: message.wait,
        ..parser.request_from_fields(now, &fields, names)?
    })
}

/// Decodes the report on an attempt.
///
/// # Errors
/// Names the first field that is missing or invalid.
pub fn decode_report(message: &pb::ReportRequest) -> Result<Report, InvalidRequest> {
    let outcome = match pb::Outcome::try_from(message.outcome) {
        Ok(pb::Outcome::Unspecified) => return Err(InvalidRequest::Missing("outcome".into())),
        Ok(pb::Outcome::Served) => Some(Outcome::Ok),
        Ok(pb::Outcome::Error) => Some(Outcome::Error),
        Ok(pb::Outcome::TurnedAway) => Some(Outcome::Rejected),
        Ok(pb::Outcome::CouldNotConnect) => Some(Outcome::ConnectFailed),
        Ok(pb::Outcome::Reset) => Some(Outcome::Reset),
        Ok(pb::Outcome::TimedOut) => Some(Outcome::Timeout),
        Ok(pb::Outcome::NotSent) => Some(Outcome::NotSent),
        Ok(pb::Outcome::Cancelled) => Some(Outcome::Cancelled),
        Ok(pb::Outcome::Spoilt) => Some(Outcome::Malformed),
        Ok(pb::Outcome::Established) => None,
        Err(_) => {
            return Err(invalid_value("outcome", format!("no outcome has the number {}", message.outcome)));
        }
    };
    let endpoint = match message.endpoint.as_str() {
        "" => None,
        text => Some(text.parse().map_err(|_| invalid_value("endpoint", "not an IP:PORT".into()))?),
    };
    let lease = parse_lease_id("lease", &message.lease)?;
    Ok(Report { lease, outcome, endpoint, load_report: message.load.clone() })
}

/// Decodes the lease id in the renewal of a session.
///
/// # Errors
/// If the id is missing or malformed.
pub fn decode_renewal(message: &pb::RenewRequest) -> Result<LeaseId, InvalidRequest> {
    parse_lease_id("lease", &message.lease)
}

/// Converts a duration to milliseconds, rounded up.
fn ms_rounded_up(duration: Micros) -> u32 {
    u32::try_from(duration.div_ceil(1_000)).unwrap_or(u32::MAX)
}

/// Converts a duration to milliseconds, rounded down, so that a time limit does not grow.
fn ms_rounded_down(duration: Micros) -> u32 {
    u32::try_from(duration / 1_000).unwrap_or(u32::MAX)
}

fn encode_send(now: Micros, decision: &SendDecision) -> pb::Send {
    pb::Send {
        endpoint: decision.endpoint.to_string(),
        lease: decision.grant.lease.to_string(),
        attempt: u32::from(decision.grant.attempt),
        send_within_ms: ms_rounded_down(decision.grant.send_by.saturating_sub(now)),
        wait_ms: ms_rounded_down(decision.grant.timeout_at.saturating_sub(now)),
        repeat: match decision.retry_scope {
            RetryScope::Never => pb::Repeat::Never,
            RetryScope::UnlessExecuted => pb::Repeat::IfNeverRan,
            RetryScope::WithinDedupScope => pb::Repeat::WithinGroup,
            RetryScope::Always => pb::Repeat::Always,
        } as i32,
    }
}

fn encode_reason(reason: &RejectReason) -> pb::Reason {
    match reason {
        RejectReason::Claim(ClaimError::Full(_)) | RejectReason::Overload | RejectReason::CallerLimit(_) => {
            pb::Reason::Overload
        }
        RejectReason::Class(_) | RejectReason::Claim(ClaimError::InvalidLength(_)) => pb::Reason::Invalid,
        RejectReason::Claim(ClaimError::KeyMismatch) => pb::Reason::OtherKey,
        RejectReason::Lease(LeaseError::OtherIncarnation) => pb::Reason::LeaseForeign,
        RejectReason::Lease(LeaseError::Unknown) => pb::Reason::LeaseUnknown,
        RejectReason::Lease(LeaseError::Expired) => pb::Reason::LeaseLate,
        RejectReason::Lease(LeaseError::AlreadyReported) => pb::Reason::LeaseDoubled,
        RejectReason::Lease(LeaseError::WrongState) => pb::Reason::LeaseState,
        RejectReason::EndpointMismatch(_) => pb::Reason::Endpoint,
        RejectReason::Draining => pb::Reason::Draining,
    }
}

fn encode_final(now: Micros, status: FinalStatus, is_replayed: bool) -> pb::Final {
    let (end, retry_at) = match status {
        FinalStatus::Served => (pb::End::Served, 0),
        FinalStatus::Rejected(retry_at) => (pb::End::Refused, retry_at),
        FinalStatus::Failed => (pb::End::Failed, 0),
        FinalStatus::Unknown => (pb::End::Unknown, 0),
    };
    let retry_after_ms = ms_rounded_up(retry_at.saturating_sub(now));
    pb::Final { end: end as i32, retry_after_ms, again: is_replayed }
}

fn encode_rejection(reason: &RejectReason) -> pb::Rejected {
    let message = match reason {
        RejectReason::Class(mismatch) => InvalidRequest::class_mismatch(mismatch, &field_names()).to_string(),
        reason => reason.to_string(),
    };
    pb::Rejected { reason: encode_reason(reason) as i32, message }
}

/// Encodes a reply that is sent at `now`; points in time become durations from `now` on.
#[must_use]
pub fn encode_reply(now: Micros, reply: Reply) -> pb::Answer {
    use pb::answer::Answer;
    let answer = match reply {
        Reply::Send(decision) => Answer::Send(encode_send(now, &decision)),
        Reply::Final { status, is_replayed } => Answer::Final(encode_final(now, status, is_replayed)),
        Reply::LeaseSettled => {
            Answer::Final(pb::Final { end: pb::End::Booked as i32, retry_after_ms: 0, again: false })
        }
        Reply::InFlight { age, by_key } => Answer::InFlight(pb::InFlight {
            held_for_ms: ms_rounded_up(age),
            ask_again_ms: ms_rounded_up(IN_FLIGHT_RETRY_DELAY),
            by_key,
        }),
        Reply::Renewed(expires_in) => Answer::Renewed(pb::Renewed { within_ms: ms_rounded_down(expires_in) }),
        Reply::Rejected(reason) => Answer::Rejected(encode_rejection(&reason)),
    };
    pb::Answer { answer: Some(answer) }
}

/// Encodes the reply to an invalid message.
#[must_use]
pub fn encode_invalid(error: &InvalidRequest) -> pb::Answer {
    let rejected = pb::Rejected { reason: pb::Reason::Invalid as i32, message: error.to_string() };
    pb::Answer { answer: Some(pb::answer::Answer::Rejected(rejected)) }
}

/// Encodes the revocation of a lease. Its tag is 0, since it answers no message.
#[must_use]
pub fn encode_revocation(lease: LeaseId) -> pb::TaggedAnswer {
    let revoked = pb::Revoked { lease: lease.to_string() };
    pb::TaggedAnswer {
        tag: 0,
        answer: Some(pb::Answer { answer: Some(pb::answer::Answer::Revoked(revoked)) }),
    }
}
