//! Load balancing decisions of a reverse proxy in front of HTTP servers.
//!
//! The crate does no input or output and reads no clock: the proxy passes each event with its time to a
//! [`Balancer`] and carries out the actions that it appends to the sink.

mod balance;
pub mod interface;
mod rate;
pub mod settings;

pub use balance::Balancer;
