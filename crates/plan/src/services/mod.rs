//! Two levels where the service is the unit: what a planner publishes of many services to many forwarders, each of which
//! subscribes to those that its requests name.
//!
//! - [`publisher`]: a planner's side. It holds all services; a change costs what its service's subscribers cost.
//! - [`subscriber`]: a forwarder's side. It holds the services in use, at one planner at a time.
//! - [`list_version`]: the order of the list's versions, over restarts of the list's source.
//! - [`digest`]: whether two copies of a service name the same servers, told by one number.
//!
//! A service has one counter of versions, and each of its servers the version that last changed it. A subscriber's
//! position is the last version it has acknowledged: what it lacks are the servers with a later one, whatever was said in
//! between. So nothing is queued for who does not read, a change and its opposite cost nothing, and one that comes back
//! gets what changed. A planner forgets which servers have left in the order of their versions; who is behind that gets
//! the whole, unless its digest says that it holds the whole already.
//!
//! A service of many servers is cut into slices by the servers' names, and a forwarder subscribes to one of them.

pub mod digest;
pub mod list_version;
pub mod publisher;
pub mod subscriber;

/// Which slice of so many, a power of two, a server falls to by its name.
pub fn slice_index(server: &str, slices: usize) -> usize {
    crate::stable_hash(11, server.as_bytes()) as usize & slices.max(1).saturating_sub(1)
}
