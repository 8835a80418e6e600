//! The log of the process on standard error. It is bounded in rate and size, and written by a separate
//! thread, so that a slow reader of the log does not delay requests.

use std::cell::Cell;
use std::fmt::{self, Arguments, Display};
use std::io::Write;
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// The maximum number of lines in one second; further ones are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 100;
/// The maximum number of lines that are queued for the writer; further ones are dropped.
const MAX_QUEUED_LINES: usize = 256;
/// The maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 4_096;
/// The stack size of the writer thread, in bytes.
const WRITER_STACK_BYTES: usize = 64 << 10;
/// The minimum time between two lines about failures of one kind.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

thread_local! {
    static CURRENT_SECOND: Cell<LineCount> = const { Cell::new(LineCount { started_at: None, lines: 0 }) };
}

/// The number of lines in the current second of the log.
#[derive(Clone, Copy, Debug, Default)]
struct LineCount {
    started_at: Option<Instant>,
    lines: u32,
}

enum WriterMessage {
    Line(String),
    /// The sender is notified once all lines before this message have been written.
    Flush(SyncSender<()>),
}

/// Checks whether a line at `now` is within the rate limit. If it is, returns how many lines were dropped in
/// the previous second; otherwise `None`.
fn allow_line(now: Instant, count: &Cell<LineCount>) -> Option<u32> {
    let LineCount { started_at, lines } = count.get();
    if started_at.is_none_or(|started_at| now.saturating_duration_since(started_at).as_secs() >= 1) {
        count.set(LineCount { started_at: Some(now), lines: 1 });
        return Some(lines.saturating_sub(MAX_LINES_PER_SECOND));
    }
    count.set(LineCount { started_at, lines: lines.saturating_add(1) });
    (lines < MAX_LINES_PER_SECOND).then_some(0)
}

fn write_messages(messages: &Receiver<WriterMessage>) {
    while let Ok(message) = messages.recv() {
        match message {
            WriterMessage::Line(line) => drop(writeln!(std::io::stderr(), "{line}")),
            WriterMessage::Flush(done) => drop(done.send(())),
        }
    }
}

/// The queue of the writer thread, which is started for the first line; `None` if the thread could not be
/// started.
fn writer() -> Option<&'static SyncSender<WriterMessage>> {
    static WRITER: OnceLock<Option<SyncSender<WriterMessage>>> = OnceLock::new();
    let start = || {
        let (sender, messages) = sync_channel(MAX_QUEUED_LINES);
        let thread = thread::Builder::new().name("log".into()).stack_size(WRITER_STACK_BYTES);
        thread.spawn(move || write_messages(&messages)).ok().map(|_| sender)
    };
    WRITER.get_or_init(start).as_ref()
}

fn enqueue(line: &Arguments<'_>) {
    let mut text = line.to_string();
    if text.len() > MAX_LINE_BYTES {
        // In UTF-8 a character has at most four bytes.
        text = text.chars().take(MAX_LINE_BYTES / 4).collect();
    }
    match writer() {
        // A full queue drops the line: requests do not wait for the log.
        Some(writer) => drop(writer.try_send(WriterMessage::Line(text))),
        None => drop(writeln!(std::io::stderr(), "{text}")),
    }
}

/// Writes a line to the log. Beyond 100 lines in a second lines are dropped, and their number is logged with
/// the next line that is not.
pub fn log(line: Arguments<'_>) {
    let Some(dropped) = CURRENT_SECOND.with(|count| allow_line(Instant::now(), count)) else { return };
    if dropped > 0 {
        enqueue(&format_args!("({dropped} log lines dropped)"));
    }
    enqueue(&line);
}

/// Waits until all lines logged so far have been written, or until the timeout. For the end of a process.
pub fn flush(timeout: Duration) {
    let Some(writer) = writer() else { return };
    let (done, wait) = sync_channel(1);
    if writer.try_send(WriterMessage::Flush(done)).is_ok() {
        let _ = wait.recv_timeout(timeout);
    }
}

/// Logs failures of one kind that may happen hundreds of times a second: the first one immediately, later
/// ones as a sum every 10 s.
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
    /// A log without recorded failures. `kind` is the prefix of each of its lines.
    #[must_use]
    pub const fn new(kind: &'static str) -> Self {
        Self { kind, logged_at: Cell::new(None), unlogged: Cell::new(0) }
    }

    /// Counts a failure at `now`. If a line is due, returns the number of failures since the last line,
    /// including this one.
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

    /// Records a failure, and logs it unless a line of this kind was logged within the last 10 s.
    pub fn record(&self, error: &dyn Display) {
        match self.count(Instant::now()) {
            Some(1) => log(format_args!("{}: {error}", self.kind)),
            Some(failures) => log(format_args!("{}: {failures} failures, the last one: {error}", self.kind)),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;
