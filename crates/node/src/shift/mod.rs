//! A shift in a running node: looked at four times a second, kept in its journal, told to operators.

pub(crate) mod cli;
pub(crate) mod desk;
pub mod table;
mod watch;

use crate::config::Config;
use laurelroute_core::gateway::Gateway;
use laurelroute_shift::cells::CellsError;
use laurelroute_shift::course::{Change, Course};
use laurelroute_shift::follow::{Follower, LOOK};
use laurelroute_shift::journal::{self, JournalError};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use table::Shift;
use tokio::sync::mpsc;

/// Evidence is kept every so many looks: 10 s of it are lost when a process is killed.
const KEEP: u32 = 40;
/// Lines that wait for a disk that hangs; with more, evidence is not kept for now, and changes are.
const MOST_WAITING: usize = 256;

/// Why a node does not start with a shift.
#[derive(Debug, thiserror::Error)]
pub enum ShiftStartError {
    /// Its cells cannot be made.
    #[error("`shift`: {0}")]
    Cells(#[from] CellsError),
    /// Its journal cannot be read or written.
    #[error("`shift.journal`: {0}: {1}")]
    Io(PathBuf, io::Error),
    /// Its journal is not to be gone on from.
    #[error("`shift.journal`: {0}: {1}")]
    Journal(PathBuf, JournalError),
}

/// Has the gateway follow a shift, from where its journal ends.
pub(crate) fn start(gateway: &Rc<Gateway>, config: &Config, shift: &Shift) -> Result<(), ShiftStartError> {
    let mut settings = shift.settings.clone();
    settings.classes = config.site.classes.clone();
    settings.behind.resize(settings.classes.len(), 0);
    settings.zones = config.zones.clone();
    let mut course = Course::new(settings)?;
    let lines = match &shift.journal {
        Some(path) => Some(write_to(path.clone(), open(path, &mut course)?)),
        None => None,
    };
    gateway.follow_shift(Follower::new(course, &config.site.settings, &config.site.tenants));
    tokio::task::spawn_local(look(gateway.clone(), lines));
    Ok(())
}

/// Reads a journal, cuts off what was only half written, and leaves it open for more.
fn open(path: &Path, course: &mut Course) -> Result<File, ShiftStartError> {
    let io = |e| ShiftStartError::Io(path.to_owned(), e);
    let mut file =
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path).map_err(io)?;
    let mut bytes = Vec::new();
    Read::by_ref(&mut file).take(journal::MOST_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(io)?;
    let read = journal::replay(&bytes, course).map_err(|e| ShiftStartError::Journal(path.to_owned(), e))?;
    if !read.whole {
        tracing::warn!(
            "{}: its last record was half written and is cut off; the shift is held",
            path.display()
        );
    }
    file.set_len(read.sound as u64).map_err(io)?;
    let mut file = OpenOptions::new().append(true).open(path).map_err(io)?;
    if read.lines == 0 {
        file.write_all(journal::begin(course).as_bytes()).map_err(io)?;
    } else {
        tracing::info!("shift {}: goes on as {}", course.settings.name, course.state_name());
    }
    Ok(file)
}

/// The lines for a journal, written by a thread of its own: a disk that hangs must not hold up requests.
fn write_to(path: PathBuf, mut file: File) -> mpsc::Sender<String> {
    let (lines, mut waiting) = mpsc::channel::<String>(MOST_WAITING);
    std::thread::spawn(move || {
        let mut written = 0;
        while let Some(line) = waiting.blocking_recv() {
            let kept = file.write_all(line.as_bytes()).and_then(|()| file.sync_data());
            if let Err(error) = kept {
                tracing::warn!("{}: {error}; the shift is not kept", path.display());
            }
            written += line.len();
            if written > journal::COMPACT_AT {
                tracing::info!("{}: {written} bytes since the start", path.display());
                written = 0;
            }
        }
    });
    lines
}

async fn look(gateway: Rc<Gateway>, lines: Option<mpsc::Sender<String>>) {
    let mut looks = 0;
    let mut told = 0;
    loop {
        tokio::time::sleep(Duration::from_nanos(LOOK)).await;
        looks += 1;
        gateway.look_at_shift(false);
        // Words of operators have changed it as well: all that is new is told here, once and in order.
        let Some(new) = gateway.shift(|f| news(f, &mut told)) else { return };
        for change in &new {
            tell(&gateway, change);
        }
        let Some(lines) = &lines else { continue };
        let mut text: String = new.iter().map(journal::change).collect();
        if (looks % KEEP == 0 && lines.capacity() > MOST_WAITING / 2) || !new.is_empty() {
            text += &gateway.shift(|f| journal::evidence(&f.course)).unwrap_or_default();
        }
        if !text.is_empty() && lines.try_send(text).is_err() {
            tracing::warn!("the shift's journal does not take any more: the disk does not answer");
        }
    }
}

/// The changes since those that were told, by their number.
fn news(follower: &Follower, told: &mut u64) -> Vec<Change> {
    let count = follower.course.changed();
    let new = (count - *told) as usize;
    *told = count;
    let known = follower.course.changes().count();
    follower.course.changes().skip(known.saturating_sub(new)).cloned().collect()
}

/// One structured line for each change of state.
fn tell(gateway: &Gateway, change: &Change) {
    let blamed = change.alarm.as_ref().and_then(|(_, alarm)| match &alarm.blame {
        laurelroute_shift::judge::Blame::Boxes(boxes) => gateway.shift(|f| {
            let names: Vec<&str> = boxes.iter().filter_map(|b| f.name(*b)).collect();
            names.join(" ")
        }),
        _ => None,
    });
    tracing::info!(
        rung = change.rung + 1,
        shares = ?change.shares,
        who = %change.who,
        why = %change.why,
        boxes = blamed.as_deref().unwrap_or(""),
        "shift: {:?}",
        change.state
    );
}
