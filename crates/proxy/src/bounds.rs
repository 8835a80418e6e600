//! What a message may hold at the most.

/// The largest body of a request, and of an answer as the protocol has it, in bytes.
pub const BODY_CAP: usize = 64 * 1024;
/// The largest answer that is passed on, in bytes. Backends were seen to send good ones of 400 KB.
pub const ANSWER_CAP: usize = 1024 * 1024;
/// The largest head of a request, in bytes.
pub const REQUEST_HEAD_CAP: usize = 16 * 1024;
/// The largest head of an answer, and what a connection reads ahead, in bytes: one that does not end must not take
/// memory until the request's time is up.
pub const ANSWER_HEAD_CAP: usize = 16 * 1024;
