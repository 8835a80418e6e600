//! The console's language: one line in, one line out. Pure: no I/O.

use std::fmt;
use thiserror::Error;

/// The longest line of a call, in bytes, its end included. The longest id and the longest word fit in.
pub const LINE_CAP: usize = 512;
/// The longest id of a backend, in bytes.
pub const ID_CAP: usize = 256;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleCommand {
    /// Whether this process is ready to serve.
    Ready,
    /// Nothing more to this backend.
    Exclude(String),
    /// This backend may serve again.
    Include(String),
}

/// Why a line is no call.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// Nothing stands in it.
    #[error("the line is empty; a call is one of: {CALLS}")]
    Empty,
    /// It has no end within the bound.
    #[error("the line is longer than {LINE_CAP} bytes")]
    TooLong,
    /// It is no text.
    #[error("the line is not UTF-8")]
    NoText,
    /// It holds a control character.
    #[error("the line holds the control character {0:#04x}")]
    Control(u32),
    /// Its first word is no call.
    #[error("no such call; a call is one of: {CALLS}")]
    Unknown,
    /// The call wants an id.
    #[error("the id of a backend is missing: {0}")]
    NoId(&'static str),
    /// The id is too long to be one.
    #[error("the id has {0} bytes, {ID_CAP} at most")]
    LongId(usize),
    /// More words than the call takes.
    #[error("too many words: {0}")]
    TooManyWords(&'static str),
}

/// All calls, for those who mistype one.
const CALLS: &str = "readyz, exclude ID, include ID";

impl ConsoleCommand {
    /// Reads a line, with its end or without. Words may be parted by any number of blanks.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(line: &[u8]) -> Result<Self, CommandError> {
        if line.len() > LINE_CAP {
            return Err(CommandError::TooLong);
        }
        let text = std::str::from_utf8(line).map_err(|_| CommandError::NoText)?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        if let Some(control) = text.chars().find(|c| c.is_control() && *c != '\t') {
            return Err(CommandError::Control(u32::from(control)));
        }
        let mut words = text.split([' ', '\t']).filter(|word| !word.is_empty());
        let call = words.next().ok_or(CommandError::Empty)?;
        let mut id = |usage: &'static str| {
            let id = words.next().ok_or(CommandError::NoId(usage))?;
            if id.len() > ID_CAP { Err(CommandError::LongId(id.len())) } else { Ok(id.to_owned()) }
        };
        let (call, usage) = match call {
            "readyz" => (Self::Ready, "readyz"),
            "exclude" => (Self::Exclude(id("exclude ID")?), "exclude ID"),
            "include" => (Self::Include(id("include ID")?), "include ID"),
            _ => return Err(CommandError::Unknown),
        };
        if words.next().is_some() { Err(CommandError::TooManyWords(usage)) } else { Ok(call) }
    }
}

/// What is answered: one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleResponse {
    /// It is so, or has been done.
    Success(String),
    /// It is not so, or could not be done; nothing has changed.
    Failure(String),
}

impl fmt::Display for ConsoleResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (word, text) = match self {
            Self::Success(text) => ("SUCCESS", text),
            Self::Failure(text) => ("FAILURE", text),
        };
        f.write_str(word)?;
        // Whatever a reason quotes, the answer stays one line.
        let one_line = text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect::<String>();
        if one_line.is_empty() { Ok(()) } else { write!(f, " {one_line}") }
    }
}

impl From<CommandError> for ConsoleResponse {
    fn from(error: CommandError) -> Self {
        Self::Failure(error.to_string())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn calls_are_read_with_any_end_and_any_blanks() {
        for line in ["readyz", "readyz\n", "readyz\r\n", "  readyz \t\n"] {
            assert_eq!(ConsoleCommand::parse(line.as_bytes()), Ok(ConsoleCommand::Ready), "{line:?}");
        }
        assert_eq!(
            ConsoleCommand::parse(b"exclude s-5be2a07c\r\n"),
            Ok(ConsoleCommand::Exclude("s-5be2a07c".into()))
        );
        assert_eq!(
            ConsoleCommand::parse(b"include\t s-5be2a07c"),
            Ok(ConsoleCommand::Include("s-5be2a07c".into()))
        );
    }

    #[test]
    fn what_is_no_call_is_told_what_is_wrong() {
        let cases: [(&[u8], CommandError); 10] = [
            (b"", CommandError::Empty),
            (b" \r\n", CommandError::Empty),
            (b"READYZ\n", CommandError::Unknown),
            (b"GET / HTTP/1.1\r\n", CommandError::Unknown),
            (b"exclude\n", CommandError::NoId("exclude ID")),
            (b"include  \n", CommandError::NoId("include ID")),
            (b"exclude a b\n", CommandError::TooManyWords("exclude ID")),
            (b"readyz now\n", CommandError::TooManyWords("readyz")),
            (b"exclude \xff\n", CommandError::NoText),
            (b"exclude a\0b\n", CommandError::Control(0)),
        ];
        for (line, error) in cases {
            assert_eq!(ConsoleCommand::parse(line), Err(error), "{line:?}");
        }
        let long = format!("exclude {}\n", "x".repeat(ID_CAP + 1));
        assert_eq!(ConsoleCommand::parse(long.as_bytes()), Err(CommandError::LongId(ID_CAP + 1)));
        assert_eq!(ConsoleCommand::parse(&[b'x'; LINE_CAP + 1]), Err(CommandError::TooLong));
    }

    proptest! {
        #[test]
        fn any_bytes_give_a_call_or_one_line_of_failure(line in proptest::collection::vec(any::<u8>(), 0..600)) {
            match ConsoleCommand::parse(&line) {
                Ok(ConsoleCommand::Exclude(id) | ConsoleCommand::Include(id)) => {
                    prop_assert!(!id.is_empty() && id.len() <= ID_CAP && !id.contains([' ', '\t', '\r', '\n']));
                }
                Ok(ConsoleCommand::Ready) => {}
                Err(error) => {
                    let answer = ConsoleResponse::from(error).to_string();
                    prop_assert!(answer.starts_with("FAILURE ") && !answer.contains(['\r', '\n']));
                }
            }
        }

        #[test]
        fn an_id_comes_through_as_it_was_said(id in "[!-~]{1,256}") {
            prop_assert_eq!(ConsoleCommand::parse(format!("exclude {id}\r\n").as_bytes()), Ok(ConsoleCommand::Exclude(id.clone())));
            prop_assert_eq!(ConsoleCommand::parse(format!("include {id}").as_bytes()), Ok(ConsoleCommand::Include(id)));
        }
    }
}
