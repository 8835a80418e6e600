//! What identifies a request among all that arrive: hashes of its correlation id and its idempotency key.

use crate::class_registry::{ClaimPolicy, RequestClass};
use balancer::api::RequestIdentity;
use twox_hash::XxHash3_64;

/// The identity of a request of this class with this id and, if the class is keyed, this key. Equal keys of
/// different classes are different keys.
#[must_use]
pub fn request_identity(id: &[u8], class: &RequestClass, key: Option<&[u8]>) -> RequestIdentity {
    let ClaimPolicy { is_keyed, key_ttl, .. } = class.claim_policy;
    let key = key
        .filter(|_| is_keyed)
        .map(|key| XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(class.name.as_bytes()), key));
    RequestIdentity { id: XxHash3_64::oneshot(id), key, key_ttl }
}
