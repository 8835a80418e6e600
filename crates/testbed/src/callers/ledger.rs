//! The boxes of a campaign, and what ran there.

use super::{CLASSES, Campaign, Wanted};
use external_processor::generated as pb;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Boxes of a cell, which drop each other's repeats.
pub(super) const CELL: usize = 3;
/// How long they remember.
const KEY_TTL: Duration = Duration::from_secs(3);

/// The boxes, and what ran there.
pub(super) struct Ledger {
    rng: fastrand::Rng,
    trouble_every: usize,
    /// Attempts until a crashed box is back.
    down: Vec<u32>,
    by_address: FxHashMap<String, usize>,
    /// For each request: where it ran first in its present memory, and when.
    ran: FxHashMap<u64, (usize, Instant)>,
    pub(super) effects: u64,
    pub(super) doubled: u64,
}

pub(super) fn box_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (index / 200) as u8, 1 + (index % 200) as u8], 9))
}

impl Ledger {
    pub(super) fn new(campaign: &Campaign) -> Self {
        let addresses = (0..campaign.boxes).map(|i| (box_address(i).to_string(), i));
        Self {
            rng: fastrand::Rng::with_seed(campaign.seed),
            trouble_every: campaign.trouble_every,
            down: vec![0; campaign.boxes],
            by_address: addresses.collect(),
            ran: FxHashMap::default(),
            effects: 0,
            doubled: 0,
        }
    }

    /// An attempt reaches a box, or does not.
    pub(super) fn send(&mut self, to: &str, wanted: &Wanted) -> Option<pb::Outcome> {
        let at = *self.by_address.get(to)?;
        if self.down[at] > 0 {
            self.down[at] -= 1;
            return Some(pb::Outcome::CouldNotConnect);
        }
        let trouble = self.trouble_every > 0 && self.rng.usize(..self.trouble_every) == 0;
        Some(match trouble.then(|| self.rng.u32(..10)) {
            None => {
                self.run(at, wanted);
                pb::Outcome::Served
            }
            Some(0) => {
                self.down[at] = self.rng.u32(5..60);
                self.run(at, wanted);
                pb::Outcome::Reset
            }
            Some(1..4) => {
                self.run(at, wanted);
                pb::Outcome::Reset
            }
            Some(4..7) => pb::Outcome::TurnedAway,
            Some(_) => pb::Outcome::CouldNotConnect,
        })
    }

    fn run(&mut self, at: usize, wanted: &Wanted) {
        if CLASSES[wanted.class] == "read" {
            return;
        }
        let before = self.ran.get(&wanted.number).copied();
        let dropped = before.is_some_and(|(first, when)| {
            CLASSES[wanted.class] == "submit" && first / CELL == at / CELL && when.elapsed() < KEY_TTL
        });
        if dropped {
            return;
        }
        self.effects += 1;
        self.doubled += u64::from(before.is_some());
        self.ran.insert(wanted.number, (at, Instant::now()));
    }
}
