//! The values of the request fields that RFC 9110 defines.
//!
//! Fields whose malformed values a recipient has to ignore or may ignore are not among them (`If-Modified-Since`,
//! `If-Unmodified-Since`, `If-Range`, `Range`, `Max-Forwards`), nor those whose grammar is not of HTTP (`From`). The
//! fields that frame a message are checked where it is read.

use super::{Cursor, is_text, uri};
use hyper::header::{HeaderMap, HeaderValue};

/// The maximum number of letters in a subtag of a language.
const MAX_SUBTAG_LENGTH: usize = 8;
/// The maximum number of digits after the point of a weight.
const MAX_WEIGHT_DIGITS: usize = 3;

/// The grammar of a field.
struct FieldGrammar {
    is_list: bool,
    /// Matches an element of a list, or the value of a field that is none.
    element: fn(&mut Cursor<'_>) -> bool,
    /// Tells the client what is wrong.
    error: &'static str,
}

/// Checks the values of all fields of a head.
///
/// # Errors
/// A description of the first field that is malformed, or that occurs more than once although it is no list.
pub fn check_fields(headers: &HeaderMap) -> Result<(), &'static str> {
    for name in headers.keys() {
        let Some(grammar) = grammar_of(name.as_str()) else { continue };
        let values = headers.get_all(name);
        let is_repeated = !grammar.is_list && values.iter().nth(1).is_some();
        if is_repeated || !values.iter().all(|value| grammar.matches(value)) {
            return Err(grammar.error);
        }
    }
    Ok(())
}

