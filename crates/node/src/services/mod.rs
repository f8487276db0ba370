//! Service discovery by subscription. Planners hold all services ([`planner`]); forwarders subscribe to the services
//! that their requests name ([`forwarder`], [`directory`]). The settings are in [`table`].

pub(crate) mod directory;
pub(crate) mod forwarder;
pub(crate) mod planner;
pub mod table;
