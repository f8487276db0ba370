//! Which nodes of an installation there are, agreed among them over datagrams that may be lost, late, doubled or reordered.
//!
//! Each member is watched by a few others ([`watch`]). What they find goes to a council ([`council`]), which decides the next
//! view as one cut by majority; every view with one number is the same wherever it is seen. What a member may use of
//! something that is split among all ([`Machine::share`]) hangs on a lease from that council ([`lease`]): the sum over all
//! members of all sides of any cut never exceeds the whole.
//!
//! Pure: datagrams, time and randomness go in, datagrams and changes come out.

pub mod council;
pub mod defect;
pub mod founding;
pub mod lease;
pub mod machine;
pub mod view;
pub mod watch;
pub mod wire;

pub use machine::{Machine, Output, RejectReason};
pub use view::{Cut, MemberId, Roster, RosterError, View};

/// Time of a process's own monotonic clock, in nanoseconds.
pub type Nanos = u64;
/// One run of a process, drawn at its start: two of one name in a row are alike once in 2^32.
pub type Incarnation = u32;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// [`Machine::tick`] is to be called this often.
pub const TICK_INTERVAL: Nanos = 50 * MS;

/// SplitMix64's finalizer (Steele, Lea and Flood, OOPSLA 2014): spreads a number over all bits.
pub(crate) fn stable_hash(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
