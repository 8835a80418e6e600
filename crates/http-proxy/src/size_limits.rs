//! What a message may hold at the most.

/// The largest body that is kept whole for any request or answer, in bytes; larger ones are passed on as they come.
pub const BODY_CAP: usize = 64 * 1024;
/// The largest body that passes in either direction, in bytes. Those of 32 MB are usual for peers that send large ones;
/// beyond half as much again something is wrong.
pub const BODY_MOST: u64 = 48 << 20;
/// The largest head of a request, in bytes.
pub const REQUEST_HEAD_CAP: usize = 16 * 1024;
/// The largest head of an answer, and what a connection reads ahead, in bytes: one that does not end must not take
/// memory until the request's time is up.
pub const ANSWER_HEAD_CAP: usize = 16 * 1024;
