//! What is measured: families of quantities, each over sizes of one kind, and the names of the quantities.

use Family::{
    Backends, Classes, Clients, Config, Fleet, IdleClients, OpenRequests, OverShare, Rate, Tenants,
};

/// Quantities that are measured over the same sizes, on the same processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Family {
    /// Backends in the list, no requests.
    Backends,
    /// Tenants in the settings, no requests.
    Tenants,
    /// Tenants in settings that are read again, no requests.
    Config,
    /// Classes in the settings, no requests.
    Classes,
    /// Connections of clients that asked once and rest.
    IdleClients,
    /// Requests that wait at backends.
    OpenRequests,
    /// Requests a second.
    Rate,
    /// Backends that get the requests, at a steady rate.
    Fleet,
    /// Connections of clients that send the requests, at a steady rate.
    Clients,
    /// Tenants in the settings, each request beyond its tenant's share.
    OverShare,
}

/// The sizes of a family: those that are measured unless others are asked for, and the bounds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sizes {
    /// As `--only` names the family.
    pub(super) name: &'static str,
    pub(super) usual: &'static [usize],
    pub(super) least: usize,
    pub(super) most: usize,
    /// Why no more.
    pub(super) bound: &'static str,
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
    Family::OverShare,
];

impl Family {
    pub(super) const fn sizes(self) -> Sizes {
        let (name, usual, least, most, bound): (_, &[usize], _, _, _) = match self {
            Self::Backends => (
                "backends",
                &[200, 1_000, 5_000, 10_000, 20_000],
                10,
                24_000,
                "the proxy takes lists of 4 MiB at most, some 25,000 backends",
            ),
            Self::Tenants => (
                "tenants",
                &[1_000, 10_000, 30_000, 60_000],
                1,
                65_000,
                "settings name 65,536 tenants at most",
            ),
            Self::Config => (
                "config",
                &[1_000, 10_000, 30_000, 60_000],
                1,
                65_000,
                "settings name 65,536 tenants at most",
            ),
            Self::Classes => {
                ("classes", &[8, 32, 64, 128, 200], 1, 250, "the proxy has places for some 250 classes")
            }
            Self::IdleClients => (
                "idle_clients",
                &[100, 1_000, 2_000, 4_000],
                10,
                8_000,
                "each takes a descriptor of this program and one of the proxy",
            ),
            Self::OpenRequests => (
                "open_requests",
                &[100, 1_000, 2_000, 4_000],
                10,
                4_000,
                "each takes two descriptors of this program and two of the proxy",
            ),
            Self::Rate => {
                ("rate", &[180, 360, 540, 1_080], 50, 2_000, "this program's own threads would fall behind")
            }
            Self::Fleet => (
                "fleet",
                &[20, 100, 400, 1_600],
                2,
                4_000,
                "each takes two descriptors of this program and one of the proxy",
            ),
            Self::Clients => (
                "clients",
                &[8, 32, 128, 512],
                2,
                2_000,
                "each takes descriptors of this program and of the proxy",
            ),
            Self::OverShare => (
                "over_share",
                &[1_000, 4_000, 16_000, 64_000],
                1,
                65_000,
                "requests know their tenant by a number of 16 bits",
            ),
        };
        Sizes { name, usual, least, most, bound }
    }
}

/// One quantity.
#[derive(Clone, Copy, Debug)]
pub struct Quantity {
    /// Its name in results and pages.
    pub id: &'static str,
    /// The processes that it is measured on.
    pub family: Family,
    /// Its unit.
    pub unit: &'static str,
    /// What the sizes count.
    pub per: &'static str,
    /// In words.
    pub what: &'static str,
}

const fn quantity(
    id: &'static str,
    family: Family,
    unit: &'static str,
    per: &'static str,
    what: &'static str,
) -> Quantity {
    Quantity { id, family, unit, per, what }
}

