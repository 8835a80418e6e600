//! Settings that take the place of others while the proxy runs. Pure: no I/O, no clock.
//!
//! Requests that are open keep to the class they came under, so that classes keep their places: one that is unchanged stays
//! where it is, a new or changed one gets a place behind all others, and one that was dropped leaves its place to the
//! requests that it still has.

use balancer::api::{Class, Idempotency, Settings};
use serde_json::Value;
use thiserror::Error;

/// Places for classes that there may be, those of earlier settings too: the module numbers them in one byte.
pub const MAX_CLASSES: usize = 256;

/// Why settings can't take the place of others.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReloadError {
    /// A key that the present configuration has is missing.
    #[error("`{0}` is missing, and the present configuration has it")]
    Missing(String),
    /// A key is something else than it was.
    #[error("`{0}` is {1}, and {2} in the present configuration")]
    Kind(String, &'static str, &'static str),
    /// Two classes have one name.
    #[error("`settings.classes[{0}].name`: a class before it is called `{1}` too")]
    SameName(usize, String),
    /// A class with a key has no time for which it is remembered.
    #[error("`settings.classes[{0}].keyTtlUs` is missing or 0; a class whose effect is `dedup` needs it")]
    NoTtl(usize),
    /// There is no place left.
    #[error(
        "no place for a further class: {MAX_CLASSES} are used up by this and earlier settings; restart the proxy"
    )]
    Full,
}

/// The classes that a proxy has and has had, by their places.
#[derive(Clone, Debug, Default)]
pub struct ClassIndices {
    /// The names of those that hold.
    names: Vec<Option<String>>,
}

impl ClassIndices {
    /// The classes of the settings that a proxy starts with.
    ///
    /// # Errors
    /// Where two have one name.
    pub fn new(names: &[String]) -> Result<Self, ReloadError> {
        unique(names)?;
        Ok(Self { names: names.iter().cloned().map(Some).collect() })
    }

    /// The names that hold, each with its place.
    pub fn named(&self) -> impl Iterator<Item = (usize, &str)> {
        self.names.iter().enumerate().filter_map(|(place, name)| Some((place, name.as_deref()?)))
    }

    /// Puts new settings, whose classes have these names, in the place of the old ones. What the decisions are made for
    /// once and for all (zones, kinds, tenants, the place of this proxy in its bank) stays.
    ///
    /// # Errors
    /// Where they can't; then nothing has changed.
    pub fn renew(
        &mut self,
        old: &Settings,
        new: &Settings,
        names: &[String],
    ) -> Result<Settings, ReloadError> {
        unique(names)?;
        let no_ttl = |class: &Class| matches!(class.idempotency, Idempotency::Keyed { ttl: 0, .. });
        if let Some(place) = new.classes.iter().position(no_ttl) {
            return Err(ReloadError::NoTtl(place));
        }
        let (mut classes, mut places) = (old.classes.clone(), vec![None; old.classes.len()]);
        for (name, class) in names.iter().zip(&new.classes) {
            let same = self.named().find(|&(place, n)| n == name && classes[place] == *class);
            if let Some(place) = same.map(|(place, _)| place) {
                places[place] = Some(name.clone())
            } else {
                classes.push(class.clone());
                places.push(Some(name.clone()));
            }
        }
        if classes.len() > MAX_CLASSES {
            return Err(ReloadError::Full);
        }
        self.names = places;
        Ok(Settings {
            classes,
            over_quota_weight: new.over_quota_weight,
            cross_zone_cost: new.cross_zone_cost,
            health_check_cost: new.health_check_cost,
            permissions: new.permissions,
            safety: new.safety,
            ..old.clone()
        })
    }
}

fn unique(names: &[String]) -> Result<(), ReloadError> {
    let again = names.iter().enumerate().find(|(place, name)| names[..*place].contains(name));
    again.map_or(Ok(()), |(place, name)| Err(ReloadError::SameName(place, name.clone())))
}

/// Keys of a class that only some effects have.
const BY_EFFECT: [&str; 2] = ["group", "keyTtlUs"];
/// Keys under which the present configuration holds data and no settings, so that their parts may differ.
const DATA: [&str; 1] = ["known"];

/// Whether a new configuration has all keys of the present one, with values of the same kind: a file that lacks one was
/// cut, or written by mistake, and what it leaves out is not to be guessed. In a list every entry needs the keys that all
/// present entries have.
///
/// # Errors
/// The first key that is missing or of another kind.
pub fn has_all_keys(present: &Value, new: &Value) -> Result<(), ReloadError> {
    compare("", present, new)
}

fn compare(path: &str, present: &Value, new: &Value) -> Result<(), ReloadError> {
    if kind(present) != kind(new) && !present.is_null() {
        return Err(ReloadError::Kind(path.to_owned(), kind(new), kind(present)));
    }
    match (present, new) {
        (Value::Object(present), Value::Object(new)) => {
            for (key, value) in present {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                let given = new.get(key).ok_or_else(|| ReloadError::Missing(path.clone()))?;
                if !DATA.contains(&key.as_str()) {
                    compare(&path, value, given)?;
                }
            }
            Ok(())
        }
        (Value::Array(present), Value::Array(new)) => {
            let Some(Value::Object(first)) = present.first() else { return Ok(()) };
            let everywhere =
                |key: &str| present.iter().all(|entry| entry.get(key).is_some_and(|v| !v.is_null()));
            // Looked for once and not for each new entry: there may be hundreds of thousands of tenants.
            let needed: Vec<_> = first
                .iter()
                .filter(|(key, _)| !BY_EFFECT.contains(&key.as_str()) && everywhere(key))
                .collect();
            for (place, entry) in new.iter().enumerate() {
                let path = format!("{path}[{place}]");
                if !entry.is_object() {
                    return Err(ReloadError::Kind(path, kind(entry), "an object"));
                }
                for &(key, value) in &needed {
                    let path = format!("{path}.{key}");
                    let given = entry.get(key).ok_or_else(|| ReloadError::Missing(path.clone()))?;
                    compare(&path, value, given)?;
                }
            }
            Ok(())
        }
        _ => Ok(()),
    }
}

/// What a process takes from its configuration once, at its start: keys of the whole, and of `settings`.
const AT_START: [&str; 4] = ["name", "listen", "console", "limits"];
const SETTINGS_AT_START: [&str; 9] = [
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

/// The keys that differ between the configuration that a process started with and a new one, and that only a restart
/// changes. Whoever changed them has to be told.
#[must_use]
pub fn restart_only_keys(start: &Value, new: &Value) -> Vec<String> {
    let outer = AT_START.iter().filter(|key| start.get(key) != new.get(key)).map(|key| (*key).to_owned());
    let settings = |whole: &Value, key: &str| whole.get("settings").and_then(|s| s.get(key)).cloned();
    let inner = SETTINGS_AT_START.iter().filter(|key| settings(start, key) != settings(new, key));
    outer.chain(inner.map(|key| format!("settings.{key}"))).collect()
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
