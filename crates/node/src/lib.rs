//! The `laurelroute` program: configuration, service discovery, the management endpoint, and the wiring of the
//! protocol front ends, the core and the balancing policy.

pub mod cli;
pub mod config;
pub mod discovery;
mod explain;
mod files;
mod fleet;
mod forward;
mod ledger;
pub mod levels;
mod log;
mod management;
mod management_client;
mod plan;
pub mod run;
pub mod services;
pub mod shift;
mod signals;
pub mod site;
mod source;
mod tenants;
mod upgrade;
