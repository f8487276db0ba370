//! Entries and the merge rule of each kind. Every rule is a join of a semilattice: merges are commutative,
//! associative and idempotent (Shapiro et al., "Conflict-free replicated data types", 2011).

use laurelroute_membership::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum length of a server's name in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of concurrent changes to one server, and of writers that have ever changed it.
pub const MAX_WRITERS: usize = 128;

/// Identifies an entry. The order is that of urgency: bans are sent first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// Whether an operator has banned a server.
    Ban(String),
    /// Whether discovery lists a server as draining or no longer lists it.
    Drain(String),
}

impl Key {
    /// The server's name.
    pub fn host(&self) -> &str {
        match self {
            Key::Ban(host) | Key::Drain(host) => host,
        }
    }

    /// The kind of entry, for diagnostics.
    pub fn kind(&self) -> &'static str {
        match self {
            Key::Ban(_) => "ban",
            Key::Drain(_) => "drain",
        }
    }

    /// Whether the name has a permitted length.
    pub fn is_valid(&self) -> bool {
        (1..=MAX_NAME_BYTES).contains(&self.host().len())
    }
}

/// A writer: one run of one member's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    /// The member.
    pub member: MemberId,
    /// The run.
    pub incarnation: Incarnation,
}

/// Identifies a change: a writer and its consecutive number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Dot {
    /// The writer.
    pub writer: Writer,
    /// The number of the change.
    pub number: u64,
}

/// An operator's ban or unban of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BanChange {
    /// Identifies the change.
    pub dot: Dot,
    /// Whether the server is banned, rather than unbanned.
    pub banned: bool,
    /// When the change was made, by the writer's clock, in nanoseconds since the Unix epoch. For diagnostics only:
    /// nothing is ordered by it.
    pub changed_at: u64,
}

/// The changes to one server's ban that no later one has replaced, and a version vector of all changes seen.
///
/// This is a dotted version vector set (Preguica et al., "Dotted version vectors", 2012): a change replaces those
/// that its writer had seen. Concurrent changes are kept side by side, and a ban among them wins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bans {
    changes: Vec<BanChange>,
    seen: BTreeMap<Writer, u64>,
}

impl Bans {
    /// Applies a change that replaces all current ones.
    pub fn apply(&mut self, change: BanChange) {
        self.changes = vec![change];
        self.seen.insert(change.dot.writer, change.dot.number);
    }

    /// Whether the server is banned: whether any current change is a ban.
    pub fn is_banned(&self) -> bool {
        self.changes.iter().any(|c| c.banned)
    }

    /// The current changes.
    pub fn changes(&self) -> &[BanChange] {
        &self.changes
    }

    /// The version vector: the number of the last change seen of each writer.
    pub fn version_vector(&self) -> impl Iterator<Item = Dot> + '_ {
        self.seen.iter().map(|(writer, number)| Dot { writer: *writer, number: *number })
    }

    /// Whether a change has been seen, even if it was replaced since.
    pub fn has_seen(&self, dot: Dot) -> bool {
        self.seen.get(&dot.writer).is_some_and(|n| *n >= dot.number)
    }

    /// An unban that has no effect because of a concurrent ban.
    pub fn overridden_unban(&self) -> Option<&BanChange> {
        self.changes.iter().find(|c| !c.banned).filter(|_| self.is_banned())
    }

    fn merge(&mut self, other: &Bans) {
        let is_current = |c: &BanChange, other: &Bans| {
            !other.has_seen(c.dot) || other.changes.iter().any(|o| o.dot == c.dot)
        };
        let mut changes: Vec<BanChange> =
            self.changes.iter().filter(|c| is_current(c, other)).copied().collect();
        changes.extend(other.changes.iter().filter(|c| !self.has_seen(c.dot)).copied());
        changes.sort_unstable_by_key(|c| c.dot);
        self.changes = changes;
        for (writer, number) in &other.seen {
            let seen = self.seen.entry(*writer).or_insert(0);
            *seen = *number.max(seen);
        }
    }

    /// Keeps only the latest change by the wall clock ([`Defect::WallClock`](crate::defect::Defect::WallClock)).
    fn newest_by_clock(&mut self) {
        self.changes.sort_unstable_by_key(|c| (c.changed_at, c.dot));
        self.changes.drain(..self.changes.len().saturating_sub(1));
    }

    fn is_valid(&self) -> bool {
        self.changes.len() <= MAX_WRITERS
            && self.seen.len() <= MAX_WRITERS
            && self.changes.iter().all(|c| self.has_seen(c.dot))
    }
}

/// A server's status on the discovery list. The later version of the list wins; within one version, draining wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Drain {
    /// The version of the list.
    pub version: u64,
    /// Whether the server drains, or is no longer listed.
    pub drained: bool,
}

/// The value of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Belongs to a [`Key::Ban`].
    Bans(Bans),
    /// Belongs to a [`Key::Drain`].
    Drain(Drain),
}

impl Entry {
    /// Whether the value matches the kind of the key and is within the limits.
    pub fn is_valid_for(&self, key: &Key) -> bool {
        match (self, key) {
            (Entry::Bans(bans), Key::Ban(_)) => bans.is_valid(),
            (Entry::Drain(_), Key::Drain(_)) => true,
            _ => false,
        }
    }

    /// Merges another copy; returns whether this one changed.
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

    /// Whether the entry takes the server out of use.
    pub fn excludes_server(&self) -> bool {
        match self {
            Entry::Bans(bans) => bans.is_banned(),
            Entry::Drain(drain) => drain.drained,
        }
    }
}
