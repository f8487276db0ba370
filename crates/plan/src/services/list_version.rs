//! A total order of list versions across restarts of the list's source.
//!
//! The source restarts its version numbers when it restarts, without announcing it. A bare number is therefore
//! ambiguous across a restart: a planner that still follows the former numbers would seem later than one that
//! follows the new ones. Each receiver of the list counts how often the numbers have gone back, the epoch, and
//! keeps a [`History`] of versions with the digest of the whole list. Two receivers count epochs from different
//! origins; a number with the same digest in both histories gives the offset between them.

use std::collections::VecDeque;

/// A version of the list, ordered by epoch and then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListVersion {
    /// How often the numbers have gone back, from an arbitrary origin.
    pub epoch: u64,
    /// The source's version number.
    pub number: u64,
}

/// The epoch at which forwarders begin to count, well above 0 because a planner may turn out to be some epochs
/// behind.
pub const INITIAL_EPOCH: u64 = 1 << 20;

/// A list version and the digest of the list at that version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionDigest {
    /// The list version.
    pub version: ListVersion,
    /// The digest of all listed servers.
    pub digest: u64,
}

/// The list versions that were followed, oldest first.
#[derive(Clone, Debug)]
pub struct History {
    entries: VecDeque<VersionDigest>,
    capacity: usize,
}

impl History {
    /// Creates a history of at most `capacity` versions.
    pub fn new(capacity: usize) -> History {
        History { entries: VecDeque::new(), capacity }
    }

    /// Appends a version; replaces the last entry if it has the same version.
    pub fn push(&mut self, entry: VersionDigest) {
        if self.entries.back().is_some_and(|last| last.version == entry.version) {
            self.entries.pop_back();
        }
        self.entries.push_back(entry);
        if self.entries.len() > self.capacity {
            self.entries.pop_front();
        }
    }

    /// Returns all versions, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &VersionDigest> {
        self.entries.iter()
    }

    /// Returns how far the other's epochs are ahead of the local ones, according to the latest version in both
    /// histories, or `None` if they have none in common.
    pub fn epoch_offset(&self, other: &[VersionDigest]) -> Option<i64> {
        let matching = |theirs: &VersionDigest| {
            let mine = self.entries.iter().rev();
            let mut mine = mine.filter(|s| s.version.number == theirs.version.number);
            mine.find(|s| s.digest == theirs.digest).map(|s| (theirs.version.epoch, s.version.epoch))
        };
        let (theirs, mine) = other.iter().rev().find_map(matching)?;
        Some(theirs as i64 - mine as i64)
    }
}
