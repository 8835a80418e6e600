//! One source's records as somebody downstream holds them: takes batches, sees gaps, repairs by digests.
//!
//! Why what it takes is right, whatever the order of messages: within one life of a source all that is said belongs to one
//! history. A record of a key that is held is taken where it is newer. One of a key that isn't held is taken where it lies
//! beyond the cursor of its urgency: up to there all was heard, so an older one was put out of force by something whose
//! tombstone is forgotten by now. Tombstones are therefore kept until all cursors have reached them. A [`Message::Whole`]
//! speaks for everything up to its `as_of`: what is held and not newer, and not in it, is not in force.

use crate::Millis;
use crate::ledger::Ledger;
use crate::message::{Bound, Have, Message};
use crate::record::{Cursor, Epoch, Key, Record, Scope, ServiceId, SourceId, State, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A question without an answer is asked again after this time, then after twice as long, and so on.
const ASK_RETRY_DELAY: Millis = 2_000;
/// No longer than this is waited for an answer: the largest message at the pace of a subscriber takes 22 s.
const ASK_AGAIN_MOST: Millis = 32_000;
/// Services wanted in one question.
pub(crate) const MAX_WANTED: usize = 4_096;

/// A record that came into force here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The record; a tombstone where it is gone (for one that a repair took away, with the repair's version).
    pub record: Record,
    /// What stood before; `None`: nothing, or it was gone.
    pub before: Option<Record>,
}

/// What was asked of upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Question {
    Resume,
    Compare,
    Want,
}

/// A repair: parts of a summary, then services whole.
#[derive(Debug)]
struct Repair {
    /// Where upstream stood at the summary; the same in all urgencies.
    base: Version,
    /// As far as batches behind the summary have come.
    reached: Cursor,
    /// The first service that the parts so far don't cover; `None`: they cover all.
    next: Option<ServiceId>,
    /// Services that differ, and up to which key they have arrived.
    missing: BTreeMap<ServiceId, Option<Bound>>,
    /// Whether a service that came whole was other than what was held.
    changed: bool,
}

/// One source, as heard from upstream.
#[derive(Debug)]
pub(crate) struct Replica {
    scope: Arc<Scope>,
    ledger: Ledger,
    /// The last life of the source that is followed. The ledger belongs to a former one until a repair is over.
    epoch: Epoch,
    repair: Option<Repair>,
    /// A batch began beyond the cursor.
    gap: bool,
    /// A check did not agree, or there is a new life of the source.
    doubt: bool,
    /// What was asked, when, and how long an answer is waited for.
    asked: Option<(Question, Millis, Millis)>,
    /// The services of the last question for services.
    wanted: BTreeSet<ServiceId>,
    /// Whether others are fed from it, so that tombstones are kept.
    feeds: bool,
}

impl Replica {
    pub(crate) fn new(source: SourceId, scope: Arc<Scope>, feeds: bool) -> Self {
        let ledger = Ledger::unknown(source);
        Self {
            scope,
            ledger: if feeds { ledger } else { ledger.without_logs() },
            epoch: 0,
            repair: None,
            gap: false,
            doubt: false,
            asked: None,
            wanted: BTreeSet::new(),
            feeds,
        }
    }

    pub(crate) fn set_most_tombstones(&mut self, most: usize) {
        self.ledger.set_most_tombstones(most);
    }

    pub(crate) fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Whether it holds one life of the source, so that others may be told of it.
    pub(crate) fn is_whole(&self) -> bool {
        self.epoch != 0 && self.ledger.epoch() == self.epoch
    }

    /// Whether it has no reason to doubt what it holds, so that others may compare themselves with it.
    pub(crate) fn is_sound(&self) -> bool {
        self.is_whole() && self.repair.is_none() && !self.gap && !self.doubt
    }

    /// How far it is; `None`: nothing is known.
    pub(crate) fn have(&self) -> Option<Have> {
        let source = self.ledger.source();
        (self.ledger.epoch() != 0).then(|| Have {
            source,
            epoch: self.ledger.epoch(),
            cursor: self.ledger.known(),
        })
    }

    /// A new connection: what was asked on the former one is asked again.
    pub(crate) fn connected(&mut self, now: Millis) -> Option<Message> {
        self.asked = None;
        self.gap = false;
        self.ask(now)
    }

