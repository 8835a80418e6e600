//! The names by which HTTP requests and discovery refer to parts of the settings, in the order of the
//! settings.

/// Names by index: the balancer identifies each of these entities by its index.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// The names of the request classes.
    pub classes: Vec<String>,
    /// The names of the tenants. If empty, the tenant of a request is not checked.
    pub tenants: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the machine kinds.
    pub machine_kinds: Vec<String>,
    /// The names of the fields of a load report.
    pub report_fields: Vec<String>,
}
