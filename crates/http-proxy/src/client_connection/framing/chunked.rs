//! Checks the chunked transfer coding of a request body byte by byte, as strictly as RFC 9112 section 7.1
//! defines it, and finds the end of the body. Pure: no I/O, no clock.

use crate::http_grammar::{is_text, is_token_char, is_white_space};

/// The position within the extensions of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExtensionPosition {
    /// In white space before a semicolon.
    BeforeSemicolon,
    /// After a semicolon, before the name.
    BeforeName,
    Name,
    /// In white space after the name.
    AfterName,
    /// After the equals sign.
    BeforeValue,
    Value,
    QuotedValue,
    /// After a backslash in a quoted value.
    EscapedCharacter,
    AfterQuotedValue,
}

/// The position within a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// Within the digits of a chunk's size.
    Size {
        value: u64,
        has_digits: bool,
    },
    /// Behind the size of a chunk.
    Extensions {
        size: u64,
        position: ExtensionPosition,
    },
    /// Before the line feed that ends the line with the size.
    SizeLineEnd {
        size: u64,
    },
    Data {
        remaining: u64,
    },
    DataCarriageReturn,
    DataLineFeed,
    /// At the start of a trailer line, or of the empty line that ends the body.
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLineEnd,
    FinalLineFeed,
    End,
    Malformed,
}

/// Scans one chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkedScanner(Position);

impl Default for ChunkedScanner {
    fn default() -> Self {
        Self(Position::Size { value: 0, has_digits: false })
    }
}

impl ChunkedScanner {
    /// Scans the next bytes of the connection, and returns how many of them belong to the body.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let mut scanned = 0;
        while scanned < bytes.len() && !self.has_ended() && !self.is_malformed() {
            if let Position::Data { remaining } = self.0 {
                let count = usize::try_from(remaining).unwrap_or(usize::MAX).min(bytes.len() - scanned);
                self.0 = after_data(remaining - count as u64);
                scanned += count;
            } else {
                self.0 = self.0.next(bytes[scanned]);
                scanned += 1;
            }
        }
        scanned
    }

    /// Whether the complete body was scanned.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.0 == Position::End
    }

    /// Whether the body violates the coding. Its end is unknown then.
    #[must_use]
    pub fn is_malformed(&self) -> bool {
        self.0 == Position::Malformed
    }
}

fn after_data(remaining: u64) -> Position {
    if remaining == 0 { Position::DataCarriageReturn } else { Position::Data { remaining } }
}

fn after_size_line(size: u64) -> Position {
    if size == 0 { Position::TrailerStart } else { Position::Data { remaining: size } }
}

impl Position {
    /// The position after `byte`. Data is skipped by [`ChunkedScanner::scan`].
    fn next(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::Size { value, has_digits }, _) => Self::in_size(value, has_digits, byte),
            (Self::Extensions { size, position }, b'\r') if position.may_end_line() => {
                Self::SizeLineEnd { size }
            }
            (Self::Extensions { size, position }, _) => match position.next(byte) {
                Some(position) => Self::Extensions { size, position },
                None => Self::Malformed,
            },
            (Self::SizeLineEnd { size }, b'\n') => after_size_line(size),
            (Self::DataCarriageReturn, b'\r') => Self::DataLineFeed,
            (Self::DataLineFeed, b'\n') => Self::Size { value: 0, has_digits: false },
            (Self::TrailerStart, b'\r') => Self::FinalLineFeed,
            (Self::TrailerStart | Self::TrailerName, _) if is_token_char(byte) => Self::TrailerName,
            (Self::TrailerName, b':') => Self::TrailerValue,
            (Self::TrailerValue, b'\r') => Self::TrailerLineEnd,
            (Self::TrailerValue, _) if is_text(byte) => Self::TrailerValue,
            (Self::TrailerLineEnd, b'\n') => Self::TrailerStart,
            (Self::FinalLineFeed, b'\n') => Self::End,
            _ => Self::Malformed,
        }
    }

    fn in_size(value: u64, has_digits: bool, byte: u8) -> Self {
        if let Some(digit) = char::from(byte).to_digit(16) {
            let value = value.checked_mul(16).map(|value| value + u64::from(digit));
            return value.map_or(Self::Malformed, |value| Self::Size { value, has_digits: true });
        }
        match byte {
            b'\r' if has_digits => Self::SizeLineEnd { size: value },
            _ if has_digits => match ExtensionPosition::BeforeSemicolon.next(byte) {
                Some(position) => Self::Extensions { size: value, position },
                None => Self::Malformed,
            },
            _ => Self::Malformed,
        }
    }
}

impl ExtensionPosition {
    /// Whether the line may end here.
    fn may_end_line(self) -> bool {
        matches!(self, Self::Name | Self::Value | Self::AfterQuotedValue)
    }

    /// The position after `byte`; `None` if it is not allowed here.
    fn next(self, byte: u8) -> Option<Self> {
        let next = match (self, byte) {
            (Self::BeforeName | Self::Name, _) if is_token_char(byte) => Self::Name,
            (Self::BeforeValue | Self::Value, _) if is_token_char(byte) => Self::Value,
            (Self::BeforeValue, b'"') => Self::QuotedValue,
            (Self::Name | Self::AfterName, b'=') => Self::BeforeValue,
            (Self::QuotedValue, b'"') => Self::AfterQuotedValue,
            (Self::QuotedValue, b'\\') => Self::EscapedCharacter,
            (Self::QuotedValue | Self::EscapedCharacter, _) if is_text(byte) => Self::QuotedValue,
            (Self::Name | Self::AfterName, _) if is_white_space(byte) => Self::AfterName,
            (Self::BeforeSemicolon | Self::BeforeName | Self::BeforeValue, _) if is_white_space(byte) => self,
            (Self::Value | Self::AfterQuotedValue, _) if is_white_space(byte) => Self::BeforeSemicolon,
            (
                Self::BeforeSemicolon | Self::Name | Self::AfterName | Self::Value | Self::AfterQuotedValue,
                b';',
            ) => Self::BeforeName,
            _ => return None,
        };
        Some(next)
    }
}
