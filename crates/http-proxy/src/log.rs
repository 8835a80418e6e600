//! Lines for the operators, bounded. A thread of its own writes them: whoever reads the log may be slow, or not read at all,
//! and serving goes on.

use std::cell::Cell;
use std::fmt::{self, Arguments, Display};
use std::io::Write;
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// The lines of the log in a second; no peer can make it grow faster.
const LINES_A_SECOND: u32 = 100;
/// Lines that wait for a slow reader; those beyond are left out and counted.
const WAITING: usize = 256;
/// The longest line, in bytes.
const LINE_CAP: usize = 4_096;
/// The stack of the thread that writes.
const WRITER_STACK: usize = 64 << 10;
/// Failures of one kind are told at once and then in sums, this far apart.
const SUM_INTERVAL: Duration = Duration::from_secs(10);

thread_local! {
    /// When the present second of the log began, and its lines so far.
    static LINES: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// What the writer is told.
enum Word {
    Line(String),
    /// All lines before it have been written.
    Flush(SyncSender<()>),
}

/// Whether a further line of the log may be written at `now`, and how many lines before it were not.
fn admit(now: Instant, lines: &Cell<(Option<Instant>, u32)>) -> Option<u32> {
    let (began, count) = lines.get();
    if began.is_none_or(|began| now.saturating_duration_since(began).as_secs() >= 1) {
        lines.set((Some(now), 1));
        return Some(count.saturating_sub(LINES_A_SECOND));
    }
    lines.set((began, count.saturating_add(1)));
    (count < LINES_A_SECOND).then_some(0)
}

fn write_all(words: &Receiver<Word>) {
    while let Ok(word) = words.recv() {
        match word {
            Word::Line(line) => drop(writeln!(std::io::stderr(), "{line}")),
            Word::Flush(done) => drop(done.send(())),
        }
    }
}

/// The way to the thread that writes, started with the first line; `None` where there is no such thread.
fn writer() -> Option<&'static SyncSender<Word>> {
    static WRITER: OnceLock<Option<SyncSender<Word>>> = OnceLock::new();
    let start = || {
        let (sender, words) = sync_channel(WAITING);
        let thread = thread::Builder::new().name("log".into()).stack_size(WRITER_STACK);
        thread.spawn(move || write_all(&words)).ok().map(|_| sender)
    };
    WRITER.get_or_init(start).as_ref()
}

fn put(line: &Arguments<'_>) {
    let mut text = line.to_string();
    if text.len() > LINE_CAP {
        text = text.chars().take(LINE_CAP / 4).collect();
    }
    match writer() {
        // A full queue: its reader does not keep up, and serving does not wait for it.
        Some(writer) => drop(writer.try_send(Word::Line(text))),
        None => drop(writeln!(std::io::stderr(), "{text}")),
    }
}

/// A line for the operators.
pub fn log(line: Arguments<'_>) {
    let Some(left_out) = LINES.with(|lines| admit(Instant::now(), lines)) else { return };
    if left_out > 0 {
        put(&format_args!("({left_out} lines left out)"));
    }
    put(&line);
}

/// Waits until what was logged has been written, so long at the most. For the end of a process.
pub fn flush(within: Duration) {
    let Some(writer) = writer() else { return };
    let (done, wait) = sync_channel(1);
    if writer.try_send(Word::Flush(done)).is_ok() {
        let _ = wait.recv_timeout(within);
    }
}

/// Failures of one kind that may come hundreds of times a second: the first is told at once, the others in sums.
pub struct FailureLog {
    what: &'static str,
    told: Cell<Option<Instant>>,
    untold: Cell<u32>,
}

impl fmt::Debug for FailureLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Failures").field("what", &self.what).finish_non_exhaustive()
    }
}

impl FailureLog {
    /// None yet, of this kind.
    #[must_use]
    pub const fn of(what: &'static str) -> Self {
        Self { what, told: Cell::new(None), untold: Cell::new(0) }
    }

    /// Gives how many have to be told now, this one included.
    fn due(&self, now: Instant) -> Option<u32> {
        let count = self.untold.get().saturating_add(1);
        if self.told.get().is_some_and(|at| now.saturating_duration_since(at) < SUM_INTERVAL) {
            self.untold.set(count);
            return None;
        }
        self.told.set(Some(now));
        self.untold.set(0);
        Some(count)
    }

    /// One more.
    pub fn note(&self, error: &dyn Display) {
        match self.due(Instant::now()) {
            Some(1) => log(format_args!("{}: {error}", self.what)),
            Some(count) => log(format_args!("{}: {count} times, the last: {error}", self.what)),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;
