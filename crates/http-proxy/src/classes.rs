//! The classes that clients may name, and those that they could name until just now. Pure: no I/O, no clock.

use crate::claim::Terms;
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
mod tests {
    use super::*;
    use settings::parse_settings;

    fn settings(classes: &[Idempotency]) -> Settings {
        let text = r#"{"balancers": 1, "me": 0, "zone": 0, "membershipMode": "pushed", "classes": [{"aimUs": 1,
            "deadlineUs": 1, "worth": 1, "effect": "retryable"}], "permissions": {"maxAttempts": 1},
            "safety": {"coldFrom": 0.3, "coldUs": 1, "fallMultiple": 3, "fallUs": 1}}"#;
        let mut settings = parse_settings(text.as_bytes()).expect("settings");
        let like = settings.classes[0].clone();
        settings.classes =
            classes.iter().map(|&effect| Decided { idempotency: effect, ..like.clone() }).collect();
        settings
    }

    const KEYED: Idempotency = Idempotency::Keyed { scope: DedupScope::All, ttl: 9 };

    /// Clients take up new settings 1.2 s later: until then a request may be meant under the narrower of two rules.
    #[test]
    fn while_clients_may_not_know_yet_the_narrower_of_two_rules_counts() {
        let keyed = |group, ttl| Idempotency::Keyed { scope: group, ttl };
        let (cell, zone) = (keyed(DedupScope::Cell, 9), keyed(DedupScope::Zone, 9));
        let cases =
            [(cell, zone, 0), (zone, cell, 1), (keyed(DedupScope::Cell, 5), cell, 0), (KEYED, zone, 1)];
        for (before, now, counts) in cases {
            let mut classes = Classes::default();
            classes.hold(0, &settings(&[before]), std::iter::once((0, "lift")));
            classes.hold(100, &settings(&[before, now]), std::iter::once((1, "lift")));
            let place = |at| classes.find(at, "lift", &Method::POST, true).map(|class| class.place);
            assert_eq!(place(100), Ok(counts), "{before:?} {now:?}");
            assert_eq!(place(100 + STILL_SERVED), Ok(1), "{before:?} {now:?}");
        }
    }

    #[test]
    fn a_class_that_was_dropped_or_changed_is_served_as_it_was_for_a_while() {
        let mut classes = Classes::default();
        classes.hold(0, &settings(&[Idempotency::Idempotent, KEYED]), [(0, "read"), (1, "lift")].into_iter());
        let place = |classes: &Classes, now, name: &str, method: Method, key| {
            classes.find(now, name, &method, key).map(|class| class.place)
        };
        assert_eq!(place(&classes, 0, "read", Method::GET, false), Ok(0));
        assert_eq!(place(&classes, 0, "read", Method::POST, false), Err(Misfit::Method));
        assert_eq!(place(&classes, 0, "lift", Method::POST, false), Err(Misfit::NoKey));
        assert_eq!(place(&classes, 0, "none", Method::GET, false), Err(Misfit::Unknown));
        // "read" becomes unsafe at a place of its own, "lift" is dropped, "view" is new.
        let changed =
            settings(&[Idempotency::Idempotent, KEYED, Idempotency::NonIdempotent, Idempotency::Idempotent]);
        classes.hold(100, &changed, [(2, "read"), (3, "view")].into_iter());
        let soon = 100 + STILL_SERVED - 1;
        for now in [100, soon] {
            assert_eq!(place(&classes, now, "read", Method::GET, false), Ok(0), "as it was");
            assert_eq!(place(&classes, now, "read", Method::POST, false), Ok(2), "as it is");
            assert_eq!(place(&classes, now, "lift", Method::POST, true), Ok(1));
            assert_eq!(place(&classes, now, "view", Method::GET, false), Ok(3));
        }
        assert_eq!(place(&classes, soon + 1, "read", Method::GET, false), Err(Misfit::Method));
        assert_eq!(place(&classes, soon + 1, "lift", Method::POST, true), Err(Misfit::Unknown));
        // The same settings once more change nothing, and forget what is over.
        classes.hold(soon + 1, &changed, [(2, "read"), (3, "view")].into_iter());
        assert_eq!(classes.entries.len(), 2);
        assert_eq!(place(&classes, soon + 1, "read", Method::POST, false), Ok(2));
    }
}
