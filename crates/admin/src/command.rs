//! The console protocol: parsing of a command line, and formatting of the response line. Does no I/O.

use std::fmt;
use thiserror::Error;

/// The maximum length of a command line in bytes, including the line end. An id of the maximum length fits.
pub const MAX_LINE_BYTES: usize = 512;
/// The maximum length of a backend id in bytes.
pub const MAX_BACKEND_ID_BYTES: usize = 256;

/// The commands and their arguments, as listed in error messages.
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

/// Why a line was rejected as a command.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// The line is empty or blank.
    #[error("the line is empty; a call is one of: {USAGE}")]
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// The line contains this control character, which is neither a tab nor part of the line end.
    #[error("the line holds the control character {0:#04x}")]
    ControlCharacter(u32),
    /// The first word is not the name of a command.
    #[error("no such call; a call is one of: {USAGE}")]
    UnknownCommand,
    /// The backend id is missing. Contains the usage of the command.
    #[error("the id of a backend is missing: {0}")]
    MissingId(&'static str),
    /// The id has this many bytes, more than [`MAX_BACKEND_ID_BYTES`].
    #[error("the id has {0} bytes, {MAX_BACKEND_ID_BYTES} at most")]
    IdTooLong(usize),
    /// More arguments than the command takes. Contains the usage of the command.
    #[error("too many words: {0}")]
    TooManyArguments(&'static str),
}

impl ConsoleCommand {
    /// Parses a line, with or without its line end. Words are separated by one or more spaces and tabs.
    ///
    /// # Errors
    /// The first reason for which the line is not valid.
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

/// Checks the length and the characters of a line, and strips its line end.
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
    /// The queried condition is met, or the command was executed. Contains the details.
    Success(String),
    /// The queried condition is not met, or the command was rejected and nothing has changed. Contains the
    /// reason.
    Failure(String),
}

impl fmt::Display for ConsoleResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (outcome, text) = match self {
            Self::Success(text) => ("SUCCESS", text),
            Self::Failure(text) => ("FAILURE", text),
        };
        f.write_str(outcome)?;
        // The text may quote input with control characters, which must not split the response into several
        // lines.
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
