//! Lines for the operators, bounded.

use std::cell::Cell;
use std::time::Instant;

/// The lines of the log in a second; no peer can make it grow faster.
const LINES_A_SECOND: u32 = 100;

thread_local! {
    /// When the present second of the log began, and its lines so far.
    static LINES: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
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

/// A line for the operators. Unlike `eprintln!` it does not panic when nobody reads standard error.
pub fn log(line: std::fmt::Arguments<'_>) {
    use std::io::Write;
    let Some(left_out) = LINES.with(|lines| admit(Instant::now(), lines)) else { return };
    if left_out > 0 {
        let _ = writeln!(std::io::stderr(), "({left_out} lines left out)");
    }
    let _ = writeln!(std::io::stderr(), "{line}");
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn a_flood_of_lines_is_cut_off_and_counted() {
        let (lines, began) = (Cell::default(), Instant::now());
        let written = (0..250).filter(|_| admit(began, &lines).is_some()).count();
        assert_eq!(written as u32, LINES_A_SECOND);
        assert_eq!(admit(began + Duration::from_secs(2), &lines), Some(150));
        assert_eq!(admit(began + Duration::from_secs(2), &lines), Some(0));
    }
}
