//! The journal of a shift: its changes of state and its evidence, one record per line.
//!
//! A line is the CRC-32 of the record in eight hexadecimal digits, a space and the record as JSON. The first line names the
//! format and the shift. An incomplete last line is the trace of a crash while writing: the records before it are valid, and
//! the shift resumes as held. A damaged line anywhere else invalidates the journal.

use crate::analysis::{Comparison, SIGNALS};
use crate::rollout::{Change, Rollout, State};
use serde::{Deserialize, Serialize};

/// The format's number.
const FORMAT: u32 = 1;
/// Size in bytes above which a journal is compacted.
pub const COMPACT_AT: usize = 1 << 20;
/// Size in bytes above which a journal is not read.
pub const MAX_BYTES: usize = 64 << 20;

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Record {
    Journal { format: u32, shift: String, classes: Vec<String>, cells: usize },
    Change(Change),
    Evidence(Vec<(usize, [Comparison; SIGNALS.len()])>),
}

/// Why a journal cannot be replayed.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum JournalError {
    /// Not a journal, or of another format.
    #[error("the first line is not the header of a shift journal in format {FORMAT}")]
    InvalidHeader,
    /// Of another shift.
    #[error("the journal belongs to the shift `{0}`")]
    OtherShift(String),
    /// The classes or cells differ from the configured ones.
    #[error("the journal was written for other classes or cells; remove it or rename the shift")]
    LayoutChanged,
    /// A damaged line before the end.
    #[error("line {0} is damaged and is not the last")]
    Damaged(usize),
    /// Larger than the limit.
    #[error("the journal has more than {MAX_BYTES} bytes")]
    TooLarge,
}

/// The result of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplaySummary {
    /// Number of valid lines.
    pub lines: usize,
    /// Their length in bytes: the file is truncated to it before records are appended.
    pub valid_bytes: usize,
    /// Whether the last record was complete.
    pub complete: bool,
}

fn line(record: &Record) -> String {
    // Records hold only numbers, text and lists, so serialization cannot fail.
    let json = serde_json::to_string(record).unwrap_or_default();
    format!("{:08x} {json}\n", crc32fast::hash(json.as_bytes()))
}

fn record(line: &[u8]) -> Option<Record> {
    let text = std::str::from_utf8(line).ok()?;
    let (crc, json) = text.split_once(' ')?;
    let sound = u32::from_str_radix(crc, 16).ok()? == crc32fast::hash(json.as_bytes());
    sound.then(|| serde_json::from_str(json).ok())?
}

fn head(rollout: &Rollout) -> Record {
    Record::Journal {
        format: FORMAT,
        shift: rollout.settings.name.clone(),
        classes: rollout.settings.classes.clone(),
        cells: rollout.analysis.cells.len(),
    }
}

/// The header line.
pub fn header(rollout: &Rollout) -> String {
    line(&head(rollout))
}

/// The line of a change.
pub fn change_line(change: &Change) -> String {
    line(&Record::Change(change.clone()))
}

/// The line of the current evidence.
pub fn evidence_line(rollout: &Rollout) -> String {
    line(&Record::Evidence(rollout.analysis.export()))
}

/// A compacted journal that replays to the current state.
pub fn compacted(rollout: &Rollout) -> String {
    let changes: String = rollout.changes().map(change_line).collect();
    header(rollout) + &changes + &evidence_line(rollout)
}

/// Restores a shift that is not started from its journal. An empty journal changes nothing.
pub fn replay(bytes: &[u8], rollout: &mut Rollout) -> Result<ReplaySummary, JournalError> {
    if bytes.len() > MAX_BYTES {
        return Err(JournalError::TooLarge);
    }
    let mut read = ReplaySummary { lines: 0, valid_bytes: 0, complete: true };
    let mut changes: Vec<Change> = Vec::new();
    let mut kept = None;
    for (number, text) in bytes.split_inclusive(|b| *b == b'\n').enumerate() {
        let complete = text.ends_with(b"\n");
        let found = record(text.trim_ascii_end()).filter(|_| complete);
        let Some(found) = found else {
            if read.valid_bytes + text.len() < bytes.len() {
                return Err(JournalError::Damaged(number + 1));
            }
            read.complete = false;
            break;
        };
        match (number, found) {
            (0, Record::Journal { format: FORMAT, shift, classes, cells }) => {
                if shift != rollout.settings.name {
                    return Err(JournalError::OtherShift(shift));
                }
                if classes != rollout.settings.classes || cells != rollout.analysis.cells.len() {
                    return Err(JournalError::LayoutChanged);
                }
            }
            (0, _) | (_, Record::Journal { .. }) => return Err(JournalError::InvalidHeader),
            (_, Record::Change(change)) => {
                if change.state == State::Waiting {
                    // Evidence from before a start or restart does not count.
                    kept = None;
                }
                changes.push(change);
            }
            (_, Record::Evidence(evidence)) => kept = Some(evidence),
        }
        read.lines += 1;
        read.valid_bytes += text.len();
    }
    if kept.is_some_and(|k| !rollout.analysis.restore(k)) {
        return Err(JournalError::LayoutChanged);
    }
    rollout.analysis.begin_step();
    if let Some(last) = changes.pop() {
        changes.into_iter().for_each(|c| rollout.restore_change(c));
        rollout.resume(last, read.complete);
    }
    Ok(read)
}
