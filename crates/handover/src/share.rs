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

/// An heir may have opened this many since its last beat.
const SINCE_BEAT: usize = 32;

/// The elder's part while it accepts beside an heir that is silent: all that the heir cannot be holding.
pub fn covering(total: usize, part: usize, heir_held: usize) -> usize {
    part.max(total.saturating_sub((heir_held + SINCE_BEAT).max(LEAST)))
}

/// An heir's part when it can no longer count on what it was told: what it holds, and the least to serve with.
pub fn doubted(part: usize, held: usize) -> usize {
    part.min((held + SLACK).max(LEAST))
}

/// An heir's part beside an elder that says nothing and holds so many descriptors; where that is not known, the least.
pub fn beside(total: usize, elder_held: Option<usize>) -> usize {
    elder_held.map_or(LEAST.min(total), |held| total - serving(total, held))
}
