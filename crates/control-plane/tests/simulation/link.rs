//! A connection between two nodes, less reliable than TCP: it loses, duplicates and reorders single messages.

use control_plane::Millis;
use control_plane::message::Message;

/// How unreliable a link is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unreliability {
    /// Lost messages, percent.
    pub loss: u8,
    /// Duplicated messages, percent.
    pub duplication: u8,
    /// The greatest delay of a message, milliseconds; each has its own, so messages are reordered.
    pub max_delay: Millis,
}

/// splitmix64, from a seed that the test gives.
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }
}

/// A message in flight.
#[derive(Debug)]
struct InFlight {
    arrives_at: Millis,
    message: Message,
}

/// One direction of a link.
#[derive(Debug, Default)]
pub struct Direction {
    in_flight: Vec<InFlight>,
}

impl Direction {
    pub fn push(
        &mut self,
        message: Message,
        now: Millis,
        is_cut: bool,
        unreliability: &Unreliability,
        random: &mut Random,
    ) {
        if is_cut || random.below(100) < unreliability.loss.into() {
            return;
        }
        if random.below(100) < unreliability.duplication.into() {
            let arrives_at = now + random.below(unreliability.max_delay * 3 + 1);
            self.in_flight.push(InFlight { arrives_at, message: message.clone() });
        }
        let arrives_at = now + random.below(unreliability.max_delay + 1);
        self.in_flight.push(InFlight { arrives_at, message });
    }

    /// The messages that have arrived, in the order of arrival.
    pub fn take(&mut self, now: Millis) -> Vec<Message> {
        let mut arrived: Vec<InFlight> =
            self.in_flight.extract_if(.., |in_flight| in_flight.arrives_at <= now).collect();
        arrived.sort_by_key(|in_flight| in_flight.arrives_at);
        arrived.into_iter().map(|in_flight| in_flight.message).collect()
    }
}

/// A connection.
#[derive(Debug)]
pub struct Link {
    pub id: u64,
    pub up: Direction,
    pub down: Direction,
    /// When downstream last received a message.
    pub last_received_at: Millis,
}

impl Link {
    pub fn new(id: u64, now: Millis) -> Self {
        Self { id, up: Direction::default(), down: Direction::default(), last_received_at: now }
    }
}
