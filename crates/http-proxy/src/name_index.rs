//! The names that the protocols use, in the order of the settings.

/// Names by position: the balancer identifies each of these by its index.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants; may be empty.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
    /// Fields of a load report.
    pub report: Vec<String>,
}
