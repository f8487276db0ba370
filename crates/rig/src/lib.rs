//! What of the rig is worth a test of its own: slopes, their fit, their file and the page made of them.

pub mod slopes;
