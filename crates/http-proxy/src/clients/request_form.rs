//! Checks of a request's head that RFC 9110 and 9112 demand of a recipient, beyond those of the HTTP library.

use super::local_responses::RejectedRequest;
use crate::client_connection::ClientConnection;
use crate::http_grammar::fields::check_fields;
use crate::http_grammar::uri::{is_host_with_optional_port, is_path, is_query};
use hyper::header::{HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{StatusCode, Version};

/// Rejects heads that a backend could read differently than this proxy, and targets that are not served.
pub(super) fn check_form(head: &Parts, connection: &ClientConnection) -> Result<(), RejectedRequest> {
    check_transfer_encoding(&head.headers, connection)?;
    check_target(head, connection)?;
    check_fields(&head.headers).map_err(RejectedRequest::bad_request)
}

fn check_transfer_encoding(
    headers: &HeaderMap,
    connection: &ClientConnection,
) -> Result<(), RejectedRequest> {
    if !headers.contains_key(TRANSFER_ENCODING) {
        return Ok(());
    }
    // A server that relies on the length may find another request within the body, and execute it.
    if connection.has_length_and_encoding() {
        return Err(RejectedRequest::bad_request("Content-Length beside Transfer-Encoding\n"));
    }
    let values = headers.get_all(TRANSFER_ENCODING).iter().filter_map(|value| value.to_str().ok());
    let codings: Vec<&str> = values
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .filter(|coding| !coding.is_empty())
        .collect();
    let is_chunked = |coding: &&str| coding.eq_ignore_ascii_case("chunked");
    match codings.as_slice() {
        [coding] if is_chunked(coding) => Ok(()),
        codings if codings.iter().all(is_chunked) => {
            Err(RejectedRequest::bad_request("chunked more than once\n"))
        }
        _ => Err(RejectedRequest::new(StatusCode::NOT_IMPLEMENTED, "unknown transfer coding\n")),
    }
}

/// Rejects heads without exactly one valid Host.
pub(super) fn check_host(version: Version, headers: &HeaderMap) -> Result<(), RejectedRequest> {
    let mut hosts = headers.get_all(HOST).iter();
    match (hosts.next(), hosts.next()) {
        (_, Some(_)) => Err(RejectedRequest::bad_request("more than one Host\n")),
        (None, None) if version == Version::HTTP_11 => Err(RejectedRequest::bad_request("Host is missing\n")),
        (Some(host), None) if !is_host_with_optional_port(host.as_bytes()) => {
            Err(RejectedRequest::bad_request("Host is neither a name nor an address\n"))
        }
        _ => Ok(()),
    }
}

fn check_target(head: &Parts, connection: &ClientConnection) -> Result<(), RejectedRequest> {
    if connection.has_target_fragment() {
        return Err(RejectedRequest::bad_request("the target has a fragment\n"));
    }
    let is_served = head.uri.scheme_str().is_none_or(|scheme| ["http", "https"].contains(&scheme));
    // User information is no part of a host.
    let is_host = head.uri.authority().is_none_or(|authority| {
        !authority.host().is_empty() && is_host_with_optional_port(authority.as_str().as_bytes())
    });
    if !is_served || !is_host {
        return Err(RejectedRequest::bad_request("the target makes no sense\n"));
    }
    let is_well_formed =
        is_path(head.uri.path().as_bytes()) && is_query(head.uri.query().unwrap_or_default().as_bytes());
    if !is_well_formed {
        return Err(RejectedRequest::bad_request("the target has characters that are not allowed\n"));
    }
    Ok(())
}

/// The Host that an absolute target replaces that of the header with.
pub(super) fn target_host(head: &Parts) -> Option<HeaderValue> {
    HeaderValue::try_from(head.uri.authority()?.as_str()).ok()
}
