//! Runs one balancer per simulated instance and applies batches of records to them.

use crate::protocol::{
    BatchReader, Expected, LIST_ENTRIES_POSITION, MEMBERSHIP_LIST_POSITION, ProtocolError, Record,
    ReplyWriter, Scope, parse_backends,
};
use balancer::api::{Action, Backend, Event, MembershipUpdate, Micros};
use balancer::balancer::Balancer;
use std::any::Any;
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// Why a batch could not be applied completely.
#[derive(Debug)]
pub enum BatchError {
    /// The batch violates the protocol.
    Protocol(ProtocolError),
    /// An instance failed. The last record of the reply contains the cause.
    InstanceFailed,
}

impl fmt::Display for BatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Protocol(error) => error.fmt(f),
            Self::InstanceFailed => write!(f, "a balancer failed; the last reply contains the cause"),
        }
    }
}

impl std::error::Error for BatchError {}

impl From<ProtocolError> for BatchError {
    fn from(error: ProtocolError) -> Self {
        Self::Protocol(error)
    }
}

/// The context in which a record is applied.
#[derive(Clone, Copy)]
struct RecordContext {
    /// The clock of the batch.
    now: Micros,
    /// Offset of the record in its batch.
    offset: usize,
    /// The instance selected by the last [`Record::SelectInstance`] of the batch.
    instance: Option<u16>,
}

impl RecordContext {
    fn instance(&self) -> Result<u16, ProtocolError> {
        self.instance.ok_or(self.error(0, Expected::InstanceSelection))
    }

    fn error(&self, position: usize, expected: Expected) -> ProtocolError {
        ProtocolError { offset: self.offset + position, expected }
    }
}

/// Applies batches to balancers and collects their actions.
#[derive(Default)]
pub struct Host {
    instances: Vec<Option<Balancer>>,
    /// Received lists of backends, indexed by their number.
    lists: Vec<Option<Rc<[Backend]>>>,
    /// Actions in response to the current event; kept to reuse the allocation.
    actions: Vec<Action>,
    reply: ReplyWriter,
    /// Unknown record codes that have been logged, as a bit set.
    logged_codes: [u64; 4],
}

impl Host {
    /// Applies all records of a complete batch, which begins with its header.
    ///
    /// # Errors
    /// If the batch violates the protocol or an instance fails. The records before the error have been
    /// applied.
    pub fn apply_batch(&mut self, bytes: &[u8]) -> Result<(), BatchError> {
        let (mut records, now) = BatchReader::new(bytes)?;
        let mut instance = None;
        loop {
            let offset = records.offset();
            match records.next_record()? {
                None => return Ok(()),
                Some(Record::SelectInstance(selected)) => instance = Some(selected),
                Some(record) => self.apply(RecordContext { now, offset, instance }, &record)?,
            }
        }
    }

    /// Returns the encoded reply to the batches that were applied since the last call.
    pub fn take_reply(&mut self) -> Vec<u8> {
        self.reply.finish()
    }

    fn apply(&mut self, context: RecordContext, record: &Record<'_>) -> Result<(), BatchError> {
        match *record {
            Record::InstanceStarted { seed, settings } => {
                return self.start_instance(context, seed, settings);
            }
            Record::InstanceKilled => *slot(&mut self.instances, context.instance()?) = None,
            Record::BackendList { list, entries } => {
                let entries = parse_backends(entries)
                    .map_err(|error| context.error(LIST_ENTRIES_POSITION + error.offset, error.expected))?;
                *slot(&mut self.lists, list) = Some(entries.into());
            }
            Record::MembershipChanged { scope, list } => return self.update_membership(context, scope, list),
            Record::Unknown(code) => self.log_unknown_code(code),
            _ => {
                if let Some(event) = record.event() {
                    return self.handle(context, event);
                }
            }
        }
        Ok(())
    }

    fn start_instance(
        &mut self,
        context: RecordContext,
        seed: u64,
        settings: &[u8],
    ) -> Result<(), BatchError> {
        let instance = context.instance()?;
        let started = settings::parse_settings(settings)
            .and_then(|settings| Balancer::new(settings, seed, context.now));
        match started {
            Ok(balancer) => *slot(&mut self.instances, instance) = Some(balancer),
            Err(error) => {
                self.reply.fatal(instance, &error.to_string());
                return Err(BatchError::InstanceFailed);
            }
        }
        Ok(())
    }

    fn update_membership(
        &mut self,
        context: RecordContext,
        scope: Scope,
        list: u16,
    ) -> Result<(), BatchError> {
        let entries = slot(&mut self.lists, list).clone();
        let known_entries = || {
            entries.as_deref().ok_or(context.error(MEMBERSHIP_LIST_POSITION, Expected::KnownList { list }))
        };
        let update = match scope {
            Scope::Delta => MembershipUpdate::Delta(known_entries()?),
            Scope::Full => MembershipUpdate::Snapshot(known_entries()?),
            Scope::Cached => MembershipUpdate::CachedSnapshot(known_entries()?),
            Scope::Failed => MembershipUpdate::Failed,
        };
        self.handle(context, Event::Membership(update))
    }

    /// Applies an event to the selected instance and appends its actions to the reply. A panic becomes a
    /// record of the instance's failure.
    fn handle(&mut self, context: RecordContext, event: Event<'_>) -> Result<(), BatchError> {
        let instance = context.instance()?;
        let Some(balancer) = slot(&mut self.instances, instance).as_mut() else {
            return Err(context.error(0, Expected::RunningInstance { instance }).into());
        };
        self.actions.clear();
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(context.now, event, actions)));
        if let Err(panic) = handled {
            let text = format!("the decision module panicked: {}", panic_message(panic.as_ref()));
            self.reply.fatal(instance, &text);
            return Err(BatchError::InstanceFailed);
        }
        for action in &self.actions {
            self.reply.action(instance, action);
        }
        Ok(())
    }

    /// Logs an unknown record code when it is received for the first time.
    fn log_unknown_code(&mut self, code: u8) {
        let (word, bit) = (usize::from(code / 64), 1 << (code % 64));
        if self.logged_codes[word] & bit == 0 {
            self.logged_codes[word] |= bit;
            eprintln!("ignoring records with unknown code {code}");
        }
    }
}

/// Returns the slot with this number, after extending the vector if necessary.
fn slot<T>(slots: &mut Vec<Option<T>>, number: u16) -> &mut Option<T> {
    let index = usize::from(number);
    if slots.len() <= index {
        slots.resize_with(index + 1, || None);
    }
    &mut slots[index]
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no text")
}
