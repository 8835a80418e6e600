//! Names to positions.

/// The names that the protocol uses and the module knows by their position.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants; may be empty.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machines.
    pub kinds: Vec<String>,
    /// Fields of a load report.
    pub report: Vec<String>,
}
