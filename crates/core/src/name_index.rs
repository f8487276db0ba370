//! A compact index of many names, found by hash. A linear search over all tenants for each request would use up most of
//! the latency that the node may add to one.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::Arc;

/// Marks an empty slot of the hash table.
const EMPTY: u32 = u32::MAX;

/// An ordered list of names that can be searched by name; clones share the data.
#[derive(Clone, Debug, Default)]
pub struct NameIndex(Arc<Index>);

#[derive(Debug, Default)]
struct Index {
    names: NameList,
    /// Positions by hash, with linear probing; at least half of the slots are empty. The hash key is random in each
    /// process, since names come from untrusted sources.
    table: Vec<u32>,
    hasher: RandomState,
}

/// Builds a [`NameIndex`] from names in order.
#[derive(Debug, Default)]
pub struct NameList {
    text: String,
    ends: Vec<usize>,
}

impl NameList {
    /// Appends a name.
    pub fn push(&mut self, name: &str) {
        self.text.push_str(name);
        self.ends.push(self.text.len());
    }

    fn get(&self, position: usize) -> Option<&str> {
        let end = *self.ends.get(position)?;
        let start = position.checked_sub(1).map_or(0, |previous| self.ends[previous]);
        self.text.get(start..end)
    }

    /// Builds the index. Of equal names the first one is found.
    pub fn index(mut self) -> NameIndex {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
        let count = self.ends.len().min(EMPTY as usize);
        let table = if count > 0 { vec![EMPTY; (2 * count).next_power_of_two()] } else { Vec::new() };
        let mut index = Index { names: self, table, hasher: RandomState::new() };
        for position in 0..count {
            let name = index.names.get(position).unwrap_or_default();
            if let (at, EMPTY, _) = index.slot(name.as_bytes()) {
                index.table[at] = position as u32;
            }
        }
        NameIndex(Arc::new(index))
    }
}

impl Index {
    /// The table slot that holds a name or would hold it, the name's position, and the number of slots probed.
    fn slot(&self, name: &[u8]) -> (usize, u32, usize) {
        let mask = self.table.len() - 1;
        let mut at = self.hasher.hash_one(name) as usize & mask;
        let mut probes = 1;
        loop {
            let position = self.table[at];
            let matches = || self.names.get(position as usize).is_some_and(|other| other.as_bytes() == name);
            if position == EMPTY || matches() {
                return (at, position, probes);
            }
            at = (at + 1) & mask;
            probes += 1;
        }
    }
}

impl NameIndex {
    /// The position of a name in the list: the first one if several are equal.
    pub fn find(&self, name: &[u8]) -> Option<u32> {
        (!self.0.table.is_empty()).then(|| self.0.slot(name).1).filter(|position| *position != EMPTY)
    }

    /// The number of table slots probed to find this name or its absence.
    pub fn probes(&self, name: &[u8]) -> usize {
        if self.0.table.is_empty() {
            return 0;
        }
        self.0.slot(name).2
    }

    /// All names, in order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.len()).filter_map(|position| self.0.names.get(position))
    }

    /// The number of names.
    pub fn len(&self) -> usize {
        self.0.names.ends.len()
    }

    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<S: AsRef<str>> FromIterator<S> for NameIndex {
    fn from_iter<I: IntoIterator<Item = S>>(names: I) -> Self {
        let mut list = NameList::default();
        names.into_iter().for_each(|name| list.push(name.as_ref()));
        list.index()
    }
}
