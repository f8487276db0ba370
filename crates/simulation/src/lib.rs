//! Forwarders, planners and boxes in simulated time.
//!
//! The decision module, the planner and the follower are the ones that run in service; the boxes, the network and the
//! list of servers are models here. All draws follow from one seed, faults among them, and the promises are looked at
//! after every event, so that a run that breaks one is repeated by its seed.

pub mod baselines;
pub mod boxes;
pub mod draw;
pub mod faults;
pub mod members;
pub mod rules;
pub mod schedule;
pub mod services;
pub mod shift;
pub mod world;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = laurelroute_policy::interface::Nanos;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const S: Nanos = 1_000 * MS;
