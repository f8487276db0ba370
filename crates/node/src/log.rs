//! Where the operator's log goes: lines on standard error, each of them and all of them bounded.
//!
//! The packages tell what happens through `tracing`; only the program decides that it is written.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that one life of the node writes at most: a log that grows with the trouble is trouble itself.
const MOST_LINES: u32 = 500;
/// Bytes of a line at most: some of what is told comes from peers.
const MOST_BYTES: usize = 512;

/// Takes lines as long as there have not been too many.
#[derive(Debug, Default)]
struct Bounded {
    lines: AtomicU32,
}

impl<'a> MakeWriter<'a> for Bounded {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        // One more than the most is counted, never so many that the count comes round.
        let counted = self
            .lines
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| (n < MOST_LINES).then_some(n + 1));
        Line { open: counted.is_ok() }
    }
}

/// One line, written whole.
#[derive(Debug)]
struct Line {
    open: bool,
}

impl Write for Line {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if std::mem::take(&mut self.open) {
            let _ = io::stderr().write_all(&text(line));
        }
        // Nobody reads the log, perhaps: that must not end the node.
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn text(line: &[u8]) -> Vec<u8> {
    let line = line.trim_ascii();
    let cut = &line[..line.len().min(MOST_BYTES)];
    let clean = cut.iter().map(|b| if b.is_ascii_control() { b'?' } else { *b });
    b"laurelroute: ".iter().copied().chain(clean).chain([b'\n']).collect()
}

/// Writes what is told from here on. Where a subscriber is in place already, that one stays.
pub fn start() {
    let _ = tracing_subscriber::fmt()
        .with_writer(Bounded::default())
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .with_level(false)
        .try_init();
}

/// A kind of line that peers can cause: written at once, and then at most once in a while, with a count of the rest.
#[derive(Debug, Default)]
pub(crate) struct Seldom {
    at: Option<Instant>,
    held_back: u64,
}

/// Between two lines of one kind.
const SELDOM: Duration = Duration::from_secs(10);

impl Seldom {
    /// Warns by what `text` makes of a remark on how many lines were held back, which is empty for none.
    pub(crate) fn warn(&mut self, text: impl FnOnce(String) -> String) {
        if let Some(remark) = self.turn(Instant::now()) {
            tracing::warn!("{}", text(remark));
        }
    }

    fn turn(&mut self, now: Instant) -> Option<String> {
        if self.at.is_some_and(|at| now.saturating_duration_since(at) < SELDOM) {
            self.held_back += 1;
            return None;
        }
        self.at = Some(now);
        Some(match std::mem::take(&mut self.held_back) {
            0 => String::new(),
            n => format!(" (and {n} more like it)"),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_peers_cause_is_written_seldom() {
        let (mut seldom, now) = (Seldom::default(), Instant::now());
        assert_eq!(seldom.turn(now).as_deref(), Some(""));
        assert!((0..9).all(|_| seldom.turn(now + SELDOM / 2).is_none()));
        assert_eq!(seldom.turn(now + SELDOM).as_deref(), Some(" (and 9 more like it)"));
    }

    #[test]
    fn lines_are_bounded_in_number_and_length() {
        let log = Bounded::default();
        let open = (0..2 * MOST_LINES).filter(|_| log.make_writer().open).count();
        assert_eq!(open, MOST_LINES as usize);
        assert_eq!(text(&[b'x'; 5000]).len(), MOST_BYTES + 14);
        assert_eq!(text(b" a\nb\x1b[0m\n"), b"laurelroute: a?b?[0m\n");
    }
}
