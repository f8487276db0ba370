//! Requests in flight, timers, the fleet and its kept connections: what every wire needs and no wire is named in.
//!
//! A *front* reads a client's bytes, makes a [`call::Call`] of them and hands it to the [`gateway::Gateway`]
//! together with a [`call::Exchange`], which holds the request in its wire's own form. The gateway asks the
//! decision module, has the exchange carry each attempt, and tells it when the module gives the request up.

pub mod accept;
pub mod budget;
pub mod call;
pub mod clock;
pub mod connect;
pub mod connection_source;
pub mod dispatch;
pub mod events;
pub mod fleet;
pub mod gateway;
pub mod idle;
mod ids;
pub mod io_counters;
pub mod name_index;
pub mod payload;
pub mod peer;
pub mod process;
pub mod retry_io;
pub mod route;
pub mod running;
pub mod start_time;

/// A stable hash: FNV-1a with its bits mixed, so that its low ones are as good as its high ones.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let hash = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
