//! What a request is, from its headers or its fields: names to positions, and a clear word where something is missing,
//! doubled or makes no sense. No I/O and no clock.

use crate::decision_service::Request;
use crate::settings::Headers;
use balancer::api::{Idempotency, Micros, Settings};
use request_engine::idempotency::MAX_NAME_BYTES;
use request_engine::request_key::request_key;
use rustc_hash::FxHashMap;
use thiserror::Error;

/// A time left beyond this makes no sense, milliseconds.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;

/// What makes a request unusable.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Unusable {
    /// It is needed.
    #[error("`{0}` is missing")]
    Missing(String),
    /// Whoever reads the other one of two takes the request for something else.
    #[error("`{0}` comes more than once")]
    Repeated(String),
    /// Its bytes are no text.
    #[error("`{0}` is not UTF-8")]
    NotText(String),
    /// It has no meaning here.
    #[error("`{0}` makes no sense: {1}")]
    Senseless(String, String),
}

struct Class {
    position: u8,
    deadline: Micros,
    keyed: bool,
}

/// The names that the settings know.
pub struct RequestCatalog {
    classes: FxHashMap<String, Class>,
    tenants: FxHashMap<String, u16>,
}

/// A request's fields, as a caller names them.
#[derive(Clone, Debug, Default)]
pub struct Fields<'a> {
    /// Its correlation id.
    pub id: &'a [u8],
    /// Its class.
    pub class: &'a str,
    /// Its tenant.
    pub tenant: &'a str,
    /// Its idempotency key; empty: none.
    pub key: &'a [u8],
    /// What it is about.
    pub about: Option<u64>,
    /// How long its client waits; `None`: as long as its class allows.
    pub patience: Option<Micros>,
    /// Expected work.
    pub work: Option<Micros>,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
}

fn missing(field: &str) -> Unusable {
    Unusable::Missing(field.into())
}

fn senseless(field: &str, what: impl Into<String>) -> Unusable {
    Unusable::Senseless(field.into(), what.into())
}

/// So much of a foreign text as fits into a message.
fn cut(text: &str) -> String {
    text.chars().take(64).collect()
}

impl RequestCatalog {
    /// The names of these settings, in their order.
    #[must_use]
    pub fn new(settings: &Settings, classes: &[String], tenants: &[String]) -> Self {
        let class = |(position, c): (u8, &balancer::api::Class)| Class {
            position,
            deadline: c.deadline,
            keyed: matches!(c.idempotency, Idempotency::Keyed { .. }),
        };
        let known = (0..=u8::MAX).zip(&settings.classes).map(class);
        Self {
            classes: classes.iter().cloned().zip(known).collect(),
            tenants: tenants.iter().cloned().zip(0..=u16::MAX).collect(),
        }
    }

    /// The request that these fields make. `names` are what its sender calls them.
    ///
    /// # Errors
    /// The first field that is missing or makes no sense.
    pub fn request(&self, now: Micros, fields: &Fields<'_>, names: &Headers) -> Result<Request, Unusable> {
        let class = match fields.class {
            "" => return Err(missing(&names.class)),
            name => self.classes.get(name),
        };
        let class =
            class.ok_or_else(|| senseless(&names.class, format!("no class `{}`", cut(fields.class))))?;
        for (name, value) in [(&names.id, fields.id), (&names.key, fields.key)] {
            if value.len() > MAX_NAME_BYTES {
                return Err(senseless(name, format!("{} bytes, {MAX_NAME_BYTES} at most", value.len())));
            }
        }
        if fields.id.is_empty() {
            return Err(missing(&names.id));
        }
        // Without its key a repeat would not be dropped; with one elsewhere somebody counts on what is not given.
        match (class.keyed, fields.key.is_empty()) {
            (true, true) => return Err(missing(&names.key)),
            (false, false) => return Err(senseless(&names.key, "the class has no keys")),
            _ => {}
        }
        let tenant = match fields.tenant {
            _ if self.tenants.is_empty() => 0,
            "" => return Err(missing(&names.tenant)),
            name => *self
                .tenants
                .get(name)
                .ok_or_else(|| senseless(&names.tenant, format!("no tenant `{}`", cut(name))))?,
        };
        Ok(Request {
            id: fields.id.into(),
            key: class.keyed.then(|| fields.key.into()),
            class: class.position,
            tenant,
            about: fields.about,
            arrived: now,
            patience: fields.patience.map_or(class.deadline, |p| p.min(class.deadline)),
            work: fields.work,
            repeat: fields.repeat,
            prior: None,
            wait: false,
            once: false,
        })
    }

    /// The request that a head makes, header names in lower case.
    ///
    /// # Errors
    /// The first header that is missing, doubled or makes no sense.
    pub fn from_headers<'a>(
        &self,
        now: Micros,
        headers: impl Iterator<Item = (&'a str, &'a [u8])>,
        names: &Headers,
    ) -> Result<Request, Unusable> {
        let head = Head::read(headers, names)?;
        let text = |name: &str, value: Option<&'a [u8]>| match value {
            None => Ok(""),
            Some(bytes) => std::str::from_utf8(bytes).map_err(|_| Unusable::NotText(name.into())),
        };
        let path = text(":path", head.path)?;
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let in_path = path.split('/').nth(1).unwrap_or_default();
        let class = match text(&names.class, head.class)? {
            "" => in_path,
            class => class,
        };
        let patience = match text(&names.time_left, head.time_left)? {
            "" => None,
            digits => Some(milliseconds(&names.time_left, digits)?),
        };
        let work = text(&names.work, head.work)?;
        let work = (!work.is_empty()).then(|| {
            work.trim().parse().map_err(|_| senseless(&names.work, "a whole number of microseconds"))
        });
        let fields = Fields {
            id: head.id.unwrap_or_default(),
            class,
            tenant: text(&names.tenant, head.tenant)?,
            key: head.key.unwrap_or_default(),
            about: request_key(query),
            patience,
            work: work.transpose()?,
            repeat: head.repeat == Some(b"1"),
        };
        Ok(Request { once: true, ..self.request(now, &fields, names)? })
    }
}

