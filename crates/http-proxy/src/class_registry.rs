//! The classes that clients may name, and those that they could name until just now. Pure: no I/O, no clock.

use crate::idempotency_claim::Terms;
use balancer::api::{Class as Decided, DedupScope, Idempotency, Micros, Settings};
use hyper::Method;
use rustc_hash::FxHashMap;

/// How long a class that was dropped or changed is still served as it was to clients that don't know yet: they take up a
/// new one 1.2 s after the settings.
const STILL_SERVED: Micros = 3_000_000;

/// What requests of a class have to look like, and its place among the classes of the decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its place.
    pub place: u8,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// How it may be repeated.
    effect: Idempotency,
    method: Method,
}

/// Why a request is of no class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misfit {
    /// No class has this name.
    Unknown,
    /// The class is not asked with this method.
    Method,
    /// The class wants a key.
    NoKey,
}

#[derive(Debug, Default)]
struct Entry {
    now: Option<Class>,
    /// What it was, and until when that is still served.
    before: Option<(Class, Micros)>,
}

/// All classes by their names.
#[derive(Debug, Default)]
pub struct Classes {
    entries: FxHashMap<String, Entry>,
    /// On what terms requests are held, by the class's place.
    terms: Vec<Terms>,
}

impl Class {
    fn new(place: usize, class: &Decided) -> Option<Self> {
        Some(Self {
            place: u8::try_from(place).ok()?,
            deadline: class.deadline,
            effect: class.idempotency,
            method: if class.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST },
        })
    }

    /// How widely its requests may be repeated, the least first, and for how long.
    fn width(&self) -> (u8, Micros) {
        match self.effect {
            Idempotency::NonIdempotent => (0, 0),
            Idempotency::Keyed { scope: DedupScope::Cell, ttl } => (1, ttl),
            Idempotency::Keyed { scope: DedupScope::Zone, ttl } => (2, ttl),
            Idempotency::Keyed { scope: DedupScope::All, ttl } => (3, ttl),
            Idempotency::Idempotent => (4, 0),
        }
    }

    fn fits(&self, method: &Method, has_key: bool) -> Result<&Self, Misfit> {
        match () {
            () if self.method != method => Err(Misfit::Method),
            // Without its key a repeat would not be dropped.
            () if matches!(self.effect, Idempotency::Keyed { .. }) && !has_key => Err(Misfit::NoKey),
            () => Ok(self),
        }
    }
}

impl Classes {
    /// From now on these classes hold: each name with its place in the settings.
    pub fn hold<'a>(
        &mut self,
        now: Micros,
        settings: &Settings,
        named: impl Iterator<Item = (usize, &'a str)>,
    ) {
        let until = now.saturating_add(STILL_SERVED);
        let mut old = std::mem::take(&mut self.entries);
        for (place, name) in named {
            let class = settings.classes.get(place).and_then(|class| Class::new(place, class));
            let was = old.remove(name).unwrap_or_default();
            let before = match was.now {
                Some(before) if Some(&before) != class.as_ref() => Some((before, until)),
                _ => was.before,
            };
            self.entries.insert(name.to_owned(), Entry { now: class, before });
        }
        for (name, was) in old {
            let before = was.now.map(|before| (before, until)).or(was.before);
            // What nobody can ask for any more is forgotten.
            if before.as_ref().is_some_and(|(_, until)| *until > now) {
                self.entries.insert(name, Entry { now: None, before });
            }
        }
        self.terms = settings.classes.iter().map(Terms::of).collect();
    }

    /// The class of a request.
    ///
    /// # Errors
    /// Why it is of none.
    pub fn find(&self, now: Micros, name: &str, method: &Method, has_key: bool) -> Result<&Class, Misfit> {
        let entry = self.entries.get(name).ok_or(Misfit::Unknown)?;
        let before = entry.before.as_ref().filter(|(_, until)| now < *until);
        let before = before.and_then(|(class, _)| class.fits(method, has_key).ok());
        let present = entry.now.as_ref().ok_or(Misfit::Unknown).and_then(|c| c.fits(method, has_key));
        match (present, before) {
            // Its client may not know yet: what either rule forbids is not done.
            (Ok(present), Some(before)) if before.width() < present.width() => Ok(before),
            (Err(_), Some(before)) => Ok(before),
            (present, _) => present,
        }
    }

    /// On what terms the requests of the class at this place are held.
    #[must_use]
    pub fn terms(&self, place: u8) -> Option<Terms> {
        self.terms.get(usize::from(place)).copied()
    }
}

#[cfg(test)]
mod tests;
