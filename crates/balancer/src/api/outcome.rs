//! How attempts end.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend responded with an error.
    Error,
    /// A response came that cannot be parsed. Unlike [`Outcome::Error`] it is weak evidence against the backend: intermediaries
    /// corrupt responses of healthy backends. Real sockets only; the simulator has no such outcome.
    Malformed,
    /// The backend rejected it without processing it.
    Rejected,
    /// No response in time.
    Timeout,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled by this proxy.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// All outcomes, each at the index of its discriminant.
    pub const ALL: [Self; 9] = [
        Self::Ok,
        Self::Error,
        Self::Malformed,
        Self::Rejected,
        Self::Timeout,
        Self::ConnectFailed,
        Self::Reset,
        Self::Cancelled,
        Self::NotSent,
    ];

    /// Whether the connection broke or spoiled the response, which is no sign of its backend's load.
    #[must_use]
    pub fn is_broken_connection(self) -> bool {
        matches!(self, Self::Malformed | Self::ConnectFailed | Self::Reset)
    }

    /// Whether this outcome proves that the attempt was never executed.
    #[must_use]
    pub fn never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}
