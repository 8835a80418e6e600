//! The measured quantities, grouped into families that vary the same size.

use Family::{
    Backends, Classes, Clients, Config, Fleet, IdleClients, OpenRequests, OverQuota, Rate, Tenants,
};

/// Quantities that are measured over the same sizes, on the same processes. Each variant states what a size
/// counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Family {
    /// Backends in the list; no requests are sent.
    Backends,
    /// Tenants in the settings; no requests are sent.
    Tenants,
    /// Tenants in a reloaded configuration; no requests are sent.
    Config,
    /// Request classes in the settings; no requests are sent.
    Classes,
    /// Client connections that are idle after one request.
    IdleClients,
    /// Requests in flight at backends that do not respond.
    OpenRequests,
    /// Requests per second.
    Rate,
    /// Backends that receive requests at a steady rate.
    Fleet,
    /// Client connections that send requests at a steady rate.
    Clients,
    /// Tenants in the settings; every request exceeds its tenant's quota.
    OverQuota,
}

/// Name, default sizes and bounds of a family.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sizes {
    /// Name of the family on the command line (`--only`) and in errors.
    pub(super) name: &'static str,
    /// Sizes that are measured unless `--sizes` is given.
    pub(super) default: &'static [usize],
    pub(super) min: usize,
    pub(super) max: usize,
    /// Why larger sizes are rejected.
    pub(super) reason: &'static str,
}

pub(super) const FAMILIES: [Family; 10] = [
    Family::Backends,
    Family::Tenants,
    Family::Config,
    Family::Classes,
    Family::IdleClients,
    Family::OpenRequests,
    Family::Rate,
    Family::Fleet,
    Family::Clients,
    Family::OverQuota,
];

impl Family {
    pub(super) const fn sizes(self) -> Sizes {
        let (name, default, min, max, reason): (_, &[usize], _, _, _) = match self {
            Self::Backends => (
                "backends",
                &[200, 1_000, 5_000, 10_000, 20_000],
                10,
                24_000,
                "the proxy accepts lists of at most 4 MiB, about 25,000 backends",
            ),
            Self::Tenants => (
                "tenants",
                &[1_000, 10_000, 30_000, 60_000],
                1,
                65_000,
                "the settings accept at most 65,536 tenants",
            ),
            Self::Config => (
                "config",
                &[1_000, 10_000, 30_000, 60_000],
                1,
                65_000,
                "the settings accept at most 65,536 tenants",
            ),
            Self::Classes => {
                ("classes", &[8, 32, 64, 128, 200], 1, 250, "the proxy accepts about 250 classes")
            }
            Self::IdleClients => (
                "idle_clients",
                &[100, 1_000, 2_000, 4_000],
                10,
                8_000,
                "each uses one file descriptor of this program and one of the proxy",
            ),
            Self::OpenRequests => (
                "open_requests",
                &[100, 1_000, 2_000, 4_000],
                10,
                4_000,
                "each uses two file descriptors of this program and two of the proxy",
            ),
            Self::Rate => (
                "rate",
                &[180, 360, 540, 1_080],
                50,
                2_000,
                "this program's own threads can't keep up with a higher rate",
            ),
            Self::Fleet => (
                "fleet",
                &[20, 100, 400, 1_600],
                2,
                4_000,
                "each uses two file descriptors of this program and one of the proxy",
            ),
            Self::Clients => (
                "clients",
                &[8, 32, 128, 512],
                2,
                2_000,
                "each uses file descriptors of this program and of the proxy",
            ),
            Self::OverQuota => (
                "over_share",
                &[1_000, 4_000, 16_000, 64_000],
                1,
                65_000,
                "a request identifies its tenant by a 16-bit number",
            ),
        };
        Sizes { name, default, min, max, reason }
    }
}

/// A measured quantity.
#[derive(Clone, Copy, Debug)]
pub struct Quantity {
    /// Name in results and in documents that quote them.
    pub id: &'static str,
    /// The family that it is measured with.
    pub family: Family,
    /// Unit of its values.
    pub unit: &'static str,
    /// What a size counts, in the singular.
    pub per: &'static str,
    /// What is measured.
    pub description: &'static str,
}

const fn quantity(
    id: &'static str,
    family: Family,
    unit: &'static str,
    per: &'static str,
    description: &'static str,
) -> Quantity {
    Quantity { id, family, unit, per, description }
}

