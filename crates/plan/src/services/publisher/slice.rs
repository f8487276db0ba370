//! The slices of a service, and the version that last changed each server.

use crate::services::list_version::ListVersion;
use crate::services::slice_index;
use crate::{scramble, stable_hash};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Mean number of servers per slice above which a service is divided again, so that a slice has about
/// [`TARGET_SERVERS`].
const MAX_MEAN_SERVERS: usize = 64;
/// Mean number of servers per slice below which a service with several slices is divided again.
const MIN_MEAN_SERVERS: usize = 12;
/// Mean number of servers per slice after a division.
const TARGET_SERVERS: usize = 32;
/// Maximum number of removed servers remembered per slice, for forwarders that reconnect. A slice with more servers
/// than this remembers as many as it has.
pub const MAX_REMOVED: usize = 64;
/// Number of versions whose list version is remembered, for forwarders that reconnect.
const MAX_LOGGED_VERSIONS: usize = 256;

/// A server's name, shared by all tables.
pub(super) type Name = Arc<str>;

/// State of one server in a slice.
#[derive(Clone, Copy, Debug)]
pub(super) struct Row {
    /// The version that last changed it.
    pub(super) changed_in: u64,
    /// Whether the server is in the service; otherwise it has been removed.
    pub(super) present: bool,
    /// Whether the server takes no new requests.
    pub(super) closed: bool,
    digest: u64,
}

/// A part of a service, the unit of subscription.
#[derive(Clone, Debug, Default)]
pub(super) struct Slice {
    pub(super) rows: BTreeMap<Name, Row>,
    /// All rows, ordered by the version that last changed them.
    pub(super) by_version: BTreeSet<(u64, Name)>,
    /// Those rows of `by_version` that are closed or removed.
    pub(super) urgent: BTreeSet<(u64, Name)>,
    pub(super) version: u64,
    /// A holder of a version older than this may lack the removal of a server that is no longer remembered.
    pub(super) removed_horizon: u64,
    /// The list version that last changed the slice.
    pub(super) list_version: ListVersion,
    pub(super) digest: u64,
    pub(super) subscribers: BTreeSet<u32>,
    /// Slice versions, oldest first, each with the list version and the batch that made it.
    pub(super) version_log: VecDeque<(u64, ListVersion, u64)>,
    /// Number of servers present.
    pub(super) size: usize,
    /// The batch that made the present version.
    pub(super) batch: u64,
    /// The announced subscriber count, an upper bound that changes in steps.
    pub(super) announced_subscribers: u32,
    /// The number of the last hint on any of the servers.
    pub(super) last_hint: u64,
    /// The compressed rows of all servers, with the version and hint number that they were made at.
    pub(super) compressed: Option<((u64, u64), Vec<u8>)>,
}

impl Slice {
    /// Sets a server's row as of the present version.
    pub(super) fn set_row(&mut self, name: &Name, present: bool, closed: bool, digest: u64) {
        let row = Row { changed_in: self.version, present, closed, digest };
        if let Some(before) = self.rows.insert(name.clone(), row) {
            self.by_version.remove(&(before.changed_in, name.clone()));
            self.urgent.remove(&(before.changed_in, name.clone()));
            self.digest = self.digest.wrapping_sub(before.digest);
            self.size -= usize::from(before.present);
        }
        self.by_version.insert((self.version, name.clone()));
        if closed || !present {
            self.urgent.insert((self.version, name.clone()));
        }
        self.digest = self.digest.wrapping_add(digest);
        self.size += usize::from(present);
        self.evict_removed();
    }

    /// Forgets the servers that were removed first when too many are remembered.
    fn evict_removed(&mut self) {
        while self.rows.len() - self.size > MAX_REMOVED.max(self.size) {
            let is_removed = |(_, name): &&(u64, Name)| self.rows.get(name).is_some_and(|r| !r.present);
            let Some((changed, name)) = self.urgent.iter().find(is_removed).cloned() else { return };
            self.rows.remove(&name);
            self.by_version.remove(&(changed, name.clone()));
            self.urgent.remove(&(changed, name));
            self.removed_horizon = self.removed_horizon.max(changed);
        }
    }

    /// Records the list version and the batch that made the present version.
    pub(super) fn log_version(&mut self, source: ListVersion, batch: u64) {
        self.list_version = source;
        self.version_log.push_back((self.version, source, batch));
        if self.version_log.len() > MAX_LOGGED_VERSIONS {
            self.version_log.pop_front();
        }
    }

