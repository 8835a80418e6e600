//! Encodes and decodes the simulator's binary protocol. Integers are big-endian; positions of fields are byte
//! offsets from the code of their record.

mod batch;
mod codes;
mod error;
mod fields;
mod record;
mod reply;

pub use batch::{BATCH_HEADER_LENGTH, BatchReader, batch_length};
pub use error::{Expected, ProtocolError};
pub use record::{LIST_ENTRIES_POSITION, MEMBERSHIP_LIST_POSITION, Record, Scope, parse_backends};
pub use reply::ReplyWriter;