/// The headers that say what a request is.
#[derive(Default)]
struct Head<'a> {
    path: Option<&'a [u8]>,
    id: Option<&'a [u8]>,
    class: Option<&'a [u8]>,
    tenant: Option<&'a [u8]>,
    key: Option<&'a [u8]>,
    time_left: Option<&'a [u8]>,
    work: Option<&'a [u8]>,
    repeat: Option<&'a [u8]>,
}

impl<'a> Head<'a> {
    fn read(headers: impl Iterator<Item = (&'a str, &'a [u8])>, names: &Headers) -> Result<Self, Unusable> {
        let mut head = Self::default();
        for (name, value) in headers {
            let place = match name {
                ":path" => &mut head.path,
                _ if name == names.id => &mut head.id,
                _ if name == names.class => &mut head.class,
                _ if name == names.tenant => &mut head.tenant,
                _ if name == names.key => &mut head.key,
                _ if name == names.time_left => &mut head.time_left,
                _ if name == names.work => &mut head.work,
                _ if name == names.repeat => &mut head.repeat,
                _ => continue,
            };
            if place.replace(value).is_some() {
                return Err(Unusable::Repeated(cut(name)));
            }
        }
        Ok(head)
    }
}

fn milliseconds(name: &str, digits: &str) -> Result<Micros, Unusable> {
    // The type's own parser would take a sign.
    let number = digits.bytes().all(|b| b.is_ascii_digit()).then(|| digits.parse::<u64>().ok()).flatten();
    let number = number.filter(|&ms| ms <= MAX_TIME_LEFT_MS);
    Ok(number.ok_or_else(|| senseless(name, format!("whole milliseconds to {MAX_TIME_LEFT_MS}")))? * 1_000)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn catalogue() -> RequestCatalog {
        let class = |position, keyed| Class { position, deadline: 2_000_000, keyed };
        RequestCatalog {
            classes: [("read".into(), class(0, false)), ("submit".into(), class(1, true))]
                .into_iter()
                .collect(),
            tenants: [("acme".into(), 3)].into_iter().collect(),
        }
    }

    fn read(headers: &[(&str, &[u8])]) -> Result<Request, Unusable> {
        catalogue().from_headers(7, headers.iter().copied(), &Headers::default())
    }

    const GOOD: [(&str, &[u8]); 5] = [
        (":path", b"/submit?key=ff"),
        ("x-correlation-id", b"c1"),
        ("x-account", b"acme"),
        ("idempotency-key", b"k1"),
        ("x-time-left-ms", b"480"),
    ];

    #[test]
    fn a_head_makes_a_request() {
        let request = read(&GOOD).expect("a request");
        assert_eq!((request.class, request.tenant, request.about), (1, 3, Some(255)));
        assert_eq!((request.patience, request.arrived, request.once), (480_000, 7, true));
        assert_eq!((&*request.id, request.key.as_deref()), (&b"c1"[..], Some(&b"k1"[..])));
    }

    #[test]
    fn what_is_wrong_with_a_head_is_named() {
        let without = |name: &str| -> Vec<_> { GOOD.into_iter().filter(|(n, _)| *n != name).collect() };
        let with = |name, value| {
            let mut head = without(name);
            head.push((name, value));
            head
        };
        for name in ["x-correlation-id", "x-account", "idempotency-key"] {
            assert_eq!(read(&without(name)), Err(missing(name)));
            let mut twice = GOOD.to_vec();
            twice.push((name, b"other"));
            assert_eq!(read(&twice), Err(Unusable::Repeated(name.into())));
        }
        assert_eq!(read(&with("x-account", b"\xff")), Err(Unusable::NotText("x-account".into())));
        for (name, value) in [
            ("x-account", &b"nobody"[..]),
            ("x-time-left-ms", b"-1"),
            ("x-time-left-ms", b"99999999999999999999"),
            ("x-correlation-id", &[b'a'; MAX_NAME_BYTES + 1]),
            ("x-weight-hint", b"heavy"),
            ("x-service-class", b"\"'`"),
        ] {
            let error = read(&with(name, value)).expect_err("a fault").to_string();
            assert!(error.starts_with(&format!("`{name}` makes no sense")), "{error}");
        }
        let keyless = [(":path", &b"/read"[..]), ("x-correlation-id", b"c"), ("x-account", b"acme")];
        assert!(read(&keyless).is_ok());
    }

    #[test]
    fn no_head_panics() {
        let mut rng = fastrand::Rng::with_seed(20_261_201);
        let names = [":path", "x-correlation-id", "x-account", "x-time-left-ms", "x-weight-hint", "other"];
        let mut taken = 0;
        for _ in 0..20_000 {
            let values: Vec<Vec<u8>> =
                (0..rng.usize(0..9)).map(|_| (0..rng.usize(0..12)).map(|_| rng.u8(..)).collect()).collect();
            let mut head: Vec<(&str, &[u8])> =
                values.iter().map(|v| (names[rng.usize(..names.len())], v.as_slice())).collect();
            if rng.bool() {
                head.retain(|(name, _)| !GOOD.iter().any(|(good, _)| good == name));
                head.extend(GOOD);
            }
            taken += usize::from(read(&head).is_ok());
        }
        assert!(taken > 1_000, "{taken} heads of 20,000 made a request");
    }
}
