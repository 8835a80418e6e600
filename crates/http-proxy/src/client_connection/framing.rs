//! The bytes that have come on a client's connection, told apart into requests as far as that is needed here: which head is
//! being answered, and whether more than the open request has come. Pure: no I/O, no clock.

/// The bytes that are kept of what no request that was read yet belongs to.
const KEPT: usize = crate::size_limits::REQUEST_HEAD_CAP;

/// What is still to come of the open request's body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Body {
    /// Nothing.
    #[default]
    Whole,
    /// So many bytes.
    Bytes(u64),
    /// Nobody knows before its end.
    Unknown,
}

/// What has come, in the order in which it came.
#[derive(Debug, Default)]
pub struct Framing {
    /// The head of the open request.
    head: Vec<u8>,
    body: Body,
    /// What came behind the open request, up to a bound.
    behind: Vec<u8>,
}

/// Where a head ends: behind its first empty line.
fn head_end(bytes: &[u8]) -> Option<usize> {
    let long = bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4);
    let short = bytes.windows(2).position(|window| window == b"\n\n").map(|at| at + 2);
    long.into_iter().chain(short).min()
}

/// The value of the first field of this name.
fn field<'a>(head: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    head.split(|&byte| byte == b'\n').find_map(|line| {
        let (start, value) = line.split_at_checked(name.len())?;
        let value = value.strip_prefix(b":")?;
        start.eq_ignore_ascii_case(name).then_some(value)
    })
}

impl Framing {
    /// More bytes have come.
    pub fn came(&mut self, mut bytes: &[u8]) {
        if let Body::Bytes(left) = self.body {
            let own = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
            self.body = Body::Bytes(left - own as u64);
            bytes = &bytes[own..];
        }
        if self.body != Body::Unknown {
            let room = KEPT.saturating_sub(self.behind.len());
            self.behind.extend_from_slice(&bytes[..bytes.len().min(room)]);
        }
    }

    /// The head of a request was read.
    pub fn head_was_read(&mut self) {
        let empty_lines = self.behind.iter().take_while(|byte| b"\r\n".contains(byte)).count();
        self.behind.drain(..empty_lines);
        let Some(end) = head_end(&self.behind) else {
            // Longer than what is kept.
            (self.head, self.body) = (std::mem::take(&mut self.behind), Body::Unknown);
            return;
        };
        let rest = self.behind.split_off(end);
        self.head = std::mem::take(&mut self.behind);
        self.body = match field(&self.head, b"content-length") {
            _ if field(&self.head, b"transfer-encoding").is_some() => Body::Unknown,
            None => Body::Whole,
            Some(length) => {
                let length = str::from_utf8(length).ok().and_then(|text| text.trim().parse().ok());
                length.map_or(Body::Unknown, Body::Bytes)
            }
        };
        self.came(&rest);
    }

    /// The open request has its answer.
    pub fn was_answered(&mut self) {
        self.head.clear();
        self.body = Body::Whole;
    }

    /// Whether more has come than the open request, as far as that is known.
    #[must_use]
    pub fn has_more(&self) -> bool {
        self.behind.iter().any(|byte| !b"\r\n".contains(byte))
    }

    /// Whether the head that came holds both a length and an encoding. The HTTP library drops the length unseen.
    #[must_use]
    pub fn has_length_and_encoding(&self) -> bool {
        let head = if self.head.is_empty() { &self.behind } else { &self.head };
        let head = &head[..head_end(head).unwrap_or(head.len())];
        field(head, b"content-length").is_some() && field(head, b"transfer-encoding").is_some()
    }
}

#[cfg(test)]
mod tests;
