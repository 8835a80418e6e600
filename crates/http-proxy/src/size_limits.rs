//! Size limits of the messages that the proxy forwards.

/// The maximum size of a body that is buffered for any request or response, in bytes; larger ones are
/// streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The maximum size of a body that is forwarded in either direction, in bytes: one and a half times the 32 MB
/// that peers with large bodies usually send.
pub const MAX_BODY_BYTES: u64 = 48 << 20;
/// The maximum size of a request's head, in bytes.
pub const MAX_REQUEST_HEAD_BYTES: usize = 16 * 1024;
/// The maximum size of a response's head, and the read buffer of a backend connection, in bytes. Bounds the
/// memory that an endless head takes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 16 * 1024;
