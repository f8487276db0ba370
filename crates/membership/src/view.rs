//! The roster of possible members, the views of current members, and the change from one view to the next.

use crate::{stable_hash, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Index of a member in the roster.
pub type MemberId = u16;

/// Maximum size of a roster.
pub const MAX_MEMBERS: usize = 300;
/// Maximum length of a member's name in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum size of the council, which decides on the next view.
pub const COUNCIL_SIZE: usize = 15;
/// Number of observers of each member.
pub const OBSERVERS_PER_MEMBER: usize = 5;
/// Maximum number of members that join in one cut, which has to fit into a datagram.
pub const MAX_JOINS: usize = 16;

/// Why a list of names is not a valid roster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// No names, or too many.
    #[error("{0} members, allowed are 1 to {MAX_MEMBERS}")]
    Size(usize),
    /// A name is empty or too long.
    #[error("the name `{0}` does not have 1 to {MAX_NAME_BYTES} bytes")]
    Name(String),
    /// A name is listed twice.
    #[error("the name `{0}` is listed twice")]
    Duplicate(String),
}

/// The names of all possible members, which has to be the same on every node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    names: Vec<String>,
}

impl Roster {
    /// Creates a roster from names in any order.
    pub fn new(mut names: Vec<String>) -> Result<Roster, RosterError> {
        if names.is_empty() || names.len() > MAX_MEMBERS {
            return Err(RosterError::Size(names.len()));
        }
        if let Some(invalid) = names.iter().find(|n| n.is_empty() || n.len() > MAX_NAME_BYTES) {
            return Err(RosterError::Name(invalid.clone()));
        }
        names.sort_unstable();
        match names.windows(2).find(|w| w[0] == w[1]) {
            Some(duplicate) => Err(RosterError::Duplicate(duplicate[0].clone())),
            None => Ok(Roster { names }),
        }
    }

    /// Number of names.
    #[allow(clippy::len_without_is_empty, reason = "never empty")]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// The ID of the member with this name.
    pub fn id_of(&self, name: &str) -> Option<MemberId> {
        let at = self.names.binary_search_by(|n| n.as_str().cmp(name)).ok()?;
        MemberId::try_from(at).ok()
    }

    /// The name of a member; empty if there is no such ID.
    pub fn name(&self, member: MemberId) -> &str {
        self.names.get(usize::from(member)).map_or("", String::as_str)
    }

    /// All IDs.
    pub fn ids(&self) -> impl Iterator<Item = MemberId> {
        0..self.names.len() as MemberId
    }

    /// Digest of the roster, sent in every datagram.
    pub fn tag(&self) -> u16 {
        self.names.iter().fold(0, |tag, name| stable_hash(tag ^ stable_text_hash(name))) as u16
    }
}

/// A hash of a text that is the same in every process.
pub fn stable_text_hash(text: &str) -> u64 {
    text.bytes().fold(text.len() as u64, |sum, b| stable_hash(sum ^ u64::from(b)))
}

/// The change from one view to the next (a "cut", as in Rapid).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// Members that are removed.
    pub removed: MemberSet,
    /// Members that join, with their incarnations. An earlier incarnation under the same ID is removed by it.
    pub joined: Vec<(MemberId, [u8; 4])>,
}

impl Cut {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.joined.is_empty()
    }
}

/// A set of members, as a bitmap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet(Vec<u8>);

impl MemberSet {
    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|b| *b == 0)
    }

    /// Whether the set contains this member.
    pub fn contains(&self, member: MemberId) -> bool {
        self.0.get(usize::from(member) / 8).is_some_and(|b| b & (1 << (member % 8)) != 0)
    }

    /// All members of the set.
    pub fn iter(&self) -> impl Iterator<Item = MemberId> + '_ {
        (0..self.0.len() * 8).map(|k| k as MemberId).filter(|member| self.contains(*member))
    }
}

