//! The simulator's binary protocol. Integers are big-endian; positions of fields count from the code of their record. No
//! decision is taken here.

mod batch;
mod codes;
mod error;
mod fields;
mod record;
mod reply;

pub use batch::{BATCH_HEADER_LENGTH, BatchReader, batch_length};
pub use error::{Expected, ProtocolError};
pub use record::{ENTRIES_POSITION, Record, SCOPE_LIST_POSITION, Scope, parse_entries};
pub use reply::ReplyWriter;
