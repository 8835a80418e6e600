//! Indices of classes across reloads.
//!
//! Open requests keep the class under which they arrived, so that a class keeps its index: an unchanged one stays where it
//! is, a new or changed one gets an index behind all others, and a removed one leaves its index to the requests that it
//! still has. Where neither version of a changed class is the stricter one in all respects, their combination follows, for
//! the requests that may be meant under either.

use super::ReloadError;
use balancer::api::{Class, Idempotency, Settings};

/// Largest number of class indices, removed classes included: the decisions number classes in one byte.
pub const MAX_CLASSES: usize = 256;

/// The present and former classes of a proxy, by index.
#[derive(Clone, Debug, Default)]
pub struct ClassIndices {
    /// The name of each class; `None` for a former one.
    names: Vec<Option<String>>,
}

impl ClassIndices {
    /// The classes of the settings with which a proxy starts.
    ///
    /// # Errors
    /// [`ReloadError::DuplicateName`].
    pub fn new(names: &[String]) -> Result<Self, ReloadError> {
        check_unique(names)?;
        Ok(Self { names: names.iter().cloned().map(Some).collect() })
    }

    /// Index and name of each present class.
    pub fn named(&self) -> impl Iterator<Item = (usize, &str)> {
        self.names.iter().enumerate().filter_map(|(index, name)| Some((index, name.as_deref()?)))
    }

    /// Merges new settings, whose classes have these names, into the present ones. Zones, machine kinds, tenants, the load
    /// report and the index of this instance stay as they are: only a restart changes them.
    ///
    /// # Errors
    /// [`ReloadError::DuplicateName`], [`ReloadError::MissingTtl`] or [`ReloadError::TooManyClasses`]; then nothing has
    /// changed.
    pub fn renew(
        &mut self,
        present: &Settings,
        new: &Settings,
        names: &[String],
    ) -> Result<Settings, ReloadError> {
        check_unique(names)?;
        check_ttls(&new.classes)?;
        let mut classes = present.classes.clone();
        let mut merged_names = vec![None; present.classes.len()];
        for (name, class) in names.iter().zip(&new.classes) {
            if let Some(index) = self.unchanged_index(name, class, &classes) {
                merged_names[index] = Some(name.clone());
            } else {
                classes.push(class.clone());
                merged_names.push(Some(name.clone()));
                if let Some(combined) = self.combined_class(name, class, &present.classes) {
                    classes.push(combined);
                    merged_names.push(None);
                }
            }
        }
        if classes.len() > MAX_CLASSES {
            return Err(ReloadError::TooManyClasses);
        }
        self.names = merged_names;
        Ok(Settings {
            classes,
            over_quota_weight: new.over_quota_weight,
            cross_zone_cost: new.cross_zone_cost,
            health_check_cost: new.health_check_cost,
            permissions: new.permissions,
            safety: new.safety,
            ..present.clone()
        })
    }

    /// The combination of a changed class with its present version, if neither is the stricter one in all respects.
    fn combined_class(&self, name: &str, class: &Class, present: &[Class]) -> Option<Class> {
        let (index, _) = self.named().find(|&(_, known)| known == name)?;
        let idempotency = present[index].idempotency.combined_with(class.idempotency)?;
        Some(Class { idempotency, ..class.clone() })
    }

    /// The index of the present class of this name, if it is equal to `class`.
    fn unchanged_index(&self, name: &str, class: &Class, classes: &[Class]) -> Option<usize> {
        let is_unchanged = |&(index, known): &(usize, &str)| known == name && classes[index] == *class;
        self.named().find(is_unchanged).map(|(index, _)| index)
    }
}

fn check_unique(names: &[String]) -> Result<(), ReloadError> {
    for (index, name) in names.iter().enumerate() {
        if names[..index].contains(name) {
            return Err(ReloadError::DuplicateName { index, name: name.clone() });
        }
    }
    Ok(())
}

fn check_ttls(classes: &[Class]) -> Result<(), ReloadError> {
    let has_no_ttl = |class: &Class| matches!(class.idempotency, Idempotency::Keyed { ttl: 0, .. });
    match classes.iter().position(has_no_ttl) {
        Some(index) => Err(ReloadError::MissingTtl { index }),
        None => Ok(()),
    }
}
