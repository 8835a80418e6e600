//! The grammar of HTTP messages: characters, tokens and quoted strings of RFC 9110 section 5.6. Pure: no I/O, no
//! clock.

pub mod fields;
pub mod uri;

/// Whether a byte may be part of a token (`tchar`).
#[must_use]
pub fn is_token_char(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether a byte may be part of a field value or a quoted string: a tab, a space, or any byte but control characters.
#[must_use]
pub fn is_text(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Whether a byte is white space within a line.
#[must_use]
pub fn is_white_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t')
}

/// A position in a value. Its methods consume what they match; after a mismatch the position is unspecified.
#[derive(Clone, Copy, Debug)]
struct Cursor<'a>(&'a [u8]);

impl Cursor<'_> {
    fn is_at_end(&self) -> bool {
        self.0.is_empty()
    }

    fn next_is(&self, matches: impl Fn(u8) -> bool) -> bool {
        self.0.first().is_some_and(|&byte| matches(byte))
    }

    /// Skips the bytes that match, and returns their number.
    fn skip_while(&mut self, matches: impl Fn(u8) -> bool) -> usize {
        let count = self.0.iter().take_while(|&&byte| matches(byte)).count();
        self.0 = &self.0[count..];
        count
    }

    /// Skips one byte if it is this one, and returns whether it is.
    fn skip_byte(&mut self, byte: u8) -> bool {
        let rest = self.0.strip_prefix(&[byte]);
        self.0 = rest.unwrap_or(self.0);
        rest.is_some()
    }

    /// Skips optional white space (`OWS`, `BWS`), and returns whether there is any (`RWS`).
    fn skip_white_space(&mut self) -> bool {
        self.skip_while(is_white_space) > 0
    }

    fn token(&mut self) -> bool {
        self.skip_while(is_token_char) > 0
    }

    fn digits(&mut self) -> bool {
        self.skip_while(|byte| byte.is_ascii_digit()) > 0
    }

    fn quoted_string(&mut self) -> bool {
        if !self.skip_byte(b'"') {
            return false;
        }
        loop {
            self.skip_while(|byte| is_text(byte) && byte != b'"' && byte != b'\\');
            if !self.quoted_pair() {
                return self.skip_byte(b'"');
            }
        }
    }

    fn quoted_pair(&mut self) -> bool {
        match self.0 {
            [b'\\', byte, rest @ ..] if is_text(*byte) => {
                self.0 = rest;
                true
            }
            _ => false,
        }
    }

    fn token_or_quoted_string(&mut self) -> bool {
        if self.next_is(|byte| byte == b'"') { self.quoted_string() } else { self.token() }
    }

    /// A comment, which may contain comments.
    fn comment(&mut self) -> bool {
        if !self.skip_byte(b'(') {
            return false;
        }
        let mut depth = 1_usize;
        while depth > 0 {
            self.skip_while(|byte| is_text(byte) && !b"()\\".contains(&byte));
            if self.skip_byte(b'(') {
                depth += 1;
            } else if self.skip_byte(b')') {
                depth -= 1;
            } else if !self.quoted_pair() {
                return false;
            }
        }
        true
    }

    /// A list whose elements are separated by commas; a recipient accepts empty elements.
    fn list(&mut self, element: impl Fn(&mut Self) -> bool) -> bool {
        loop {
            self.skip_while(|byte| is_white_space(byte) || byte == b',');
            if self.is_at_end() {
                return true;
            }
            if !element(self) {
                return false;
            }
            self.skip_white_space();
            if !self.is_at_end() && !self.next_is(|byte| byte == b',') {
                return false;
            }
        }
    }
}
