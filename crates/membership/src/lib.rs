//! Group membership: the nodes of an installation agree on their current members over datagrams that may be lost,
//! delayed, duplicated or reordered.
//!
//! Each member is observed by a few others ([`failure_detector`]), which report suspected failures to a council ([`council`]).
//! The council decides the next view by majority, as one cut; a view number stands for the same members on every
//! node. The share of a common limit that a member may use ([`Machine::share`]) depends on a lease from the council
//! ([`lease`]): the shares of all members, on all sides of any partition, never add up to more than the whole.
//!
//! The crate does no I/O: the caller passes in datagrams, time and randomness, and carries out the outputs.

pub mod bootstrap;
pub mod council;
pub mod defect;
pub mod failure_detector;
pub mod lease;
pub mod machine;
pub mod view;
pub mod wire;

pub use machine::{Machine, Output, RejectReason};
pub use view::{Cut, MemberId, Roster, RosterError, View};

/// Time of the process's own monotonic clock, in nanoseconds.
pub type Nanos = u64;
/// Identifies one run of a process, drawn at its start. Two consecutive runs under one name have the same incarnation
/// with a probability of 2^-32.
pub type Incarnation = u32;

/// One millisecond.
pub const MS: Nanos = 1_000_000;
/// Interval at which [`Machine::tick`] has to be called.
pub const TICK_INTERVAL: Nanos = 50 * MS;

/// The finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014): spreads a number over all bits.
pub(crate) fn stable_hash(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
