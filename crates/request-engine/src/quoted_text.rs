//! Texts of clients and callers that errors quote.

/// Maximum number of characters of a text that an error quotes.
const MAX_QUOTED_CHARS: usize = 64;

/// The first characters of a text, to be quoted in an error.
#[must_use]
pub fn truncated(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}
