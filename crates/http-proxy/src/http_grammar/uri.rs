//! The parts of a URI, as RFC 3986 defines them.

use std::net::Ipv6Addr;

/// Whether a text is a path: segments of allowed characters, with complete percent-encodings.
#[must_use]
pub fn is_path(text: &[u8]) -> bool {
    consists_of(text, |byte| is_path_char(byte) || byte == b'/')
}

/// Whether a text is a query.
#[must_use]
pub fn is_query(text: &[u8]) -> bool {
    consists_of(text, |byte| is_path_char(byte) || b"/?".contains(&byte))
}

/// Whether a text is a URI without a fragment, or a reference to one that is relative to another.
#[must_use]
pub fn is_reference_without_fragment(text: &[u8]) -> bool {
    consists_of(text, |byte| is_path_char(byte) || b"/?[]".contains(&byte))
}

/// Whether a text is `uri-host [":" port]`; the host may be empty.
#[must_use]
pub fn is_host_with_optional_port(text: &[u8]) -> bool {
    let host_length = if text.starts_with(b"[") {
        text.iter().position(|&byte| byte == b']').map(|at| at + 1)
    } else {
        Some(text.iter().position(|&byte| byte == b':').unwrap_or(text.len()))
    };
    let Some((host, port)) = host_length.map(|length| text.split_at(length)) else { return false };
    let is_port = match port.split_first() {
        None => true,
        Some((&colon, digits)) => colon == b':' && digits.iter().all(u8::is_ascii_digit),
    };
    is_port && is_host(host)
}

fn is_host(text: &[u8]) -> bool {
    match text.strip_prefix(b"[").map(|rest| rest.strip_suffix(b"]")) {
        None => consists_of(text, |byte| is_unreserved(byte) || is_sub_delimiter(byte)),
        Some(literal) => literal.is_some_and(is_address),
    }
}

/// Whether a text is an IPv6 address, or one of a future version: `"v" 1*HEXDIG "." 1*(unreserved / sub-delims /
/// ":")`.
fn is_address(text: &[u8]) -> bool {
    if let [b'v' | b'V', rest @ ..] = text {
        let Some(dot) = rest.iter().position(|&byte| byte == b'.') else { return false };
        let (version, address) = (&rest[..dot], &rest[dot + 1..]);
        let is_address_char = |&byte: &u8| is_unreserved(byte) || is_sub_delimiter(byte) || byte == b':';
        let is_version = !version.is_empty() && version.iter().all(u8::is_ascii_hexdigit);
        return is_version && !address.is_empty() && address.iter().all(is_address_char);
    }
    str::from_utf8(text).is_ok_and(|text| text.parse::<Ipv6Addr>().is_ok())
}

/// Whether a text consists of these characters and of percent-encoded ones.
fn consists_of(text: &[u8], is_allowed: impl Fn(u8) -> bool) -> bool {
    let mut rest = text;
    while let Some((&byte, following)) = rest.split_first() {
        rest = match (byte, following) {
            (b'%', [high, low, tail @ ..]) if high.is_ascii_hexdigit() && low.is_ascii_hexdigit() => tail,
            (byte, _) if is_allowed(byte) => following,
            _ => return false,
        };
    }
    true
}

fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~".contains(&byte)
}

fn is_sub_delimiter(byte: u8) -> bool {
    b"!$&'()*+,;=".contains(&byte)
}

/// Whether a byte may stand in a segment of a path as it is (`pchar`).
fn is_path_char(byte: u8) -> bool {
    is_unreserved(byte) || is_sub_delimiter(byte) || b":@".contains(&byte)
}

#[cfg(test)]
mod tests;
