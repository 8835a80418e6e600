//! The class of a client's HTTP request, which its method and its idempotency key have to match.

use balancer::api::{Idempotency, Micros};
use hyper::Method;
use request_engine::class_registry::{ClassRegistry, LookupError, RequestClass};

/// Why a request does not match a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassMismatch {
    /// No class with this name exists.
    UnknownClass,
    /// The class requires another method.
    MethodNotAllowed,
    /// The class is keyed, and the request has no idempotency key.
    MissingKey,
}

/// The class of a request at `now` (microseconds) that names this class; see [`ClassRegistry::find`].
///
/// # Errors
/// The request does not match the class of this name, or there is no such class.
pub fn find_class(
    classes: &ClassRegistry,
    now: Micros,
    name: &str,
    method: &Method,
    has_key: bool,
) -> Result<RequestClass, ClassMismatch> {
    classes.find(now, name, |class| check(class, method, has_key)).map_err(|error| match error {
        LookupError::UnknownClass => ClassMismatch::UnknownClass,
        LookupError::Mismatch(mismatch) => mismatch,
    })
}

fn check(class: &RequestClass, method: &Method, has_key: bool) -> Result<(), ClassMismatch> {
    let required = if class.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
    if *method != required {
        return Err(ClassMismatch::MethodNotAllowed);
    }
    // Without a key the backends could not deduplicate a retry.
    if matches!(class.idempotency, Idempotency::Keyed { .. }) && !has_key {
        return Err(ClassMismatch::MissingKey);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
