//! The channel between forwarders and planners: one TCP connection with mutual TLS, a version handshake, and
//! length-prefixed messages of [`laurelroute_plan::wire`].
//!
//! A peer without a certificate of the installation's own authority gets no answer and no reason. An authenticated peer
//! with an incompatible version or of another installation gets a refusal with a reason, and is disconnected.

pub mod frames;
pub mod hello;
pub mod subscription;
pub mod tls;
