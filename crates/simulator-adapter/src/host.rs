//! The balancers that the simulator runs, by instance.

use crate::protocol::{
    BatchReader, ENTRIES_POSITION, Expected, ProtocolError, Record, ReplyWriter, SCOPE_LIST_POSITION, Scope,
    parse_entries,
};
use balancer::api::{Action, Backend, Event, MembershipUpdate, Micros};
use balancer::balancer::Balancer;
use std::any::Any;
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// Why a batch could not be applied.
#[derive(Debug)]
pub enum BatchError {
    /// It violates the protocol.
    Protocol(ProtocolError),
    /// An instance failed; the reply holds a `fatal` record with the cause.
    InstanceFailed,
}

impl fmt::Display for BatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Protocol(error) => error.fmt(f),
            Self::InstanceFailed => write!(f, "a balancer failed; the last reply holds the cause"),
        }
    }
}

impl std::error::Error for BatchError {}

impl From<ProtocolError> for BatchError {
    fn from(error: ProtocolError) -> Self {
        Self::Protocol(error)
    }
}

/// Context of a record in its batch.
#[derive(Clone, Copy)]
struct RecordContext {
    now: Micros,
    /// Offset of the record in its batch.
    offset: usize,
    /// The instance that the last `switch_to` selected.
    instance: Option<u16>,
}

impl RecordContext {
    fn instance(&self) -> Result<u16, ProtocolError> {
        self.instance.ok_or(self.error(0, Expected::SwitchTo))
    }

    fn error(&self, position: usize, expected: Expected) -> ProtocolError {
        ProtocolError { offset: self.offset + position, expected }
    }
}

/// Applies batches to balancers and collects their actions.
#[derive(Default)]
pub struct Host {
    instances: Vec<Option<Balancer>>,
    /// Lists of backends by number.
    lists: Vec<Option<Rc<[Backend]>>>,
    /// Actions of the present event.
    actions: Vec<Action>,
    reply: ReplyWriter,
    /// Unknown codes that were reported, as a bit set.
    reported_codes: [u64; 4],
}

impl Host {
    /// Applies all records of a complete batch.
    ///
    /// # Errors
    /// The batch violates the protocol, or an instance failed.
    pub fn apply_batch(&mut self, bytes: &[u8]) -> Result<(), BatchError> {
        let (mut records, now) = BatchReader::new(bytes)?;
        let mut instance = None;
        loop {
            let offset = records.offset();
            match records.next_record()? {
                None => return Ok(()),
                Some(Record::SwitchTo(selected)) => instance = Some(selected),
                Some(record) => self.apply(RecordContext { now, offset, instance }, &record)?,
            }
        }
    }

    /// The reply to the batches since the last reply.
    pub fn take_reply(&mut self) -> Vec<u8> {
        self.reply.finish()
    }

    fn apply(&mut self, context: RecordContext, record: &Record<'_>) -> Result<(), BatchError> {
        match *record {
            Record::PowerOn { seed, settings } => return self.start_instance(context, seed, settings),
            Record::CrashNow => *slot(&mut self.instances, context.instance()?) = None,
            Record::Page { list, entries } => {
                let entries = parse_entries(entries)
                    .map_err(|error| context.error(ENTRIES_POSITION + error.offset, error.expected))?;
                *slot(&mut self.lists, list) = Some(entries.into());
            }
            Record::Membership { scope, list } => return self.update_membership(context, scope, list),
            Record::Unknown(code) => self.report_unknown(code),
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
        let known =
            || entries.as_deref().ok_or(context.error(SCOPE_LIST_POSITION, Expected::KnownList { list }));
        let update = match scope {
            Scope::Delta => MembershipUpdate::Delta(known()?),
            Scope::Full => MembershipUpdate::Snapshot(known()?),
            Scope::Cached => MembershipUpdate::CachedSnapshot(known()?),
            Scope::Failed => MembershipUpdate::Failed,
        };
        self.handle(context, Event::Membership(update))
    }

    /// Applies an event to the present instance and adds its actions to the reply. A panic becomes a `fatal` record.
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

    /// Logs an unknown code the first time that it comes.
    fn report_unknown(&mut self, code: u8) {
        let (word, bit) = (usize::from(code / 64), 1 << (code % 64));
        if self.reported_codes[word] & bit == 0 {
            self.reported_codes[word] |= bit;
            eprintln!("ignoring records of the unknown code {code}");
        }
    }
}

/// The slot of this number, added if it is missing.
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
