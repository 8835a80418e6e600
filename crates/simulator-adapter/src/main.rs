//! Hosts balancers on the simulator's wire: batches on standard input, replies on standard output.
#![forbid(unsafe_code)]

use balancer::api::{Action, AttemptResult, Backend, Event, MembershipUpdate, Micros};
use balancer::balancer::Balancer;
use simulator_adapter::wire::{self, BATCH_HEADER, BatchReader, Record, ReplyWriter, Scope, WireError};
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::rc::Rc;

/// What ends the host early.
enum Stop {
    Wire(WireError),
    Io(io::Error),
    /// The reply with the `fatal` record has been written into the writer.
    Fatal,
}

impl From<WireError> for Stop {
    fn from(e: WireError) -> Self {
        Stop::Wire(e)
    }
}

impl From<io::Error> for Stop {
    fn from(e: io::Error) -> Self {
        Stop::Io(e)
    }
}

#[derive(Default)]
struct Host {
    instances: Vec<Option<Balancer>>,
    pages: Vec<Option<Rc<[Backend]>>>,
    actions: Vec<Action>,
    reply: ReplyWriter,
    unknown_reported: [u64; 4],
}

/// The place numbered `index`, made where it is not there yet.
fn place<T>(places: &mut Vec<Option<T>>, index: u16) -> &mut Option<T> {
    let index = usize::from(index);
    if places.len() <= index {
        places.resize_with(index + 1, || None);
    }
    &mut places[index]
}

impl Host {
    /// Runs one step of an instance and writes its actions; a panic becomes `fatal`.
    fn step(
        &mut self,
        who: u16,
        at: usize,
        run: impl FnOnce(&mut Balancer, &mut Vec<Action>),
    ) -> Result<(), Stop> {
        let Some(instance) = place(&mut self.instances, who).as_mut() else {
            let expected = format!("an event for a running instance; {who} does not run");
            return Err(WireError { offset: at, expected }.into());
        };
        self.actions.clear();
        let actions = &mut self.actions;
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| run(instance, actions))) {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no text");
            self.reply.fatal(who, &format!("the decision module panicked: {text}"));
            return Err(Stop::Fatal);
        }
        self.actions.iter().for_each(|action| self.reply.action(who, action));
        Ok(())
    }

    fn power_on(&mut self, who: u16, seed: u64, settings: &[u8], now: Micros) -> Result<(), Stop> {
        match settings::parse_settings(settings).and_then(|s| Balancer::new(s, seed, now)) {
            Ok(balancer) => *place(&mut self.instances, who) = Some(balancer),
            Err(error) => {
                self.reply.fatal(who, &error.to_string());
                return Err(Stop::Fatal);
            }
        }
        Ok(())
    }

    fn batch(&mut self, bytes: &[u8]) -> Result<(), Stop> {
        let (mut records, now) = BatchReader::new(bytes)?;
        let mut current = None;
        loop {
            let at = records.offset();
            let Some(record) = records.next_record()? else { return Ok(()) };
            let who = || {
                let expected = "a `switch_to` before the first event of an instance".into();
                current.ok_or(Stop::Wire(WireError { offset: at, expected }))
            };
            match record {
                Record::SwitchTo(instance) => current = Some(instance),
                Record::PowerOn { seed, settings } => self.power_on(who()?, seed, settings, now)?,
                Record::CrashNow => *place(&mut self.instances, who()?) = None,
                Record::Page { list, entries } => {
                    let entries = wire::parse_entries(entries)
                        .map_err(|e| WireError { offset: at + 11 + e.offset, expected: e.expected })?;
                    *place(&mut self.pages, list) = Some(entries.into());
                }
                Record::Membership { scope, list } => {
                    let page = place(&mut self.pages, list).clone();
                    let entries = match (scope, page) {
                        (Scope::Failed, _) => Rc::from([]),
                        (_, Some(entries)) => entries,
                        (_, None) => {
                            let expected = format!("a list that a `page` has brought; {list} was not");
                            return Err(WireError { offset: at + 10, expected }.into());
                        }
                    };
                    let news = match scope {
                        Scope::Delta => MembershipUpdate::Delta(&entries),
                        Scope::Full => MembershipUpdate::Snapshot(&entries),
                        Scope::Cached => MembershipUpdate::CachedSnapshot(&entries),
                        Scope::Failed => MembershipUpdate::Failed,
                    };
                    self.step(who()?, at, |b, out| b.handle(now, Event::Membership(news), out))?;
                }
                Record::Inbound { .. } => {
                    if let Some(request) = record.request() {
                        self.step(who()?, at, |b, out| b.handle(now, Event::Request(request), out))?;
                    }
                }
                Record::FirstByte { request, attempt } => {
                    let event = Event::ResponseStarted { request, attempt };
                    self.step(who()?, at, |b, out| b.handle(now, event, out))?;
                }
                Record::Settled { request, backend, attempt, outcome, closed, elapsed, ref report } => {
                    let elapsed = Micros::from(elapsed);
                    let settled = AttemptResult {
                        request,
                        backend,
                        attempt,
                        outcome,
                        is_answered: closed,
                        elapsed,
                        load_report: report,
                    };
                    self.step(who()?, at, |b, out| b.handle(now, Event::AttemptFinished(settled), out))?;
                }
                Record::Probed { backend, outcome, ref report } => {
                    let event = Event::HealthCheckFinished { backend, outcome, load_report: report };
                    self.step(who()?, at, |b, out| b.handle(now, event, out))?;
                }
                Record::Vanished(request) => {
                    self.step(who()?, at, |b, out| b.handle(now, Event::ClientDisconnected(request), out))?;
                }
                Record::Wakeup(token) => {
                    self.step(who()?, at, |b, out| b.handle(now, Event::TimerExpired(token), out))?;
                }
                Record::Peer => {}
                Record::Unknown(code) => self.report_unknown(code),
            }
        }
    }

    fn report_unknown(&mut self, code: u8) {
        let (word, bit) = (usize::from(code / 64), 1 << (code % 64));
        if self.unknown_reported[word] & bit == 0 {
            self.unknown_reported[word] |= bit;
            eprintln!("passing over records of the unknown code {code}");
        }
    }
}

