//! What of the rig is worth a test of its own: the draws of a scale run; slopes, their fit, their file and the page made of them.

pub mod scale_model;
pub mod slopes;
