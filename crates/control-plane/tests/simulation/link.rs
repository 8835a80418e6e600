//! A connection between two nodes that is less reliable than TCP: it loses, duplicates and reorders messages.

use control_plane::Millis;
use control_plane::message::Message;

/// Rates and delays of the faults of a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unreliability {
    /// Lost messages, in percent.
    pub loss_percent: u8,
    /// Duplicated messages, in percent of those that are not lost.
    pub duplication_percent: u8,
    /// Maximum delay of a message. Each message has its own delay, so messages are reordered. Duplicates are
    /// delayed up to three times as long.
    pub max_delay: Millis,
}

/// The splitmix64 generator, with its state. A test gives the initial state as the seed.
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    /// A number below `bound`; 0 if `bound` is 0.
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
    /// Sends a message, unless the link is cut or loses it.
    pub fn push(
        &mut self,
        message: Message,
        now: Millis,
        is_cut: bool,
        unreliability: &Unreliability,
        random: &mut Random,
    ) {
        if is_cut || random.below(100) < unreliability.loss_percent.into() {
            return;
        }
        if random.below(100) < unreliability.duplication_percent.into() {
            let arrives_at = now + random.below(unreliability.max_delay * 3 + 1);
            self.in_flight.push(InFlight { arrives_at, message: message.clone() });
        }
        let arrives_at = now + random.below(unreliability.max_delay + 1);
        self.in_flight.push(InFlight { arrives_at, message });
    }

    /// Removes and returns the messages that have arrived by `now`, in the order of arrival.
    pub fn take(&mut self, now: Millis) -> Vec<Message> {
        let mut arrived: Vec<InFlight> =
            self.in_flight.extract_if(.., |in_flight| in_flight.arrives_at <= now).collect();
        arrived.sort_by_key(|in_flight| in_flight.arrives_at);
        arrived.into_iter().map(|in_flight| in_flight.message).collect()
    }
}

/// A connection between a node and its upstream.
#[derive(Debug)]
pub struct Link {
    /// Identifies the connection at its upstream.
    pub id: u64,
    /// Messages to upstream.
    pub up: Direction,
    /// Messages to the downstream node.
    pub down: Direction,
    /// When the downstream node last received a message.
    pub last_received_at: Millis,
}

impl Link {
    /// Creates a connection that is established at `now`.
    pub fn new(id: u64, now: Millis) -> Self {
        Self { id, up: Direction::default(), down: Direction::default(), last_received_at: now }
    }
}
