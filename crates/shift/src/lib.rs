//! Moves traffic in steps from an old pool of servers to a new one, held and undone by measured results.
//!
//! There are no sockets, clocks or randomness here. A [`rollout::Rollout`] receives the results of attempts, the pools'
//! capacity and operators' commands with their times, and yields the share of each class that goes to the new pool. The
//! decision module, which receives shares and pools as an event, selects the server within a pool.
//!
//! - [`pool`]: which server belongs to which pool.
//! - [`settings`]: a shift as the operator's file words it, checked.
//! - [`position`]: where a request stands on the hash, so that sessions stay with their pool.
//! - [`cells`]: what is judged apart: class, zone, first try or repeat, and groups of tenants.
//! - [`analysis`]: old against new in each cell, by a test that may be looked at at any time.
//! - [`capacity`]: what share the new pool can carry, and what the old one could take back.
//! - [`rollout`]: the steps, and what halts, holds and undoes them.
//! - [`controller`]: a shift at one node, between the list, the endings and the decision module.
//! - [`journal`]: what outlives the process.
//! - [`explain`]: all of this in words and as data.

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
