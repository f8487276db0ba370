//! Load balancing decisions of a reverse proxy in front of HTTP servers.
//!
//! The crate does no input or output and reads no clock: the proxy passes each event with its time to a
//! [`Balancer`] and carries out the actions that it appends to the sink.
//!
//! ```
//! use laurelroute_policy::interface::{Action, Endpoint, Event, ListKind, Phase, Request, Settings, Server};
//! use laurelroute_policy::Balancer;
//!
//! let mut balancer = Balancer::new(Settings::single_class(400_000_000, 800_000_000), 7).unwrap();
//! let mut actions = Vec::new();
//! let server = Server::warm(Endpoint { address: [10, 0, 0, 1], port: 8080 });
//! balancer.handle(0, Event::List { kind: ListKind::Full, servers: vec![server] }, &mut actions);
//! actions.clear();
//! let request = Request::new(1, 1_000_000 + 800_000_000);
//! balancer.handle(1_000_000, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 1, .. })));
//! assert_eq!(server.phase, Phase::Ready);
//! ```

mod balance;
pub mod interface;
mod rate;
pub mod settings;

pub use balance::Balancer;