    /// Takes what upstream said of this source. Gives a question, and adds what came into force.
    pub(crate) fn take(
        &mut self,
        message: Message,
        now: Millis,
        applied: &mut Vec<Applied>,
    ) -> Option<Message> {
        let epoch = match &message {
            Message::Batch { epoch, .. } | Message::Summary { epoch, .. } | Message::Whole { epoch, .. } => {
                *epoch
            }
            _ => return None,
        };
        // Lives are counted from 1.
        if epoch < self.epoch.max(1) {
            return None;
        }
        match message {
            Message::Summary { covers, to, digests, .. } if epoch == self.epoch || covers.0 == 0 => {
                self.summary(epoch, covers, to, &digests, now);
            }
            _ if epoch > self.epoch => self.doubt = true,
            Message::Batch { from, to, records, check, .. } => self.batch(from, to, records, check, applied),
            Message::Whole { as_of, service, after, upto, records, .. } => {
                self.whole(as_of, service, (after, upto), records, now, applied);
            }
            _ => {}
        }
        self.finish();
        self.ask(now)
    }

    /// Time went by: the question that is still open, where it is time to ask again.
    pub(crate) fn tick(&mut self, now: Millis) -> Option<Message> {
        let (question, at, patience) = self.asked?;
        if now < at + patience {
            return None;
        }
        self.asked = Some((question, now, (patience * 2).min(ASK_AGAIN_MOST)));
        self.say(question)
    }

    fn batch(
        &mut self,
        from: Cursor,
        to: Cursor,
        records: Vec<Record>,
        check: Option<u64>,
        applied: &mut Vec<Applied>,
    ) {
        let known = self.ledger.known();
        let reached = self.repair.as_ref().map_or(known, |repair| furthest(known, repair.reached));
        let gap = from.iter().zip(reached).any(|(from, reached)| *from > reached);
        for record in records {
            if self.scope.holds(record.key.service) && self.is_news(&record, &known) {
                // Behind the cursor, so whoever is fed from here would not find it in the log.
                if record.version <= known[record.urgency() as usize] {
                    self.ledger.changed();
                }
                self.put(record, applied);
            }
        }
        // During a repair only what was said after the summary: no record of it was refused for the summary's sake. That
        // is never so while this is of a former life of the source: all it knows lies before the summary.
        let base = self.repair.as_ref().map_or(Version::default(), |repair| repair.base);
        let follows = from.iter().zip(known).all(|(from, known)| (base..=known).contains(from));
        if follows {
            self.ledger.reach(furthest(known, to));
            self.tidy();
        }
        match &mut self.repair {
            // After the repair the next batch shows the gap.
            Some(repair) if !gap => repair.reached = furthest(reached, to),
            Some(_) => {}
            None if gap => self.gap = true,
            None => {
                self.gap = false;
                let agreed = check.is_none_or(|check| check == self.ledger.total());
                self.doubt |= !agreed && self.ledger.known() == to;
            }
        }
    }

    /// Whether a record of a batch is newer than what was heard.
    fn is_news(&self, record: &Record, known: &Cursor) -> bool {
        // What a summary has compared is right as of its base, also where nothing is held.
        let compared = self.repair.as_ref().map_or(Version::default(), |repair| repair.base);
        let beyond = record.version > known[record.urgency() as usize].max(compared);
        match self.ledger.get(&record.key) {
            Some(held) if record.version > held.version => true,
            // A repair left a tombstone that is later than the change which it stands for. In a log the change has to be
            // in its own place: who is told of all up to there would miss it.
            Some(held) => self.feeds && beyond && [held.state, record.state] == [State::Gone; 2],
            None => beyond,
        }
    }

    fn summary(
        &mut self,
        epoch: Epoch,
        covers: (ServiceId, ServiceId),
        to: Cursor,
        digests: &[(ServiceId, u64)],
        now: Millis,
    ) {
        let base = to.into_iter().max().unwrap_or_default();
        if covers.0 == 0 {
            self.epoch = epoch;
            (self.gap, self.doubt) = (false, false);
            let changed = self.repair.as_ref().is_some_and(|repair| repair.changed);
            self.repair =
                Some(Repair { base, reached: to, next: Some(0), missing: BTreeMap::new(), changed });
            self.asked = Some((Question::Compare, now, ASK_RETRY_DELAY));
        }
        let Some(repair) = &mut self.repair else { return };
        if repair.next != Some(covers.0) || repair.base != base || covers.1 < covers.0 {
            return;
        }
        repair.next = covers.1.checked_add(1);
        self.asked = Some((Question::Compare, now, ASK_RETRY_DELAY));
        let theirs: BTreeMap<ServiceId, u64> = digests.iter().copied().collect();
        let ours = self.ledger.digests(covers.0).map(|(service, _)| service);
        let ours = ours.take_while(|service| *service <= covers.1);
        for service in theirs.keys().copied().chain(ours) {
            let inside = (covers.0..=covers.1).contains(&service) && self.scope.holds(service);
            if inside && theirs.get(&service).copied().unwrap_or(0) != self.ledger.digest(service) {
                repair.missing.insert(service, None);
            }
        }
    }

