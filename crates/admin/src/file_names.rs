//! Proxy names as parts of file names.

use crate::fingerprint::fingerprint;

/// The longest part of a proxy's name, in characters, that a file name holds unchanged.
const MAX_PLAIN_NAME_LENGTH: usize = 64;

/// The part of a file name that stands for a proxy, distinct for each name. A name that is long or holds characters other
/// than ASCII letters, digits, `-` and `_` is cut and gets a hash after a `.`, which no plain name holds.
pub(crate) fn file_name_part(name: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    if name.len() <= MAX_PLAIN_NAME_LENGTH && name.chars().all(is_plain) {
        return name.to_owned();
    }
    let plain = name.chars().take(MAX_PLAIN_NAME_LENGTH).map(|c| if is_plain(c) { c } else { '_' });
    format!("{}.{:016x}", plain.collect::<String>(), fingerprint([name]))
}

#[cfg(test)]
mod tests;
