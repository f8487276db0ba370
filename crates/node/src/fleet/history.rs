//! Appends a member's membership events to a file of JSON lines, for later checking.

use laurelroute_membership::{Machine, View};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of bytes that one process appends.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// The open history file.
pub(super) struct History {
    file: File,
    written: usize,
}

impl History {
    /// Opens the file for appending, creating it if necessary.
    pub(super) fn open(path: &Path) -> io::Result<History> {
        Ok(History { file: File::options().create(true).append(true).open(path)?, written: 0 })
    }

    /// Appends a line unless [`MAX_BYTES`] is reached.
    fn append(&mut self, line: &serde_json::Value) {
        let line = format!("{line}\n");
        if self.written + line.len() <= MAX_BYTES && self.file.write_all(line.as_bytes()).is_ok() {
            self.written += line.len();
        }
    }

    /// Builds the fields that every line has. The wall-clock time is informative only; nothing orders events by it.
    fn header(machine: &Machine, what: &str) -> serde_json::Map<String, serde_json::Value> {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as u64);
        let mut fields = serde_json::Map::new();
        fields.insert("at".to_owned(), at.into());
        fields.insert("seat".to_owned(), machine.id().into());
        fields.insert("life".to_owned(), machine.incarnation().into());
        fields.insert("what".to_owned(), what.into());
        fields
    }

    /// Appends an event with one value.
    pub(super) fn record(&mut self, machine: &Machine, what: &str, value: &str) {
        let mut line = Self::header(machine, what);
        line.insert("value".to_owned(), value.into());
        self.append(&line.into());
    }

    /// Appends an installed view.
    pub(super) fn view(&mut self, machine: &Machine, view: &View) {
        let mut line = Self::header(machine, "view");
        line.insert("number".to_owned(), view.number.into());
        line.insert("lineage".to_owned(), view.lineage.into());
        line.insert("rooted".to_owned(), view.is_primary.into());
        let members: Vec<_> =
            view.members.iter().map(|(seat, life)| serde_json::json!([seat, life])).collect();
        line.insert("members".to_owned(), members.into());
        self.append(&line.into());
    }
}
