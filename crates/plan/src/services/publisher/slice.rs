//! A service's servers in slices, each with the version that last changed each of them.

use crate::services::list_version::ListVersion;
use crate::services::slice_index;
use crate::{scramble, stable_hash};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A service is cut anew so that its slices have some [`WANTED`] servers, where they have come to over so many in the mean ...
const MOST: usize = 64;
/// ... or under so many.
const LEAST: usize = 12;
const WANTED: usize = 32;
/// Servers that have left are remembered, for those who come back, as long as there are no more of them than servers, or than this.
pub const MAX_REMOVED: usize = 64;
/// Versions whose place in the list is remembered, for those who come back.
const LOG: usize = 256;

/// A server's name, shared by all who mention it.
pub(super) type Name = Arc<str>;

/// Where one server stands in a slice.
#[derive(Clone, Copy, Debug)]
pub(super) struct Row {
    /// The version that last changed it.
    pub(super) changed: u64,
    /// It is in the service; else it has left.
    pub(super) there: bool,
    /// It takes nothing new.
    pub(super) closed: bool,
    digest: u64,
}

/// One part of a service, the unit of subscriptions.
#[derive(Clone, Debug, Default)]
pub(super) struct Slice {
    pub(super) rows: BTreeMap<Name, Row>,
    /// Every row under the version that last changed it.
    pub(super) changes: BTreeSet<(u64, Name)>,
    /// Those of them that take nothing new or have left.
    pub(super) urgent: BTreeSet<(u64, Name)>,
    pub(super) version: u64,
    /// Who holds an older version may lack the leaving of a server that is forgotten here.
    pub(super) horizon: u64,
    /// The version of the list that last changed it.
    pub(super) source: ListVersion,
    pub(super) digest: u64,
    pub(super) subscribers: BTreeSet<u32>,
    /// Versions, oldest first, with those of the list and the batches that made them.
    pub(super) log: VecDeque<(u64, ListVersion, u64)>,
    /// Servers that are there.
    pub(super) size: usize,
    /// The batch that made the present version.
    pub(super) batch: u64,
    /// Forwarders as last told to all: an upper bound, in steps.
    pub(super) told: u32,
    /// The number of the last hint on any of its servers.
    pub(super) hinted: u64,
    /// All of its rows, deflated, as of a version and a hint.
    pub(super) packed: Option<((u64, u64), Vec<u8>)>,
}

impl Slice {
    /// A server is, or is no longer, in the service as of the present version.
    pub(super) fn put(&mut self, name: &Name, there: bool, closed: bool, digest: u64) {
        let row = Row { changed: self.version, there, closed, digest };
        if let Some(before) = self.rows.insert(name.clone(), row) {
            self.changes.remove(&(before.changed, name.clone()));
            self.urgent.remove(&(before.changed, name.clone()));
            self.digest = self.digest.wrapping_sub(before.digest);
            self.size -= usize::from(before.there);
        }
        self.changes.insert((self.version, name.clone()));
        if closed || !there {
            self.urgent.insert((self.version, name.clone()));
        }
        self.digest = self.digest.wrapping_add(digest);
        self.size += usize::from(there);
        self.forget();
    }

    /// Forgets the servers that left first, where too many are remembered.
    fn forget(&mut self) {
        while self.rows.len() - self.size > MAX_REMOVED.max(self.size) {
            let left = |(_, name): &&(u64, Name)| self.rows.get(name).is_some_and(|r| !r.there);
            let Some((changed, name)) = self.urgent.iter().find(left).cloned() else { return };
            self.rows.remove(&name);
            self.changes.remove(&(changed, name.clone()));
            self.urgent.remove(&(changed, name));
            self.horizon = self.horizon.max(changed);
        }
    }

    /// The present version was made from this version of the list.
    pub(super) fn log(&mut self, source: ListVersion, batch: u64) {
        self.source = source;
        self.log.push_back((self.version, source, batch));
        if self.log.len() > LOG {
            self.log.pop_front();
        }
    }

