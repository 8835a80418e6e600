//! Splits the bytes of a client connection into requests, as far as the proxy needs it: to find the head of
//! the open request, and to detect bytes beyond that request. Pure: no I/O, no clock.

mod chunked;

use self::chunked::ChunkedScanner;
use crate::size_limits::MAX_REQUEST_HEAD_BYTES;

/// The part of the open request's body that has not arrived yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RemainingBody {
    #[default]
    Nothing,
    Bytes(u64),
    Chunked(ChunkedScanner),
    /// Only the HTTP library can find the end of the body.
    Unknown,
}

/// The framing of the bytes that were received.
#[derive(Debug, Default)]
pub struct Framing {
    /// The head of the open request.
    head: Vec<u8>,
    body: RemainingBody,
    /// The bytes that follow the open request, up to [`MAX_REQUEST_HEAD_BYTES`].
    pipelined: Vec<u8>,
    /// More bytes have followed than are stored.
    is_truncated: bool,
}

/// The end of a head, which is after its first empty line. Each line ends with a line feed, and a carriage return
/// may precede it.
fn head_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|window| window == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(3).position(|window| window == b"\n\r\n").map(|at| at + 3);
    crlf.into_iter().chain(lf).min()
}

/// The value of the first header of this name.
fn header_value<'a>(head: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    head.split(|&byte| byte == b'\n').find_map(|line| {
        let (start, value) = line.split_at_checked(name.len())?;
        let value = value.strip_prefix(b":")?;
        start.eq_ignore_ascii_case(name).then_some(value)
    })
}

fn expected_body(head: &[u8]) -> RemainingBody {
    if header_value(head, b"transfer-encoding").is_some() {
        return RemainingBody::Chunked(ChunkedScanner::default());
    }
    let Some(length) = header_value(head, b"content-length") else { return RemainingBody::Nothing };
    let length = str::from_utf8(length).ok().and_then(|text| text.trim().parse().ok());
    length.map_or(RemainingBody::Unknown, RemainingBody::Bytes)
}

impl Framing {
    /// Records received bytes, in the order of their arrival.
    pub fn receive(&mut self, mut bytes: &[u8]) {
        if let RemainingBody::Bytes(remaining) = self.body {
            let body_bytes = usize::try_from(remaining).unwrap_or(usize::MAX).min(bytes.len());
            self.body = RemainingBody::Bytes(remaining - body_bytes as u64);
            bytes = &bytes[body_bytes..];
        }
        if let RemainingBody::Chunked(scanner) = &mut self.body {
            let scanned = scanner.scan(bytes);
            bytes = if scanner.is_malformed() { &[] } else { &bytes[scanned..] };
        }
        if self.body != RemainingBody::Unknown {
            let capacity = MAX_REQUEST_HEAD_BYTES.saturating_sub(self.pipelined.len());
            self.is_truncated |= bytes.len() > capacity;
            self.pipelined.extend_from_slice(&bytes[..bytes.len().min(capacity)]);
        }
    }

    /// Records that the HTTP library has read the head of a request.
    pub fn start_request(&mut self) {
        let empty_lines = self.pipelined.iter().take_while(|byte| b"\r\n".contains(byte)).count();
        self.pipelined.drain(..empty_lines);
        let Some(end) = head_end(&self.pipelined) else {
            // The buffer does not contain the complete head.
            self.head = std::mem::take(&mut self.pipelined);
            self.body = RemainingBody::Unknown;
            return;
        };
        let rest = self.pipelined.split_off(end);
        self.head = std::mem::take(&mut self.pipelined);
        // Without the bytes that were not stored, the position within a body is unknown.
        let is_exact = !std::mem::take(&mut self.is_truncated);
        self.body = if is_exact { expected_body(&self.head) } else { RemainingBody::Unknown };
        self.receive(&rest);
    }

    /// Records that the open request's response has ended.
    pub fn finish_request(&mut self) {
        self.head.clear();
        self.body = RemainingBody::Nothing;
    }

    /// Whether bytes beyond the open request have arrived; false if that is unknown.
    #[must_use]
    pub fn has_pipelined_bytes(&self) -> bool {
        self.pipelined.iter().any(|byte| !b"\r\n".contains(byte))
    }

    /// Whether a part of the open request's body has not arrived; false if that is unknown.
    #[must_use]
    pub fn is_body_incomplete(&self) -> bool {
        match self.body {
            RemainingBody::Bytes(remaining) => remaining > 0,
            RemainingBody::Chunked(scanner) => !scanner.has_ended() && !scanner.is_malformed(),
            RemainingBody::Nothing | RemainingBody::Unknown => false,
        }
    }

    /// Whether the complete body of the open request has arrived; false if that is unknown.
    #[must_use]
    pub fn is_body_complete(&self) -> bool {
        match self.body {
            RemainingBody::Nothing => true,
            RemainingBody::Bytes(remaining) => remaining == 0,
            RemainingBody::Chunked(scanner) => scanner.has_ended(),
            RemainingBody::Unknown => false,
        }
    }

    /// The number of bytes of the open request's body that are not read, if its length is known.
    #[must_use]
    pub fn remaining_length(&self) -> Option<u64> {
        match self.body {
            RemainingBody::Bytes(remaining) => Some(remaining),
            RemainingBody::Nothing | RemainingBody::Chunked(_) | RemainingBody::Unknown => None,
        }
    }

    /// Whether the bytes of the open request's body violate the chunked transfer coding. A chunked body whose
    /// position is unknown can't be checked, and counts as malformed.
    #[must_use]
    pub fn is_body_malformed(&self) -> bool {
        match self.body {
            RemainingBody::Chunked(scanner) => scanner.is_malformed(),
            RemainingBody::Unknown => header_value(&self.head, b"transfer-encoding").is_some(),
            RemainingBody::Nothing | RemainingBody::Bytes(_) => false,
        }
    }

    /// Whether the target of the open request has a fragment, which the HTTP library drops silently.
    #[must_use]
    pub fn has_target_fragment(&self) -> bool {
        let line = self.head.split(|&byte| byte == b'\n').next();
        line.is_some_and(|line| line.contains(&b'#'))
    }

    /// Whether the head has both a Content-Length and a Transfer-Encoding header. The HTTP library drops the
    /// length silently.
    #[must_use]
    pub fn has_length_and_encoding(&self) -> bool {
        let head = if self.head.is_empty() { &self.pipelined } else { &self.head };
        let head = &head[..head_end(head).unwrap_or(head.len())];
        header_value(head, b"content-length").is_some() && header_value(head, b"transfer-encoding").is_some()
    }
}

#[cfg(test)]
mod tests;
