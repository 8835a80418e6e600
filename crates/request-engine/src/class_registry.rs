//! The request classes in force, for all front ends of a process: they resolve the name of a class here, so
//! that a reload changes the rules of all of them at once. Pure: no I/O, no clock.
//!
//! The settings give each version of a class an index of its own. What identifies a request beyond one
//! version, such as a [claim](crate::idempotency), refers to the class by its name instead.
//!
//! Senders of requests apply new settings later than the proxy. For a grace period after each change, a request
//! may therefore be meant under an earlier version of its class, and the strictest rules of all versions apply
//! that the request matches.

mod request_class;

pub use request_class::{ClaimPolicy, RequestClass};

use balancer::api::{Idempotency, Micros, Settings};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;

/// How long an earlier version of a removed or changed class still applies, in microseconds. Clients apply new
/// settings 1.2 s later than the proxies.
pub const PREVIOUS_CLASS_GRACE_PERIOD: Micros = 3_000_000;

/// The name of a request class, which identifies it across reloads.
pub type ClassName = Rc<str>;

/// The registry that all front ends of a process use together, on the engine's thread.
pub type SharedClasses = Rc<RefCell<ClassRegistry>>;

/// Why no class applies to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupError<E> {
    /// No class has this name.
    UnknownClass,
    /// The request does not match the class; contains the error of the front end's check.
    Mismatch(E),
}

/// A version of a class that a reload changed or removed.
#[derive(Debug)]
struct EarlierVersion {
    class: RequestClass,
    replaced_at: Micros,
}

impl EarlierVersion {
    /// Whether a request at `now` may be meant under it.
    fn may_apply(&self, now: Micros) -> bool {
        now < self.replaced_at.saturating_add(PREVIOUS_CLASS_GRACE_PERIOD)
    }
}

/// The rules of one version of a class, as another process of this proxy needs them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassVersion {
    /// The name of the class.
    pub name: String,
    /// The effect of executing a request more than once.
    pub idempotency: Idempotency,
    /// The response deadline, in microseconds.
    pub deadline: Micros,
    /// When a reload replaced or removed it, in microseconds; `None` while it is in force.
    pub replaced_at: Option<Micros>,
}

/// The versions of one class that may apply to a request.
#[derive(Debug, Default)]
struct ClassVersions {
    /// `None` if the class is removed.
    current: Option<RequestClass>,
    /// In the order in which they were in force.
    earlier: Vec<EarlierVersion>,
}

impl ClassVersions {
    /// Replaces the current version at `now`. The one that was in force until then applies for the grace period.
    fn replace_current(&mut self, now: Micros, current: Option<RequestClass>) {
        self.earlier.retain(|version| version.may_apply(now));
        if self.current == current {
            return;
        }
        if let Some(class) = std::mem::replace(&mut self.current, current) {
            self.earlier.push(EarlierVersion { class, replaced_at: now });
        }
    }

    /// Whether no version can apply any more.
    fn is_empty(&self) -> bool {
        self.current.is_none() && self.earlier.is_empty()
    }
}

/// The request classes by name, and the maximum number of attempts.
#[derive(Debug, Default)]
pub struct ClassRegistry {
    classes: FxHashMap<ClassName, ClassVersions>,
    max_attempts: u16,
}

impl ClassRegistry {
    /// Applies new settings at `now` (microseconds). `names` yields the index of each class in the settings
    /// together with its name.
    pub fn update<'a>(
        &mut self,
        now: Micros,
        settings: &Settings,
        names: impl Iterator<Item = (usize, &'a str)>,
    ) {
        self.max_attempts = settings.permissions.max_attempts;
        let current: FxHashMap<&str, usize> = names.map(|(index, name)| (name, index)).collect();
        for name in current.keys() {
            if !self.classes.contains_key(*name) {
                self.classes.insert((*name).into(), ClassVersions::default());
            }
        }
        for (name, versions) in &mut self.classes {
            let index = current.get(&**name).copied();
            let class = index.and_then(|index| Some((index, settings.classes.get(index)?)));
            let class = class.and_then(|(index, class)| RequestClass::new(name, index, class));
            versions.replace_current(now, class);
        }
        self.classes.retain(|_, versions| !versions.is_empty());
    }

    /// The rules for a request at `now` (microseconds) whose sender names this class. `check` tells whether the
    /// request matches a version of the class. Within the grace period of a version the sender may know it; the
    /// strictest rules of all versions that the request matches apply.
    ///
    /// # Errors
    /// The request does not match the class of this name, or there is no such class.
    pub fn find<E>(
        &self,
        now: Micros,
        name: &str,
        check: impl Fn(&RequestClass) -> Result<(), E>,
    ) -> Result<RequestClass, LookupError<E>> {
        let versions = self.classes.get(name).ok_or(LookupError::UnknownClass)?;
        let current = match &versions.current {
            Some(class) => check(class).map(|()| class).map_err(LookupError::Mismatch),
            None => Err(LookupError::UnknownClass),
        };
        let served = versions.earlier.iter().rev().filter(|version| version.may_apply(now));
        let mut earlier = served.map(|version| &version.class).filter(|class| check(class).is_ok());
        let latest = current.or_else(|error| earlier.next().ok_or(error))?;
        Ok(earlier.fold(latest.clone(), |rules, version| rules.combined_with(version)))
    }

    /// All versions that may apply to a request at `now` (microseconds).
    #[must_use]
    pub fn versions(&self, now: Micros) -> Vec<ClassVersion> {
        let exported = |class: &RequestClass, replaced_at| ClassVersion {
            name: class.name.to_string(),
            idempotency: class.idempotency,
            deadline: class.deadline,
            replaced_at,
        };
        let classes = self.classes.values();
        let all = classes.flat_map(|versions| {
            let earlier = versions.earlier.iter().filter(|version| version.may_apply(now));
            let earlier = earlier.map(|version| exported(&version.class, Some(version.replaced_at)));
            earlier.chain(versions.current.iter().map(|class| exported(class, None)))
        });
        all.collect()
    }

    /// Adds versions that another process of this proxy had in force before this one started, at `now`
    /// (microseconds). Those of classes that are not in force are not added.
    pub fn add_earlier(&mut self, now: Micros, versions: &[ClassVersion]) {
        for version in versions {
            let Some(class) = self.classes.get_mut(version.name.as_str()) else { continue };
            let Some(current) = &class.current else { continue };
            let earlier = current.with_rules(version.idempotency, version.deadline);
            if earlier != *current {
                let replaced_at = version.replaced_at.unwrap_or(now);
                class.earlier.push(EarlierVersion { class: earlier, replaced_at });
            }
        }
    }

    /// The maximum number of attempts of a request that arrives now.
    #[must_use]
    pub fn max_attempts(&self) -> u16 {
        self.max_attempts
    }

    /// Number of names that have a version, current or earlier.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Whether there are no classes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }
}
