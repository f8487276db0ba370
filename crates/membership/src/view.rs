//! Who may be a member, who is one, and how one view becomes the next.

use crate::{mix, Life};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A place in the roster.
pub type Seat = u16;

/// Members of an installation at most.
pub const MOST: usize = 300;
/// Bytes of a name at most.
pub const LONGEST_NAME: usize = 64;
/// Members that decide on the next view: all, or this many.
pub const COUNCIL: usize = 15;
/// Each member is watched by this many others.
pub const OBSERVERS: usize = 5;
/// Members that one cut brings in at most: it has to fit into a datagram.
pub const JOINS: usize = 16;

/// Why a list of names is no roster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// Nobody, or too many.
    #[error("{0} members, where 1 to {MOST} are possible")]
    Size(usize),
    /// A name that cannot be one.
    #[error("the name `{0}` has to have 1 to {LONGEST_NAME} bytes")]
    Name(String),
    /// A name that stands twice.
    #[error("the name `{0}` stands twice")]
    Twice(String),
}

/// All that may be members, the same everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    names: Vec<String>,
}

impl Roster {
    /// Of these names, in any order.
    pub fn new(mut names: Vec<String>) -> Result<Roster, RosterError> {
        if names.is_empty() || names.len() > MOST {
            return Err(RosterError::Size(names.len()));
        }
        if let Some(bad) = names.iter().find(|n| n.is_empty() || n.len() > LONGEST_NAME) {
            return Err(RosterError::Name(bad.clone()));
        }
        names.sort_unstable();
        match names.windows(2).find(|w| w[0] == w[1]) {
            Some(twice) => Err(RosterError::Twice(twice[0].clone())),
            None => Ok(Roster { names }),
        }
    }

    /// How many names.
    #[allow(clippy::len_without_is_empty, reason = "never empty")]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// The seat of a name.
    pub fn seat(&self, name: &str) -> Option<Seat> {
        let at = self.names.binary_search_by(|n| n.as_str().cmp(name)).ok()?;
        Seat::try_from(at).ok()
    }

    /// The name on a seat; empty where there is no such seat.
    pub fn name(&self, seat: Seat) -> &str {
        self.names.get(usize::from(seat)).map_or("", String::as_str)
    }

    /// All seats.
    pub fn seats(&self) -> impl Iterator<Item = Seat> {
        0..self.names.len() as Seat
    }

    /// Tells rosters apart.
    pub fn tag(&self) -> u16 {
        self.names.iter().fold(0, |tag, name| mix(tag ^ text(name))) as u16
    }
}

/// A number for a text.
pub fn text(text: &str) -> u64 {
    text.bytes().fold(text.len() as u64, |sum, b| mix(sum ^ u64::from(b)))
}

/// What changes from one view to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// Seats that leave, a bit each.
    pub out: Seats,
    /// Seats that are taken, with the life that takes them; another one that had the seat is gone with it.
    pub joins: Vec<(Seat, [u8; 4])>,
}

impl Cut {
    /// Nothing changes.
    pub fn is_empty(&self) -> bool {
        self.out.is_empty() && self.joins.is_empty()
    }
}

/// A set of seats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seats(Vec<u8>);

impl Seats {
    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|b| *b == 0)
    }

    /// Whether it holds this one.
    pub fn holds(&self, seat: Seat) -> bool {
        self.0.get(usize::from(seat) / 8).is_some_and(|b| b & (1 << (seat % 8)) != 0)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = Seat> + '_ {
        (0..self.0.len() * 8).map(|k| k as Seat).filter(|seat| self.holds(*seat))
    }
}

impl FromIterator<Seat> for Seats {
    fn from_iter<I: IntoIterator<Item = Seat>>(seats: I) -> Self {
        let mut bits = Vec::new();
        for seat in seats.into_iter().filter(|s| usize::from(*s) < MOST) {
            let at = usize::from(seat) / 8;
            if bits.len() <= at {
                bits.resize(at + 1, 0u8);
            }
            bits[at] |= 1 << (seat % 8);
        }
        Seats(bits)
    }
}

/// The observers of each member.
pub type Observers = BTreeMap<Seat, BTreeSet<Seat>>;

/// Who is a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Only grows.
    pub number: u64,
    /// Tells apart what was founded apart.
    pub lineage: u16,
    /// It goes back to a founding by all of the roster, or has held all of it: there is no other that has.
    pub rooted: bool,
    /// The seats that are taken, and the life on each.
    pub members: BTreeMap<Seat, Life>,
}

impl View {
    /// The first view of these.
    pub fn found(members: BTreeMap<Seat, Life>, roster: usize) -> View {
        let lineage = digest(&members) as u16;
        View { number: 1, lineage, rooted: members.len() == roster, members }
    }

    /// The next one.
    pub fn next(&self, cut: &Cut, roster: usize) -> View {
        let mut members = self.members.clone();
        members.retain(|seat, _| !cut.out.holds(*seat));
        members.extend(cut.joins.iter().map(|(seat, life)| (*seat, Life::from_le_bytes(*life))));
        let rooted = self.rooted || members.len() == roster;
        View { number: self.number + 1, lineage: self.lineage, rooted, members }
    }

    /// Whether this life has this seat.
    pub fn holds(&self, seat: Seat, life: Life) -> bool {
        self.members.get(&seat) == Some(&life)
    }

    /// Those that decide on the next view. The first one breaks ties.
    pub fn council(&self) -> Vec<Seat> {
        let mut seats: Vec<Seat> = self.members.keys().copied().collect();
        seats.sort_unstable_by_key(|s| mix(u64::from(*s)));
        seats.truncate(COUNCIL);
        seats
    }

    /// Who watches whom: the observers of each member. Rings of the members in several orders, as Rapid has them (Suresh et al.,
    /// ATC 2018); who follows in a ring watches.
    pub fn observers(&self) -> Observers {
        let mut seats: Vec<Seat> = self.members.keys().copied().collect();
        let mut observers: Observers = seats.iter().map(|s| (*s, BTreeSet::new())).collect();
        let wanted = OBSERVERS.min(seats.len().saturating_sub(1));
        for ring in 0..4 * OBSERVERS as u64 {
            seats.sort_unstable_by_key(|s| mix(mix(ring) ^ u64::from(*s)));
            for (k, seat) in seats.iter().enumerate() {
                let next = seats[(k + 1) % seats.len()];
                let of = observers.entry(*seat).or_default();
                if next != *seat && of.len() < wanted {
                    of.insert(next);
                }
            }
        }
        observers
    }
}

/// Tells sets of members apart.
pub fn digest(members: &BTreeMap<Seat, Life>) -> u64 {
    members.iter().fold(0, |sum, (seat, life)| mix(sum ^ mix(u64::from(*seat)) ^ u64::from(*life)))
}

/// Whether these of a council are enough to decide: more than half, or half with the first.
pub fn quorum(council: &[Seat], agree: impl Fn(Seat) -> bool) -> bool {
    let count = council.iter().filter(|s| agree(**s)).count();
    2 * count > council.len() || (2 * count == council.len() && council.first().is_some_and(|s| agree(*s)))
}
