//! The operator's log: lines on standard error, bounded in length and in number.
//!
//! The library crates emit `tracing` events; only the program installs a subscriber that writes them.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines that a process writes: a log that grows with every failure would become a failure itself.
const MAX_LINES: u32 = 500;
/// Maximum length of a line: parts of the text come from peers.
const MAX_LINE_BYTES: usize = 512;

/// Writer that drops all lines after the first `MAX_LINES`.
#[derive(Debug, Default)]
struct BoundedWriter {
    lines_written: AtomicU32,
}

impl<'a> MakeWriter<'a> for BoundedWriter {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        // The counter stops at the maximum, so it cannot wrap around.
        let counted = self
            .lines_written
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| (n < MAX_LINES).then_some(n + 1));
        Line { enabled: counted.is_ok() }
    }
}

/// Writes one line in a single call.
#[derive(Debug)]
struct Line {
    enabled: bool,
}

impl Write for Line {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if std::mem::take(&mut self.enabled) {
            let _ = io::stderr().write_all(&format_line(line));
        }
        // A closed standard error must not stop the node.
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn format_line(line: &[u8]) -> Vec<u8> {
    let line = line.trim_ascii();
    let truncated = &line[..line.len().min(MAX_LINE_BYTES)];
    let printable = truncated.iter().map(|b| if b.is_ascii_control() { b'?' } else { *b });
    b"laurelroute: ".iter().copied().chain(printable).chain([b'\n']).collect()
}

/// Installs the log subscriber. One that is already installed stays in place.
pub fn start() {
    let _ = tracing_subscriber::fmt()
        .with_writer(BoundedWriter::default())
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .with_level(false)
        .try_init();
}

/// A rate limit for warnings that peers can cause: the first is written immediately, later ones at most once per
/// `MIN_WARNING_INTERVAL`, with the number of suppressed ones.
#[derive(Debug, Default)]
pub(crate) struct RateLimitedWarning {
    last_written_at: Option<Instant>,
    suppressed: u64,
}

/// Minimum time between two warnings of one kind.
const MIN_WARNING_INTERVAL: Duration = Duration::from_secs(10);

impl RateLimitedWarning {
    /// Writes the warning that `text` formats, unless the rate limit suppresses it. The argument of `text` states
    /// how many warnings were suppressed before; it is empty if there were none.
    pub(crate) fn warn(&mut self, text: impl FnOnce(String) -> String) {
        if let Some(suppressed) = self.admit(Instant::now()) {
            tracing::warn!("{}", text(suppressed));
        }
    }

    fn admit(&mut self, now: Instant) -> Option<String> {
        if self.last_written_at.is_some_and(|at| now.saturating_duration_since(at) < MIN_WARNING_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last_written_at = Some(now);
        Some(match std::mem::take(&mut self.suppressed) {
            0 => String::new(),
            n => format!(" (and {n} more like it)"),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn repeated_warnings_are_rate_limited() {
        let (mut warning, now) = (RateLimitedWarning::default(), Instant::now());
        assert_eq!(warning.admit(now).as_deref(), Some(""));
        assert!((0..9).all(|_| warning.admit(now + MIN_WARNING_INTERVAL / 2).is_none()));
        assert_eq!(warning.admit(now + MIN_WARNING_INTERVAL).as_deref(), Some(" (and 9 more like it)"));
    }

    #[test]
    fn lines_are_bounded_in_number_and_length() {
        let log = BoundedWriter::default();
        let written = (0..2 * MAX_LINES).filter(|_| log.make_writer().enabled).count();
        assert_eq!(written, MAX_LINES as usize);
        assert_eq!(format_line(&[b'x'; 5000]).len(), MAX_LINE_BYTES + 14);
        assert_eq!(format_line(b" a\nb\x1b[0m\n"), b"laurelroute: a?b?[0m\n");
    }
}
