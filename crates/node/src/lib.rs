//! The node: configuration, discovery and the wiring of fronts, core and decision module.

mod ask;
pub mod cli;
pub mod config;
pub mod discovery;
mod files;
mod fleet;
mod forward;
mod ledger;
pub mod levels;
mod log;
mod management;
mod plan;
pub mod run;
pub mod services;
pub mod shift;
mod signals;
pub mod site;
mod source;
mod staff;
mod tenants;
mod upgrade;
