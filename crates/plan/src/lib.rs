//! Two levels: what a few planners decide for many forwarders, and how a forwarder follows what it hears.
//!
//! Everything here is pure: messages and the time go in, messages and words for the decision module come out. The
//! channel that carries the messages and the program's roles live elsewhere; simulated time runs the same code.
//!
//! - [`planner`]: membership and reports in, plans out.
//! - [`subset`]: which forwarder uses which boxes.
//! - [`share`]: how a rate is split among forwarders.
//! - [`follower`]: several planners' plans in, one view out, ageing with the silence.
//! - [`lead`]: from that view to the decision module's events.
//! - [`reporter`]: what a forwarder has met, as changes within a budget of bytes.
//! - [`services`]: the same where the service is the unit, by subscription.
//! - [`wire`]: the messages.

pub mod follower;
pub mod grade;
pub mod lead;
pub mod member;
pub mod planner;
pub mod reporter;
pub mod services;
pub mod share;
pub mod subset;
pub mod wire;

mod check;
mod explain;

/// A hash that is the same at every node and in every build (splitmix64's mixer over the bytes).
pub fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    let start = seed ^ 0x9E37_79B9_7F4A_7C15;
    let hash = bytes.chunks(8).fold(start, |hash, chunk| {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        scramble(hash ^ u64::from_le_bytes(word).wrapping_add(chunk.len() as u64))
    });
    scramble(hash)
}

/// One step of splitmix64: every bit of the input counts in every bit of the output.
pub fn scramble(value: u64) -> u64 {
    let a = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let b = (a ^ (a >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let c = (b ^ (b >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    c ^ (c >> 31)
}
