//! The file that persists bans: its path, how it is loaded at the start and how it is replaced.
//!
//! During a takeover both processes of a node write the same file without locking: each replaces it with the union
//! of its own records and those in the file. If one overwrites a record that the other has just written, it still
//! receives that record by message, and writes the file again before it acknowledges it
//! (`crates/handover/tests/ledger.rs`).
//!
//! The disk may fail for a while. A failed write is retried until it succeeds, and a file that could not be read at
//! the start is read again: operators have been told that their bans count, so neither is given up.

use crate::files;
use crate::upgrade::link::runtime_path;
use laurelroute_core::gateway::Gateway;
use laurelroute_handover::bans::{BanRecord, Bans};
use laurelroute_handover::ledger::{decode, encode, LedgerError, MAX_FILE_BYTES};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Backoff after a failed write: starts at the minimum and doubles up to the maximum.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Why the bans have not been persisted yet.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum PersistError {
    #[error("TMPDIR does not name a directory")]
    NoDirectory,
    #[error("{0}")]
    Disk(String),
}

/// Why the file could not be loaded.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Corrupt(#[from] LedgerError),
}

/// Which of the requested writes have reached the file.
#[derive(Debug, Default)]
struct Progress {
    /// Number of writes requested, and how many of them the file contains.
    requested: u64,
    written: u64,
    /// The last write that failed, and the error.
    failed: Option<(u64, String)>,
    /// The writer task is running.
    writing: bool,
}

/// Persists a node's bans.
pub(crate) struct BanLedger {
    path: Option<PathBuf>,
    progress: RefCell<Progress>,
    /// Notified when the progress has changed.
    progress_changed: Notify,
    /// Notified when a write is requested; cuts the backoff short.
    write_requested: Notify,
    /// The file could not be read yet because of an I/O error.
    unread: Cell<bool>,
}

impl BanLedger {
    /// The ledger of the node that listens on an address.
    pub(crate) fn for_listener(listen: SocketAddr) -> Rc<BanLedger> {
        Rc::new(BanLedger {
            path: runtime_path(listen, "bans"),
            progress: RefCell::default(),
            progress_changed: Notify::new(),
            write_requested: Notify::new(),
            unread: Cell::new(false),
        })
    }

    /// Loads the bans of earlier processes into the gateway. A corrupt file is renamed and ignored; a file that
    /// cannot be read because of an I/O error is read again until that succeeds.
    pub(crate) fn load(self: &Rc<Self>, gateway: &Rc<Gateway>) {
        let Some(path) = &self.path else { return };
        match read_file(path) {
            Ok(records) => gateway.merge_bans(records),
            Err(ReadError::Io(e)) if e.kind() == io::ErrorKind::NotFound => {}
            Err(ReadError::Io(error)) => {
                tracing::warn!("{}: {error}; it will be read again", path.display());
                self.unread.set(true);
                self.request_write(gateway);
            }
            Err(error @ ReadError::Corrupt(_)) => {
                tracing::warn!("{}: {error}; its bans are ignored", path.display());
                files::quarantine(path);
            }
        }
    }

    /// Persists all bans that the gateway knows, and merges those that another process has persisted into it. A
    /// disk error is returned, and the write is retried all the same.
    pub(crate) async fn persist(self: &Rc<Self>, gateway: &Rc<Gateway>) -> Result<(), PersistError> {
        if self.path.is_none() {
            return Err(PersistError::NoDirectory);
        }
        let write_number = self.request_write(gateway);
        loop {
            let changed = self.progress_changed.notified();
            {
                let progress = self.progress.borrow();
                if progress.written >= write_number {
                    return Ok(());
                }
                if let Some((_, error)) =
                    progress.failed.as_ref().filter(|(failed, _)| *failed >= write_number)
                {
                    return Err(PersistError::Disk(error.clone()));
                }
            }
            changed.await;
        }
    }

    /// Waits at the end of the process until all requested writes are done, at most for `limit`.
    pub(crate) async fn flush(&self, limit: Duration) {
        let pending = || {
            let progress = self.progress.borrow();
            progress.written < progress.requested
        };
        let all_written = async {
            while pending() {
                let changed = self.progress_changed.notified();
                // Cuts the backoff short: little time is left.
                self.write_requested.notify_one();
                let _ = timeout(MIN_BACKOFF, changed).await;
            }
        };
        let _ = timeout(limit, all_written).await;
    }

    /// Requests a write and returns its number.
    fn request_write(self: &Rc<Self>, gateway: &Rc<Gateway>) -> u64 {
        let mut progress = self.progress.borrow_mut();
        progress.requested += 1;
        self.write_requested.notify_one();
        if !std::mem::replace(&mut progress.writing, true) {
            spawn_local(self.clone().run_writer(gateway.clone()));
        }
        progress.requested
    }

    /// Writer task: writes until the file contains all requested writes, one write at a time.
    async fn run_writer(self: Rc<Self>, gateway: Rc<Gateway>) {
        let Some(path) = self.path.clone() else { return };
        let mut backoff = MIN_BACKOFF;
        loop {
            let requested = self.progress.borrow().requested;
            match self.write_once(&path, &gateway).await {
                Ok(()) => {
                    let mut progress = self.progress.borrow_mut();
                    progress.written = requested;
                    progress.failed = None;
                    progress.writing = progress.requested > requested;
                    self.progress_changed.notify_waiters();
                    if !progress.writing {
                        return;
                    }
                    backoff = MIN_BACKOFF;
                }
                Err(error) => {
                    let text = error.to_string();
                    let previous = self.progress.borrow_mut().failed.replace((requested, text.clone()));
                    if previous.is_none_or(|(_, previous_text)| previous_text != text) {
                        tracing::warn!("bans are not persisted yet: {text}");
                    }
                    self.progress_changed.notify_waiters();
                    let _ = timeout(backoff, self.write_requested.notified()).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    async fn write_once(&self, path: &Path, gateway: &Rc<Gateway>) -> Result<(), PersistError> {
        let records: Vec<BanRecord> = gateway.fleet(|f| f.bans.records().cloned().collect());
        let path = path.to_owned();
        // A slow disk must not block the event loop.
        let written = tokio::task::spawn_blocking(move || merge_into_file(&path, records)).await;
        let merged = written
            .map_err(|_| PersistError::Disk("the blocking write task was cancelled".to_owned()))?
            .map_err(|error| PersistError::Disk(error.to_string()))?;
        if self.unread.replace(false) {
            tracing::info!("the ban file has been read");
        }
        gateway.merge_bans(merged);
        Ok(())
    }
}

fn read_file(path: &Path) -> Result<Vec<BanRecord>, ReadError> {
    Ok(decode(&files::read_bounded(path, MAX_FILE_BYTES)?)?)
}

/// Replaces the file with the union of these records and its own; returns the union.
fn merge_into_file(path: &Path, records: Vec<BanRecord>) -> io::Result<Vec<BanRecord>> {
    let mut merged = Bans::default();
    merged.merge(records);
    match read_file(path) {
        Ok(stored) => drop(merged.merge(stored)),
        Err(ReadError::Io(error)) if error.kind() == io::ErrorKind::NotFound => {}
        // Records that cannot be read now may still be intact and must not be overwritten.
        Err(ReadError::Io(error)) => return Err(error),
        // A corrupt file was reported at the start or has been damaged since: the records known here replace it.
        Err(ReadError::Corrupt(_)) => {}
    }
    files::replace_atomically(path, &encode(merged.records()))?;
    Ok(merged.records().cloned().collect())
}
