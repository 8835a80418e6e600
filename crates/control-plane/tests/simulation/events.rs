//! The events of a simulation.

use control_plane::record::{Kind, ServiceId, State};

/// An event of a simulation. Numbers of nodes are taken modulo the number of such nodes; durations are in ticks.
#[derive(Clone, Debug)]
pub enum Event {
    /// A source applies a change.
    Write { service: ServiceId, kind: Kind, name: u8, state: State, size: u16 },
    /// Time passes.
    Wait(u8),
    /// All connections of a subscriber are interrupted.
    CutSubscriber(usize, u8),
    /// The connection between a relay and a source is interrupted.
    CutRelay(usize, usize, u8),
    /// A subscriber connects to another relay.
    ChangeRelay(usize, usize),
    /// A relay restarts without records.
    RestartRelay(usize),
    /// A relay is suspended.
    Suspend(usize, u8),
    /// A source restarts without its last changes.
    RestartSource(usize, u8),
}

impl Event {
    /// The same event, tick by tick.
    pub fn by_ticks(&self) -> Vec<Self> {
        match self {
            Self::Wait(count) => vec![Self::Wait(1); usize::from(*count)],
            other => vec![other.clone()],
        }
    }
}
