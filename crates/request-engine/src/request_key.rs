//! The affinity key of a request, read from the query of its target.

use rustc_hash::FxHasher;
use std::hash::Hasher;

/// The affinity key of a request: the query parameter `key`, as a hexadecimal number or, for any other text, as its
/// hash; `None` without the parameter. All front ends share it, since a backend that served a key lately has it cached.
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
