//! Server start times on the node's own monotonic clock. This is the only place where times of other machines' clocks
//! are compared with this one's.
//!
//! Discovery reports start times as Unix time. The wall clock here may be off by an hour and may be corrected while the
//! node runs. The age is therefore computed once, when a start is first reported, from the wall clock at that moment,
//! and is bounded by what the monotonic clock shows: a start that is new to us had not happened when discovery was last
//! in contact, or only shortly before. From then on only the monotonic clock counts. Any error makes a server look
//! younger, which lengthens its slow start by one ramp at most.

use laurelroute_policy::interface::Nanos;

/// Longest time that discovery may have known of a start before it reported it.
const MAX_REPORT_DELAY: Nanos = 6_000_000_000;

/// Both clocks at the moment a list is received.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The node's monotonic clock.
    pub now: Nanos,
    /// The wall clock, nanoseconds since the Unix epoch.
    pub wall: Nanos,
}

/// A server's start time on the node's own clock. `listed` is the start in Unix time as discovery reports it, 0 for
/// long ago. `last_contact` is the last contact with discovery before this start was known; `None` if there was no list
/// before.
pub fn started_at(listed: Nanos, clocks: ClockReading, last_contact: Option<Nanos>) -> Nanos {
    if listed == 0 {
        return 0;
    }
    // A start in the future by the wall clock counts as just now.
    let age_by_wall = clocks.wall.saturating_sub(listed);
    let max_age =
        last_contact.map(|contact| clocks.now.saturating_sub(contact).saturating_add(MAX_REPORT_DELAY));
    let age = max_age.map_or(age_by_wall, |max_age| age_by_wall.min(max_age));
    // 0 would mean long ago.
    clocks.now.saturating_sub(age).max(1)
}
