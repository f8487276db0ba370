//! The node: configuration, discovery and the wiring of fronts, core and decision module.

pub mod cli;
pub mod config;
pub mod discovery;
mod log;
pub mod run;
pub mod site;
