//! The process's log on standard error: bounded in rate and size, and written by a thread of its own, so that a slow reader
//! of the log does not delay requests.

use std::cell::Cell;
use std::fmt::{self, Arguments, Display};
use std::io::Write;
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that are written in a second; further ones are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 100;
/// Lines that are queued for the writer; further ones are dropped.
const MAX_QUEUED_LINES: usize = 256;
/// The longest line, in bytes.
const MAX_LINE_BYTES: usize = 4_096;
/// The stack of the writer thread, in bytes.
const WRITER_STACK_BYTES: usize = 64 << 10;
/// How often repeated failures of one kind are logged, as a sum.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

thread_local! {
    static CURRENT_SECOND: Cell<LineCount> = const { Cell::new(LineCount { began: None, lines: 0 }) };
}

/// The lines of one second of the log.
#[derive(Clone, Copy, Debug, Default)]
struct LineCount {
    began: Option<Instant>,
    lines: u32,
}

enum WriterMessage {
    Line(String),
    /// Answered once all lines before it have been written.
    Flush(SyncSender<()>),
}

/// Admits a line at `now` unless its second is full. Returns how many lines were dropped in the second before it.
fn admit(now: Instant, count: &Cell<LineCount>) -> Option<u32> {
    let LineCount { began, lines } = count.get();
    if began.is_none_or(|began| now.saturating_duration_since(began).as_secs() >= 1) {
        count.set(LineCount { began: Some(now), lines: 1 });
        return Some(lines.saturating_sub(MAX_LINES_PER_SECOND));
    }
    count.set(LineCount { began, lines: lines.saturating_add(1) });
    (lines < MAX_LINES_PER_SECOND).then_some(0)
}

fn write_all(messages: &Receiver<WriterMessage>) {
    while let Ok(message) = messages.recv() {
        match message {
            WriterMessage::Line(line) => drop(writeln!(std::io::stderr(), "{line}")),
            WriterMessage::Flush(done) => drop(done.send(())),
        }
    }
}

/// The queue of the writer thread, which starts with the first line; `None` if the thread could not be started.
fn writer() -> Option<&'static SyncSender<WriterMessage>> {
    static WRITER: OnceLock<Option<SyncSender<WriterMessage>>> = OnceLock::new();
    let start = || {
        let (sender, messages) = sync_channel(MAX_QUEUED_LINES);
        let thread = thread::Builder::new().name("log".into()).stack_size(WRITER_STACK_BYTES);
        thread.spawn(move || write_all(&messages)).ok().map(|_| sender)
    };
    WRITER.get_or_init(start).as_ref()
}

fn put(line: &Arguments<'_>) {
    let mut text = line.to_string();
    if text.len() > MAX_LINE_BYTES {
        // A character takes four bytes at the most.
        text = text.chars().take(MAX_LINE_BYTES / 4).collect();
    }
    match writer() {
        // A full queue drops the line: requests do not wait for the log.
        Some(writer) => drop(writer.try_send(WriterMessage::Line(text))),
        None => drop(writeln!(std::io::stderr(), "{text}")),
    }
}

/// Writes a line to the log. Beyond 100 lines in a second it is dropped, and the number of dropped lines is logged later.
pub fn log(line: Arguments<'_>) {
    let Some(dropped) = CURRENT_SECOND.with(|count| admit(Instant::now(), count)) else { return };
    if dropped > 0 {
        put(&format_args!("({dropped} lines left out)"));
    }
    put(&line);
}

/// Waits until all logged lines have been written, or until the timeout. For the end of a process.
pub fn flush(timeout: Duration) {
    let Some(writer) = writer() else { return };
    let (done, wait) = sync_channel(1);
    if writer.try_send(WriterMessage::Flush(done)).is_ok() {
        let _ = wait.recv_timeout(timeout);
    }
}

/// Logs failures of one kind that may happen hundreds of times a second: the first one at once, later ones as a sum every
/// 10 s.
pub struct FailureLog {
    kind: &'static str,
    logged_at: Cell<Option<Instant>>,
    unlogged: Cell<u32>,
}

impl fmt::Debug for FailureLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FailureLog").field("kind", &self.kind).finish_non_exhaustive()
    }
}

impl FailureLog {
    /// A log without failures; `kind` begins each of its lines.
    #[must_use]
    pub const fn of(kind: &'static str) -> Self {
        Self { kind, logged_at: Cell::new(None), unlogged: Cell::new(0) }
    }

    /// Counts a failure. Returns the number of failures to log now, this one included, if a line is due.
    fn count(&self, now: Instant) -> Option<u32> {
        let failures = self.unlogged.get().saturating_add(1);
        if self.logged_at.get().is_some_and(|at| now.saturating_duration_since(at) < SUMMARY_INTERVAL) {
            self.unlogged.set(failures);
            return None;
        }
        self.logged_at.set(Some(now));
        self.unlogged.set(0);
        Some(failures)
    }

    /// Records a failure.
    pub fn note(&self, error: &dyn Display) {
        match self.count(Instant::now()) {
            Some(1) => log(format_args!("{}: {error}", self.kind)),
            Some(failures) => log(format_args!("{}: {failures} times, the last: {error}", self.kind)),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;
