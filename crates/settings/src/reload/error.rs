//! The error of a reload.

use super::MAX_CLASSES;
use thiserror::Error;

/// Why new settings cannot be applied to a running proxy.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReloadError {
    /// A key of the current configuration is missing in the new one.
    #[error("`{path}` is missing, but the current configuration has it")]
    MissingKey {
        /// Path of the key.
        path: String,
    },
    /// A value has another JSON type than in the current configuration.
    #[error("`{path}` is {actual}, but {expected} in the current configuration")]
    WrongType {
        /// Path of the key.
        path: String,
        /// JSON type of the value in the new configuration, with an article.
        actual: &'static str,
        /// JSON type of the value in the current configuration, with an article.
        expected: &'static str,
    },
    /// Two classes have the same name.
    #[error("`settings.classes[{index}].name`: an earlier class is also named `{name}`")]
    DuplicateName {
        /// Position of the second class in the new configuration.
        index: usize,
        /// The name of both classes.
        name: String,
    },
    /// A keyed class has no time to live for its idempotency keys.
    #[error("`settings.classes[{index}].keyTtlUs` is missing or 0, but required by the effect `dedup`")]
    MissingTtl {
        /// Position of the class in the new configuration.
        index: usize,
    },
    /// The classes need more than [`MAX_CLASSES`] indices.
    #[error(
        "too many classes: this and earlier settings need more than {MAX_CLASSES} class indices; restart the proxy"
    )]
    TooManyClasses,
}