/// Reads one whole batch into `bytes`; false at the end of input.
fn read_batch(input: &mut impl Read, bytes: &mut Vec<u8>) -> Result<bool, Stop> {
    bytes.clear();
    input.take(BATCH_HEADER as u64).read_to_end(bytes)?;
    if bytes.is_empty() {
        return Ok(false);
    }
    let cut_short = |bytes: &[u8], expected: String| Stop::Wire(WireError { offset: bytes.len(), expected });
    let Ok(header) = <[u8; BATCH_HEADER]>::try_from(bytes.as_slice()) else {
        return Err(cut_short(bytes, format!("a batch header of {BATCH_HEADER} bytes")));
    };
    let length = wire::batch_length(header);
    input.take(length as u64).read_to_end(bytes)?;
    if bytes.len() < BATCH_HEADER + length {
        return Err(cut_short(bytes, format!("{length} bytes behind the batch header")));
    }
    Ok(true)
}

fn run(host: &mut Host, input: &mut impl Read, output: &mut impl Write) -> Result<(), Stop> {
    let mut bytes = Vec::new();
    while read_batch(input, &mut bytes)? {
        let done = host.batch(&bytes);
        if matches!(done, Ok(()) | Err(Stop::Fatal)) {
            output.write_all(&host.reply.finish())?;
            output.flush()?;
        }
        done?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut host = Host::default();
    let input = &mut io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    match run(&mut host, input, &mut io::stdout().lock()) {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Stop::Wire(error)) => eprintln!("{error}"),
        Err(Stop::Io(error)) => eprintln!("the wire broke: {error}"),
        Err(Stop::Fatal) => eprintln!("a balancer failed; the last reply says how"),
    }
    ExitCode::FAILURE
}
