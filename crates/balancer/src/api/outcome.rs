//! Outcomes of attempts.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Ok,
    /// The backend responded with an error.
    Error,
    /// The response cannot be parsed. Intermediaries also corrupt responses of healthy backends, so this is
    /// weaker evidence against the backend than [`Outcome::Error`]. It occurs with real sockets only; the
    /// simulator has no such outcome.
    Malformed,
    /// The backend rejected the request without processing it.
    Rejected,
    /// No response in time.
    Timeout,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke before the response was complete.
    Reset,
    /// Cancelled by this proxy.
    Cancelled,
    /// The attempt was never sent.
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

    /// Whether the connection could not be established, broke, or corrupted the response. Such an outcome
    /// does not indicate load on the backend.
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
