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
mod tests;
