//! The console protocol: one command line in, one response line out. Pure: no I/O.

use std::fmt;
use thiserror::Error;

/// The longest command line, in bytes, its line end included. The longest id with the longest command fits.
pub const MAX_LINE_BYTES: usize = 512;
/// The longest backend id, in bytes.
pub const MAX_BACKEND_ID_BYTES: usize = 256;

/// The commands and their arguments, as errors list them.
const USAGE: &str = "readyz, exclude ID, include ID";

/// A console command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleCommand {
    /// Reports whether this process is ready to serve.
    Ready,
    /// Excludes the backend with this id: it gets no new requests.
    Exclude(String),
    /// Re-includes the backend with this id.
    Include(String),
}

/// Why a line is not a command.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// The line holds no word.
    #[error("the line is empty; a call is one of: {USAGE}")]
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// The line holds this control character, other than a tab.
    #[error("the line holds the control character {0:#04x}")]
    ControlCharacter(u32),
    /// The first word names no command.
    #[error("no such call; a call is one of: {USAGE}")]
    UnknownCommand,
    /// The backend id is missing. Holds the usage of the command.
    #[error("the id of a backend is missing: {0}")]
    MissingId(&'static str),
    /// The id has this many bytes, more than [`MAX_BACKEND_ID_BYTES`].
    #[error("the id has {0} bytes, {MAX_BACKEND_ID_BYTES} at most")]
    IdTooLong(usize),
    /// More arguments than the command takes. Holds the usage of the command.
    #[error("too many words: {0}")]
    TooManyArguments(&'static str),
}

impl ConsoleCommand {
    /// Parses a line, with or without its line end. Words are separated by any number of spaces and tabs.
    ///
    /// # Errors
    /// The first fault of the line.
    pub fn parse(line: &[u8]) -> Result<Self, CommandError> {
        let text = command_text(line)?;
        let mut words = text.split([' ', '\t']).filter(|word| !word.is_empty());
        let name = words.next().ok_or(CommandError::Empty)?;
        let (command, usage) = match name {
            "readyz" => (Self::Ready, "readyz"),
            "exclude" => (Self::Exclude(backend_id(words.next(), "exclude ID")?), "exclude ID"),
            "include" => (Self::Include(backend_id(words.next(), "include ID")?), "include ID"),
            _ => return Err(CommandError::UnknownCommand),
        };
        if words.next().is_some() { Err(CommandError::TooManyArguments(usage)) } else { Ok(command) }
    }
}

/// The line as text, without its line end.
fn command_text(line: &[u8]) -> Result<&str, CommandError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(CommandError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| CommandError::NotUtf8)?;
    let text = text.strip_suffix('\n').unwrap_or(text);
    let text = text.strip_suffix('\r').unwrap_or(text);
    match text.chars().find(|c| c.is_control() && *c != '\t') {
        Some(control) => Err(CommandError::ControlCharacter(u32::from(control))),
        None => Ok(text),
    }
}

fn backend_id(word: Option<&str>, usage: &'static str) -> Result<String, CommandError> {
    let id = word.ok_or(CommandError::MissingId(usage))?;
    if id.len() > MAX_BACKEND_ID_BYTES {
        return Err(CommandError::IdTooLong(id.len()));
    }
    Ok(id.to_owned())
}

/// A console response: one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleResponse {
    /// The state holds, or the command was executed.
    Success(String),
    /// The state does not hold, or the command was rejected; nothing has changed.
    Failure(String),
}

impl fmt::Display for ConsoleResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (outcome, text) = match self {
            Self::Success(text) => ("SUCCESS", text),
            Self::Failure(text) => ("FAILURE", text),
        };
        f.write_str(outcome)?;
        // A quoted reason may hold control characters; the response has to stay one line.
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
