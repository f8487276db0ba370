//! How two processes share the node's descriptors while both run.

/// The least that a process can serve with.
pub const LEAST: usize = 48;
/// The elder may open some more than it holds while it finishes what it has.
const SLACK: usize = 8;

/// The elder's part of `total` while it goes on serving: what it holds, and at least half. The heir starts with the rest,
/// which is never less than it needs.
pub fn serving(total: usize, held: usize) -> usize {
    (held + SLACK).max(total / 2).min(total.saturating_sub(LEAST))
}

/// The elder's part once it has yielded: it only shrinks.
pub fn yielded(part: usize, held: usize) -> usize {
    part.min(held + SLACK)
}

/// An heir opens this many beyond what a beat has told, and no more until the elder has answered a later one: in a storm
/// of new clients it could otherwise hold all of its part within a moment of which the elder hears nothing.
fn since_beat(total: usize) -> usize {
    (total / 8).max(32)
}

/// The most that an heir holds after a beat that told of so many, whatever its part.
pub fn most_after(total: usize, told: usize) -> usize {
    (told + since_beat(total)).max(LEAST).min(total)
}

/// The elder's part while it accepts beside an heir that is silent: all that the heir, which holds this many at most, cannot
/// be holding.
pub fn covering(total: usize, part: usize, heir_most: usize) -> usize {
    part.max(total.saturating_sub(heir_most))
}

/// An heir's part when it can no longer count on what it was told: what it holds, and the least to serve with.
pub fn doubted(part: usize, held: usize) -> usize {
    part.min((held + SLACK).max(LEAST))
}

/// An heir's part beside an elder that says nothing and holds so many descriptors; where that is not known, the least.
pub fn beside(total: usize, elder_held: Option<usize>) -> usize {
    elder_held.map_or(LEAST.min(total), |held| total - serving(total, held))
}
