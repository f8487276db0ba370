//! One process takes over from another: the Unix socket between them, and what passes over it.
//!
//! What the two sides decide stands in `laurelroute-handover`.

pub(crate) mod predecessor;
pub(crate) mod link;
mod reuseport;
pub(crate) mod takeover;
