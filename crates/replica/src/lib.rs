//! What all nodes of a fleet know alike, each having its own copy of all of it.
//!
//! An entry of each kind has a rule for copies that differ ([`entry`]), the same whatever the order, and however often two
//! meet. [`store`] holds a node's copy and tells it from another one by digests. [`machine`] brings what changes to the
//! neighbours in the view of the members, asks who lacks what, and says when this copy has caught up. [`disk`] is a copy in
//! a file. [`snapshot`] is what a member that starts with nothing asks a neighbour for.
//!
//! Pure: datagrams, words and time go in, datagrams and changes come out. A datagram may be lost, late, doubled or overtaken.

pub mod defect;
pub mod disk;
pub mod entry;
pub mod link;
pub mod machine;
pub mod snapshot;
pub mod store;
pub mod wire;

pub use entry::{BanChange, Bans, Dot, Drain, Entry, Key, Writer};
pub use machine::{BanError, Machine, Output};
pub use snapshot::{FleetAverages, LearnedSnapshot, ServerRow};
pub use store::Store;

/// FNV-1a (RFC 9923), for digests that only have to tell copies apart.
pub(crate) fn digest(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum, b| (sum ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3))
}
