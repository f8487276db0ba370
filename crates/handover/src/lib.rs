//! The protocol between two processes of one node while one takes over from the other, and the servers that operators
//! have banned.
//!
//! This package does no I/O: messages and times come in, messages and effects go out. The node owns the sockets and the
//! descriptors.

pub mod bans;
pub mod ledger;
pub mod message;
pub mod server_list;
pub mod share;
pub mod states;
