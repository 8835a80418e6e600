//! Indices of request classes across reloads.
//!
//! Open requests retain the index of the class under which they arrived, so an index never changes its class.
//! An unchanged class retains its index, a new or changed one is appended, and the index of a removed one
//! remains in use for its open requests.

use super::ReloadError;
use balancer::api::{Class, Idempotency, Settings};

/// Maximum number of class indices, including those of removed classes: the balancer stores an index in one
/// byte.
pub const MAX_CLASSES: usize = 256;

/// The names of the current classes of a proxy by index, with unnamed entries for removed classes.
#[derive(Clone, Debug, Default)]
pub struct ClassIndices {
    /// The name of each class; `None` for a removed one.
    names: Vec<Option<String>>,
}

impl ClassIndices {
    /// Creates the indices of the classes with which a proxy starts.
    ///
    /// # Errors
    /// [`ReloadError::DuplicateName`].
    pub fn new(names: &[String]) -> Result<Self, ReloadError> {
        check_unique(names)?;
        Ok(Self { names: names.iter().cloned().map(Some).collect() })
    }

    /// Returns the index and name of each current class.
    pub fn named(&self) -> impl Iterator<Item = (usize, &str)> {
        self.names.iter().enumerate().filter_map(|(index, name)| Some((index, name.as_deref()?)))
    }

    /// Merges `new` settings, whose classes have these `names`, into the `current` ones and returns the
    /// result. Settings that require a restart remain unchanged: among others zones, machine kinds, tenants,
    /// the load report and the number and index of the instances.
    ///
    /// # Errors
    /// [`ReloadError::DuplicateName`], [`ReloadError::MissingTtl`] or [`ReloadError::TooManyClasses`];
    /// nothing has changed then.
    pub fn reload(
        &mut self,
        current: &Settings,
        new: &Settings,
        names: &[String],
    ) -> Result<Settings, ReloadError> {
        check_unique(names)?;
        check_ttls(&new.classes)?;
        let mut classes = current.classes.clone();
        let mut merged_names = vec![None; current.classes.len()];
        for (name, class) in names.iter().zip(&new.classes) {
            if let Some(index) = self.unchanged_index(name, class, &classes) {
                merged_names[index] = Some(name.clone());
            } else {
                classes.push(class.clone());
                merged_names.push(Some(name.clone()));
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
            ..current.clone()
        })
    }

    /// Returns the index of the current class of this name if it equals `class`.
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
