//! Assigns servers to pools by predicates over their labels.

use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::IpAddr;
use wildmatch::WildMatch;

/// The pool of a server during a shift.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Pool {
    /// In the pool that traffic leaves.
    Old,
    /// In the pool that traffic goes to.
    New,
    /// In neither pool: takes requests of either share and is not compared.
    Outside,
}

/// The properties of a server that predicates match.
#[derive(Clone, Copy, Debug)]
pub struct ServerLabels<'a> {
    /// Its name.
    pub id: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its machine kind.
    pub kind: &'a str,
    /// Its software version, if known.
    pub version: &'a str,
    /// Where it listens.
    pub address: Option<IpAddr>,
    /// Its metadata.
    pub metadata: &'a BTreeMap<String, String>,
}

/// Conditions on a server. All given conditions must match; of the patterns of one condition, any.
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
    /// Networks; a server whose address is not known is in none.
    pub networks: Vec<IpNet>,
    /// Patterns of metadata, by key; a server without the key does not match.
    pub metadata: BTreeMap<String, Vec<WildMatch>>,
}

impl Predicate {
    /// Whether there is no condition, so that every server would match.
    pub fn is_empty(&self) -> bool {
        let patterns = [&self.ids, &self.zones, &self.kinds, &self.versions];
        patterns.iter().all(|p| p.is_empty()) && self.networks.is_empty() && self.metadata.is_empty()
    }

    /// Whether all conditions match.
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

/// A server's pool, and whether both predicates match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolMatch {
    /// Its pool.
    pub pool: Pool,
    /// Both match: the server counts as an old one, which is known to work, but its outcomes are no evidence.
    pub ambiguous: bool,
}

impl Pools {
    /// Classifies a server. If its pool changes, the new one applies to later attempts; earlier ones count for the pool they
    /// were sent to.
    pub fn classify(&self, labels: &ServerLabels<'_>) -> PoolMatch {
        match (self.old.matches(labels), self.new.matches(labels)) {
            (true, true) => PoolMatch { pool: Pool::Old, ambiguous: true },
            (true, false) => PoolMatch { pool: Pool::Old, ambiguous: false },
            (false, true) => PoolMatch { pool: Pool::New, ambiguous: false },
            (false, false) => PoolMatch { pool: Pool::Outside, ambiguous: false },
        }
    }
}

/// The pools of all listed servers.
#[derive(Clone, Debug, Default)]
pub struct PoolMembership {
    boxes: BTreeMap<String, PoolMatch>,
    /// Number of changes of a server's pool.
    pub pool_changes: u64,
}

impl PoolMembership {
    /// Adds or updates a listed server and returns its pool.
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

    /// Removes a server.
    pub fn remove(&mut self, id: &str) {
        self.boxes.remove(id);
    }

    /// A server's pool; `Outside` if it is not listed.
    pub fn find(&self, id: &str) -> PoolMatch {
        self.boxes.get(id).copied().unwrap_or(PoolMatch { pool: Pool::Outside, ambiguous: false })
    }

    /// The servers of a pool.
    pub fn servers_in(&self, pool: Pool) -> impl Iterator<Item = &str> {
        self.boxes.iter().filter(move |(_, f)| f.pool == pool).map(|(id, _)| id.as_str())
    }

    /// Servers that both predicates match, by name.
    pub fn ambiguous_servers(&self) -> impl Iterator<Item = &str> {
        self.boxes.iter().filter(|(_, f)| f.ambiguous).map(|(id, _)| id.as_str())
    }

    /// The first server that two shifts would both move; such shifts cannot run at once.
    pub fn shared_server<'a>(&'a self, other: &PoolMembership) -> Option<&'a str> {
        let moved = |f: &PoolMatch| f.pool != Pool::Outside;
        let both = |(id, f): &(&String, &PoolMatch)| moved(f) && other.boxes.get(*id).is_some_and(moved);
        self.boxes.iter().find(both).map(|(id, _)| id.as_str())
    }
}
