//! What of the rig is worth a test of its own.

pub mod scale_model;
