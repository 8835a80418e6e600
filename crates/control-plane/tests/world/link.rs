//! A connection between two parties, worse than TCP: it loses, repeats and reorders single messages.

use control_plane::Millis;
use control_plane::message::Message;

/// What a link does to messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Noise {
    /// Of a hundred messages this many are lost.
    pub loss: u8,
    /// Of a hundred messages this many come twice.
    pub twice: u8,
    /// Each is up to this many milliseconds late by itself, so that order is lost.
    pub late: Millis,
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

/// One direction: what is under way, and when it arrives.
#[derive(Debug, Default)]
pub struct Way {
    flight: Vec<(Millis, Message)>,
}

impl Way {
    pub fn push(&mut self, message: Message, now: Millis, cut: bool, noise: &Noise, random: &mut Random) {
        if cut || random.below(100) < noise.loss.into() {
            return;
        }
        if random.below(100) < noise.twice.into() {
            self.flight.push((now + random.below(noise.late * 3 + 1), message.clone()));
        }
        self.flight.push((now + random.below(noise.late + 1), message));
    }

    /// What arrives now, in the order of arrival.
    pub fn take(&mut self, now: Millis) -> Vec<Message> {
        let mut due: Vec<(Millis, Message)> = self.flight.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        due.into_iter().map(|(_, message)| message).collect()
    }
}

/// A connection.
#[derive(Debug)]
pub struct Link {
    pub id: u64,
    pub up: Way,
    pub down: Way,
    /// When downstream last heard something.
    pub heard_at: Millis,
}

impl Link {
    pub fn new(id: u64, now: Millis) -> Self {
        Self { id, up: Way::default(), down: Way::default(), heard_at: now }
    }
}
