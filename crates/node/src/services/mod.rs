//! Services by subscription, for the two roles: who holds all services ([`planner`]) and who holds those that its requests
//! name ([`forwarder`], [`directory`]). What the operator's file says of it is read in [`table`].

pub(crate) mod directory;
pub(crate) mod forwarder;
pub(crate) mod planner;
pub mod table;
