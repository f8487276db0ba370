//! The channel between forwarders and planners: one TCP connection under mutual TLS, a handshake of versions, and
//! messages of [`laurelroute_plan::wire`] with their length in front.
//!
//! A peer that cannot prove itself by a certificate of the installation's own authority gets nothing, not even a word
//! of why. One that can, but speaks another version or belongs to another installation, gets a reason and is cut off.

pub mod frames;
pub mod hello;
pub mod subscription;
pub mod tls;
