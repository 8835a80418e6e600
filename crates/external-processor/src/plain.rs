//! The messages of the plain service, to and from the desk's words. No I/O and no clock.

use crate::decision_request::{Fields, RequestCatalog, Unusable};
use crate::decision_service::{ASK_RETRY_DELAY, Fault, Reply, Report, Request, Send};
use crate::generated as pb;
use crate::settings::Headers;
use balancer::api::{Micros, Outcome};
use request_engine::idempotency::{ClaimError, FinalStatus};
use request_engine::lease::{LeaseError, LeaseId};

/// What the fields of a [`pb::DecideRequest`] are called, for messages about them.
#[must_use]
pub fn names() -> Headers {
    Headers {
        id: "id".into(),
        class: "class".into(),
        tenant: "tenant".into(),
        key: "idempotency_key".into(),
        time_left: "time_left_ms".into(),
        work: "work_us".into(),
        repeat: "repeat".into(),
    }
}

fn lease(field: &str, text: &str) -> Result<LeaseId, Unusable> {
    match text {
        "" => Err(Unusable::Missing(field.into())),
        text => text.parse().map_err(|e: request_engine::lease::ParseLeaseIdError| {
            Unusable::Senseless(field.into(), e.to_string())
        }),
    }
}

/// The request that a message asks for.
///
/// # Errors
/// The first field that is missing or makes no sense.
pub fn request(
    now: Micros,
    asked: &pb::DecideRequest,
    catalogue: &RequestCatalog,
    names: &Headers,
) -> Result<Request, Unusable> {
    let given = |value: u64| (value > 0).then_some(value);
    let fields = Fields {
        id: &asked.id,
        class: &asked.class,
        tenant: &asked.tenant,
        key: &asked.idempotency_key,
        about: given(asked.about),
        patience: given(u64::from(asked.time_left_ms)).map(|ms| ms * 1_000),
        work: given(asked.work_us),
        repeat: asked.repeat,
    };
    let prior = match asked.prior_lease.as_str() {
        "" => None,
        text => Some(lease("prior_lease", text)?),
    };
    Ok(Request { prior, wait: asked.wait, ..catalogue.request(now, &fields, names)? })
}

/// The report that a message makes.
///
/// # Errors
/// The first field that is missing or makes no sense.
pub fn report(told: &pb::ReportRequest) -> Result<Report, Unusable> {
    use pb::Outcome as O;
    let senseless = |field: &str, what: String| Unusable::Senseless(field.into(), what);
    let outcome = match O::try_from(told.outcome) {
        Ok(O::Unspecified) => return Err(Unusable::Missing("outcome".into())),
        Ok(O::Served) => Some(Outcome::Ok),
        Ok(O::Error) => Some(Outcome::Error),
        Ok(O::TurnedAway) => Some(Outcome::Rejected),
        Ok(O::CouldNotConnect) => Some(Outcome::ConnectFailed),
        Ok(O::Reset) => Some(Outcome::Reset),
        Ok(O::TimedOut) => Some(Outcome::Timeout),
        Ok(O::NotSent) => Some(Outcome::NotSent),
        Ok(O::Cancelled) => Some(Outcome::Cancelled),
        Ok(O::Spoilt) => Some(Outcome::Malformed),
        Ok(O::Established) => None,
        Err(_) => return Err(senseless("outcome", format!("no outcome has the number {}", told.outcome))),
    };
    let endpoint = match told.endpoint.as_str() {
        "" => None,
        text => Some(text.parse().map_err(|_| senseless("endpoint", "not an IP:PORT".into()))?),
    };
    Ok(Report { lease: lease("lease", &told.lease)?, outcome, endpoint, load: told.load.clone() })
}

/// The lease that a message renews.
///
/// # Errors
/// Where it names none.
pub fn renewed(told: &pb::RenewRequest) -> Result<LeaseId, Unusable> {
    lease("lease", &told.lease)
}

/// A span as messages hold it, rounded up.
fn ms(span: Micros) -> u32 {
    u32::try_from(span.div_ceil(1_000)).unwrap_or(u32::MAX)
}

