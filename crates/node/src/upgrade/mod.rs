//! Takeover of a node by a new process: the Unix socket between the old and the new process and the exchange over it.
//!
//! The decisions of both sides are made by the state machines in `laurelroute-handover`.

pub(crate) mod link;
pub(crate) mod lists;
pub(crate) mod predecessor;
mod reuseport;
pub(crate) mod takeover;
