//! Thrift: calls in every common form, under the same rules as HTTP.
//!
//! [`codec`] is sans-io.

pub mod codec;
