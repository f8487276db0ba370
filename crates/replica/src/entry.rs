//! Entries and, by kind, the rule for copies that differ. Every rule is a join: two copies give the same third one whichever
//! comes first, and meeting again changes nothing (Shapiro et al., "Conflict-free replicated data types", 2011).

use laurelroute_membership::{Life, Seat};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of a server's name at most.
pub const MOST_NAME: usize = 128;
/// Words on one server that did not know of each other, and lives that have ever spoken on it.
pub const MOST_WRITERS: usize = 128;

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
    pub fn sound(&self) -> bool {
        (1..=MOST_NAME).contains(&self.host().len())
    }
}

/// Who writes: one run of one member's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    /// The member.
    pub seat: Seat,
    /// The run.
    pub life: Life,
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
pub struct Word {
    /// Whose, and which.
    pub dot: Dot,
    /// Out of use, or back in use.
    pub out: bool,
    /// When it was said by the speaker's clock, in nanoseconds since the Unix epoch: for people. Nothing is ordered by it.
    pub at: u64,
}

/// All words on one server that nobody has answered yet, and which words were ever known.
///
/// A dotted version vector set (Preguica et al., "Dotted version vectors", 2012): a word replaces those that its speaker knew
/// of. Words that did not know of each other stand side by side, and a ban among them wins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bans {
    words: Vec<Word>,
    known: BTreeMap<Writer, u64>,
}

impl Bans {
    /// A word that answers all that are known here.
    pub fn say(&mut self, word: Word) {
        self.words = vec![word];
        self.known.insert(word.dot.writer, word.dot.number);
    }

    /// Whether the server is out of use: where any word that stands says so.
    pub fn out(&self) -> bool {
        self.words.iter().any(|w| w.out)
    }

    /// The words that stand.
    pub fn words(&self) -> &[Word] {
        &self.words
    }

    /// The last word of each life that has ever spoken on it, as far as is known here.
    pub fn known(&self) -> impl Iterator<Item = Dot> + '_ {
        self.known.iter().map(|(writer, number)| Dot { writer: *writer, number: *number })
    }

    /// Whether a word was ever known here.
    pub fn knew(&self, dot: Dot) -> bool {
        self.known.get(&dot.writer).is_some_and(|n| *n >= dot.number)
    }

    /// A word to put the server back that stands beside a ban, and so does nothing.
    pub fn lost(&self) -> Option<&Word> {
        self.words.iter().find(|w| !w.out).filter(|_| self.out())
    }

    fn join(&mut self, other: &Bans) {
        let stays = |w: &Word, at: &Bans| !at.knew(w.dot) || at.words.iter().any(|o| o.dot == w.dot);
        let mut words: Vec<Word> = self.words.iter().filter(|w| stays(w, other)).copied().collect();
        words.extend(other.words.iter().filter(|w| !self.knew(w.dot)).copied());
        words.sort_unstable_by_key(|w| w.dot);
        self.words = words;
        for (writer, number) in &other.known {
            let known = self.known.entry(*writer).or_insert(0);
            *known = *number.max(known);
        }
    }

    /// For tests: what a later-by-the-clock rule would make of it.
    fn by_the_clock(&mut self) {
        self.words.sort_unstable_by_key(|w| (w.at, w.dot));
        self.words.drain(..self.words.len().saturating_sub(1));
    }

    fn sound(&self) -> bool {
        self.words.len() <= MOST_WRITERS
            && self.known.len() <= MOST_WRITERS
            && self.words.iter().all(|w| self.knew(w.dot))
    }
}

/// What the list of servers says of one, by its version: the later version counts, and within one that it drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Drain {
    /// The list's version.
    pub version: u64,
    /// It drains, or has left.
    pub out: bool,
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
    pub fn fits(&self, key: &Key) -> bool {
        match (self, key) {
            (Entry::Bans(bans), Key::Ban(_)) => bans.sound(),
            (Entry::Drain(_), Key::Drain(_)) => true,
            _ => false,
        }
    }

    /// Takes in another copy; whether that changed anything.
    pub fn join(&mut self, other: &Entry, by_the_clock: bool) -> bool {
        let before = self.clone();
        match (&mut *self, other) {
            (Entry::Bans(mine), Entry::Bans(theirs)) => {
                mine.join(theirs);
                if by_the_clock {
                    mine.by_the_clock();
                }
            }
            (Entry::Drain(mine), Entry::Drain(theirs)) => *mine = *theirs.max(mine),
            _ => {}
        }
        *self != before
    }

    /// Whether the server is out of use by it.
    pub fn out(&self) -> bool {
        match self {
            Entry::Bans(bans) => bans.out(),
            Entry::Drain(drain) => drain.out,
        }
    }
}
