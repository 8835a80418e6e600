//! Injects faults between a connection and its subscriber, to prove that the checks find them. Does no I/O.

use super::messages::InjectedFault;
use control_plane::message::Message;
use control_plane::record::{Epoch, RecordKey, RecordState, Scope, SourceId};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Selects the one simulated proxy of a process that has the injected fault: the one with the smallest
/// number.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultyProxy(Option<(u32, InjectedFault)>);

impl FaultyProxy {
    /// Adds the proxies of one command. All commands of a process must carry the same fault.
    pub fn assign(&mut self, numbers: impl Iterator<Item = u32>, fault: InjectedFault) {
        let first = numbers.min().map(|first| (first, fault));
        self.0 = self.0.into_iter().chain(first).min_by_key(|&(number, _)| number);
    }

    /// The fault of the proxy with this number; [`InjectedFault::None`] for all but the selected one.
    #[must_use]
    pub fn fault_of(&self, number: u32) -> InjectedFault {
        self.0.filter(|(first, _)| *first == number).map_or(InjectedFault::None, |(_, fault)| fault)
    }
}

/// The fault injector of one subscriber.
#[derive(Debug)]
pub struct FaultInjector {
    injected_fault: InjectedFault,
    armed: bool,
    /// The affected record. Its later versions are affected as well, otherwise they would repair it.
    target: Option<RecordKey>,
    first_epochs: FxHashMap<SourceId, Epoch>,
}

impl FaultInjector {
    /// Creates an injector that is not armed yet.
    #[must_use]
    pub fn new(fault: InjectedFault) -> Self {
        Self { injected_fault: fault, armed: false, target: None, first_epochs: FxHashMap::default() }
    }

    /// Allows records to be dropped or corrupted from now on.
    pub fn arm(&mut self) {
        self.armed = true;
    }

    /// Returns the subscriber's message as it is sent to the relay.
    #[must_use]
    pub fn outgoing(&self, mut message: Message) -> Message {
        if let (InjectedFault::Scope, Message::Hello { scope: Scope::Services(services), .. }) =
            (self.injected_fault, &mut message)
        {
            services.pop_last();
        }
        message
    }

    /// Returns the relay's message as the subscriber receives it; `None` if it is dropped.
    pub fn incoming(&mut self, mut message: Message) -> Option<Message> {
        match self.injected_fault {
            InjectedFault::None => {}
            InjectedFault::Scope => remove_digest(&mut message),
            InjectedFault::Drop | InjectedFault::Digest => self.affect_record(&mut message),
            InjectedFault::Epoch => return self.hide_epoch(message),
        }
        Some(message)
    }

    /// Drops or corrupts every version of one record: the first active one with a body after arming.
    fn affect_record(&mut self, message: &mut Message) {
        remove_digest(message);
        let Message::Batch { records, .. } = message else { return };
        if self.armed && self.target.is_none() {
            let first = records.iter().find(|r| r.state == RecordState::Active && !r.body.is_empty());
            self.target = first.map(|record| record.key.clone());
        }
        let Some(target) = &self.target else { return };
        if self.injected_fault == InjectedFault::Drop {
            records.retain(|record| record.key != *target);
            return;
        }
        for record in records.iter_mut().filter(|record| record.key == *target) {
            let mut body = record.body.to_vec();
            if let Some(byte) = body.last_mut() {
                *byte ^= 1;
            }
            record.body = Arc::from(body);
        }
    }

    /// Replaces each epoch with the source's first one, and drops messages that would repair the replica.
    fn hide_epoch(&mut self, mut message: Message) -> Option<Message> {
        remove_digest(&mut message);
        let (Message::Batch { source, epoch, .. }
        | Message::DigestSummary { source, epoch, .. }
        | Message::ServiceSnapshot { source, epoch, .. }) = &mut message
        else {
            return Some(message);
        };
        let first = *self.first_epochs.entry(*source).or_insert(*epoch);
        let is_newer = *epoch > first;
        *epoch = first;
        let repairs = matches!(message, Message::DigestSummary { .. } | Message::ServiceSnapshot { .. });
        (!is_newer || !repairs).then_some(message)
    }
}

/// Removes the scope's digest, which would reveal the fault to the subscriber.
fn remove_digest(message: &mut Message) {
    if let Message::Batch { scope_digest, .. } = message {
        *scope_digest = None;
    }
}
