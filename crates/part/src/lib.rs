//! Subsetting: how many servers a node ranks in a zone, and how many it samples per request. Pure functions
//! of their arguments.
//!
//! One of many nodes sees few requests, and cannot rank a server that it has too few responses from. Its
//! subset of a zone therefore follows from the requests it sends while a response is remembered, divided by
//! those needed to tell servers apart. Where there are fewer servers than nodes can cover, the cover
//! decides.

/// Maximum number of servers sampled for a request, half of them from the top half of the ranking. It is at
/// most `MAX_SAMPLE_SHARE` of the ranked servers, or the ranking would have no effect, and at least
/// `MIN_SAMPLE`, the four of the JSQ-DAS design.
pub const MAX_SAMPLE: usize = 6;
const MAX_SAMPLE_SHARE: f64 = 2.0 / 3.0;
const MIN_SAMPLE: usize = 4;
/// Approximate number of nodes that rank each server.
const NODES_PER_SERVER: f64 = 3.0;
/// Requests per server needed for a useful estimate: the mean of this many responses has a standard error
/// of a quarter.
const REQUESTS_PER_SERVER: f64 = 16.0;
/// Bounds of a subset size that follows from the request rate.
const MIN_SIZE: f64 = 1.5 * MIN_SAMPLE as f64;
const MAX_SIZE: f64 = 2.0 * MAX_SAMPLE as f64;
/// A subset is resized once its size would change by this factor; it is checked twice per latency memory.
const MIN_CHANGE_RATIO: f64 = 1.25;

/// Number of servers sampled from each half of a ranking of `count` servers.
pub fn half_sample_size(count: usize) -> usize {
    ((MAX_SAMPLE_SHARE * count as f64) as usize).clamp(MIN_SAMPLE, MAX_SAMPLE) / 2
}

/// The minimum number of servers that a node ranks, which follows its request rate.
#[derive(Clone, Copy, Debug)]
pub struct Subset {
    min_size: f64,
    next_update: u64,
}

impl Subset {
    /// The state of a node that has not seen any requests.
    pub const INITIAL: Subset = Subset { min_size: MIN_SIZE, next_update: 0 };

    /// The number of servers to rank of `count`, with `nodes` nodes sharing the zone.
    pub fn size(&self, count: usize, nodes: f64) -> f64 {
        (count as f64 * NODES_PER_SERVER / nodes).max(self.min_size)
    }

    /// Updates the size from the request rate per second, which is only computed when the size is due for a
    /// check, and the latency memory in nanoseconds. Returns whether the size has changed. Nodes with more
    /// traffic rank more servers than others, or theirs would become hot spots.
    pub fn update(&mut self, now: u64, rate: impl FnOnce() -> f64, memory: f64) -> bool {
        if now < self.next_update {
            return false;
        }
        self.next_update = now + (memory / 2.0) as u64;
        let wanted = (rate() * memory / 1e9 / REQUESTS_PER_SERVER).clamp(MIN_SIZE, MAX_SIZE);
        let differs = wanted > self.min_size * MIN_CHANGE_RATIO || wanted * MIN_CHANGE_RATIO < self.min_size;
        if differs {
            self.min_size = wanted;
        }
        differs
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_part_follows_the_rate_and_the_draw_leaves_some_out() {
        let mut subset = Subset::INITIAL;
        assert_eq!(subset.size(40, 60.0), MIN_SIZE);
        assert!(!subset.update(0, || 15.0, 3e9), "45 requests are news of three servers");
        assert!(!subset.update(1, || 1000.0, 3e9), "not looked at again at once");
        assert!(subset.update(1_500_000_000, || 48.0, 3e9));
        assert_eq!(subset.size(40, 60.0), 9.0);
        assert!(subset.update(3_000_000_000, || 1000.0, 3e9));
        assert_eq!(subset.size(40, 60.0), MAX_SIZE);
        assert_eq!(
            subset.size(155, 24.0),
            155.0 * NODES_PER_SERVER / 24.0,
            "where cover asks for more it decides"
        );
        assert_eq!([3, 6, 8, 9, 50].map(half_sample_size), [2, 2, 2, 3, 3]);
    }
}
