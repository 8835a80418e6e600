//! The emulated backends of a campaign, and the effects that requests had there.

use super::{CLASSES, Campaign, CampaignRequest};
use external_processor::generated as pb;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Number of backends of a cell; they share their idempotency keys.
pub(super) const BACKENDS_PER_CELL: usize = 3;
/// How long a cell retains an idempotency key.
const KEY_TTL: Duration = Duration::from_secs(3);

/// Records which requests took effect, independently of what callers report.
pub(super) struct Ledger {
    rng: fastrand::Rng,
    fault_interval: usize,
    /// For each backend: number of attempts that fail before it is up again after a crash; 0 while it is up.
    down: Vec<u32>,
    by_address: FxHashMap<String, usize>,
    /// For each request: backend and time of its last recorded effect.
    executed: FxHashMap<u64, (usize, Instant)>,
    /// Effects of keyed and non-idempotent requests.
    pub(super) effects: u64,
    /// How many of these effects repeated an earlier one of the same request.
    pub(super) duplicate_effects: u64,
}

/// The address of a backend; nothing listens there.
pub(super) fn backend_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (index / 200) as u8, 1 + (index % 200) as u8], 9))
}

impl Ledger {
    pub(super) fn new(campaign: &Campaign) -> Self {
        let addresses = (0..campaign.backends).map(|i| (backend_address(i).to_string(), i));
        Self {
            rng: fastrand::Rng::with_seed(campaign.seed),
            fault_interval: campaign.fault_interval,
            down: vec![0; campaign.backends],
            by_address: addresses.collect(),
            executed: FxHashMap::default(),
            effects: 0,
            duplicate_effects: 0,
        }
    }

    /// Emulates an attempt at a backend; `None` where no backend has this address.
    pub(super) fn send(&mut self, address: &str, request: &CampaignRequest) -> Option<pb::Outcome> {
        let backend = *self.by_address.get(address)?;
        if self.down[backend] > 0 {
            self.down[backend] -= 1;
            return Some(pb::Outcome::CouldNotConnect);
        }
        let has_fault = self.fault_interval > 0 && self.rng.usize(..self.fault_interval) == 0;
        Some(match has_fault.then(|| self.rng.u32(..10)) {
            None => {
                self.execute(backend, request);
                pb::Outcome::Served
            }
            Some(0) => {
                self.down[backend] = self.rng.u32(5..60);
                self.execute(backend, request);
                pb::Outcome::Reset
            }
            Some(1..4) => {
                self.execute(backend, request);
                pb::Outcome::Reset
            }
            Some(4..7) => pb::Outcome::TurnedAway,
            Some(_) => pb::Outcome::CouldNotConnect,
        })
    }

    fn execute(&mut self, backend: usize, request: &CampaignRequest) {
        if CLASSES[request.class] == "read" {
            return;
        }
        let earlier = self.executed.get(&request.number).copied();
        let is_deduplicated = earlier.is_some_and(|(first, when)| {
            CLASSES[request.class] == "submit"
                && first / BACKENDS_PER_CELL == backend / BACKENDS_PER_CELL
                && when.elapsed() < KEY_TTL
        });
        if is_deduplicated {
            return;
        }
        self.effects += 1;
        self.duplicate_effects += u64::from(earlier.is_some());
        self.executed.insert(request.number, (backend, Instant::now()));
    }
}
