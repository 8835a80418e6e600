//! Why new settings cannot be applied.

use super::MAX_CLASSES;
use thiserror::Error;

/// Why new settings cannot be applied to a running proxy.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReloadError {
    /// A key of the present configuration is missing.
    #[error("`{path}` is missing, and the present configuration has it")]
    MissingKey {
        /// The key with its parents.
        path: String,
    },
    /// A value has another JSON type than in the present configuration.
    #[error("`{path}` is {actual}, and {expected} in the present configuration")]
    WrongType {
        /// The key with its parents.
        path: String,
        /// Its type in the new configuration.
        actual: &'static str,
        /// Its type in the present configuration.
        expected: &'static str,
    },
    /// Two classes have the same name.
    #[error("`settings.classes[{index}].name`: a class before it is called `{name}` too")]
    DuplicateName {
        /// Index of the second one.
        index: usize,
        /// Their name.
        name: String,
    },
    /// A class with idempotency keys has no time for which they are remembered.
    #[error("`settings.classes[{index}].keyTtlUs` is missing or 0; a class whose effect is `dedup` needs it")]
    MissingTtl {
        /// Index of the class.
        index: usize,
    },
    /// All [`MAX_CLASSES`] indices are used.
    #[error(
        "no place for a further class: {MAX_CLASSES} are used up by this and earlier settings; restart the proxy"
    )]
    TooManyClasses,
}
