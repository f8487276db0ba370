//! State that is replicated on all nodes of a fleet.
//!
//! Each kind of entry has a merge rule for differing copies ([`entry`]) whose result depends neither on the order of
//! the merges nor on their number. [`store`] holds a node's copy and compares it with others by digests. [`machine`]
//! sends changes to the neighbours in the membership view, answers which members hold an entry, and reports when this
//! replica has caught up. [`disk`] is the file format of a copy. [`snapshot`] transfers the learned state of a
//! neighbour to a member that starts without any.
//!
//! The crate does no I/O: the caller passes in datagrams, changes and time, and handles the outputs. Datagrams may be
//! lost, delayed, duplicated or reordered.

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

/// FNV-1a (RFC 9923), for digests that only have to distinguish copies.
pub(crate) fn digest(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum, b| (sum ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3))
}
