//! Two-level load balancing: a few planners compute plans for many forwarders, and each forwarder follows one planner.
//!
//! Everything here is free of I/O: messages and the time are inputs, messages and input for the decision module are
//! outputs. The channel that carries the messages and the roles of the program are in other packages; the simulation
//! runs the same code.
//!
//! - [`planner`]: computes plans from the membership and from reports.
//! - [`subset`]: assigns servers to forwarders.
//! - [`share`]: splits rate limits among forwarders.
//! - [`follower`]: merges the plans of several planners into one view that is trusted less as it ages.
//! - [`list_age`]: how old a server list is, for everybody who passes it on.
//! - [`lead`]: converts that view into events of the decision module.
//! - [`reporter`]: incremental reports of a forwarder within a byte rate.
//! - [`services`]: the same per service, by subscription.
//! - [`wire`]: the messages.

pub mod follower;
pub mod grade;
pub mod lead;
pub mod list_age;
pub mod member;
pub mod planner;
pub mod reporter;
pub mod services;
pub mod share;
pub mod subset;
pub mod wire;

mod check;
mod explain;

/// A hash that is the same on every node and in every build (splitmix64's finalizer over the bytes).
pub fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    let start = seed ^ 0x9E37_79B9_7F4A_7C15;
    let hash = bytes.chunks(8).fold(start, |hash, chunk| {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        scramble(hash ^ u64::from_le_bytes(word).wrapping_add(chunk.len() as u64))
    });
    scramble(hash)
}

/// One step of splitmix64: every bit of the input affects every bit of the output.
pub fn scramble(value: u64) -> u64 {
    let a = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let b = (a ^ (a >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let c = (b ^ (b >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    c ^ (c >> 31)
}