/// All quantities, in the order of the results.
pub const QUANTITIES: &[Quantity] = &[
    quantity(
        "memory_bytes_per_backend",
        Backends,
        "bytes",
        "backend",
        "resident memory with the list loaded",
    ),
    quantity(
        "memory_peak_bytes_per_backend",
        Backends,
        "bytes",
        "backend",
        "peak resident memory after the complete list was sent a second time",
    ),
    quantity(
        "start_cpu_us_per_backend",
        Backends,
        "us",
        "backend",
        "CPU time from the process's start until it is up and has the list",
    ),
    quantity("list_cpu_us_per_backend", Backends, "us", "backend", "CPU time of another complete list"),
    quantity(
        "list_wire_bytes_per_backend",
        Backends,
        "bytes",
        "backend",
        "bytes on the wire of a complete list",
    ),
    quantity(
        "list_stall_us_per_backend",
        Backends,
        "us",
        "backend",
        "longest response time above the median while a complete list was applied",
    ),
    quantity("change_cpu_us_per_backend", Backends, "us", "backend", "CPU time of a change of one entry"),
    quantity(
        "change_wire_bytes_per_backend",
        Backends,
        "bytes",
        "backend",
        "bytes on the wire, both ways, of a change of one entry",
    ),
    quantity(
        "change_stall_us_per_backend",
        Backends,
        "us",
        "backend",
        "longest response time above the median during a change of one entry, median of the changes",
    ),
    quantity(
        "replacement_cpu_us_per_backend",
        Backends,
        "us",
        "backend",
        "CPU time of a replacement of one entry by another",
    ),
    quantity(
        "replacement_stall_us_per_backend",
        Backends,
        "us",
        "backend",
        "longest response time above the median during a replacement, median of the replacements",
    ),
    quantity(
        "rest_cpu_us_per_backend",
        Backends,
        "us",
        "backend",
        "CPU time per second without requests and changes",
    ),
    quantity(
        "rest_stall_us_per_backend",
        Backends,
        "us",
        "backend",
        "longest response time above the median over the duration of a change, without one: the machine's part",
    ),
    quantity(
        "up_us_per_backend",
        Backends,
        "us",
        "backend",
        "median response time of `/up` on a persistent connection",
    ),
    quantity("memory_bytes_per_tenant", Tenants, "bytes", "tenant", "resident memory after the start"),
    quantity(
        "memory_peak_bytes_per_tenant",
        Config,
        "bytes",
        "tenant",
        "peak resident memory after the configuration was reloaded",
    ),
    quantity(
        "start_cpu_us_per_tenant",
        Tenants,
        "us",
        "tenant",
        "CPU time from the process's start until it is up",
    ),
    quantity("config_bytes_per_tenant", Config, "bytes", "tenant", "size of the configuration file"),
    quantity(
        "config_cpu_us_per_tenant",
        Config,
        "us",
        "tenant",
        "CPU time of a reload of a changed configuration (SIGHUP)",
    ),
    quantity(
        "config_stall_us_per_tenant",
        Config,
        "us",
        "tenant",
        "longest response time above the median while the configuration was reloaded",
    ),
    quantity(
        "memory_bytes_per_class",
        Classes,
        "bytes",
        "class",
        "resident memory after the start; the proxy has no routes, request classes serve as such",
    ),
    quantity("config_bytes_per_class", Classes, "bytes", "class", "size of the configuration file"),
    quantity(
        "config_cpu_us_per_class",
        Classes,
        "us",
        "class",
        "CPU time of a reload of a changed configuration (SIGHUP)",
    ),
    quantity(
        "config_stall_us_per_class",
        Classes,
        "us",
        "class",
        "longest response time above the median while the configuration was reloaded",
    ),
    quantity(
        "memory_bytes_per_idle_client",
        IdleClients,
        "bytes",
        "idle client",
        "resident memory with client connections that are idle after one request",
    ),
    quantity(
        "rest_cpu_us_per_idle_client",
        IdleClients,
        "us",
        "idle client",
        "CPU time per second while the connections are idle",
    ),
    quantity(
        "memory_bytes_per_open_request",
        OpenRequests,
        "bytes",
        "open request",
        "resident memory with requests in flight at backends, each on connections of its own",
    ),
    quantity(
        "open_cpu_us_per_open_request",
        OpenRequests,
        "us",
        "open request",
        "CPU time to accept the requests, each with a new connection on both sides",
    ),
    quantity(
        "rest_cpu_us_per_open_request",
        OpenRequests,
        "us",
        "open request",
        "CPU time per second while the requests are in flight",
    ),
    quantity(
        "cpu_us_per_request",
        Rate,
        "us",
        "request",
        "CPU time per second at a steady rate, by requests per second",
    ),
    quantity(
        "wire_bytes_per_request",
        Rate,
        "bytes",
        "request",
        "bytes on the wire per second, clients and backends, by requests per second",
    ),
    quantity(
        "added_p99_us_by_rate",
        Rate,
        "us",
        "request a second",
        "99th percentile of the response time through the proxy minus that of direct requests",
    ),
    quantity("request_cpu_us_by_backends", Fleet, "us", "backend", "CPU time per request at 540 per second"),
    quantity(
        "request_dials_by_backends",
        Fleet,
        "connections",
        "backend",
        "new connections to backends per request at 540 per second",
    ),
    quantity(
        "added_p99_us_by_backends",
        Fleet,
        "us",
        "backend",
        "99th percentile of the response time through the proxy minus that of direct requests, at 540 per second",
    ),
    quantity(
        "request_cpu_us_by_clients",
        Clients,
        "us",
        "client connection",
        "CPU time per request at 540 per second",
    ),
    quantity(
        "added_p99_us_by_clients",
        Clients,
        "us",
        "client connection",
        "99th percentile of the response time through the proxy minus that of direct requests, at 540 per second",
    ),
    quantity(
        "over_share_request_cpu_us_by_tenants",
        OverQuota,
        "us",
        "tenant",
        "CPU time of a request over its tenant's quota, at 540 per second",
    ),
    quantity(
        "over_share_added_p99_us_by_tenants",
        OverQuota,
        "us",
        "tenant",
        "99th percentile of the response time of requests over their tenants' quotas minus that of direct requests",
    ),
];
