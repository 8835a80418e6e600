//! The fleet of a run: services, their backends with zones, and the services in each proxy's scope. Drawn
//! from the script and its seed. Does no I/O.

use super::messages::key_hash;
use super::script::ScaleScript;
use control_plane::record::{Backend, RecordKind, ServiceId};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

/// Second octet of the first backend's address.
const FIRST_BACKEND_OCTET: u32 = 64;

/// Service and zone of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The service to which it belongs.
    pub service: ServiceId,
    /// The zone in which it runs.
    pub zone: usize,
}

/// Zone and scope of a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proxy {
    /// The zone in which it runs.
    pub zone: usize,
    /// The services to which it subscribes, ascending.
    pub scope: Vec<ServiceId>,
}

/// All services, backends and proxies of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Population {
    regions: usize,
    zones: usize,
    services: usize,
    /// Backends by number.
    pub backends: Vec<Instance>,
    /// Simulated proxies by number, then the real ones.
    pub proxies: Vec<Proxy>,
    /// Number of simulated proxies.
    pub simulated: usize,
}

impl Population {
    /// Draws the population of a script; equal scripts give equal populations.
    #[must_use]
    pub fn draw(script: &ScaleScript) -> Self {
        let size = &script.size;
        let mut rng = fastrand::Rng::with_seed(script.seed);
        let mut population = Self {
            regions: size.sources,
            zones: size.zones,
            services: size.services,
            backends: Vec::with_capacity(size.backends),
            proxies: Vec::new(),
            simulated: size.subscribers,
        };
        // Each service has one backend; the others are distributed by exponential weights, so that a few
        // services are large.
        let weights: Vec<f64> = (0..size.services).map(|_| -rng.f64().max(1e-9).ln()).collect();
        let total: f64 = weights.iter().sum();
        let rest = (size.backends - size.services) as f64;
        let mut weight_before = 0.0;
        for (service, weight) in weights.iter().enumerate() {
            let weight_to = weight_before + weight;
            let backends_up_to = |sum: f64| (sum / total * rest).round() as usize;
            for _ in 0..=backends_up_to(weight_to) - backends_up_to(weight_before) {
                let zones = population.zones_of(population.region_of_service(service as ServiceId));
                let zone = zones[rng.usize(..zones.len())];
                population.backends.push(Instance { service: service as ServiceId, zone });
            }
            weight_before = weight_to;
        }
        population.backends.truncate(size.backends);
        let local = (size.services_per_proxy as f64 * size.local_fraction).round() as usize;
        for number in 0..size.subscribers + size.real_proxies {
            let zone = number % size.zones;
            let scope = population.scope(script.seed, number, zone, local, size.services_per_proxy);
            population.proxies.push(Proxy { zone, scope });
        }
        population
    }

    /// Chooses a proxy's services by rendezvous hashing: each proxy ranks all services by hash, and takes the
    /// first `local` of its region and the first of the others, `all` together.
    fn scope(&self, seed: u64, number: usize, zone: usize, local: usize, all: usize) -> Vec<ServiceId> {
        let region = zone % self.regions;
        let name = format!("{seed}/{number}");
        let rank = |service: ServiceId| key_hash(service, RecordKind::Route, &name);
        let (mut local_services, mut remote_services): (Vec<ServiceId>, Vec<ServiceId>) =
            (0..self.services as ServiceId).partition(|&service| self.region_of_service(service) == region);
        let first = |services: &mut Vec<ServiceId>, count: usize| {
            let count = count.min(services.len());
            if count < services.len() && count > 0 {
                services.select_nth_unstable_by_key(count - 1, |&service| rank(service));
            }
            services.truncate(count);
        };
        first(&mut local_services, local);
        first(&mut remote_services, all - local_services.len());
        local_services.extend(remote_services);
        local_services.sort_unstable();
        local_services
    }

    /// The region to which a service belongs: the number of its source.
    #[must_use]
    pub fn region_of_service(&self, service: ServiceId) -> usize {
        service as usize % self.zones % self.regions
    }

    /// The region of a zone.
    #[must_use]
    pub fn region_of_zone(&self, zone: usize) -> usize {
        zone % self.regions
    }

    /// The zones of a region.
    #[must_use]
    pub fn zones_of(&self, region: usize) -> Vec<usize> {
        (0..self.zones).filter(|zone| zone % self.regions == region).collect()
    }

    /// Number of services; their ids are 0 to this number, exclusive.
    #[must_use]
    pub fn services(&self) -> usize {
        self.services
    }

    /// Number of zones; they are numbered from 0.
    #[must_use]
    pub fn zones(&self) -> usize {
        self.zones
    }

    /// The name of a backend's record.
    #[must_use]
    pub fn backend_name(number: usize) -> Arc<str> {
        format!("b{number}").into()
    }

    /// A backend's address: a loopback address of its own, and the port that all backends share.
    #[must_use]
    pub fn backend_address(number: usize, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(127 << 24 | ((FIRST_BACKEND_OCTET << 16) + number as u32)), port)
    }

    /// The number of the backend with this address; `None` outside the backends' address range.
    #[must_use]
    pub fn backend_number(address: Ipv4Addr) -> Option<usize> {
        let offset = u32::from(address).checked_sub(127 << 24 | FIRST_BACKEND_OCTET << 16)?;
        (offset < (128 - FIRST_BACKEND_OCTET) << 16).then_some(offset as usize)
    }

    /// The body of a backend's record. `up_since_ms` is the start of the backend in milliseconds of Unix
    /// time.
    #[must_use]
    pub fn backend_body(&self, number: usize, port: u16, up_since_ms: u64) -> Arc<[u8]> {
        let backend = Backend {
            address: Self::backend_address(number, port),
            zone: format!("z{}", self.backends[number].zone),
            machine_kind: "box".into(),
            cell: (number % 1_000) as u16,
            capacity: 1.0,
            up_since_ms,
        };
        postcard::to_stdvec(&backend).unwrap_or_default().into()
    }
}
