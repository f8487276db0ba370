//! Moves traffic in steps from an old pool of servers to a new one, held and undone by measured results.
//!
//! There are no sockets, clocks or randomness here. A [`rollout::Rollout`] receives the results of attempts, the pools'
//! capacity and operators' commands with their times, and yields the share of each class that goes to the new pool. The
//! decision module, which receives shares and pools as an event, selects the server within a pool.
//!
//! - [`pool`]: which server belongs to which pool.
//! - [`settings`]: the validated settings of a shift.
//! - [`position`]: positions on the hash ring, which keep sessions in their pool.
//! - [`cells`]: the groups of outcomes that are compared separately.
//! - [`analysis`]: the comparison of the pools by a sequential test.
//! - [`capacity`]: the share that the new pool can carry, and the part that the old one could take back.
//! - [`rollout`]: the state machine of steps, holds and undos.
//! - [`controller`]: a node's part of a shift, between the server list, attempts and the decision module.
//! - [`journal`]: the persisted changes and evidence.
//! - [`explain`]: the status as data and as text.

pub mod analysis;
pub mod capacity;
pub mod cells;
pub mod controller;
pub mod explain;
pub mod journal;
pub mod pool;
pub mod position;
pub mod rollout;
pub mod settings;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
