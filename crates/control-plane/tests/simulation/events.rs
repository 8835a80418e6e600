//! The events of a simulation.

use control_plane::record::{RecordKind, RecordState, ServiceId};

/// An event of a simulation. Indexes of nodes are taken modulo the number of such nodes. Durations are in
/// ticks.
#[derive(Clone, Debug)]
pub enum Event {
    /// A source applies a change.
    Write { service: ServiceId, kind: RecordKind, name: u8, state: RecordState, size: u16 },
    /// Time passes without an event.
    Wait(u8),
    /// The connections of a subscriber are interrupted for a duration.
    CutSubscriber(usize, u8),
    /// The connection between a relay and a source is interrupted for a duration.
    CutRelay(usize, usize, u8),
    /// A subscriber connects to another relay.
    ChangeRelay(usize, usize),
    /// A relay restarts without records.
    RestartRelay(usize),
    /// A relay is suspended for a duration.
    Suspend(usize, u8),
    /// A source restarts without this number of its last changes.
    RestartSource(usize, u8),
}

impl Event {
    /// Splits a wait into waits of one tick each; other events are returned as they are.
    pub fn by_ticks(&self) -> Vec<Self> {
        match self {
            Self::Wait(count) => vec![Self::Wait(1); usize::from(*count)],
            other => vec![other.clone()],
        }
    }
}
