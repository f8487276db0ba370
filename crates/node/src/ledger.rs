//! The file of bans: where it lies, how it is read at the start, and how it is replaced.
//!
//! Both processes of a node write the same file, and neither waits for the other: each writes what it knows and what it
//! finds there, as one, in place of what was there. Should one overwrite a word that the other has just written, the word
//! is told to it all the same, and it writes again before it says that it has noted it (`crates/handover/tests/ledger.rs`).

use crate::upgrade::link::place;
use laurelroute_core::gateway::Gateway;
use laurelroute_handover::bans::{Bans, Word};
use laurelroute_handover::ledger::{decode, encode, LedgerError, MOST_FILE};
use std::fs::{self, File};
use std::io::{self, Read, Write};
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
                let aside = path.with_extension("bans-unsound");
                tracing::warn!("{}: {error}; no ban is taken from it", path.display());
                match fs::rename(path, &aside) {
                    Ok(()) => tracing::warn!("it is kept as {}", aside.display()),
                    Err(error) => tracing::warn!("it cannot be set aside: {error}"),
                }
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
    let mut bytes = Vec::new();
    File::open(path)?.take(MOST_FILE as u64 + 1).read_to_end(&mut bytes)?;
    Ok(decode(&bytes)?)
}

/// Puts these words and those that are there into the file; gives all of them. Whoever reads finds the former file or the
/// new one, also after a crash.
fn replace(path: &Path, words: Vec<Word>) -> Result<Vec<Word>, KeepError> {
    let mut all = Bans::default();
    all.merge(words);
    // What is not sound was told of at the start, or has been spoilt since: what is known here takes its place.
    all.merge(load(path).unwrap_or_default());
    replace_file(path, &encode(all.words()))?;
    Ok(all.words().cloned().collect())
}

/// Puts these bytes in a file's place.
pub(crate) fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let kind = path.extension().unwrap_or_default().to_string_lossy().into_owned();
    let draft = path.with_extension(format!("{kind}-{}", std::process::id()));
    let written = write(&draft, bytes).and_then(|()| fs::rename(&draft, path));
    if written.is_err() {
        let _ = fs::remove_file(&draft);
    }
    written?;
    // The name is on the disk once its folder is.
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

fn write(draft: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(draft)?;
    file.write_all(bytes)?;
    file.sync_all()
}
