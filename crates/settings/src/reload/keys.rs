//! Comparison of the keys of two configurations.

use super::ReloadError;
use serde_json::{Map, Value};

/// Keys of a class that only some values of `effect` need.
const OPTIONAL_CLASS_KEYS: [&str; 2] = ["group", "keyTtlUs"];
/// Keys under which the configuration holds data instead of settings, so that what is below them may differ.
const DATA_KEYS: [&str; 1] = ["known"];
/// Keys of the configuration that are read only at the start of a process.
const RESTART_ONLY_KEYS: [&str; 4] = ["name", "listen", "console", "limits"];
/// Keys of its `settings` that are read only at the start of a process.
const RESTART_ONLY_SETTINGS: [&str; 9] = [
    "me",
    "balancers",
    "zone",
    "failureDomains",
    "kinds",
    "membershipMode",
    "familyInfo",
    "tenants",
    "loadReport",
];

/// Checks that a new configuration has all keys of the present one, with values of the same JSON type. A file that lacks
/// one was truncated, or written by mistake, and no default is assumed for it. In a list, every entry needs the keys
/// that all present entries have.
///
/// # Errors
/// [`ReloadError::MissingKey`] or [`ReloadError::WrongType`] for the first such key.
pub fn has_all_keys(present: &Value, new: &Value) -> Result<(), ReloadError> {
    compare("", present, new)
}

fn compare(path: &str, present: &Value, new: &Value) -> Result<(), ReloadError> {
    if type_name(present) != type_name(new) && !present.is_null() {
        return Err(wrong_type(path.to_owned(), new, type_name(present)));
    }
    match (present, new) {
        (Value::Object(present), Value::Object(new)) => compare_objects(path, present, new),
        (Value::Array(present), Value::Array(new)) => compare_lists(path, present, new),
        _ => Ok(()),
    }
}

fn compare_objects(
    path: &str,
    present: &Map<String, Value>,
    new: &Map<String, Value>,
) -> Result<(), ReloadError> {
    for (key, value) in present {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let Some(new_value) = new.get(key) else { return Err(ReloadError::MissingKey { path }) };
        if !DATA_KEYS.contains(&key.as_str()) {
            compare(&path, value, new_value)?;
        }
    }
    Ok(())
}

fn compare_lists(path: &str, present: &[Value], new: &[Value]) -> Result<(), ReloadError> {
    let Some(Value::Object(first)) = present.first() else { return Ok(()) };
    let is_in_all =
        |key: &str| present.iter().all(|entry| entry.get(key).is_some_and(|value| !value.is_null()));
    // Collected once and not for each new entry: there may be hundreds of thousands of tenants.
    let required: Vec<(&String, &Value)> = first
        .iter()
        .filter(|(key, _)| !OPTIONAL_CLASS_KEYS.contains(&key.as_str()) && is_in_all(key))
        .collect();
    for (index, entry) in new.iter().enumerate() {
        let path = format!("{path}[{index}]");
        if !entry.is_object() {
            return Err(wrong_type(path, entry, "an object"));
        }
        for &(key, value) in &required {
            let path = format!("{path}.{key}");
            let Some(new_value) = entry.get(key) else { return Err(ReloadError::MissingKey { path }) };
            compare(&path, value, new_value)?;
        }
    }
    Ok(())
}

fn wrong_type(path: String, actual: &Value, expected: &'static str) -> ReloadError {
    ReloadError::WrongType { path, actual: type_name(actual), expected }
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// The keys that differ between the configuration with which a process started and a new one, and that take effect only
/// after a restart. Operators are to be notified of them.
#[must_use]
pub fn restart_only_keys(start: &Value, new: &Value) -> Vec<String> {
    let setting = |configuration: &Value, key: &str| configuration.get("settings")?.get(key).cloned();
    let mut changed: Vec<String> = Vec::new();
    for key in RESTART_ONLY_KEYS {
        if start.get(key) != new.get(key) {
            changed.push(key.to_owned());
        }
    }
    for key in RESTART_ONLY_SETTINGS {
        if setting(start, key) != setting(new, key) {
            changed.push(format!("settings.{key}"));
        }
    }
    changed
}
