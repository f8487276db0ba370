//! Entries and, by kind, the rule for copies that differ. Every rule is a join: two copies give the same third one whichever
//! comes first, and meeting again changes nothing (Shapiro et al., "Conflict-free replicated data types", 2011).

use laurelroute_membership::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of a server's name at most.
pub const MAX_NAME_BYTES: usize = 128;
/// Words on one server that did not know of each other, and incarnations that have ever spoken on it.
pub const MAX_WRITERS: usize = 128;

/// What an entry is about. Sorted by urgency.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// Staff have taken a server out of use, or put it back.
    Ban(String),
    /// Discovery says that a server drains or has left.
    Drain(String),
}

impl Key {
    /// The server.
    pub fn host(&self) -> &str {
        match self {
            Key::Ban(host) | Key::Drain(host) => host,
        }
    }

    /// The kind, for people.
    pub fn kind(&self) -> &'static str {
        match self {
            Key::Ban(_) => "ban",
            Key::Drain(_) => "drain",
        }
    }

    /// Not longer than any.
    pub fn is_valid(&self) -> bool {
        (1..=MAX_NAME_BYTES).contains(&self.host().len())
    }
}

/// Who writes: one run of one member's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    /// The member.
    pub member: MemberId,
    /// The run.
    pub incarnation: Incarnation,
}

/// One word of one writer; a writer numbers its words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Dot {
    /// Who.
    pub writer: Writer,
    /// Which.
    pub number: u64,
}

/// Staff's word on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BanChange {
    /// Whose, and which.
    pub dot: Dot,
    /// Out of use, or back in use.
    pub banned: bool,
    /// When it was said by the speaker's clock, in nanoseconds since the Unix epoch: for people. Nothing is ordered by it.
    pub changed_at: u64,
}

/// All words on one server that nobody has answered yet, and which words were ever known.
///
/// A dotted version vector set (Preguica et al., "Dotted version vectors", 2012): a word replaces those that its speaker knew
/// of. Words that did not know of each other stand side by side, and a ban among them wins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bans {
    changes: Vec<BanChange>,
    known: BTreeMap<Writer, u64>,
}

impl Bans {
    /// A word that answers all that are known here.
    pub fn apply(&mut self, change: BanChange) {
        self.changes = vec![change];
        self.known.insert(change.dot.writer, change.dot.number);
    }

    /// Whether the server is out of use: where any word that stands says so.
    pub fn is_banned(&self) -> bool {
        self.changes.iter().any(|w| w.banned)
    }

    /// The words that stand.
    pub fn changes(&self) -> &[BanChange] {
        &self.changes
    }

    /// The last word of each incarnation that has ever spoken on it, as far as is known here.
    pub fn version_vector(&self) -> impl Iterator<Item = Dot> + '_ {
        self.known.iter().map(|(writer, number)| Dot { writer: *writer, number: *number })
    }

    /// Whether a word was ever known here.
    pub fn has_seen(&self, dot: Dot) -> bool {
        self.known.get(&dot.writer).is_some_and(|n| *n >= dot.number)
    }

    /// A word to put the server back that stands beside a ban, and so does nothing.
    pub fn overridden_unban(&self) -> Option<&BanChange> {
        self.changes.iter().find(|w| !w.banned).filter(|_| self.is_banned())
    }

    fn merge(&mut self, other: &Bans) {
        let stays =
            |w: &BanChange, at: &Bans| !at.has_seen(w.dot) || at.changes.iter().any(|o| o.dot == w.dot);
        let mut changes: Vec<BanChange> = self.changes.iter().filter(|w| stays(w, other)).copied().collect();
        changes.extend(other.changes.iter().filter(|w| !self.has_seen(w.dot)).copied());
        changes.sort_unstable_by_key(|w| w.dot);
        self.changes = changes;
        for (writer, number) in &other.known {
            let known = self.known.entry(*writer).or_insert(0);
            *known = *number.max(known);
        }
    }

    /// For tests: what a later-by-the-clock rule would make of it.
    fn newest_by_clock(&mut self) {
        self.changes.sort_unstable_by_key(|w| (w.changed_at, w.dot));
        self.changes.drain(..self.changes.len().saturating_sub(1));
    }

    fn is_valid(&self) -> bool {
        self.changes.len() <= MAX_WRITERS
            && self.known.len() <= MAX_WRITERS
            && self.changes.iter().all(|w| self.has_seen(w.dot))
    }
}

/// What the list of servers says of one, by its version: the later version counts, and within one that it drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Drain {
    /// The list's version.
    pub version: u64,
    /// It drains, or has left.
    pub drained: bool,
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Under [`Key::Ban`].
    Bans(Bans),
    /// Under [`Key::Drain`].
    Drain(Drain),
}

impl Entry {
    /// Whether it may stand under that key, and is not larger than any.
    pub fn is_valid_for(&self, key: &Key) -> bool {
        match (self, key) {
            (Entry::Bans(bans), Key::Ban(_)) => bans.is_valid(),
            (Entry::Drain(_), Key::Drain(_)) => true,
            _ => false,
        }
    }

    /// Takes in another copy; whether that changed anything.
    pub fn merge(&mut self, other: &Entry, newest_by_clock: bool) -> bool {
        let before = self.clone();
        match (&mut *self, other) {
            (Entry::Bans(mine), Entry::Bans(theirs)) => {
                mine.merge(theirs);
                if newest_by_clock {
                    mine.newest_by_clock();
                }
            }
            (Entry::Drain(mine), Entry::Drain(theirs)) => *mine = *theirs.max(mine),
            _ => {}
        }
        *self != before
    }

    /// Whether the server is out of use by it.
    pub fn excludes_server(&self) -> bool {
        match self {
            Entry::Bans(bans) => bans.is_banned(),
            Entry::Drain(drain) => drain.drained,
        }
    }
}
