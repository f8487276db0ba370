//! What a member goes through, in lines of JSON that a checker reads afterwards.

use laurelroute_membership::{Machine, View};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Bytes that one life writes at most.
const MOST: usize = 8 * 1024 * 1024;

/// A file of lines, added to.
pub(super) struct History {
    file: File,
    written: usize,
}

impl History {
    pub(super) fn open(path: &Path) -> io::Result<History> {
        Ok(History { file: File::options().create(true).append(true).open(path)?, written: 0 })
    }

    fn line(&mut self, line: &serde_json::Value) {
        let line = format!("{line}\n");
        if self.written + line.len() <= MOST && self.file.write_all(line.as_bytes()).is_ok() {
            self.written += line.len();
        }
    }

    /// When it was by the machine's clock is for reading; nothing is ordered by it here.
    fn head(machine: &Machine, what: &str) -> serde_json::Map<String, serde_json::Value> {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as u64);
        let mut head = serde_json::Map::new();
        head.insert("at".to_owned(), at.into());
        head.insert("seat".to_owned(), machine.seat().into());
        head.insert("life".to_owned(), machine.life().into());
        head.insert("what".to_owned(), what.into());
        head
    }

    pub(super) fn note(&mut self, machine: &Machine, what: &str, value: &str) {
        let mut line = Self::head(machine, what);
        line.insert("value".to_owned(), value.into());
        self.line(&line.into());
    }

    pub(super) fn view(&mut self, machine: &Machine, view: &View) {
        let mut line = Self::head(machine, "view");
        line.insert("number".to_owned(), view.number.into());
        line.insert("lineage".to_owned(), view.lineage.into());
        line.insert("rooted".to_owned(), view.rooted.into());
        let members: Vec<_> =
            view.members.iter().map(|(seat, life)| serde_json::json!([seat, life])).collect();
        line.insert("members".to_owned(), members.into());
        self.line(&line.into());
    }
}
