//! Encoding of proxy names as parts of file names.

use crate::fingerprint::fingerprint;

/// The maximum number of characters of a proxy's name that a file name contains.
const MAX_PLAIN_NAME_LENGTH: usize = 64;

/// The part of a file name that identifies a proxy, distinct for each proxy name. A name that is longer than
/// [`MAX_PLAIN_NAME_LENGTH`] or contains characters other than ASCII letters, digits, `-` and `_` is
/// truncated, its other characters are replaced by `_`, and a `.` and a hash are appended. No plain name
/// contains a `.`.
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
