//! HTTP/1.1 on both sides of the core: [`front`] serves clients, [`upstream`] sends attempts to servers.

pub mod body;
mod client;
pub mod front;
pub mod headers;
pub mod intake;
mod local_response;
pub mod pace;
mod request;
pub mod service;
pub mod socket;
pub mod upstream;
