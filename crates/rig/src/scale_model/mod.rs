//! What of the scale run is pure: the fleet that is drawn, the changes of its day, and which node has held which change.

pub mod awaited;
pub mod fleet;
pub mod schedule;
