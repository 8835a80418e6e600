//! How far one subscriber was told of one source, and what it is told next.

use crate::Millis;
use crate::feed::{Pass, View};
use crate::message::{Bound, Have, MAX_BYTES, Message};
use crate::pace::Bucket;
use crate::record::{Cursor, Epoch, Record, Scope, ServiceId, State, Urgency, Version};
use crate::replica::furthest;

/// A subscriber that has everything is told the sum of its digests this often.
pub const CHECK_INTERVAL: Millis = 10_000;
/// How far it is, where only changes out of its scope were made, it is told this often at the most.
const PROGRESS_INTERVAL: Millis = 1_000;
/// A batch, a summary or a part of a service is cut here; one record may be longer.
const MAX_CUT: usize = MAX_BYTES / 4;
/// Where there is more to say than there are tokens, they are saved up for this many bytes: else each record would have a
/// message of its own, and heads would take most of the pace.
const MIN_CUT: usize = 1 << 10;
/// Records of one version (those that a repair took away) are not parted up to here.
const MAX_UNCUT: usize = MAX_BYTES / 4 * 3;
/// What a message takes beside its records, never more: two cursors (120 bytes at their longest), a check, numbers.
pub(crate) const FRAME: usize = 192;
/// A digest in a summary, at its longest.
const DIGEST: usize = 5 + 10;

/// What a subscriber is told next of a source.
pub(crate) enum Step {
    /// Nothing of this kind.
    Nothing,
    /// Nothing of this kind before then.
    Later(Millis),
    /// There is something, but no tokens before then.
    Poor(Millis),
    /// This.
    Say(Message),
}

/// A summary that is not said to its end.
#[derive(Debug)]
struct Progress {
    next: ServiceId,
    to: Cursor,
    epoch: Epoch,
    generation: u64,
}

/// One subscriber and one source.
#[derive(Debug)]
pub(crate) struct Line {
    /// The life of the source that it follows; 0: none.
    epoch: Epoch,
    /// The last rebuild of the ledger that it knows of; `None`: all up to the first look.
    generation: Option<u64>,
    /// Where it was told that it is.
    told: Cursor,
    /// Up to where the logs hold nothing in scope; never less far than `told`.
    looked: Cursor,
    summary: Option<Progress>,
    /// Services to be told whole, the last one first.
    wants: Vec<ServiceId>,
    /// Up to which key the first of them was told.
    place: Option<Bound>,
    check_at: Millis,
    word_at: Millis,
    /// Digests were asked for, or a summary is due for another reason.
    compare: bool,
}

impl Line {
    /// Somebody that knows nothing of the source.
    pub(crate) fn fresh(now: Millis) -> Self {
        Self {
            epoch: 0,
            generation: None,
            told: Cursor::default(),
            looked: Cursor::default(),
            summary: None,
            wants: Vec::new(),
            place: None,
            check_at: now,
            word_at: now,
            compare: false,
        }
    }

    /// Somebody that is there.
    pub(crate) fn at(have: &Have, now: Millis) -> Self {
        Self { epoch: have.epoch, told: have.cursor, looked: have.cursor, ..Self::fresh(now) }
    }

    pub(crate) fn resume(&mut self, have: &Have, now: Millis) {
        (self.epoch, self.told, self.looked, self.check_at) = (have.epoch, have.cursor, have.cursor, now);
        self.summary = None;
    }

    pub(crate) fn compare(&mut self) {
        self.compare = true;
        self.summary = None;
    }

    /// Wants these whole, in place of what it wanted.
    pub(crate) fn want(&mut self, mut services: Vec<ServiceId>) {
        services.sort_unstable_by(|one, other| other.cmp(one));
        services.dedup();
        services.shrink_to_fit();
        (self.wants, self.place) = (services, None);
    }

    pub(crate) fn wants(&self) -> usize {
        self.wants.len()
    }

