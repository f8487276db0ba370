//! Runs a traffic shift in a node: evaluates it four times a second, writes its journal and logs its changes.

pub(crate) mod api;
pub(crate) mod cli;
pub mod table;
mod watch;

use crate::config::Config;
use laurelroute_core::gateway::Gateway;
use laurelroute_shift::cells::CellsError;
use laurelroute_shift::controller::{ShiftController, EVALUATION_INTERVAL};
use laurelroute_shift::journal::{self, JournalError};
use laurelroute_shift::rollout::{Change, Rollout};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write as _};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use table::ShiftConfig;
use tokio::sync::mpsc;

/// Evaluations between two writes of the evidence: up to 10 s of it are lost when the process is killed.
const EVIDENCE_EVERY: u32 = 40;
/// Writes queued for the disk. Once half of the queue is used, evidence is no longer queued, so that there is room
/// for changes while the disk hangs.
const MAX_QUEUED_WRITES: usize = 256;

/// Why a node cannot start with the configured shift.
#[derive(Debug, thiserror::Error)]
pub enum ShiftStartError {
    /// The cells for the comparison of the pools cannot be built.
    #[error("`shift`: {0}")]
    Cells(#[from] CellsError),
    /// The journal cannot be read or written.
    #[error("`shift.journal`: {0}: {1}")]
    Io(PathBuf, io::Error),
    /// The journal cannot be replayed.
    #[error("`shift.journal`: {0}: {1}")]
    Journal(PathBuf, JournalError),
}

/// Starts the configured shift in the gateway, resuming from the journal.
pub(crate) fn start(
    gateway: &Rc<Gateway>,
    config: &Config,
    shift: &ShiftConfig,
) -> Result<(), ShiftStartError> {
    let mut settings = shift.settings.clone();
    settings.classes = config.gateway.classes.clone();
    settings.class_delays.resize(settings.classes.len(), 0);
    settings.zones = config.zones.clone();
    let mut course = Rollout::new(settings)?;
    let writes = match &shift.journal {
        Some(path) => Some(spawn_writer(path.clone(), open_journal(path, &mut course)?)),
        None => None,
    };
    gateway.set_shift(ShiftController::new(course, &config.gateway.settings, config.gateway.tenants.iter()));
    tokio::task::spawn_local(run(gateway.clone(), writes));
    Ok(())
}

/// Replays a journal, truncates a half-written last record, and opens the file for appending.
fn open_journal(path: &Path, course: &mut Rollout) -> Result<File, ShiftStartError> {
    let io = |e| ShiftStartError::Io(path.to_owned(), e);
    let mut file =
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path).map_err(io)?;
    let mut bytes = Vec::new();
    Read::by_ref(&mut file).take(journal::MAX_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(io)?;
    let replayed =
        journal::replay(&bytes, course).map_err(|e| ShiftStartError::Journal(path.to_owned(), e))?;
    if !replayed.complete {
        tracing::warn!(
            "{}: the last record was incomplete and has been removed; the shift is held",
            path.display()
        );
    }
    file.set_len(replayed.valid_bytes as u64).map_err(io)?;
    let mut file = OpenOptions::new().append(true).open(path).map_err(io)?;
    if replayed.lines == 0 {
        file.write_all(journal::header(course).as_bytes()).map_err(io)?;
    } else {
        tracing::info!("shift {}: resumed as {}", course.settings.name, course.state_name());
    }
    Ok(file)
}

/// A write to the journal.
#[derive(Debug)]
enum JournalWrite {
    /// Appends lines.
    Append(String),
    /// Replaces the journal's contents.
    Replace(String),
}

/// Writes the journal on a thread of its own, as a disk that hangs must not hold up requests.
fn spawn_writer(path: PathBuf, mut file: File) -> mpsc::Sender<JournalWrite> {
    let (writes, mut queue) = mpsc::channel::<JournalWrite>(MAX_QUEUED_WRITES);
    std::thread::spawn(move || {
        while let Some(write) = queue.blocking_recv() {
            if let Err(error) = write_journal(&path, &mut file, &write) {
                tracing::warn!("{}: {error}; the shift's journal is not written", path.display());
            }
        }
    });
    writes
}

/// Carries out one write and waits for the disk.
fn write_journal(path: &Path, file: &mut File, write: &JournalWrite) -> io::Result<()> {
    match write {
        JournalWrite::Append(lines) => {
            file.write_all(lines.as_bytes())?;
            file.sync_data()
        }
        JournalWrite::Replace(text) => {
            // Renamed into place: a process that ends meanwhile leaves either the old or the new journal.
            let draft = path.with_extension("new");
            let mut replacement = File::create(&draft)?;
            replacement.write_all(text.as_bytes())?;
            replacement.sync_data()?;
            std::fs::rename(&draft, path)?;
            *file = OpenOptions::new().append(true).open(path)?;
            Ok(())
        }
    }
}

/// Evaluates the shift at each interval, logs its changes and queues them for the journal.
async fn run(gateway: Rc<Gateway>, writes: Option<mpsc::Sender<JournalWrite>>) {
    let mut evaluations = 0;
    let (mut logged, mut bytes_since_compaction) = (0, 0);
    loop {
        tokio::time::sleep(Duration::from_nanos(EVALUATION_INTERVAL)).await;
        evaluations += 1;
        gateway.evaluate_shift(false);
        // Operators' commands change the shift as well: every new change is logged here, once and in order.
        let Some(changes) = gateway.shift(|controller| new_changes(controller, &mut logged)) else { return };
        for change in &changes {
            log_change(&gateway, change);
        }
        let Some(writes) = &writes else { continue };
        let mut text: String = changes.iter().map(journal::change_line).collect();
        if (evaluations % EVIDENCE_EVERY == 0 && writes.capacity() > MAX_QUEUED_WRITES / 2)
            || !changes.is_empty()
        {
            text +=
                &gateway.shift(|controller| journal::evidence_line(&controller.rollout)).unwrap_or_default();
        }
        if text.is_empty() {
            continue;
        }
        bytes_since_compaction += text.len();
        let write = if bytes_since_compaction > journal::COMPACT_AT {
            bytes_since_compaction = 0;
            JournalWrite::Replace(
                gateway.shift(|controller| journal::compacted(&controller.rollout)).unwrap_or_default(),
            )
        } else {
            JournalWrite::Append(text)
        };
        if writes.try_send(write).is_err() {
            tracing::warn!(
                "the shift's journal is incomplete: its write queue is full, the disk does not respond"
            );
        }
    }
}

/// Returns the changes after the first `logged` ones and advances `logged` past them.
fn new_changes(controller: &ShiftController, logged: &mut u64) -> Vec<Change> {
    let count = controller.rollout.change_count();
    let new_count = (count - *logged) as usize;
    *logged = count;
    let retained = controller.rollout.changes().count();
    controller.rollout.changes().skip(retained.saturating_sub(new_count)).cloned().collect()
}

/// Logs a change of state as one structured line.
fn log_change(gateway: &Gateway, change: &Change) {
    let blamed_servers = change.alarm.as_ref().and_then(|(_, alarm)| match &alarm.blame {
        laurelroute_shift::analysis::Blame::Servers(servers) => gateway.shift(|controller| {
            let names: Vec<&str> =
                servers.iter().filter_map(|server| controller.server_name(*server)).collect();
            names.join(" ")
        }),
        _ => None,
    });
    tracing::info!(
        rung = change.step + 1,
        shares = ?change.shares,
        who = %change.who,
        why = %change.why,
        boxes = blamed_servers.as_deref().unwrap_or(""),
        "shift: {:?}",
        change.state
    );
}

#[cfg(test)]
mod tests {
    use super::*;
    use laurelroute_shift::pool::{Pools, Predicate};
    use laurelroute_shift::rollout::{Command, State, Verb};
    use laurelroute_shift::settings::ShiftSettings;
    use wildmatch::WildMatch;

