//! The affinity key of a request, from the query of its target.

use rustc_hash::FxHasher;
use std::hash::Hasher;

/// Returns the affinity key of a request: the value of the query parameter `key` as a hexadecimal number, or
/// the hash of the value if it is not one; `None` without the parameter. All front ends use this function,
/// because a backend that recently served a key, through any of them, has its data cached.
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
