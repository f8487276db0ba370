//! When servers started, on the node's own monotonic clock: the one place where times of other machines' clocks are compared
//! with this one's.
//!
//! A list tells a start as Unix time. The wall clock here may be off by an hour, and may be set right while the node runs. So
//! the age is reckoned once, as the start is first told, with the wall clock as it is then, and is bounded by what the
//! monotonic clock knows: a start that is news was not there when discovery last gave a sign of life, or not long before. From
//! then on only the monotonic clock counts. An error is to the cold side, and lasts for one ramp at most.

use laurelroute_policy::interface::Nanos;

/// Discovery may have known of a start for so long before it told it.
const TOLD_LATE: Nanos = 6_000_000_000;

/// The clocks at the moment when a list is taken in.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The node's own, which only goes forward.
    pub now: Nanos,
    /// The wall clock, nanoseconds since the Unix epoch.
    pub wall: Nanos,
}

/// When a server started, on the node's own clock. `listed` is what the list says, 0 for long ago. `heard` is the last sign
/// of life from discovery while this start was not known yet; `None` where no list was held before.
pub fn started_at(listed: Nanos, clocks: ClockReading, heard: Option<Nanos>) -> Nanos {
    if listed == 0 {
        return 0;
    }
    // What starts in the future by the wall clock has just started.
    let by_wall = clocks.wall.saturating_sub(listed);
    let known = heard.map(|heard| clocks.now.saturating_sub(heard).saturating_add(TOLD_LATE));
    let age = known.map_or(by_wall, |known| by_wall.min(known));
    // 0 would be long ago.
    clocks.now.saturating_sub(age).max(1)
}
