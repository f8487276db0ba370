//! Protocol-independent core of the load balancer: requests in flight, timers, the known servers and the pooled
//! connections to them.
//!
//! A *front* parses a client's request, turns it into a [`call::Call`] and submits it to the [`gateway::Gateway`]
//! together with a [`call::Exchange`], which holds the request in its protocol's own form. The gateway consults the
//! decision module, has the exchange carry out each attempt, and notifies it when the module gives up on the request.

pub mod accept;
pub mod budget;
pub mod call;
pub mod clock;
pub mod connect;
pub mod connection;
pub mod connection_source;
pub mod dispatch;
pub mod events;
pub mod fleet;
pub mod gateway;
pub mod idle;
pub mod io_counters;
pub mod name_index;
pub mod payload;
pub mod peer;
pub mod process;
pub mod request_ids;
pub mod retry_io;
pub mod route;
pub mod running;
pub mod start_time;

/// A hash that is the same in every process: FNV-1a with a final mix, so that the low bits are as well distributed as
/// the high ones.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let hash = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
