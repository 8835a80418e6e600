//! Faults that are planted between a link and its subscriber, so that a checker which finds none is known to look. Pure.

use super::messages::InjectedFault;
use control_plane::message::Message;
use control_plane::record::{Epoch, Key, Scope, SourceId, State};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// The shim of one subscriber.
#[derive(Debug)]
pub struct FaultInjector {
    injected_fault: InjectedFault,
    armed: bool,
    /// The record that was hit. What is said of it later is hit as well, else a newer word would mend it.
    hit: Option<Key>,
    lives: FxHashMap<SourceId, Epoch>,
}

impl FaultInjector {
    /// One that plants this.
    #[must_use]
    pub fn new(plant: InjectedFault) -> Self {
        Self { injected_fault: plant, armed: false, hit: None, lives: FxHashMap::default() }
    }

    /// From now on a record may be hit.
    pub fn arm(&mut self) {
        self.armed = true;
    }

    /// What the subscriber has to say, as the link carries it.
    #[must_use]
    pub fn out(&self, mut message: Message) -> Message {
        if let (InjectedFault::Scope, Message::Hello { scope: Scope::Services(services), .. }) =
            (self.injected_fault, &mut message)
        {
            services.pop_last();
        }
        message
    }

    /// What the link brought, as the subscriber gets it; `None`: not at all.
    pub fn pass(&mut self, mut message: Message) -> Option<Message> {
        match self.injected_fault {
            InjectedFault::None => {}
            InjectedFault::Scope => strip(&mut message),
            InjectedFault::Drop | InjectedFault::Digest => self.strike(&mut message),
            InjectedFault::Epoch => return self.old_life(message),
        }
        Some(message)
    }

    /// Drops or corrupts one record, from the first batch on that brings one in force with a body.
    fn strike(&mut self, message: &mut Message) {
        strip(message);
        let Message::Batch { records, .. } = message else { return };
        if self.armed && self.hit.is_none() {
            let first = records.iter().find(|r| r.state == State::Active && !r.body.is_empty());
            self.hit = first.map(|record| record.key.clone());
        }
        let Some(hit) = &self.hit else { return };
        if self.injected_fault == InjectedFault::Drop {
            records.retain(|record| record.key != *hit);
            return;
        }
        for record in records.iter_mut().filter(|record| record.key == *hit) {
            let mut body = record.body.to_vec();
            if let Some(byte) = body.last_mut() {
                *byte ^= 1;
            }
            record.body = Arc::from(body);
        }
    }

    /// Everything is of the first life that was heard of, and what would repair the difference does not come.
    fn old_life(&mut self, mut message: Message) -> Option<Message> {
        strip(&mut message);
        let (Message::Batch { source, epoch, .. }
        | Message::DigestSummary { source, epoch, .. }
        | Message::ServiceSnapshot { source, epoch, .. }) = &mut message
        else {
            return Some(message);
        };
        let first = *self.lives.entry(*source).or_insert(*epoch);
        let renewed = *epoch > first;
        *epoch = first;
        let repairs = matches!(message, Message::DigestSummary { .. } | Message::ServiceSnapshot { .. });
        (!renewed || !repairs).then_some(message)
    }
}

/// Takes the sum of digests out of a message.
fn strip(message: &mut Message) {
    if let Message::Batch { scope_digest, .. } = message {
        *scope_digest = None;
    }
}