impl FieldGrammar {
    const fn list(element: fn(&mut Cursor<'_>) -> bool, error: &'static str) -> Self {
        Self { is_list: true, element, error }
    }

    const fn single(element: fn(&mut Cursor<'_>) -> bool, error: &'static str) -> Self {
        Self { is_list: false, element, error }
    }

    fn matches(&self, value: &HeaderValue) -> bool {
        let mut cursor = Cursor(value.as_bytes());
        if self.is_list {
            cursor.list(self.element)
        } else {
            (self.element)(&mut cursor) && cursor.is_at_end()
        }
    }
}

/// The grammar of a field; `None` if any value is accepted.
fn grammar_of(name: &str) -> Option<FieldGrammar> {
    let grammar = match name {
        "accept" => FieldGrammar::list(media_range, "Accept is malformed\n"),
        "accept-charset" => FieldGrammar::list(weighted_token, "Accept-Charset is malformed\n"),
        "accept-encoding" => FieldGrammar::list(weighted_token, "Accept-Encoding is malformed\n"),
        "accept-language" => FieldGrammar::list(language_range, "Accept-Language is malformed\n"),
        "authorization" => FieldGrammar::single(credentials, "Authorization is malformed\n"),
        "connection" => FieldGrammar::list(token, "Connection is malformed\n"),
        "content-encoding" => FieldGrammar::list(token, "Content-Encoding is malformed\n"),
        "content-language" => FieldGrammar::list(language_tag, "Content-Language is malformed\n"),
        "content-location" => FieldGrammar::single(reference, "Content-Location is malformed\n"),
        "content-range" => FieldGrammar::single(content_range, "Content-Range is malformed\n"),
        "content-type" => FieldGrammar::single(media_type, "Content-Type is malformed\n"),
        "date" => FieldGrammar::single(date, "Date is malformed\n"),
        "expect" => FieldGrammar::list(expectation, "Expect is malformed\n"),
        "if-match" => FieldGrammar::list(entity_tag_or_any, "If-Match is malformed\n"),
        "if-none-match" => FieldGrammar::list(entity_tag_or_any, "If-None-Match is malformed\n"),
        "proxy-authorization" => FieldGrammar::single(credentials, "Proxy-Authorization is malformed\n"),
        "referer" => FieldGrammar::single(reference, "Referer is malformed\n"),
        "te" => FieldGrammar::list(transfer_coding, "TE is malformed\n"),
        "trailer" => FieldGrammar::list(token, "Trailer is malformed\n"),
        "upgrade" => FieldGrammar::list(product, "Upgrade is malformed\n"),
        "user-agent" => FieldGrammar::single(products_and_comments, "User-Agent is malformed\n"),
        "via" => FieldGrammar::list(recipient, "Via is malformed\n"),
        _ => return None,
    };
    Some(grammar)
}

fn token(cursor: &mut Cursor<'_>) -> bool {
    cursor.token()
}

/// Optional white space and a semicolon. Consumes nothing unless both match.
fn semicolon(cursor: &mut Cursor<'_>) -> bool {
    let mut ahead = *cursor;
    ahead.skip_white_space();
    if !ahead.skip_byte(b';') {
        return false;
    }
    ahead.skip_white_space();
    *cursor = ahead;
    true
}

/// `*( OWS ";" OWS [ parameter ] )`. A parameter `q` is a weight.
fn parameters(cursor: &mut Cursor<'_>) -> bool {
    while semicolon(cursor) {
        if cursor.next_is(super::is_token_char) && !parameter(cursor) {
            return false;
        }
    }
    true
}

fn parameter(cursor: &mut Cursor<'_>) -> bool {
    if is_weight(cursor) {
        return weight_value(cursor);
    }
    cursor.token() && cursor.skip_byte(b'=') && cursor.token_or_quoted_string()
}

fn is_weight(cursor: &Cursor<'_>) -> bool {
    matches!(cursor.0, [b'q' | b'Q', b'=', ..])
}

/// `"q=" qvalue`. The Java runtime's HTTP client omits the zero before the point.
fn weight_value(cursor: &mut Cursor<'_>) -> bool {
    if !is_weight(cursor) {
        return false;
    }
    cursor.0 = &cursor.0[2..];
    let is_one = cursor.skip_byte(b'1');
    let is_zero = !is_one && (cursor.skip_byte(b'0') || cursor.next_is(|byte| byte == b'.'));
    if !is_one && !is_zero {
        return false;
    }
    let is_digit = |byte: u8| if is_one { byte == b'0' } else { byte.is_ascii_digit() };
    !cursor.skip_byte(b'.') || cursor.skip_while(is_digit) <= MAX_WEIGHT_DIGITS
}

/// `[ weight ]`.
fn optional_weight(cursor: &mut Cursor<'_>) -> bool {
    !semicolon(cursor) || weight_value(cursor)
}

fn weighted_token(cursor: &mut Cursor<'_>) -> bool {
    cursor.token() && optional_weight(cursor)
}

fn media_type(cursor: &mut Cursor<'_>) -> bool {
    cursor.token() && cursor.skip_byte(b'/') && cursor.token() && parameters(cursor)
}

/// `media-range [ weight ]`: `*` is a token. The Java runtime's HTTP client sends it alone for any type.
fn media_range(cursor: &mut Cursor<'_>) -> bool {
    match cursor.0 {
        [b'*', rest @ ..] if !rest.starts_with(b"/") => {
            cursor.0 = rest;
            parameters(cursor)
        }
        _ => media_type(cursor),
    }
}

/// `"trailers" / ( transfer-coding [ weight ] )`, with white space allowed around the equals sign of a parameter.
fn transfer_coding(cursor: &mut Cursor<'_>) -> bool {
    if !cursor.token() {
        return false;
    }
    while semicolon(cursor) {
        let is_parameter = if is_weight(cursor) { weight_value(cursor) } else { spaced_parameter(cursor) };
        if !is_parameter {
            return false;
        }
    }
    true
}

/// `token BWS "=" BWS ( token / quoted-string )`.
fn spaced_parameter(cursor: &mut Cursor<'_>) -> bool {
    if !cursor.token() {
        return false;
    }
    cursor.skip_white_space();
    let has_value = cursor.skip_byte(b'=');
    cursor.skip_white_space();
    has_value && cursor.token_or_quoted_string()
}

fn subtag(cursor: &mut Cursor<'_>, is_allowed: fn(&u8) -> bool) -> bool {
    (1..=MAX_SUBTAG_LENGTH).contains(&cursor.skip_while(|byte| is_allowed(&byte)))
}

fn language_tag(cursor: &mut Cursor<'_>) -> bool {
    if !subtag(cursor, u8::is_ascii_alphabetic) {
        return false;
    }
    while cursor.skip_byte(b'-') {
        if !subtag(cursor, u8::is_ascii_alphanumeric) {
            return false;
        }
    }
    true
}

/// `language-range [ weight ]`.
fn language_range(cursor: &mut Cursor<'_>) -> bool {
    (cursor.skip_byte(b'*') || language_tag(cursor)) && optional_weight(cursor)
}

/// `auth-scheme [ 1*SP ( token68 / #auth-param ) ]`.
fn credentials(cursor: &mut Cursor<'_>) -> bool {
    if !cursor.token() {
        return false;
    }
    if cursor.is_at_end() {
        return true;
    }
    if cursor.skip_while(|byte| byte == b' ') == 0 {
        return false;
    }
    let mut ahead = *cursor;
    let has_token = ahead.skip_while(|byte| byte.is_ascii_alphanumeric() || b"-._~+/".contains(&byte)) > 0;
    ahead.skip_while(|byte| byte == b'=');
    if has_token && ahead.is_at_end() {
        *cursor = ahead;
        return true;
    }
    cursor.list(spaced_parameter)
}

fn reference(cursor: &mut Cursor<'_>) -> bool {
    uri::is_reference_without_fragment(std::mem::take(&mut cursor.0))
}

/// `range-unit SP ( first "-" last "/" ( length / "*" ) / "*/" length )`.
fn content_range(cursor: &mut Cursor<'_>) -> bool {
    if !cursor.token() || !cursor.skip_byte(b' ') {
        return false;
    }
    if cursor.skip_byte(b'*') {
        return cursor.skip_byte(b'/') && cursor.digits();
    }
    let has_range = cursor.digits() && cursor.skip_byte(b'-') && cursor.digits() && cursor.skip_byte(b'/');
    has_range && (cursor.skip_byte(b'*') || cursor.digits())
}

fn date(cursor: &mut Cursor<'_>) -> bool {
    let value = std::mem::take(&mut cursor.0);
    str::from_utf8(value).is_ok_and(|text| httpdate::parse_http_date(text).is_ok())
}

/// `token [ "=" ( token / quoted-string ) parameters ]`.
fn expectation(cursor: &mut Cursor<'_>) -> bool {
    cursor.token() && (!cursor.skip_byte(b'=') || (cursor.token_or_quoted_string() && parameters(cursor)))
}

/// `"*" / entity-tag`.
fn entity_tag_or_any(cursor: &mut Cursor<'_>) -> bool {
    if cursor.skip_byte(b'*') {
        return true;
    }
    if cursor.skip_byte(b'W') && !cursor.skip_byte(b'/') {
        return false;
    }
    let is_tag_char = |byte: u8| is_text(byte) && !super::is_white_space(byte) && byte != b'"';
    cursor.skip_byte(b'"') && {
        cursor.skip_while(is_tag_char);
        cursor.skip_byte(b'"')
    }
}

/// `token [ "/" token ]`: a product or a protocol with an optional version.
fn product(cursor: &mut Cursor<'_>) -> bool {
    cursor.token() && (!cursor.skip_byte(b'/') || cursor.token())
}

/// `product *( RWS ( product / comment ) )`.
fn products_and_comments(cursor: &mut Cursor<'_>) -> bool {
    if !product(cursor) {
        return false;
    }
    while cursor.skip_white_space() {
        let is_comment = cursor.next_is(|byte| byte == b'(');
        if !(if is_comment { cursor.comment() } else { product(cursor) }) {
            return false;
        }
    }
    true
}

/// `received-protocol RWS received-by [ RWS comment ]`.
fn recipient(cursor: &mut Cursor<'_>) -> bool {
    if !product(cursor) || !cursor.skip_white_space() {
        return false;
    }
    let end = cursor.0.iter().position(|&byte| super::is_white_space(byte) || byte == b',');
    let (host, rest) = cursor.0.split_at(end.unwrap_or(cursor.0.len()));
    cursor.0 = rest;
    if host.is_empty() || !uri::is_host_with_optional_port(host) {
        return false;
    }
    let mut ahead = *cursor;
    ahead.skip_white_space();
    if !ahead.next_is(|byte| byte == b'(') {
        return true;
    }
    *cursor = ahead;
    cursor.comment()
}