/// All quantities.
pub const QUANTITIES: &[Quantity] = &[
    quantity("memory_bytes_per_backend", Backends, "bytes", "backend", "resident memory with the list held"),
    quantity(
        "memory_peak_bytes_per_backend",
        Backends,
        "bytes",
        "backend",
        "the most resident memory that there was, after the list was told whole a second time",
    ),
    quantity(
        "start_cpu_us_per_backend",
        Backends,
        "us",
        "backend",
        "processor time from the process's start until it has the list and says that it is up",
    ),
    quantity("list_cpu_us_per_backend", Backends, "us", "backend", "processor time of a whole list, again"),
    quantity(
        "list_wire_bytes_per_backend",
        Backends,
        "bytes",
        "backend",
        "bytes on the wire of a whole list",
    ),
    quantity(
        "list_stall_us_per_backend",
        Backends,
        "us",
        "backend",
        "longest time that a request waited over the usual while a whole list was taken",
    ),
    quantity(
        "change_cpu_us_per_backend",
        Backends,
        "us",
        "backend",
        "processor time of a change of one entry",
    ),
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
        "longest time that a request waited over the usual round a change of one entry, median of the changes",
    ),
    quantity(
        "replacement_cpu_us_per_backend",
        Backends,
        "us",
        "backend",
        "processor time of one entry that leaves and another one that comes",
    ),
    quantity(
        "replacement_stall_us_per_backend",
        Backends,
        "us",
        "backend",
        "longest time that a request waited over the usual round a replacement, median of the replacements",
    ),
    quantity(
        "rest_cpu_us_per_backend",
        Backends,
        "us",
        "backend",
        "processor time of a second with no requests and no changes",
    ),
    quantity(
        "rest_stall_us_per_backend",
        Backends,
        "us",
        "backend",
        "longest time that a request waited over the usual in as long as a change takes, with none: what the machine adds",
    ),
    quantity("up_us_per_backend", Backends, "us", "backend", "time of `/up` on a kept connection, median"),
    quantity("memory_bytes_per_tenant", Tenants, "bytes", "tenant", "resident memory after the start"),
    quantity(
        "memory_peak_bytes_per_tenant",
        Config,
        "bytes",
        "tenant",
        "the most resident memory that there was, after the configuration was read again",
    ),
    quantity(
        "start_cpu_us_per_tenant",
        Tenants,
        "us",
        "tenant",
        "processor time from the process's start until it says that it is up",
    ),
    quantity("config_bytes_per_tenant", Config, "bytes", "tenant", "the configuration's size"),
    quantity(
        "config_cpu_us_per_tenant",
        Config,
        "us",
        "tenant",
        "processor time of a change of the configuration (SIGHUP)",
    ),
    quantity(
        "config_stall_us_per_tenant",
        Config,
        "us",
        "tenant",
        "longest time that a request waited over the usual while the configuration was read again",
    ),
    quantity(
        "memory_bytes_per_class",
        Classes,
        "bytes",
        "class",
        "resident memory after the start; the proxy has no routes, its classes stand for them",
    ),
    quantity("config_bytes_per_class", Classes, "bytes", "class", "the configuration's size"),
    quantity(
        "config_cpu_us_per_class",
        Classes,
        "us",
        "class",
        "processor time of a change of the configuration (SIGHUP)",
    ),
    quantity(
        "config_stall_us_per_class",
        Classes,
        "us",
        "class",
        "longest time that a request waited over the usual while the configuration was read again",
    ),
    quantity(
        "memory_bytes_per_idle_client",
        IdleClients,
        "bytes",
        "idle client",
        "resident memory with connections of clients that asked once and rest",
    ),
    quantity(
        "rest_cpu_us_per_idle_client",
        IdleClients,
        "us",
        "idle client",
        "processor time of a second in which they rest",
    ),
    quantity(
        "memory_bytes_per_open_request",
        OpenRequests,
        "bytes",
        "open request",
        "resident memory with requests that wait at backends, each on connections of its own",
    ),
    quantity(
        "open_cpu_us_per_open_request",
        OpenRequests,
        "us",
        "open request",
        "processor time to take them in, each with a new connection on both sides",
    ),
    quantity(
        "rest_cpu_us_per_open_request",
        OpenRequests,
        "us",
        "open request",
        "processor time of a second in which they wait",
    ),
    quantity(
        "cpu_us_per_request",
        Rate,
        "us",
        "request",
        "processor time of a second of steady requests, by requests a second",
    ),
    quantity(
        "wire_bytes_per_request",
        Rate,
        "bytes",
        "request",
        "bytes on the wire in a second, clients and backends, by requests a second",
    ),
    quantity(
        "added_p99_us_by_rate",
        Rate,
        "us",
        "request a second",
        "99th percentile through the proxy less that of the same requests direct",
    ),
    quantity(
        "request_cpu_us_by_backends",
        Fleet,
        "us",
        "backend",
        "processor time of a request at 540 a second",
    ),
    quantity(
        "request_dials_by_backends",
        Fleet,
        "connections",
        "backend",
        "new connections to backends for each request at 540 a second",
    ),
    quantity(
        "added_p99_us_by_backends",
        Fleet,
        "us",
        "backend",
        "99th percentile through the proxy less that of the same requests direct, at 540 a second",
    ),
    quantity(
        "request_cpu_us_by_clients",
        Clients,
        "us",
        "client connection",
        "processor time of a request at 540 a second",
    ),
    quantity(
        "added_p99_us_by_clients",
        Clients,
        "us",
        "client connection",
        "99th percentile through the proxy less that of the same requests direct, at 540 a second",
    ),
    quantity(
        "over_share_request_cpu_us_by_tenants",
        OverShare,
        "us",
        "tenant",
        "processor time of a request beyond its tenant's share, at 540 a second",
    ),
    quantity(
        "over_share_added_p99_us_by_tenants",
        OverShare,
        "us",
        "tenant",
        "99th percentile of requests beyond their tenants' shares less that of the same requests direct",
    ),
];
