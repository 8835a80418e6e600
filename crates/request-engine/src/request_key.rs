//! What a request is about, as fronts read it from a target.

use rustc_hash::FxHasher;
use std::hash::Hasher;

/// What a request is about, as a number: the query parameter `key`, hexadecimal digits, or any text by its hash. The
/// same for every front, since boxes that met it lately do less work.
#[must_use]
pub fn request_key(query: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == "key")?;
    u64::from_str_radix(value, 16).ok().or_else(|| {
        let mut hasher = FxHasher::default();
        hasher.write(value.as_bytes());
        Some(hasher.finish())
    })
}
