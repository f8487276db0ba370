//! How two processes divide the node's descriptors between them while both run.

/// The fewest descriptors that a process can serve with.
pub const MIN_DESCRIPTORS: usize = 48;
/// Descriptors that the old process may open beyond those it holds while it finishes its requests.
const HEADROOM: usize = 8;

/// The old process's quota of `total` while it still accepts: the descriptors it holds, and at least half. The new
/// process starts with the remainder, which is never less than [`MIN_DESCRIPTORS`].
pub fn old_serving(total: usize, held: usize) -> usize {
    (held + HEADROOM).max(total / 2).min(total.saturating_sub(MIN_DESCRIPTORS))
}

/// The old process's quota once it has stopped accepting: it only shrinks.
pub fn old_yielded(quota: usize, held: usize) -> usize {
    quota.min(held + HEADROOM)
}

/// How many descriptors the new process may open beyond those that a heartbeat reported, until the old process has
/// answered a later one. Without this limit a burst of new clients could fill its quota within one interval, of which
/// the old process would learn nothing.
fn max_growth_per_heartbeat(total: usize) -> usize {
    (total / 8).max(32)
}

/// The most descriptors that the new process holds after a heartbeat that reported `held`, whatever its quota.
pub fn max_held_after_heartbeat(total: usize, held: usize) -> usize {
    (held + max_growth_per_heartbeat(total)).max(MIN_DESCRIPTORS).min(total)
}

/// The old process's quota while it accepts because the new process is silent: all descriptors that the new process,
/// which holds at most `max_new_held`, cannot be holding.
pub fn old_fallback(total: usize, quota: usize, max_new_held: usize) -> usize {
    quota.max(total.saturating_sub(max_new_held))
}

/// The new process's quota once its lease on the granted one has expired: the descriptors it holds, and at least
/// [`MIN_DESCRIPTORS`].
pub fn new_lease_expired(quota: usize, held: usize) -> usize {
    quota.min((held + HEADROOM).max(MIN_DESCRIPTORS))
}

/// The new process's quota beside an old process that does not answer and holds `old_held` descriptors;
/// [`MIN_DESCRIPTORS`] where that number is unknown.
pub fn new_beside_silent(total: usize, old_held: Option<usize>) -> usize {
    old_held.map_or(MIN_DESCRIPTORS.min(total), |held| total - old_serving(total, held))
}
