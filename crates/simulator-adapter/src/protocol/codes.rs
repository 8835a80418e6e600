//! Codes of the protocol. Received and sent records are numbered separately.

/// Codes of received records.
pub(super) mod received {
    pub(crate) const PAGE: u8 = 0;
    pub(crate) const PROBED: u8 = 1;
    pub(crate) const SWITCH_TO: u8 = 2;
    pub(crate) const FIRST_BYTE: u8 = 3;
    pub(crate) const SETTLED: u8 = 4;
    pub(crate) const CRASH_NOW: u8 = 5;
    pub(crate) const WAKEUP: u8 = 6;
    pub(crate) const MEMBERSHIP: u8 = 7;
    pub(crate) const VANISHED: u8 = 8;
    pub(crate) const POWER_ON: u8 = 9;
    pub(crate) const PEER: u8 = 10;
    pub(crate) const INBOUND: u8 = 11;
}

/// Codes of sent records.
pub(super) mod sent {
    pub(crate) const SUBMIT_TO: u8 = 64;
    pub(crate) const SAY_NO: u8 = 65;
    pub(crate) const GIVE_UP: u8 = 66;
    pub(crate) const CALL_OFF: u8 = 67;
    pub(crate) const WAKE_ME: u8 = 68;
    pub(crate) const PING: u8 = 69;
    pub(crate) const SHUT_IDLE: u8 = 70;
    pub(crate) const WRITE_LOG: u8 = 72;
    pub(crate) const FATAL: u8 = 73;
    pub(crate) const SUBSCRIBE: u8 = 74;
    pub(crate) const SOURCE: u8 = 76;
}

/// Codes of outcomes.
pub(super) mod outcome {
    pub(crate) const OK: u16 = 100;
    pub(crate) const ERROR: u16 = 301;
    pub(crate) const REJECTED: u16 = 302;
    pub(crate) const TIMEOUT: u16 = 303;
    pub(crate) const CONNECT_FAILED: u16 = 304;
    pub(crate) const RESET: u16 = 305;
    pub(crate) const CANCELLED: u16 = 306;
    pub(crate) const NOT_SENT: u16 = 307;
}

/// Codes of the scope of a `membership` record.
pub(super) mod scope {
    pub(crate) const DELTA: u8 = 0;
    pub(crate) const FULL: u8 = 1;
    pub(crate) const CACHED: u8 = 2;
    pub(crate) const FAILED: u8 = 3;
}

/// Codes of a backend's readiness.
pub(super) mod readiness {
    pub(crate) const GONE: u8 = 0;
    pub(crate) const READY: u8 = 1;
    pub(crate) const DRAINING: u8 = 2;
}

/// Bits of the flags of an `inbound` record.
pub(super) mod inbound_flag {
    pub(crate) const HAS_WORK: u8 = 1;
    pub(crate) const IS_RETRY: u8 = 2;
}
