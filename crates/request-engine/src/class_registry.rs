//! The request classes in force, for all front ends of a process: they resolve the name of a class here, so
//! that a reload changes the rules of all of them at once. Pure: no I/O, no clock.
//!
//! The settings give each version of a class an index of its own. What identifies a request beyond one
//! version, such as a [claim](crate::idempotency), refers to the class by its name instead.
//!
//! Senders of requests apply new settings later than the proxy. For a grace period, a request may therefore be
//! meant under the previous version of its class, and the stricter rules of both versions apply.

mod request_class;

pub use request_class::{ClaimPolicy, RequestClass};

use balancer::api::{Micros, Settings};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;

/// How long the previous version of a removed or changed class still applies, in microseconds. Clients apply
/// new settings 1.2 s later than the proxies.
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

#[derive(Debug)]
struct PreviousClass {
    class: RequestClass,
    served_until: Micros,
}

#[derive(Debug, Default)]
struct ClassVersions {
    current: Option<RequestClass>,
    previous: Option<PreviousClass>,
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
        let served_until = now.saturating_add(PREVIOUS_CLASS_GRACE_PERIOD);
        let mut old_classes = std::mem::take(&mut self.classes);
        for (index, name) in names {
            let (name, old) =
                old_classes.remove_entry(name).unwrap_or_else(|| (name.into(), ClassVersions::default()));
            let current =
                settings.classes.get(index).and_then(|class| RequestClass::new(&name, index, class));
            let previous = match old.current {
                Some(class) if Some(&class) != current.as_ref() => {
                    Some(PreviousClass { class, served_until })
                }
                _ => old.previous,
            };
            self.classes.insert(name, ClassVersions { current, previous });
        }
        for (name, old) in old_classes {
            let removed = old.current.map(|class| PreviousClass { class, served_until });
            let previous = removed.or(old.previous);
            if previous.as_ref().is_some_and(|previous| previous.served_until > now) {
                self.classes.insert(name, ClassVersions { current: None, previous });
            }
        }
    }

    /// The rules for a request at `now` (microseconds) whose sender names this class. `check` tells whether the
    /// request matches a version of the class. Within the grace period the sender may know either version; if
    /// the request matches both, the stricter rules of both apply.
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
        let previous = versions.previous.as_ref().filter(|previous| now < previous.served_until);
        let previous = previous.filter(|previous| check(&previous.class).is_ok());
        let current = match &versions.current {
            Some(class) => check(class).map(|()| class).map_err(LookupError::Mismatch),
            None => Err(LookupError::UnknownClass),
        };
        match (current, previous) {
            (Ok(current), Some(previous)) => Ok(current.combined_with(&previous.class)),
            (Err(_), Some(previous)) => Ok(previous.class.clone()),
            (current, None) => current.cloned(),
        }
    }

    /// The maximum number of attempts of a request that arrives now.
    #[must_use]
    pub fn max_attempts(&self) -> u16 {
        self.max_attempts
    }

    /// Number of names that have a version, current or previous.
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
