//! The file of bans: where it lies, how it is read at the start, and how it is replaced.
//!
//! Both processes of a node write the same file, and neither waits for the other: each writes what it knows and what it
//! finds there, as one, in place of what was there. Should one overwrite a word that the other has just written, the word
//! is told to it all the same, and it writes again before it says that it has noted it (`crates/handover/tests/ledger.rs`).

use crate::files;
use crate::upgrade::link::place;
use laurelroute_core::gateway::Gateway;
use laurelroute_handover::bans::{Bans, Word};
use laurelroute_handover::ledger::{decode, encode, LedgerError, MOST_FILE};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::sync::Mutex;

/// Why bans do not outlive this process.
#[derive(Debug, thiserror::Error)]
pub(crate) enum KeepError {
    #[error("TMPDIR names no folder")]
    NoPlace,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("the writer has ended early")]
    Aborted,
}

/// Why a file says nothing.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Unsound(#[from] LedgerError),
}

/// The file of a node's bans.
pub(crate) struct Ledger {
    path: Option<PathBuf>,
    /// One write at a time.
    turn: Mutex<()>,
}

impl Ledger {
    /// That of the node that listens there.
    pub(crate) fn of(listen: SocketAddr) -> Rc<Ledger> {
        Rc::new(Ledger { path: place(listen, "bans"), turn: Mutex::new(()) })
    }

    /// The words that were kept by processes before. A file that is not sound says nothing, and is set aside.
    pub(crate) fn read(&self) -> Vec<Word> {
        let Some(path) = &self.path else { return Vec::new() };
        match load(path) {
            Ok(words) => words,
            Err(ReadError::Io(e)) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(error) => {
                tracing::warn!("{}: {error}; no ban is taken from it", path.display());
                files::set_aside(path);
                Vec::new()
            }
        }
    }

    /// Keeps all words that the gateway knows, and has it know those that another process has kept.
    pub(crate) async fn keep(&self, gateway: &Rc<Gateway>) -> Result<(), KeepError> {
        let path = self.path.clone().ok_or(KeepError::NoPlace)?;
        let _turn = self.turn.lock().await;
        let words: Vec<Word> = gateway.fleet(|f| f.bans.words().cloned().collect());
        // A disk may take its time, and clients do not wait for it.
        let written = tokio::task::spawn_blocking(move || replace(&path, words)).await;
        gateway.merge_bans(written.map_err(|_| KeepError::Aborted)??);
        Ok(())
    }
}

fn load(path: &Path) -> Result<Vec<Word>, ReadError> {
    Ok(decode(&files::read(path, MOST_FILE)?)?)
}

/// Puts these words and those that are there into the file; gives all of them.
fn replace(path: &Path, words: Vec<Word>) -> Result<Vec<Word>, KeepError> {
    let mut all = Bans::default();
    all.merge(words);
    // What is not sound was told of at the start, or has been spoilt since: what is known here takes its place.
    all.merge(load(path).unwrap_or_default());
    files::replace(path, &encode(all.words()))?;
    Ok(all.words().cloned().collect())
}
