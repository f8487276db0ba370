//! One process takes over from another: the Unix socket between them, and what passes over it.
//!
//! What the two sides decide stands in `laurelroute-handover`.

pub(crate) mod claim;
pub(crate) mod link;
mod steer;
pub(crate) mod succession;
