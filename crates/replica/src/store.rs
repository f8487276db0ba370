//! One node's copy of all entries.

use crate::digest;
use crate::entry::{BanChange, Bans, Drain, Entry, Key};
use std::collections::BTreeMap;

/// Maximum number of entries of each kind.
pub const MAX_ENTRIES: usize = 1024;
/// Number of buckets. A key belongs to a bucket by its hash; copies are compared by the digests of their buckets.
pub const BUCKETS: usize = 64;

/// The result of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Merged {
    /// Whether this copy changed.
    pub changed: bool,
    /// Whether this copy has something that the other one lacks.
    pub has_more: bool,
}

/// Why an entry cannot be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CapacityError {
    /// The store is full, and no entry of the kind may be evicted.
    #[error("{MAX_ENTRIES} servers are out of use already")]
    TooManyEntries,
}

/// A copy of all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Store {
    entries: BTreeMap<Key, (Entry, u64)>,
    buckets: Vec<u64>,
}

fn bucket(key: &Key) -> usize {
    (digest(key.host().as_bytes()) % BUCKETS as u64) as usize
}

/// Digest of an entry.
fn entry_digest(key: &Key, entry: &Entry) -> u64 {
    // Encoding entries cannot fail.
    digest(&postcard::to_allocvec(&(key, entry)).unwrap_or_default())
}

impl Store {
    /// All entries, the most urgent kind first.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter().map(|(key, (entry, _))| (key, entry))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry with this key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key).map(|(entry, _)| entry)
    }

    /// Digest of the entry with this key; 0 if there is none.
    pub fn entry_digest(&self, key: &Key) -> u64 {
        self.entries.get(key).map_or(0, |(_, digest_value)| *digest_value)
    }

    /// The ban state of a server.
    pub fn bans(&self, host: &str) -> Option<&Bans> {
        match self.get(&Key::Ban(host.to_owned())) {
            Some(Entry::Bans(bans)) => Some(bans),
            _ => None,
        }
    }

    /// The drain state of a server, if it has ever drained.
    pub fn drain(&self, host: &str) -> Option<Drain> {
        match self.get(&Key::Drain(host.to_owned())) {
            Some(Entry::Drain(drain)) => Some(*drain),
            _ => None,
        }
    }

    /// Applies an operator's ban or unban, which replaces all changes seen here.
    pub fn set_ban(&mut self, host: &str, change: BanChange) -> Result<Key, CapacityError> {
        let key = Key::Ban(host.to_owned());
        let mut bans = self.bans(host).cloned().unwrap_or_default();
        bans.apply(change);
        self.make_room(&key)?;
        self.put(key.clone(), Entry::Bans(bans));
        Ok(key)
    }

    /// Merges another copy of an entry.
    pub fn merge(
        &mut self,
        key: &Key,
        theirs: Entry,
        newest_by_clock: bool,
    ) -> Result<Merged, CapacityError> {
        let Some((mine, _)) = self.entries.get(key) else {
            self.make_room(key)?;
            self.put(key.clone(), theirs);
            return Ok(Merged { changed: true, has_more: false });
        };
        let mut merged = mine.clone();
        let changed = merged.merge(&theirs, newest_by_clock);
        let has_more = merged != theirs;
        if changed {
            self.put(key.clone(), merged);
        }
        Ok(Merged { changed, has_more })
    }

    /// Makes room for a new entry if the kind is full: evicts an unbanned server, or the drain of the oldest list
    /// version. A ban is never evicted.
    fn make_room(&mut self, key: &Key) -> Result<(), CapacityError> {
        if self.entries.contains_key(key)
            || self.entries.keys().filter(|k| k.kind() == key.kind()).count() < MAX_ENTRIES
        {
            return Ok(());
        }
        let eviction_order = |entry: &Entry| match entry {
            Entry::Drain(drain) => Some((false, drain.version)),
            Entry::Bans(bans) => (!bans.is_banned()).then_some((true, 0)),
        };
        let same_kind = self.entries.iter().filter(|(k, _)| k.kind() == key.kind());
        let oldest =
            same_kind.filter_map(|(k, (e, _))| Some((eviction_order(e)?, k))).min().map(|(_, k)| k.clone());
        self.remove(&oldest.ok_or(CapacityError::TooManyEntries)?);
        Ok(())
    }

    fn put(&mut self, key: Key, entry: Entry) {
        let digest_value = entry_digest(&key, &entry);
        self.buckets.resize(BUCKETS, 0);
        let before = self
            .entries
            .insert(key.clone(), (entry, digest_value))
            .map_or(0, |(_, digest_value)| digest_value);
        // XOR does not depend on the order in which entries were added.
        self.buckets[bucket(&key)] ^= before ^ digest_value;
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &Key) {
        if let Some((_, digest_value)) = self.entries.remove(key) {
            self.buckets[bucket(key)] ^= digest_value;
        }
    }

    /// Digest of the whole store.
    pub fn root_digest(&self) -> u64 {
        let bytes: Vec<u8> = self.buckets.iter().flat_map(|b| b.to_le_bytes()).collect();
        if self.entries.is_empty() {
            0
        } else {
            digest(&bytes)
        }
    }

    /// The digest of each bucket.
    pub fn bucket_digests(&self) -> Vec<u32> {
        (0..BUCKETS).map(|k| self.buckets.get(k).map_or(0, |b| (b ^ (b >> 32)) as u32)).collect()
    }

    /// The keys of all entries in buckets whose digests differ.
    pub fn differing_keys<'a>(&'a self, theirs: &'a [u32]) -> impl Iterator<Item = &'a Key> {
        let mine = self.bucket_digests();
        self.entries.keys().filter(move |key| theirs.get(bucket(key)) != Some(&mine[bucket(key)]))
    }
}