    /// Sees what is held now: whether the log is enough for this subscriber.
    pub(crate) fn look(&mut self, view: View<'_>) {
        let (epoch, generation) = (view.ledger.epoch(), view.ledger.generation());
        // One that is ahead of this ledger in its life waits until the ledger is there.
        if epoch < self.epoch {
            self.summary = None;
            return;
        }
        if self.epoch == epoch && self.generation.is_none() {
            self.generation = Some(generation);
        }
        let floor = view.ledger.floor().min(view.ledger.complete());
        let behind = self.told[Urgency::Drain as usize] < floor;
        let due = self.compare || behind || self.epoch != epoch || self.generation != Some(generation);
        let current = self
            .summary
            .as_ref()
            .is_some_and(|summary| (summary.epoch, summary.generation) == (epoch, generation));
        if due && !current {
            let to = [view.ledger.complete(); 3];
            self.summary = Some(Progress { next: 0, to, epoch, generation });
            self.want(Vec::new());
        }
    }

    /// What is next of this kind.
    pub(crate) fn step(
        &mut self,
        pass: Pass,
        view: View<'_>,
        scope: &Scope,
        bucket: &Bucket,
        now: Millis,
    ) -> Step {
        if view.ledger.epoch() < self.epoch {
            return Step::Nothing;
        }
        match pass {
            Pass::Summary if view.sound => self.summary(view, scope, bucket, now),
            Pass::Whole if view.sound && self.summary.is_none() => self.whole(view, bucket),
            Pass::Changes(urgency) if self.summary.is_none() => {
                self.changes(urgency, view, scope, bucket, now)
            }
            Pass::Quiet if self.summary.is_none() => self.quiet(view, scope, bucket, now),
            _ => Step::Nothing,
        }
    }

    /// Passes over what is not in scope. Gives whether something in scope is left.
    fn skip(&mut self, urgency: Urgency, view: View<'_>, scope: &Scope) -> bool {
        let place = urgency as usize;
        let known = view.ledger.known()[place];
        if self.looked[place] >= known {
            return false;
        }
        // Up to the last version, and up to the one before it: records of one version are not parted.
        let mut last = self.looked[place];
        let mut before = last;
        for (version, key) in view.ledger.log(urgency, last, known) {
            if version != last {
                (before, last) = (last, version);
            }
            if scope.holds(key.service) {
                self.looked[place] = before;
                return true;
            }
        }
        self.looked[place] = known;
        false
    }

    fn changes(
        &mut self,
        urgency: Urgency,
        view: View<'_>,
        scope: &Scope,
        bucket: &Bucket,
        now: Millis,
    ) -> Step {
        if !self.skip(urgency, view, scope) {
            return Step::Nothing;
        }
        let (ledger, place) = (view.ledger, urgency as usize);
        let known = ledger.known()[place];
        let cut = MAX_CUT.min(bucket.bytes().max(MIN_CUT)).saturating_sub(FRAME);
        let mut records: Vec<Record> = Vec::new();
        let (mut weight, mut end) = (0, known);
        // The last place where a cut would not part records of one version: how many records, up to which version.
        let mut whole: Option<(usize, Version)> = None;
        let mut last = None;
        let found =
            ledger.log(urgency, self.looked[place], known).filter(|(_, key)| scope.holds(key.service));
        for (version, key) in found {
            let Some(record) = ledger.get(key) else { continue };
            if last.is_some_and(|last| last != version) {
                whole = last.map(|last| (records.len(), last));
            }
            let limit = if whole.is_none() && last.is_some() { MAX_UNCUT } else { cut };
            let full = weight + record.weight() > limit;
            if full && let Some((count, upto)) = whole {
                records.truncate(count);
                end = upto;
                break;
            }
            if full && last.is_some() {
                // More records of one version than a message holds: told by digests.
                self.compare = true;
                self.look(view);
                return Step::Later(now + 1);
            }
            weight += record.weight();
            last = Some(version);
            records.push(record.clone());
        }
        if let Err(at) = bucket.affords(records.iter().map(Record::weight).sum::<usize>() + FRAME) {
            return Step::Poor(at);
        }
        let mut to = self.told;
        to[place] = end;
        self.looked[place] = self.looked[place].max(end);
        for other in Urgency::ALL {
            if end == known && other != urgency && !self.skip(other, view, scope) {
                to[other as usize] = self.looked[other as usize];
            }
        }
        Step::Say(self.say(view, to, records, None, now))
    }

    /// A batch; downstream is there then.
    fn say(
        &mut self,
        view: View<'_>,
        to: Cursor,
        records: Vec<Record>,
        check: Option<u64>,
        now: Millis,
    ) -> Message {
        let (from, to) = (self.told, furthest(self.told, to));
        self.told = to;
        self.looked = furthest(self.looked, to);
        self.word_at = now + PROGRESS_INTERVAL;
        if check.is_some() {
            self.check_at = now + CHECK_INTERVAL;
        }
        Message::Batch { source: view.ledger.source(), epoch: view.ledger.epoch(), from, to, records, check }
    }

