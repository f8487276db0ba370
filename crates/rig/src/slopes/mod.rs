//! Slopes: how a figure grows, as it was measured, kept in a file, and worked out at the sizes asked for. The page
//! `docs/CAPACITY.md` has its tables from here, and its check makes them again.

pub mod fit;
pub mod page;
pub mod reckoning;
pub mod store;
pub mod text;
