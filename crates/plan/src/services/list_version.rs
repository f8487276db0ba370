//! Versions of the list in one order, over restarts of its source.
//!
//! The source counts its versions from the beginning again when it starts anew, and tells nobody that it did. So a bare
//! number says nothing across a restart: a planner that is late with the former numbers looks later than one that follows
//! the new ones. Who hears the list counts how often the numbers went back, its epoch, and keeps a [`History`] of numbers
//! with the digest of the whole list. Epochs of two parties are counted from different beginnings; a number with the same
//! digest in both histories tells how they stand to each other.

use std::collections::VecDeque;

/// A version of the list: of two, the one of the later epoch is later, within an epoch the one with the larger number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListVersion {
    /// How often the numbers have gone back, counted from some beginning.
    pub epoch: u64,
    /// The source's own number.
    pub number: u64,
}

/// The epoch in which a forwarder begins to count: a planner may turn out to be some epochs behind it.
pub const INITIAL_EPOCH: u64 = 1 << 20;

/// A version of the list and what the list was then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionDigest {
    /// The version.
    pub version: ListVersion,
    /// The digest of all servers that it listed.
    pub digest: u64,
}

/// Versions that somebody has followed, oldest first.
#[derive(Clone, Debug)]
pub struct History {
    seen: VecDeque<VersionDigest>,
    most: usize,
}

impl History {
    /// One that remembers so many versions.
    pub fn new(most: usize) -> History {
        History { seen: VecDeque::new(), most }
    }

    /// Notes a version. The same one again replaces what it was.
    pub fn push(&mut self, seen: VersionDigest) {
        if self.seen.back().is_some_and(|last| last.version == seen.version) {
            self.seen.pop_back();
        }
        self.seen.push_back(seen);
        if self.seen.len() > self.most {
            self.seen.pop_front();
        }
    }

    /// All versions, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &VersionDigest> {
        self.seen.iter()
    }

    /// How far another's epochs are ahead of the ones here, by the latest version that both have followed.
    pub fn epoch_offset(&self, other: &[VersionDigest]) -> Option<i64> {
        let here = |theirs: &VersionDigest| {
            let mine = self.seen.iter().rev();
            let mut mine = mine.filter(|s| s.version.number == theirs.version.number);
            mine.find(|s| s.digest == theirs.digest).map(|s| (theirs.version.epoch, s.version.epoch))
        };
        let (theirs, mine) = other.iter().rev().find_map(here)?;
        Some(theirs as i64 - mine as i64)
    }
}
