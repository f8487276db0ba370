//! The file of bans: where it lies, how it is read at the start, and how it is replaced.
//!
//! Both processes of a node write the same file, and neither waits for the other: each writes what it knows and what it
//! finds there, as one, in place of what was there. Should one overwrite a word that the other has just written, the word
//! is told to it all the same, and it writes again before it says that it has noted it (`crates/handover/tests/ledger.rs`).
//!
//! A disk may fail for a while. What it could not take is written again until it has it, and a file that could not be read
//! at the start is read again: neither is given up for the failure, as the operators were told that their word counts.

use crate::files;
use crate::upgrade::link::place;
use laurelroute_core::gateway::Gateway;
use laurelroute_handover::bans::{Bans, Word};
use laurelroute_handover::ledger::{decode, encode, LedgerError, MOST_FILE};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Pauses before a failed write is tried again: from the first, doubled up to the last.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
const PAUSE_LAST: Duration = Duration::from_millis(800);

/// Why bans do not outlive this process yet.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum KeepError {
    #[error("TMPDIR names no folder")]
    NoPlace,
    #[error("{0}")]
    Disk(String),
}

/// Why a file says nothing.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Unsound(#[from] LedgerError),
}

/// How far the file is behind the words that were said.
#[derive(Debug, Default)]
struct Progress {
    /// Writes that were asked for, and how many of them the file has.
    asked: u64,
    written: u64,
    /// The last write that failed, and why.
    failed: Option<(u64, String)>,
    /// A task is at work.
    writing: bool,
}

/// The file of a node's bans.
pub(crate) struct Ledger {
    path: Option<PathBuf>,
    progress: RefCell<Progress>,
    /// The progress has changed.
    moved: Notify,
    /// A write is asked for: no pause is waited out.
    wanted: Notify,
    /// The file could not be read yet, for the disk's fault.
    unread: Cell<bool>,
}

impl Ledger {
    /// That of the node that listens there.
    pub(crate) fn of(listen: SocketAddr) -> Rc<Ledger> {
        Rc::new(Ledger {
            path: place(listen, "bans"),
            progress: RefCell::default(),
            moved: Notify::new(),
            wanted: Notify::new(),
            unread: Cell::new(false),
        })
    }

    /// Has the gateway know the words that were kept by processes before. A file that is not sound says nothing, and is set
    /// aside; one that the disk does not give is read again until it does.
    pub(crate) fn recover(self: &Rc<Self>, gateway: &Rc<Gateway>) {
        let Some(path) = &self.path else { return };
        match load(path) {
            Ok(words) => gateway.merge_bans(words),
            Err(ReadError::Io(e)) if e.kind() == io::ErrorKind::NotFound => {}
            Err(ReadError::Io(error)) => {
                tracing::warn!("{}: {error}; it is read again", path.display());
                self.unread.set(true);
                self.ask(gateway);
            }
            Err(error @ ReadError::Unsound(_)) => {
                tracing::warn!("{}: {error}; no ban is taken from it", path.display());
                files::set_aside(path);
            }
        }
    }

    /// Keeps all words that the gateway knows, and has it know those that another process has kept. Where the disk fails, that
    /// is told, and it is tried again all the same.
    pub(crate) async fn keep(self: &Rc<Self>, gateway: &Rc<Gateway>) -> Result<(), KeepError> {
        if self.path.is_none() {
            return Err(KeepError::NoPlace);
        }
        let own = self.ask(gateway);
        loop {
            let moved = self.moved.notified();
            {
                let progress = self.progress.borrow();
                if progress.written >= own {
                    return Ok(());
                }
                if let Some((_, error)) = progress.failed.as_ref().filter(|(at, _)| *at >= own) {
                    return Err(KeepError::Disk(error.clone()));
                }
            }
            moved.await;
        }
    }

    /// Waits until the disk has all that was asked for, at the end of the process and for no longer than that.
    pub(crate) async fn close(&self, patience: Duration) {
        let behind = || {
            let progress = self.progress.borrow();
            progress.written < progress.asked
        };
        let all_written = async {
            while behind() {
                let moved = self.moved.notified();
                // No pause is waited out: there is not much time left.
                self.wanted.notify_one();
                let _ = timeout(PAUSE_FIRST, moved).await;
            }
        };
        let _ = timeout(patience, all_written).await;
    }

    /// Asks for a write; its number.
    fn ask(self: &Rc<Self>, gateway: &Rc<Gateway>) -> u64 {
        let mut progress = self.progress.borrow_mut();
        progress.asked += 1;
        self.wanted.notify_one();
        if !std::mem::replace(&mut progress.writing, true) {
            spawn_local(self.clone().write(gateway.clone()));
        }
        progress.asked
    }

    /// Writes until the file has all that was asked for, one write at a time.
    async fn write(self: Rc<Self>, gateway: Rc<Gateway>) {
        let Some(path) = self.path.clone() else { return };
        let mut pause = PAUSE_FIRST;
        loop {
            let asked = self.progress.borrow().asked;
            match self.write_once(&path, &gateway).await {
                Ok(()) => {
                    let mut progress = self.progress.borrow_mut();
                    progress.written = asked;
                    progress.failed = None;
                    progress.writing = progress.asked > asked;
                    self.moved.notify_waiters();
                    if !progress.writing {
                        return;
                    }
                    pause = PAUSE_FIRST;
                }
                Err(error) => {
                    let text = error.to_string();
                    let before = self.progress.borrow_mut().failed.replace((asked, text.clone()));
                    if before.is_none_or(|(_, former)| former != text) {
                        tracing::warn!("bans are not kept yet: {text}");
                    }
                    self.moved.notify_waiters();
                    let _ = timeout(pause, self.wanted.notified()).await;
                    pause = (pause * 2).min(PAUSE_LAST);
                }
            }
        }
    }

    async fn write_once(&self, path: &Path, gateway: &Rc<Gateway>) -> Result<(), KeepError> {
        let words: Vec<Word> = gateway.fleet(|f| f.bans.words().cloned().collect());
        let path = path.to_owned();
        // A disk may take its time, and clients do not wait for it.
        let written = tokio::task::spawn_blocking(move || replace(&path, words)).await;
        let all = written
            .map_err(|_| KeepError::Disk("the writer has ended early".to_owned()))?
            .map_err(|error| KeepError::Disk(error.to_string()))?;
        if self.unread.replace(false) {
            tracing::info!("the file of bans is read");
        }
        gateway.merge_bans(all);
        Ok(())
    }
}

fn load(path: &Path) -> Result<Vec<Word>, ReadError> {
    Ok(decode(&files::read(path, MOST_FILE)?)?)
}

/// Puts these words and those that are there into the file; gives all of them.
fn replace(path: &Path, words: Vec<Word>) -> io::Result<Vec<Word>> {
    let mut all = Bans::default();
    all.merge(words);
    match load(path) {
        Ok(there) => drop(all.merge(there)),
        Err(ReadError::Io(error)) if error.kind() == io::ErrorKind::NotFound => {}
        // Words that cannot be read now may still be there, and must not be overwritten.
        Err(ReadError::Io(error)) => return Err(error),
        // What is not sound was told of at the start, or has been spoilt since: what is known here takes its place.
        Err(ReadError::Unsound(_)) => {}
    }
    files::replace(path, &encode(all.words()))?;
    Ok(all.words().cloned().collect())
}
