//! Codes of the protocol. Received and sent records are numbered separately. The comment at each code of a
//! record is the name that the simulator's protocol gives it.

/// Codes of received records.
pub(super) mod received {
    /// `page`
    pub(crate) const BACKEND_LIST: u8 = 0;
    /// `probed`
    pub(crate) const HEALTH_CHECK_FINISHED: u8 = 1;
    /// `switch_to`
    pub(crate) const SELECT_INSTANCE: u8 = 2;
    /// `first_byte`
    pub(crate) const RESPONSE_STARTED: u8 = 3;
    /// `settled`
    pub(crate) const ATTEMPT_FINISHED: u8 = 4;
    /// `crash_now`
    pub(crate) const INSTANCE_KILLED: u8 = 5;
    /// `wakeup`
    pub(crate) const TIMER_EXPIRED: u8 = 6;
    /// `membership`
    pub(crate) const MEMBERSHIP_CHANGED: u8 = 7;
    /// `vanished`
    pub(crate) const CLIENT_DISCONNECTED: u8 = 8;
    /// `power_on`
    pub(crate) const INSTANCE_STARTED: u8 = 9;
    /// `peer`
    pub(crate) const PEER_MESSAGE: u8 = 10;
    /// `inbound`
    pub(crate) const REQUEST_ARRIVED: u8 = 11;
}

/// Codes of sent records.
pub(super) mod sent {
    /// `submit_to`
    pub(crate) const SEND: u8 = 64;
    /// `say_no`
    pub(crate) const REJECT: u8 = 65;
    /// `give_up`
    pub(crate) const FAIL: u8 = 66;
    /// `call_off`
    pub(crate) const CANCEL: u8 = 67;
    /// `wake_me`
    pub(crate) const SET_TIMER: u8 = 68;
    /// `ping`
    pub(crate) const CHECK_HEALTH: u8 = 69;
    /// `shut_idle`
    pub(crate) const CLOSE_IDLE_CONNECTIONS: u8 = 70;
    /// `write_log`
    pub(crate) const LOG: u8 = 72;
    /// `fatal`
    pub(crate) const FATAL: u8 = 73;
    /// `subscribe`
    pub(crate) const SUBSCRIBE: u8 = 74;
    /// `source`
    pub(crate) const SELECT_INSTANCE: u8 = 76;
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

/// Codes of the scope of a [`MEMBERSHIP_CHANGED`](received::MEMBERSHIP_CHANGED) record.
pub(super) mod scope {
    pub(crate) const DELTA: u8 = 0;
    pub(crate) const FULL: u8 = 1;
    pub(crate) const CACHED: u8 = 2;
    pub(crate) const FAILED: u8 = 3;
}

/// Codes of a backend's readiness.
pub(super) mod readiness {
    pub(crate) const REMOVED: u8 = 0;
    pub(crate) const READY: u8 = 1;
    pub(crate) const DRAINING: u8 = 2;
}

/// Bits of the flags of a [`REQUEST_ARRIVED`](received::REQUEST_ARRIVED) record.
pub(super) mod request_flag {
    pub(crate) const HAS_EXPECTED_WORK: u8 = 1;
    pub(crate) const IS_RETRY: u8 = 2;
}
