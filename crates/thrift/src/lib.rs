//! Thrift: calls in every common form, under the same rules as HTTP.
//!
//! [`codec`] is sans-io. [`table`] says what a call means: its class, and where its deadline, id, tenant and route
//! key stand. [`front`] takes clients' calls, [`upstream`] carries attempts to boxes.

pub mod codec;
pub mod front;
pub mod table;
pub mod upstream;
