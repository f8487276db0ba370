//! Service subscriptions: planners publish many services to many forwarders, and each forwarder subscribes to the
//! services that its requests name.
//!
//! - [`publisher`]: the planner's side. It holds all services; a change costs as much as its service has
//!   subscribers.
//! - [`subscriber`]: the forwarder's side. It holds the services in use, received from one planner at a time.
//! - [`list_version`]: the order of list versions across restarts of the list's source.
//! - [`digest`]: compares two copies of a service by one number.
//!
//! A service has one version counter, and each of its servers the version that last changed it. The position of a
//! subscriber is the last version that it has acknowledged; it lacks exactly the servers with a later one. So no
//! queue is kept for slow readers, a change and its reversal cost nothing, and a forwarder that reconnects is sent
//! only what has changed. A planner forgets removed servers in the order of their versions; a subscriber that is
//! further behind is sent a snapshot, unless its digest shows that it already holds the present state.
//!
//! A service with many servers is divided into slices by the hash of the server names, and a forwarder subscribes
//! to one slice.

pub mod digest;
pub mod list_version;
pub mod publisher;
pub mod subscriber;

/// Returns the index of the slice, among `slices` (a power of two), that a server belongs to by its name.
pub fn slice_index(server: &str, slices: usize) -> usize {
    crate::stable_hash(11, server.as_bytes()) as usize & slices.max(1).saturating_sub(1)
}
