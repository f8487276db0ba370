//! Which boxes belong to which pool: predicates over what the list says of a box.

use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::IpAddr;
use wildmatch::WildMatch;

/// Where a box stands while a shift is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Pool {
    /// In the pool that traffic leaves.
    Old,
    /// In the pool that traffic goes to.
    New,
    /// In neither: it takes requests of either share, as ever, and is not judged.
    Outside,
}

/// What is said of a box.
#[derive(Clone, Copy, Debug)]
pub struct ServerLabels<'a> {
    /// Its name.
    pub id: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its machine kind.
    pub kind: &'a str,
    /// What it runs, where that is said.
    pub version: &'a str,
    /// Where it listens.
    pub address: Option<IpAddr>,
    /// Whatever else is said of it.
    pub metadata: &'a BTreeMap<String, String>,
}

/// Conditions on a box. All that are named have to hold; of the patterns of one, any.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Predicate {
    /// Patterns of names, with `*` and `?`.
    pub ids: Vec<WildMatch>,
    /// Patterns of zones.
    pub zones: Vec<WildMatch>,
    /// Patterns of machine kinds.
    pub kinds: Vec<WildMatch>,
    /// Patterns of versions.
    pub versions: Vec<WildMatch>,
    /// Networks; a box whose address is not known is in none.
    pub networks: Vec<IpNet>,
    /// Patterns of metadata, by key; a box without the key does not match.
    pub metadata: BTreeMap<String, Vec<WildMatch>>,
}

impl Predicate {
    /// Names no condition, so that it would hold for every box.
    pub fn is_empty(&self) -> bool {
        let patterns = [&self.ids, &self.zones, &self.kinds, &self.versions];
        patterns.iter().all(|p| p.is_empty()) && self.networks.is_empty() && self.metadata.is_empty()
    }

    /// Whether all of its conditions hold.
    pub fn matches(&self, labels: &ServerLabels<'_>) -> bool {
        let any = |patterns: &[WildMatch], text: &str| {
            patterns.is_empty() || patterns.iter().any(|p| p.matches(text))
        };
        let inside = |a: IpAddr| self.networks.iter().any(|n| n.contains(&a));
        any(&self.ids, labels.id)
            && any(&self.zones, labels.zone)
            && any(&self.kinds, labels.kind)
            && any(&self.versions, labels.version)
            && (self.networks.is_empty() || labels.address.is_some_and(inside))
            && self
                .metadata
                .iter()
                .all(|(key, patterns)| labels.metadata.get(key).is_some_and(|text| any(patterns, text)))
    }
}

/// The two pools of a shift.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pools {
    /// The pool that traffic leaves.
    pub old: Predicate,
    /// The pool that traffic goes to.
    pub new: Predicate,
}

/// Where a box was found, and whether both predicates hold for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolMatch {
    /// Its pool.
    pub pool: Pool,
    /// Both hold: it is taken for an old one, which is known to serve, but nothing that it does counts as evidence.
    pub ambiguous: bool,
}

impl Pools {
    /// The pool of a box. One that changes its pool under way is of its new pool for all that is sent from then on; what
    /// was sent before counts for the pool it had then.
    pub fn classify(&self, labels: &ServerLabels<'_>) -> PoolMatch {
        match (self.old.matches(labels), self.new.matches(labels)) {
            (true, true) => PoolMatch { pool: Pool::Old, ambiguous: true },
            (true, false) => PoolMatch { pool: Pool::Old, ambiguous: false },
            (false, true) => PoolMatch { pool: Pool::New, ambiguous: false },
            (false, false) => PoolMatch { pool: Pool::Outside, ambiguous: false },
        }
    }
}

/// The pools of all boxes that the list names, kept as it changes. Bounded by the list.
#[derive(Clone, Debug, Default)]
pub struct PoolMembership {
    boxes: BTreeMap<String, PoolMatch>,
    /// Boxes that changed their pool under way.
    pub pool_changes: u64,
}

impl PoolMembership {
    /// A box is listed, or listed anew; its pool.
    pub fn insert(&mut self, pools: &Pools, labels: &ServerLabels<'_>) -> PoolMatch {
        let found = pools.classify(labels);
        match self.boxes.get_mut(labels.id) {
            Some(before) => {
                self.pool_changes += u64::from(before.pool != found.pool);
                *before = found;
            }
            None => drop(self.boxes.insert(labels.id.to_owned(), found)),
        }
        found
    }

    /// A box has left the list.
    pub fn remove(&mut self, id: &str) {
        self.boxes.remove(id);
    }

    /// Where a box stands; one that is not listed stands outside.
    pub fn find(&self, id: &str) -> PoolMatch {
        self.boxes.get(id).copied().unwrap_or(PoolMatch { pool: Pool::Outside, ambiguous: false })
    }

    /// The boxes of a pool.
    pub fn servers_in(&self, pool: Pool) -> impl Iterator<Item = &str> {
        self.boxes.iter().filter(move |(_, f)| f.pool == pool).map(|(id, _)| id.as_str())
    }

    /// Boxes that both predicates hold for, by name.
    pub fn ambiguous_servers(&self) -> impl Iterator<Item = &str> {
        self.boxes.iter().filter(|(_, f)| f.ambiguous).map(|(id, _)| id.as_str())
    }

    /// The first box that two shifts would both move: such shifts may not be on at once. Boxes outside either are no
    /// matter.
    pub fn shared_server<'a>(&'a self, other: &PoolMembership) -> Option<&'a str> {
        let moved = |f: &PoolMatch| f.pool != Pool::Outside;
        let both = |(id, f): &(&String, &PoolMatch)| moved(f) && other.boxes.get(*id).is_some_and(moved);
        self.boxes.iter().find(both).map(|(id, _)| id.as_str())
    }
}
