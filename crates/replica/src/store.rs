//! One node's copy of all entries.

use crate::digest;
use crate::entry::{BanChange, Bans, Drain, Entry, Key};
use std::collections::BTreeMap;

/// Entries of each kind at most.
pub const MAX_ENTRIES: usize = 1024;
/// Digests that a copy is told apart by, each over the entries whose key falls to it.
pub const BUCKETS: usize = 64;

/// What became of an entry that was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Merged {
    /// This copy is another one now.
    pub changed: bool,
    /// This copy has what the other one lacks.
    pub has_more: bool,
}

/// Why an entry has no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CapacityError {
    /// The store is full, and no entry of the kind may be evicted.
    #[error("{MAX_ENTRIES} servers are out of use already")]
    TooManyEntries,
}

/// A copy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Store {
    entries: BTreeMap<Key, (Entry, u64)>,
    buckets: Vec<u64>,
}

fn bucket(key: &Key) -> usize {
    (digest(key.host().as_bytes()) % BUCKETS as u64) as usize
}

/// Tells two copies of an entry apart.
fn entry_digest(key: &Key, entry: &Entry) -> u64 {
    // Entries can always be written.
    digest(&postcard::to_allocvec(&(key, entry)).unwrap_or_default())
}

impl Store {
    /// All entries, the most urgent kind first.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter().map(|(key, (entry, _))| (key, entry))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// One of them.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key).map(|(entry, _)| entry)
    }

    /// Tells this copy of an entry from others; 0 where there is none.
    pub fn entry_digest(&self, key: &Key) -> u64 {
        self.entries.get(key).map_or(0, |(_, mark)| *mark)
    }

    /// The words on a server.
    pub fn bans(&self, host: &str) -> Option<&Bans> {
        match self.get(&Key::Ban(host.to_owned())) {
            Some(Entry::Bans(bans)) => Some(bans),
            _ => None,
        }
    }

    /// What the list says of a server, where it has ever drained.
    pub fn drain(&self, host: &str) -> Option<Drain> {
        match self.get(&Key::Drain(host.to_owned())) {
            Some(Entry::Drain(drain)) => Some(*drain),
            _ => None,
        }
    }

    /// Staff's word on a server, which answers all that are known here.
    pub fn set_ban(&mut self, host: &str, word: BanChange) -> Result<Key, CapacityError> {
        let key = Key::Ban(host.to_owned());
        let mut bans = self.bans(host).cloned().unwrap_or_default();
        bans.apply(word);
        self.make_room(&key)?;
        self.put(key.clone(), Entry::Bans(bans));
        Ok(key)
    }

    /// Takes in another copy of an entry.
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

    /// Room for a further entry: where there is none, that of a server in use goes, and of drains the one of the oldest list.
    fn make_room(&mut self, key: &Key) -> Result<(), CapacityError> {
        if self.entries.contains_key(key)
            || self.entries.keys().filter(|k| k.kind() == key.kind()).count() < MAX_ENTRIES
        {
            return Ok(());
        }
        let age = |entry: &Entry| match entry {
            Entry::Drain(drain) => Some((false, drain.version)),
            Entry::Bans(bans) => (!bans.is_banned()).then_some((true, 0)),
        };
        let like = self.entries.iter().filter(|(k, _)| k.kind() == key.kind());
        let oldest = like.filter_map(|(k, (e, _))| Some((age(e)?, k))).min().map(|(_, k)| k.clone());
        self.remove(&oldest.ok_or(CapacityError::TooManyEntries)?);
        Ok(())
    }

    fn put(&mut self, key: Key, entry: Entry) {
        let mark = entry_digest(&key, &entry);
        self.buckets.resize(BUCKETS, 0);
        let before = self.entries.insert(key.clone(), (entry, mark)).map_or(0, |(_, mark)| mark);
        // What is in no order needs a sum that knows none.
        self.buckets[bucket(&key)] ^= before ^ mark;
    }

    /// Forgets an entry.
    pub fn remove(&mut self, key: &Key) {
        if let Some((_, mark)) = self.entries.remove(key) {
            self.buckets[bucket(key)] ^= mark;
        }
    }

    /// Tells this copy from others.
    pub fn root_digest(&self) -> u64 {
        let bytes: Vec<u8> = self.buckets.iter().flat_map(|b| b.to_le_bytes()).collect();
        if self.entries.is_empty() {
            0
        } else {
            digest(&bytes)
        }
    }

    /// A digest of each bucket.
    pub fn bucket_digests(&self) -> Vec<u32> {
        (0..BUCKETS).map(|k| self.buckets.get(k).map_or(0, |b| (b ^ (b >> 32)) as u32)).collect()
    }

    /// The entries in buckets that another copy has otherwise.
    pub fn differing_keys<'a>(&'a self, theirs: &'a [u32]) -> impl Iterator<Item = &'a Key> {
        let mine = self.bucket_digests();
        self.entries.keys().filter(move |key| theirs.get(bucket(key)) != Some(&mine[bucket(key)]))
    }
}