impl FromIterator<MemberId> for MemberSet {
    fn from_iter<I: IntoIterator<Item = MemberId>>(ids: I) -> Self {
        let mut bits = Vec::new();
        for member in ids.into_iter().filter(|s| usize::from(*s) < MAX_MEMBERS) {
            let at = usize::from(member) / 8;
            if bits.len() <= at {
                bits.resize(at + 1, 0u8);
            }
            bits[at] |= 1 << (member % 8);
        }
        MemberSet(bits)
    }
}

/// The observers of each member.
pub type Observers = BTreeMap<MemberId, BTreeSet<MemberId>>;

/// The members at one time, as agreed by the council.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Increases by one with every change.
    pub number: u64,
    /// Distinguishes views that descend from different bootstraps.
    pub lineage: u16,
    /// Whether the lineage has ever contained the whole roster, at its bootstrap or later. At most one lineage can.
    pub is_primary: bool,
    /// The members and their incarnations.
    pub members: BTreeMap<MemberId, Incarnation>,
}

impl View {
    /// The first view of these members.
    pub fn bootstrap(members: BTreeMap<MemberId, Incarnation>, roster: usize) -> View {
        let lineage = digest(&members) as u16;
        View { number: 1, lineage, is_primary: members.len() == roster, members }
    }

    /// The view that follows from this cut.
    pub fn next(&self, cut: &Cut, roster: usize) -> View {
        let mut members = self.members.clone();
        members.retain(|member, _| !cut.removed.contains(*member));
        members.extend(
            cut.joined
                .iter()
                .map(|(member, incarnation)| (*member, Incarnation::from_le_bytes(*incarnation))),
        );
        let is_primary = self.is_primary || members.len() == roster;
        View { number: self.number + 1, lineage: self.lineage, is_primary, members }
    }

    /// Whether this incarnation of the member is in the view.
    pub fn contains(&self, member: MemberId, incarnation: Incarnation) -> bool {
        self.members.get(&member) == Some(&incarnation)
    }

    /// The members that decide on the next view. The first one breaks ties.
    pub fn council(&self) -> Vec<MemberId> {
        let mut ids: Vec<MemberId> = self.members.keys().copied().collect();
        ids.sort_unstable_by_key(|s| stable_hash(u64::from(*s)));
        ids.truncate(COUNCIL_SIZE);
        ids
    }

    /// The observers of each member. As in Rapid (Suresh et al., ATC 2018), the members are arranged in rings of
    /// different orders; a member is observed by its successor in each ring.
    pub fn observers(&self) -> Observers {
        let mut ids: Vec<MemberId> = self.members.keys().copied().collect();
        let mut observers: Observers = ids.iter().map(|s| (*s, BTreeSet::new())).collect();
        let wanted = OBSERVERS_PER_MEMBER.min(ids.len().saturating_sub(1));
        for ring in 0..4 * OBSERVERS_PER_MEMBER as u64 {
            ids.sort_unstable_by_key(|s| stable_hash(stable_hash(ring) ^ u64::from(*s)));
            for (k, member) in ids.iter().enumerate() {
                let next = ids[(k + 1) % ids.len()];
                let observing = observers.entry(*member).or_default();
                if next != *member && observing.len() < wanted {
                    observing.insert(next);
                }
            }
        }
        observers
    }
}

/// Digest of a set of members and their incarnations.
pub fn digest(members: &BTreeMap<MemberId, Incarnation>) -> u64 {
    members.iter().fold(0, |sum, (member, incarnation)| {
        stable_hash(sum ^ stable_hash(u64::from(*member)) ^ u64::from(*incarnation))
    })
}

/// Whether the council members for which `agree` holds are a quorum: more than half, or half including the first.
pub fn quorum(council: &[MemberId], agree: impl Fn(MemberId) -> bool) -> bool {
    let count = council.iter().filter(|s| agree(**s)).count();
    2 * count > council.len() || (2 * count == council.len() && council.first().is_some_and(|s| agree(*s)))
}