    /// The last version of this slice that was made from no later list than this.
    pub(super) fn made_from(&self, source: ListVersion) -> u64 {
        let older = |(_, from, _): &&(u64, ListVersion, u64)| *from <= source;
        let before = self.log.front().map_or(self.version, |(first, ..)| first.saturating_sub(1));
        self.log.iter().rev().find(older).map_or(before, |(version, ..)| *version)
    }

    /// A bound on its subscribers in steps of the double: only then is a new count worth telling to all.
    pub(super) fn step(&self) -> u32 {
        (self.subscribers.len() as u32).next_power_of_two()
    }

    /// Where far fewer use it than all were told, they are told so with its next change.
    pub(super) fn fewer(&mut self) {
        let step = self.step();
        if 8 * step <= self.told {
            self.told = 2 * step;
        }
    }
}

/// One service.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) name: Name,
    pub(super) slices: Vec<Slice>,
}

impl Service {
    /// Its versions begin after `first`, which is above those of any former service of this name.
    pub(super) fn new(name: Name, first: u64) -> Service {
        Service { name, slices: vec![Slice { version: first, horizon: first, ..Slice::default() }] }
    }

    /// Servers that it has.
    pub(super) fn size(&self) -> usize {
        self.slices.iter().map(|s| s.size).sum()
    }

    /// Whether it has neither servers nor subscribers, and is no longer being filled.
    pub(super) fn unused(&self) -> bool {
        self.size() == 0 && self.slices.iter().all(|s| s.subscribers.is_empty() && !s.log.is_empty())
    }

    /// The last batch of the list that changed it.
    pub(super) fn last_batch(&self) -> u64 {
        let last = self.slices.iter().filter_map(|s| s.log.back());
        last.map(|(_, _, batch)| *batch).max().unwrap_or(0)
    }

    /// The slice that has, or would have, a server of this name.
    pub(super) fn slice_of(&self, server: &str) -> usize {
        slice_index(server, self.slices.len())
    }

    /// How many slices it should have, where that is another number than it has.
    pub(super) fn other_number(&self) -> Option<usize> {
        let (size, number) = (self.size(), self.slices.len());
        let outside = size > MOST * number || (number > 1 && size < LEAST * number);
        let wanted = (size / WANTED).next_power_of_two().max(1);
        (outside && wanted != number).then_some(wanted)
    }

    /// Cuts it anew. All that was held of it is another slice's now; versions go on from the highest.
    pub(super) fn cut(&mut self, number: usize, source: ListVersion, batch: u64) {
        let version = 1 + self.slices.iter().map(|s| s.version).max().unwrap_or(0);
        let old = std::mem::replace(&mut self.slices, vec![Slice::default(); number]);
        for slice in &mut self.slices {
            (slice.version, slice.horizon) = (version, version - 1);
            slice.log(source, batch);
        }
        for (name, row) in old.into_iter().flat_map(|s| s.rows).filter(|(_, row)| row.there) {
            let k = slice_index(&name, number);
            self.slices[k].put(&name, true, row.closed, row.digest);
        }
    }

    /// The slice for a forwarder: of two by hash the one with fewer subscribers, among those that go on from the one that it
    /// holds, of so many, where it holds one.
    pub(super) fn choose(&self, forwarder: &str, (slice, slices): (usize, usize)) -> usize {
        let slices = if slices.is_power_of_two() { slices.min(self.slices.len()) } else { 1 };
        let (first, more) = (slice & (slices - 1), self.slices.len() / slices);
        let hash = stable_hash(stable_hash(12, forwarder.as_bytes()), self.name.as_bytes());
        let [a, b] = [hash, scramble(hash)].map(|h| first + slices * (h as usize & (more - 1)));
        if self.slices[b].subscribers.len() < self.slices[a].subscribers.len() {
            b
        } else {
            a
        }
    }
}
