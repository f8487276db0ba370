//! A shift in a running node: looked at four times a second, kept in its journal, told to operators.

pub(crate) mod cli;
pub(crate) mod api;
pub mod table;
mod watch;

use crate::config::Config;
use laurelroute_core::gateway::Gateway;
use laurelroute_shift::cells::CellsError;
use laurelroute_shift::course::{Change, Course};
use laurelroute_shift::follow::{Follower, LOOK};
use laurelroute_shift::journal::{self, JournalError};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write as _};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use table::ShiftConfig;
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
pub(crate) fn start(gateway: &Rc<Gateway>, config: &Config, shift: &ShiftConfig) -> Result<(), ShiftStartError> {
    let mut settings = shift.settings.clone();
    settings.classes = config.site.classes.clone();
    settings.behind.resize(settings.classes.len(), 0);
    settings.zones = config.zones.clone();
    let mut course = Course::new(settings)?;
    let lines = match &shift.journal {
        Some(path) => Some(write_to(path.clone(), open(path, &mut course)?)),
        None => None,
    };
    gateway.follow_shift(Follower::new(course, &config.site.settings, config.site.tenants.iter()));
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

/// What a journal is given.
#[derive(Debug)]
enum Write {
    /// Lines more.
    Add(String),
    /// All that it is to hold, in place of what it holds.
    Anew(String),
}

/// Where a journal's lines go: a thread of its own, as a disk that hangs must not hold up requests.
fn write_to(path: PathBuf, mut file: File) -> mpsc::Sender<Write> {
    let (lines, mut waiting) = mpsc::channel::<Write>(MOST_WAITING);
    std::thread::spawn(move || {
        while let Some(write) = waiting.blocking_recv() {
            if let Err(error) = keep(&path, &mut file, &write) {
                tracing::warn!("{}: {error}; the shift is not kept", path.display());
            }
        }
    });
    lines
}

fn keep(path: &Path, file: &mut File, write: &Write) -> io::Result<()> {
    match write {
        Write::Add(lines) => {
            file.write_all(lines.as_bytes())?;
            file.sync_data()
        }
        Write::Anew(text) => {
            // Renamed into place: a process that ends meanwhile leaves the one or the other.
            let draft = path.with_extension("new");
            let mut new = File::create(&draft)?;
            new.write_all(text.as_bytes())?;
            new.sync_data()?;
            std::fs::rename(&draft, path)?;
            *file = OpenOptions::new().append(true).open(path)?;
            Ok(())
        }
    }
}

async fn look(gateway: Rc<Gateway>, lines: Option<mpsc::Sender<Write>>) {
    let mut looks = 0;
    let (mut told, mut written) = (0, 0);
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
        if text.is_empty() {
            continue;
        }
        written += text.len();
        let write = if written > journal::COMPACT_AT {
            written = 0;
            Write::Anew(gateway.shift(|f| journal::compacted(&f.course)).unwrap_or_default())
        } else {
            Write::Add(text)
        };
        if lines.try_send(write).is_err() {
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

#[cfg(test)]
mod tests {
    use super::*;
    use laurelroute_shift::course::{State, Verb, Word};
    use laurelroute_shift::pool::{Pools, Predicate};
    use laurelroute_shift::settings::ShiftSettings;
    use wildmatch::WildMatch;

    fn course() -> Course {
        let ids = |id| Predicate { ids: vec![WildMatch::new(id)], ..Predicate::default() };
        let pools = Pools { old: ids("old"), new: ids("new") };
        Course::new(ShiftSettings::new("x", pools, vec!["status".into()], vec!["a".into()])).unwrap()
    }

    #[test]
    fn a_journal_written_anew_is_short_and_goes_on() {
        let folder = std::env::temp_dir().join(format!("laurelroute-journal-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("j");
        let mut course = course();
        let mut file = open(&path, &mut course).unwrap();
        let word = |verb| Word { verb, who: "kim".into(), why: "x".into(), insist: false };
        let started = course.say(1, &word(Verb::Start)).unwrap();
        for _ in 0..100 {
            keep(&path, &mut file, &Write::Add(journal::evidence(&course))).unwrap();
        }
        let long = std::fs::metadata(&path).unwrap().len();
        keep(&path, &mut file, &Write::Anew(journal::compacted(&course))).unwrap();
        assert!(std::fs::metadata(&path).unwrap().len() < long, "it is no shorter");
        let ended = course.say(2, &word(Verb::Abandon)).unwrap();
        keep(&path, &mut file, &Write::Add(journal::change(&ended))).unwrap();
        let mut again = self::course();
        open(&path, &mut again).unwrap();
        assert_eq!(again.state(), &State::Abandoned);
        assert_eq!(again.changes().next(), Some(&started));
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
