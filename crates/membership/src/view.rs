//! Who may be a member, who is one, and how one view becomes the next.

use crate::{stable_hash, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A place in the roster.
pub type MemberId = u16;

/// Members of an installation at most.
pub const MAX_MEMBERS: usize = 300;
/// Bytes of a name at most.
pub const MAX_NAME_BYTES: usize = 64;
/// Members that decide on the next view: all, or this many.
pub const COUNCIL: usize = 15;
/// Each member is watched by this many others.
pub const OBSERVERS: usize = 5;
/// Members that one cut brings in at most: it has to fit into a datagram.
pub const MAX_JOINS: usize = 16;

/// Why a list of names is no roster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// Nobody, or too many.
    #[error("{0} members, where 1 to {MAX_MEMBERS} are possible")]
    Size(usize),
    /// A name that cannot be one.
    #[error("the name `{0}` has to have 1 to {MAX_NAME_BYTES} bytes")]
    Name(String),
    /// A name that stands twice.
    #[error("the name `{0}` stands twice")]
    Duplicate(String),
}

/// All that may be members, the same everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    names: Vec<String>,
}

impl Roster {
    /// Of these names, in any order.
    pub fn new(mut names: Vec<String>) -> Result<Roster, RosterError> {
        if names.is_empty() || names.len() > MAX_MEMBERS {
            return Err(RosterError::Size(names.len()));
        }
        if let Some(bad) = names.iter().find(|n| n.is_empty() || n.len() > MAX_NAME_BYTES) {
            return Err(RosterError::Name(bad.clone()));
        }
        names.sort_unstable();
        match names.windows(2).find(|w| w[0] == w[1]) {
            Some(twice) => Err(RosterError::Duplicate(twice[0].clone())),
            None => Ok(Roster { names }),
        }
    }

    /// How many names.
    #[allow(clippy::len_without_is_empty, reason = "never empty")]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// The seat of a name.
    pub fn id_of(&self, name: &str) -> Option<MemberId> {
        let at = self.names.binary_search_by(|n| n.as_str().cmp(name)).ok()?;
        MemberId::try_from(at).ok()
    }

    /// The name on a seat; empty where there is no such seat.
    pub fn name(&self, member: MemberId) -> &str {
        self.names.get(usize::from(member)).map_or("", String::as_str)
    }

    /// All seats.
    pub fn ids(&self) -> impl Iterator<Item = MemberId> {
        0..self.names.len() as MemberId
    }

    /// Tells rosters apart.
    pub fn tag(&self) -> u16 {
        self.names.iter().fold(0, |tag, name| stable_hash(tag ^ stable_text_hash(name))) as u16
    }
}

/// A number for a text.
pub fn stable_text_hash(text: &str) -> u64 {
    text.bytes().fold(text.len() as u64, |sum, b| stable_hash(sum ^ u64::from(b)))
}

/// What changes from one view to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// MemberSet that leave, a bit each.
    pub removed: MemberSet,
    /// MemberSet that are taken, with the incarnation that takes them; another one that had the seat is gone with it.
    pub joined: Vec<(MemberId, [u8; 4])>,
}

impl Cut {
    /// Nothing changes.
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.joined.is_empty()
    }
}

/// A set of seats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet(Vec<u8>);

impl MemberSet {
    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|b| *b == 0)
    }

    /// Whether it holds this one.
    pub fn contains(&self, member: MemberId) -> bool {
        self.0.get(usize::from(member) / 8).is_some_and(|b| b & (1 << (member % 8)) != 0)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = MemberId> + '_ {
        (0..self.0.len() * 8).map(|k| k as MemberId).filter(|member| self.contains(*member))
    }
}

impl FromIterator<MemberId> for MemberSet {
    fn from_iter<I: IntoIterator<Item = MemberId>>(seats: I) -> Self {
        let mut bits = Vec::new();
        for member in seats.into_iter().filter(|s| usize::from(*s) < MAX_MEMBERS) {
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

/// Who is a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Only grows.
    pub number: u64,
    /// Tells apart what was founded apart.
    pub lineage: u16,
    /// It goes back to a founding by all of the roster, or has held all of it: there is no other that has.
    pub is_primary: bool,
    /// The seats that are taken, and the incarnation on each.
    pub members: BTreeMap<MemberId, Incarnation>,
}

impl View {
    /// The first view of these.
    pub fn bootstrap(members: BTreeMap<MemberId, Incarnation>, roster: usize) -> View {
        let lineage = digest(&members) as u16;
        View { number: 1, lineage, is_primary: members.len() == roster, members }
    }

    /// The next one.
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

    /// Whether this incarnation has this seat.
    pub fn contains(&self, member: MemberId, incarnation: Incarnation) -> bool {
        self.members.get(&member) == Some(&incarnation)
    }

    /// Those that decide on the next view. The first one breaks ties.
    pub fn council(&self) -> Vec<MemberId> {
        let mut seats: Vec<MemberId> = self.members.keys().copied().collect();
        seats.sort_unstable_by_key(|s| stable_hash(u64::from(*s)));
        seats.truncate(COUNCIL);
        seats
    }

    /// Who watches whom: the observers of each member. Rings of the members in several orders, as Rapid has them (Suresh et al.,
    /// ATC 2018); who follows in a ring watches.
    pub fn observers(&self) -> Observers {
        let mut seats: Vec<MemberId> = self.members.keys().copied().collect();
        let mut observers: Observers = seats.iter().map(|s| (*s, BTreeSet::new())).collect();
        let wanted = OBSERVERS.min(seats.len().saturating_sub(1));
        for ring in 0..4 * OBSERVERS as u64 {
            seats.sort_unstable_by_key(|s| stable_hash(stable_hash(ring) ^ u64::from(*s)));
            for (k, member) in seats.iter().enumerate() {
                let next = seats[(k + 1) % seats.len()];
                let of = observers.entry(*member).or_default();
                if next != *member && of.len() < wanted {
                    of.insert(next);
                }
            }
        }
        observers
    }
}

/// Tells sets of members apart.
pub fn digest(members: &BTreeMap<MemberId, Incarnation>) -> u64 {
    members.iter().fold(0, |sum, (member, incarnation)| {
        stable_hash(sum ^ stable_hash(u64::from(*member)) ^ u64::from(*incarnation))
    })
}

/// Whether these of a council are enough to decide: more than half, or half with the first.
pub fn quorum(council: &[MemberId], agree: impl Fn(MemberId) -> bool) -> bool {
    let count = council.iter().filter(|s| agree(**s)).count();
    2 * count > council.len() || (2 * count == council.len() && council.first().is_some_and(|s| agree(*s)))
}