    fn quiet(&mut self, view: View<'_>, scope: &Scope, bucket: &Bucket, now: Millis) -> Step {
        let known = view.ledger.known();
        // Who heard more elsewhere can't be compared, and need not be told how far it is.
        let ahead = self.told.iter().zip(known).any(|(told, known)| *told > known);
        let checks = view.sound && !ahead;
        let progress = furthest(self.told, known) != self.told;
        let due = |at: Millis, wanted: bool| wanted.then_some(at);
        let times = [due(self.check_at, checks), due(self.word_at, progress)];
        let Some(at) = times.into_iter().flatten().min() else { return Step::Nothing };
        if now < at {
            return Step::Later(at);
        }
        if let Err(at) = bucket.affords(FRAME) {
            return Step::Poor(at);
        }
        let check = (checks && now >= self.check_at).then(|| view.ledger.check(scope));
        Step::Say(self.say(view, known, Vec::new(), check, now))
    }

    fn summary(&mut self, view: View<'_>, scope: &Scope, bucket: &Bucket, now: Millis) -> Step {
        let Some(summary) = &mut self.summary else { return Step::Nothing };
        let cut = MAX_CUT.min(bucket.bytes().max(MIN_CUT)).saturating_sub(FRAME) / DIGEST;
        let all: Box<dyn Iterator<Item = (ServiceId, u64)>> = match scope {
            Scope::All => Box::new(view.ledger.digests(summary.next)),
            Scope::Services(services) => {
                let some =
                    services.range(summary.next..).map(|service| (*service, view.ledger.digest(*service)));
                Box::new(some.filter(|(_, digest)| *digest != 0))
            }
        };
        let mut digests: Vec<(ServiceId, u64)> = all.take(cut.max(1) + 1).collect();
        let more = digests.len() > cut.max(1);
        digests.truncate(cut.max(1));
        if let Err(at) = bucket.affords(FRAME + digests.len() * DIGEST) {
            return Step::Poor(at);
        }
        let end = digests.last().filter(|_| more).map_or(ServiceId::MAX, |(service, _)| *service);
        let (first, to) = (summary.next, summary.to);
        match end.checked_add(1) {
            Some(next) if more => summary.next = next,
            _ => {
                (self.epoch, self.generation) = (summary.epoch, Some(summary.generation));
                (self.told, self.looked) = (to, to);
                (self.summary, self.compare) = (None, false);
                self.check_at = now + CHECK_INTERVAL;
            }
        }
        let (source, epoch) = (view.ledger.source(), view.ledger.epoch());
        Step::Say(Message::Summary { source, epoch, covers: (first, end), to, digests })
    }

    fn whole(&mut self, view: View<'_>, bucket: &Bucket) -> Step {
        let Some(service) = self.wants.last().copied() else { return Step::Nothing };
        let ledger = view.ledger;
        let as_of = ledger.complete();
        let cut = MAX_CUT.min(bucket.bytes().max(MIN_CUT)).saturating_sub(FRAME);
        let (mut records, mut weight, mut upto) = (Vec::<Record>::new(), 0, None);
        // Tombstones newer than `as_of` as well: what is missing here must be gone by then.
        let told = ledger.range(service, self.place.as_ref(), None);
        for record in told.filter(|record| record.state != State::Gone || record.version > as_of) {
            if weight + record.weight() > cut
                && let Some(last) = records.last()
            {
                upto = Some((last.key.kind, last.key.name.clone()));
                break;
            }
            weight += record.weight();
            records.push(record.clone());
        }
        let bounds = [&self.place, &upto].into_iter().flatten().map(|(_, name)| name.len()).sum::<usize>();
        if let Err(at) = bucket.affords(weight + bounds + FRAME) {
            return Step::Poor(at);
        }
        let after = std::mem::replace(&mut self.place, upto.clone());
        if upto.is_none() {
            self.wants.pop();
        }
        let (source, epoch) = (ledger.source(), ledger.epoch());
        Step::Say(Message::Whole { source, epoch, as_of, service, after, upto, records })
    }
}
