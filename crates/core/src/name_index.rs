//! Many names in one piece of memory, each found by its hash: a walk over all tenants for each request would take most
//! of what may be added to one.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::Arc;

/// A place in the table that nobody has.
const NOBODY: u32 = u32::MAX;

/// Names in an order; copies share them.
#[derive(Clone, Debug, Default)]
pub struct NameIndex(Arc<Index>);

#[derive(Debug, Default)]
struct Index {
    listed: NameList,
    /// Places by hash; at least half of it is empty. Keyed anew in each process: names come from strangers.
    table: Vec<u32>,
    hasher: RandomState,
}

/// Names as they come in.
#[derive(Debug, Default)]
pub struct NameList {
    text: String,
    ends: Vec<usize>,
}

impl NameList {
    /// Adds the next one.
    pub fn push(&mut self, name: &str) {
        self.text.push_str(name);
        self.ends.push(self.text.len());
    }

    fn get(&self, place: usize) -> Option<&str> {
        let end = *self.ends.get(place)?;
        let start = place.checked_sub(1).map_or(0, |before| self.ends[before]);
        self.text.get(start..end)
    }

    /// All that have come, to be found by name. Of equal names the first one is found.
    pub fn index(mut self) -> NameIndex {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
        let count = self.ends.len().min(NOBODY as usize);
        let table = if count > 0 { vec![NOBODY; (2 * count).next_power_of_two()] } else { Vec::new() };
        let mut index = Index { listed: self, table, hasher: RandomState::new() };
        for place in 0..count {
            let name = index.listed.get(place).unwrap_or_default();
            if let (at, NOBODY, _) = index.slot(name.as_bytes()) {
                index.table[at] = place as u32;
            }
        }
        NameIndex(Arc::new(index))
    }
}

impl Index {
    /// Where a name's place stands in the table or would stand, its place, and how many were looked at.
    fn slot(&self, name: &[u8]) -> (usize, u32, usize) {
        let mask = self.table.len() - 1;
        let mut at = self.hasher.hash_one(name) as usize & mask;
        let mut looks = 1;
        loop {
            let place = self.table[at];
            let held = || self.listed.get(place as usize).is_some_and(|held| held.as_bytes() == name);
            if place == NOBODY || held() {
                return (at, place, looks);
            }
            at = (at + 1) & mask;
            looks += 1;
        }
    }
}

impl NameIndex {
    /// The place of a name in the order: the first, where several are equal.
    pub fn find(&self, name: &[u8]) -> Option<u32> {
        (!self.0.table.is_empty()).then(|| self.0.slot(name).1).filter(|place| *place != NOBODY)
    }

    /// NameIndex that are looked at to find this one, or to find that there is none.
    pub fn probes(&self, name: &[u8]) -> usize {
        if self.0.table.is_empty() {
            return 0;
        }
        self.0.slot(name).2
    }

    /// All names, in their order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.len()).filter_map(|place| self.0.listed.get(place))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.listed.ends.len()
    }

    /// There is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<S: AsRef<str>> FromIterator<S> for NameIndex {
    fn from_iter<I: IntoIterator<Item = S>>(names: I) -> Self {
        let mut listed = NameList::default();
        names.into_iter().for_each(|name| listed.push(name.as_ref()));
        listed.index()
    }
}
