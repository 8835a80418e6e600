//! Comparison of the current configuration with a new one, by key.

use super::ReloadError;
use serde_json::{Map, Value};

/// Keys of a class that only some values of `effect` require.
const OPTIONAL_CLASS_KEYS: [&str; 2] = ["group", "keyTtlUs"];
/// Keys whose values are data instead of settings, so that the keys below them may differ.
const DATA_KEYS: [&str; 1] = ["known"];
/// Top-level keys that are read only at the start of a process.
const RESTART_ONLY_KEYS: [&str; 4] = ["name", "listen", "console", "limits"];
/// Keys of `settings` that are read only at the start of a process.
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

/// Checks that a new configuration has all keys of the current one, with values of the same JSON type. A file
/// in which a key is missing may be truncated or written by mistake, so no default is assumed for the key.
/// Each entry of a list needs the keys that all current entries have.
///
/// # Errors
/// [`ReloadError::MissingKey`] or [`ReloadError::WrongType`] for the first key that does not comply.
pub fn check_required_keys(current: &Value, new: &Value) -> Result<(), ReloadError> {
    compare("", current, new)
}

fn compare(path: &str, current: &Value, new: &Value) -> Result<(), ReloadError> {
    if type_name(current) != type_name(new) && !current.is_null() {
        return Err(wrong_type(path.to_owned(), new, type_name(current)));
    }
    match (current, new) {
        (Value::Object(current), Value::Object(new)) => compare_objects(path, current, new),
        (Value::Array(current), Value::Array(new)) => compare_lists(path, current, new),
        _ => Ok(()),
    }
}

fn compare_objects(
    path: &str,
    current: &Map<String, Value>,
    new: &Map<String, Value>,
) -> Result<(), ReloadError> {
    for (key, value) in current {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let Some(new_value) = new.get(key) else { return Err(ReloadError::MissingKey { path }) };
        if !DATA_KEYS.contains(&key.as_str()) {
            compare(&path, value, new_value)?;
        }
    }
    Ok(())
}

fn compare_lists(path: &str, current: &[Value], new: &[Value]) -> Result<(), ReloadError> {
    let Some(Value::Object(first)) = current.first() else { return Ok(()) };
    let is_in_all_current =
        |key: &str| current.iter().all(|entry| entry.get(key).is_some_and(|value| !value.is_null()));
    // Collected once instead of for each new entry: there may be hundreds of thousands of tenants.
    let required: Vec<(&String, &Value)> = first
        .iter()
        .filter(|(key, _)| !OPTIONAL_CLASS_KEYS.contains(&key.as_str()) && is_in_all_current(key))
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
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// Returns the paths of the keys that take effect only after a restart and that differ between the
/// configuration with which the process started and a new one. Operators need to know them, since a reload
/// does not apply them.
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