    fn whole(
        &mut self,
        as_of: Version,
        service: ServiceId,
        (after, upto): (Option<Bound>, Option<Bound>),
        records: Vec<Record>,
        now: Millis,
        applied: &mut Vec<Applied>,
    ) {
        // One from before the summary could bring back what the summary found to be rightly missing.
        let old = self.repair.as_ref().is_some_and(|repair| as_of < repair.base);
        if old || !self.scope.holds(service) {
            return;
        }
        let inside = |key: &Key| {
            let bound = (key.kind, key.name.clone());
            let within = after.as_ref().is_none_or(|after| bound > *after);
            key.service == service && within && upto.as_ref().is_none_or(|upto| bound <= *upto)
        };
        let told: BTreeSet<Key> = records.iter().map(|record| record.key.clone()).collect();
        let held = self.ledger.range(service, after.as_ref(), upto.as_ref());
        let lost = held
            .filter(|held| held.state != State::Gone && held.version <= as_of && !told.contains(&held.key));
        let lost: Vec<Key> = lost.map(|held| held.key.clone()).collect();
        let mut changed = !lost.is_empty();
        for key in lost {
            self.put(Record { key, version: as_of, state: State::Gone, body: Arc::from([]) }, applied);
        }
        let known = self.ledger.known();
        for record in records.into_iter().filter(|record| inside(&record.key)) {
            let taken = match self.ledger.get(&record.key) {
                // Upstream knows all up to `as_of`: what is held in its stead there is of a lost past, or damaged.
                Some(held) if held.version <= as_of => *held != record,
                Some(held) => record.version > held.version,
                // A tombstone that was forgotten here is not newer than any cursor, so upstream would know of it.
                None => as_of >= self.ledger.complete() || record.version > known[record.urgency() as usize],
            };
            if taken {
                changed = true;
                self.put(record, applied);
            }
        }
        let Some(repair) = &mut self.repair else {
            if changed {
                self.ledger.changed();
            }
            return;
        };
        repair.changed |= changed;
        if let Some(place) = repair.missing.get_mut(&service)
            && (after.is_none() || *place == after)
        {
            if upto.is_none() {
                repair.missing.remove(&service);
            } else {
                *place = upto;
            }
            if let Some((_, at, patience)) = &mut self.asked {
                (*at, *patience) = (now, ASK_RETRY_DELAY);
            }
        }
    }

    /// Puts a record in force.
    fn put(&mut self, record: Record, applied: &mut Vec<Applied>) {
        let before = self.ledger.put(record.clone()).filter(|before| before.state != State::Gone);
        if before.is_some() || record.state != State::Gone {
            applied.push(Applied { record, before });
        }
    }

    /// Ends the repair where nothing is missing any more.
    fn finish(&mut self) {
        let Some(repair) = self.repair.take_if(|repair| repair.next.is_none() && repair.missing.is_empty())
        else {
            return;
        };
        // Of another life of the source all cursors are older than those of this one.
        self.ledger.reach(furthest(self.ledger.known(), repair.reached));
        self.ledger.rebuilt(self.epoch, repair.base, repair.changed);
        self.tidy();
    }

    fn tidy(&mut self) {
        if self.feeds {
            self.ledger.bury();
        } else {
            self.ledger.forget(self.ledger.complete());
        }
    }

    /// The question that is open now, where it wasn't asked yet.
    fn ask(&mut self, now: Millis) -> Option<Message> {
        let question = match &self.repair {
            // A newer life of the source, maybe: what is under repair is of no matter then.
            _ if self.doubt => Question::Compare,
            Some(repair) if repair.next.is_some() => Question::Compare,
            Some(_) => Question::Want,
            None if self.gap => Question::Resume,
            None => {
                self.asked = None;
                return None;
            }
        };
        let again = question == Question::Want
            && self
                .repair
                .as_ref()
                .is_some_and(|repair| !repair.missing.keys().any(|id| self.wanted.contains(id)));
        if !again && self.asked.is_some_and(|(asked, ..)| asked == question) {
            return None;
        }
        self.asked = Some((question, now, ASK_RETRY_DELAY));
        self.say(question)
    }

    fn say(&mut self, question: Question) -> Option<Message> {
        let source = self.ledger.source();
        match question {
            Question::Resume => self.have().map(|have| Message::Resume { have: vec![have] }),
            Question::Compare => Some(Message::Compare { source }),
            Question::Want => {
                let missing = self.repair.as_ref()?.missing.keys().copied().take(MAX_WANTED);
                self.wanted = missing.collect();
                Some(Message::Want { source, services: self.wanted.iter().copied().collect() })
            }
        }
    }
}

/// The greater version of each urgency.
pub(crate) fn furthest(one: Cursor, other: Cursor) -> Cursor {
    std::array::from_fn(|place| one[place].max(other[place]))
}