    /// Returns the last slice version made from this list version or an earlier one.
    pub(super) fn last_version_from(&self, source: ListVersion) -> u64 {
        let not_later = |(_, from, _): &&(u64, ListVersion, u64)| *from <= source;
        let before = self.version_log.front().map_or(self.version, |(first, ..)| first.saturating_sub(1));
        self.version_log.iter().rev().find(not_later).map_or(before, |(version, ..)| *version)
    }

    /// Returns an upper bound on the number of subscribers that changes in powers of two, so that small changes
    /// need not be announced.
    pub(super) fn subscriber_bound(&self) -> u32 {
        (self.subscribers.len() as u32).next_power_of_two()
    }

    /// Lowers the announced subscriber count if it is far too high. It is sent with the next change.
    pub(super) fn lower_announced_count(&mut self) {
        let bound = self.subscriber_bound();
        if 8 * bound <= self.announced_subscribers {
            self.announced_subscribers = 2 * bound;
        }
    }
}

/// A service and its slices.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) name: Name,
    pub(super) slices: Vec<Slice>,
}

impl Service {
    /// Creates a service whose versions begin after `first`, which must be above those of any former service of
    /// this name.
    pub(super) fn new(name: Name, first: u64) -> Service {
        Service { name, slices: vec![Slice { version: first, removed_horizon: first, ..Slice::default() }] }
    }

    /// Returns the number of servers.
    pub(super) fn size(&self) -> usize {
        self.slices.iter().map(|s| s.size).sum()
    }

    /// Returns whether the service has neither servers nor subscribers and is not being filled for the first time.
    pub(super) fn is_unused(&self) -> bool {
        self.size() == 0 && self.slices.iter().all(|s| s.subscribers.is_empty() && !s.version_log.is_empty())
    }

    /// Returns the last batch that changed the service.
    pub(super) fn last_batch(&self) -> u64 {
        let last = self.slices.iter().filter_map(|s| s.version_log.back());
        last.map(|(_, _, batch)| *batch).max().unwrap_or(0)
    }

    /// Returns the index of the slice that holds, or would hold, this server.
    pub(super) fn slice_of(&self, server: &str) -> usize {
        slice_index(server, self.slices.len())
    }

    /// Returns the number of slices that the service should have, if it differs from the present number.
    pub(super) fn desired_slice_count(&self) -> Option<usize> {
        let (size, number) = (self.size(), self.slices.len());
        let out_of_range =
            size > MAX_MEAN_SERVERS * number || (number > 1 && size < MIN_MEAN_SERVERS * number);
        let desired = (size / TARGET_SERVERS).next_power_of_two().max(1);
        (out_of_range && desired != number).then_some(desired)
    }

    /// Divides the service into `number` slices. Former slices become invalid; versions continue from the highest
    /// one.
    pub(super) fn reslice(&mut self, number: usize, source: ListVersion, batch: u64) {
        let version = 1 + self.slices.iter().map(|s| s.version).max().unwrap_or(0);
        let old = std::mem::replace(&mut self.slices, vec![Slice::default(); number]);
        for slice in &mut self.slices {
            (slice.version, slice.removed_horizon) = (version, version - 1);
            slice.log_version(source, batch);
        }
        for (name, row) in old.into_iter().flat_map(|s| s.rows).filter(|(_, row)| row.present) {
            let k = slice_index(&name, number);
            self.slices[k].set_row(&name, true, row.closed, row.digest);
        }
    }

    /// Chooses a forwarder's slice: the less subscribed one of two picked by hash, among the slices that descend
    /// from the one the forwarder holds (`slice` of `slices`), if it holds one.
    pub(super) fn choose_slice(&self, forwarder: &str, (slice, slices): (usize, usize)) -> usize {
        let slices = if slices.is_power_of_two() { slices.min(self.slices.len()) } else { 1 };
        let (first, candidates) = (slice & (slices - 1), self.slices.len() / slices);
        let hash = stable_hash(stable_hash(12, forwarder.as_bytes()), self.name.as_bytes());
        let [a, b] = [hash, scramble(hash)].map(|h| first + slices * (h as usize & (candidates - 1)));
        if self.slices[b].subscribers.len() < self.slices[a].subscribers.len() {
            b
        } else {
            a
        }
    }
}