/// A span that must not grow on the way, rounded down.
fn whole_ms(span: Micros) -> u32 {
    u32::try_from(span / 1_000).unwrap_or(u32::MAX)
}

fn send(now: Micros, send: &Send) -> pb::Send {
    use crate::decision_service::Repeat as R;
    pb::Send {
        endpoint: send.endpoint.to_string(),
        lease: send.grant.lease.to_string(),
        attempt: u32::from(send.grant.attempt),
        send_within_ms: whole_ms(send.grant.send_by.saturating_sub(now)),
        wait_ms: whole_ms(send.grant.give_up_at.saturating_sub(now)),
        repeat: match send.repeat {
            R::Never => pb::Repeat::Never,
            R::IfNeverRan => pb::Repeat::IfNeverRan,
            R::WithinGroup => pb::Repeat::WithinGroup,
            R::Always => pb::Repeat::Always,
        } as i32,
    }
}

fn reason(fault: Fault) -> pb::Reason {
    match fault {
        Fault::Claim(ClaimError::Full(_)) | Fault::Overload | Fault::TooMany(_) => pb::Reason::Overload,
        Fault::Claim(ClaimError::InvalidName(_)) => pb::Reason::Invalid,
        Fault::Claim(ClaimError::KeyMismatch) => pb::Reason::OtherKey,
        Fault::Lease(LeaseError::Foreign) => pb::Reason::LeaseForeign,
        Fault::Lease(LeaseError::Unknown) => pb::Reason::LeaseUnknown,
        Fault::Lease(LeaseError::Late) => pb::Reason::LeaseLate,
        Fault::Lease(LeaseError::AlreadyReported) => pb::Reason::LeaseDoubled,
        Fault::Lease(LeaseError::WrongState) => pb::Reason::LeaseState,
        Fault::Endpoint(_) => pb::Reason::Endpoint,
        Fault::Draining => pb::Reason::Draining,
    }
}

/// A reply as a message, at `now`.
#[must_use]
pub fn answer(now: Micros, reply: Reply) -> pb::Answer {
    use pb::answer::Answer as A;
    let ended = |end: pb::End, again, until: Micros| {
        let retry_after_ms = ms(until.saturating_sub(now));
        A::Final(pb::Final { end: end as i32, retry_after_ms, again })
    };
    let answer = match reply {
        Reply::Send(told) => A::Send(send(now, &told)),
        Reply::Final { end: FinalStatus::Served, again } => ended(pb::End::Served, again, 0),
        Reply::Final { end: FinalStatus::Rejected(until), again } => ended(pb::End::Refused, again, until),
        Reply::Final { end: FinalStatus::Failed, again } => ended(pb::End::Failed, again, 0),
        Reply::Final { end: FinalStatus::Unknown, again } => ended(pb::End::Unknown, again, 0),
        Reply::Booked => ended(pb::End::Booked, false, 0),
        Reply::InFlight { held_for, by_key } => {
            A::InFlight(pb::InFlight { held_for_ms: ms(held_for), ask_again_ms: ms(ASK_RETRY_DELAY), by_key })
        }
        Reply::Renewed(within) => A::Renewed(pb::Renewed { within_ms: whole_ms(within) }),
        Reply::Rejected(fault) => {
            A::Rejected(pb::Rejected { reason: reason(fault) as i32, message: fault.to_string() })
        }
    };
    pb::Answer { answer: Some(answer) }
}

/// A message that is no question.
#[must_use]
pub fn invalid(error: &Unusable) -> pb::Answer {
    let rejected = pb::Rejected { reason: pb::Reason::Invalid as i32, message: error.to_string() };
    pb::Answer { answer: Some(pb::answer::Answer::Rejected(rejected)) }
}

/// The word that a lease is asked back.
#[must_use]
pub fn revoked(lease: LeaseId) -> pb::TaggedAnswer {
    let revoked = pb::Revoked { lease: lease.to_string() };
    pb::TaggedAnswer {
        tag: 0,
        answer: Some(pb::Answer { answer: Some(pb::answer::Answer::Revoked(revoked)) }),
    }
}