    fn course() -> Rollout {
        let ids = |id| Predicate { ids: vec![WildMatch::new(id)], ..Predicate::default() };
        let pools = Pools { old: ids("old"), new: ids("new") };
        Rollout::new(ShiftSettings::new("x", pools, vec!["status".into()], vec!["a".into()])).unwrap()
    }

    #[test]
    fn a_compacted_journal_is_shorter_and_can_be_resumed() {
        let folder = std::env::temp_dir().join(format!("laurelroute-journal-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("j");
        let mut course = course();
        let mut file = open_journal(&path, &mut course).unwrap();
        let command = |verb| Command { verb, who: "kim".into(), why: "x".into(), insist: false };
        let started = course.apply_command(1, &command(Verb::Start)).unwrap();
        for _ in 0..100 {
            write_journal(&path, &mut file, &JournalWrite::Append(journal::evidence_line(&course))).unwrap();
        }
        let length_before = std::fs::metadata(&path).unwrap().len();
        write_journal(&path, &mut file, &JournalWrite::Replace(journal::compacted(&course))).unwrap();
        assert!(
            std::fs::metadata(&path).unwrap().len() < length_before,
            "compaction did not shorten the journal"
        );
        let ended = course.apply_command(2, &command(Verb::Abandon)).unwrap();
        write_journal(&path, &mut file, &JournalWrite::Append(journal::change_line(&ended))).unwrap();
        let mut resumed = self::course();
        open_journal(&path, &mut resumed).unwrap();
        assert_eq!(resumed.state(), &State::Abandoned);
        assert_eq!(resumed.changes().next(), Some(&started));
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
