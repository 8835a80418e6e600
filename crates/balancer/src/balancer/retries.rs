//! Repeats: where a further attempt may go (rule 2), whether it is worth it, and when one is given up.

use super::Balancer;
use crate::api::{Action, DedupScope, Idempotency, Micros};
use crate::state::{AttemptState, Open, Scope};

/// An attempt that may be repeated is given up at this part of its aim, twice as late each time, where that
/// is at least `MIN_LOST` times its class's mean latency; elsewhere at `LOST_OVER_MEAN` times the mean.
const LOST_OVER_AIM: f64 = 0.25;
const MIN_LOST: f64 = 5.0;
const LOST_OVER_MEAN: f64 = 24.0;
/// Part of the requests that may get a further attempt after one that may have run, and the burst.
pub(super) const RETRY_SHARE: f64 = 0.1;
pub(super) const RETRY_BURST: f64 = 10.0;

impl Balancer {
    /// Rule 2: where a further attempt may go. Attempts that are out count as such that may have run.
    pub(super) fn scope(&self, now: Micros, open: &Open) -> Scope {
        let permissions = &self.settings.permissions;
        let out = open.out();
        if open.answered || open.streaming || open.attempts.len() >= open.max_attempts {
            return Scope::Nowhere;
        }
        if out > 0 && !permissions.hedging {
            return Scope::Nowhere;
        }
        let Some(first) = open.attempts.iter().find(|a| a.state != AttemptState::NeverRan) else {
            return Scope::Anywhere;
        };
        match self.settings.classes[open.class].idempotency {
            Idempotency::Idempotent => Scope::Anywhere,
            Idempotency::NonIdempotent => Scope::Nowhere,
            Idempotency::Keyed { ttl, .. } if now >= first.sent_at.saturating_add(ttl) => Scope::Nowhere,
            Idempotency::Keyed { scope: DedupScope::All, .. } => Scope::Anywhere,
            Idempotency::Keyed { scope: DedupScope::Zone, .. } => Scope::Zone(first.zone),
            Idempotency::Keyed { scope: DedupScope::Cell, .. } => Scope::Cell(first.cell),
        }
    }

    /// Rule 2: from when on a further attempt may not begin any more. Its connection may come up after the
    /// window in which its backends remember the key.
    pub(super) fn begin_by(&self, open: &Open) -> Micros {
        let first = open.attempts.iter().find(|a| a.state != AttemptState::NeverRan);
        match (first, self.settings.classes[open.class].idempotency) {
            (Some(first), Idempotency::Keyed { ttl, .. }) => first.sent_at.saturating_add(ttl),
            _ => Micros::MAX,
        }
    }

    /// Rule 2: whether the client may be told that trying again is harmless.
    pub(super) fn may_refuse(&self, open: &Open) -> bool {
        let may_have_run = open.attempts.iter().any(|a| a.state != AttemptState::NeverRan);
        match self.settings.classes[open.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !may_have_run,
        }
    }

    /// Whether an attempt started now would come too late to be worth anything.
    pub(super) fn too_late(&self, now: Micros, open: &Open) -> bool {
        let class = &self.settings.classes[open.class];
        let last = if class.late_weight_fraction > 0.0 {
            open.deadline
        } else {
            open.deadline.min(open.arrived + class.latency_objective)
        };
        now + (self.mean(open.class) / 2.0) as Micros >= last
    }

    /// An attempt failed and the client waits: another one, if the rules and the budget allow it.
    pub(super) fn again(&mut self, now: Micros, slot: usize, never_ran: bool, out: &mut Vec<Action>) {
        if self.open[slot].out() > 0 || self.open[slot].held_until.is_some() {
            return;
        }
        let open = &self.open[slot];
        let hopeless = self.scope(now, open) == Scope::Nowhere || self.too_late(now, open);
        if hopeless || (!never_ran && self.retry_tokens < 1.0) {
            return self.give_up(slot, out);
        }
        self.retry_tokens -= f64::from(u8::from(!never_ran));
        self.dispatch(now, slot, out);
    }

    /// When an attempt that starts now is given up, and whether that tells that it was lost. Departure:
    /// where work takes a small part of the time that clients wait, an attempt without an answer long after
    /// its time is lost (its connection fell silent, say). Waited for to the deadline it would leave no time
    /// for another one, hold its slot, and make a server that answers all else look silent.
    pub(super) fn give_up_at(&self, now: Micros, open: &Open) -> (Micros, bool) {
        let class = &self.settings.classes[open.class];
        let last = open.attempts.len() + 1 >= open.max_attempts;
        if last || class.idempotency == Idempotency::NonIdempotent || self.retry_tokens < 1.0 {
            return (open.deadline, false);
        }
        let (mean, soon) = (self.mean(open.class), class.latency_objective as f64 * LOST_OVER_AIM);
        let early = mean * MIN_LOST <= soon;
        let before = open.attempts.iter().filter(|a| a.early).count() as i32;
        let lost = if early { soon * 2_f64.powi(before) } else { mean * LOST_OVER_MEAN };
        (open.deadline.min(now.saturating_add(lost as Micros)), early)
    }
}
