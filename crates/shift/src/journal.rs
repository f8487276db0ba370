//! What of a shift outlives the process: its changes of state and its evidence, a line each.
//!
//! A line is the CRC-32 of the rest in eight hexadecimal digits, a space, and a record as JSON. The first names the format
//! and the shift. A line that is cut short at the end was being written when the process ended: what stood before it
//! holds, the shift is held, and that is said. A broken line anywhere else makes all that follows it unsound.

use crate::analysis::{Comparison, SIGNALS};
use crate::rollout::{Change, Rollout, State};
use serde::{Deserialize, Serialize};

/// The format's number.
const FORMAT: u32 = 1;
/// A journal above this is written anew from what it comes to.
pub const COMPACT_AT: usize = 1 << 20;
/// A journal above this is not read.
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
    /// Not a journal, or of a later version.
    #[error("its first line is not that of a shift's journal in format {FORMAT}")]
    InvalidHeader,
    /// Of another shift.
    #[error("it is the journal of the shift `{0}`")]
    OtherShift(String),
    /// The file has changed what is told apart.
    #[error("it was written for other classes or cells; remove it, or give the shift another name")]
    LayoutChanged,
    /// Broken in the middle.
    #[error("line {0} is damaged and others follow it")]
    Damaged(usize),
    /// Too large to be one.
    #[error("it has more than {MAX_BYTES} bytes")]
    TooLarge,
}

/// The result of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplaySummary {
    /// Sound lines.
    pub lines: usize,
    /// Bytes of them: what follows is to be cut off before anything is added.
    pub valid_bytes: usize,
    /// Whether the last record was complete.
    pub complete: bool,
}

fn line(record: &Record) -> String {
    // A record holds numbers, text and lists alone: there is always JSON for it.
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

/// The first line.
pub fn header(rollout: &Rollout) -> String {
    line(&head(rollout))
}

/// A change's line.
pub fn change_line(change: &Change) -> String {
    line(&Record::Change(change.clone()))
}

/// The evidence as it stands.
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
                    // A start, or a start anew: what was seen before it does not count.
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
