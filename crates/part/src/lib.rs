//! How many servers a node ranks in a zone, and how many it draws for a request: pure, and told all that it goes by.
//!
//! A node of many sees few requests, and what it cannot know of a server it cannot rank it by. So its part of a zone follows
//! from what it has to go by: its own requests while an answer's news is believed, against those that it takes to tell
//! servers apart. Where there are fewer servers than nodes can cover, the cover decides.

/// Servers drawn for a request at most, half of them from the accomplished set; no more than this part of those ranked, or
/// the ranking would say nothing, and never fewer than the design's four.
pub const MAX_SAMPLE: usize = 6;
const MAX_SAMPLE_SHARE: f64 = 2.0 / 3.0;
const MIN_SAMPLE: usize = 4;
/// About how many nodes each server is ranked by.
const NODES_PER_SERVER: f64 = 3.0;
/// Requests for each server that make news of it: the mean of so many answers is known to a quarter.
const REQUESTS_PER_SERVER: f64 = 16.0;
/// Bounds of a part that follows from news.
const MIN_SIZE: f64 = 1.5 * MIN_SAMPLE as f64;
const MAX_SIZE: f64 = 2.0 * MAX_SAMPLE as f64;
/// A part changes once it would differ by this much; it is looked at twice while news is believed.
const MIN_CHANGE_RATIO: f64 = 1.25;

/// How many servers are drawn from each half of a ranking of `count`.
pub fn half_sample_size(count: usize) -> usize {
    ((MAX_SAMPLE_SHARE * count as f64) as usize).clamp(MIN_SAMPLE, MAX_SAMPLE) / 2
}

/// The least part that a node ranks, as it follows its rate.
#[derive(Clone, Copy, Debug)]
pub struct Subset {
    min_size: f64,
    next_update: u64,
}

impl Subset {
    /// A node that knows nothing yet.
    pub const INITIAL: Subset = Subset { min_size: MIN_SIZE, next_update: 0 };

    /// Servers to be ranked of `count`, with so many nodes on the zone.
    pub fn size(&self, count: usize, nodes: f64) -> f64 {
        (count as f64 * NODES_PER_SERVER / nodes).max(self.min_size)
    }

    /// Requests come at `rate` a second, asked for when the part is looked at, and news is believed for `memory` nanoseconds; true where the part has changed.
    /// Heavy nodes rank more servers than light ones, or theirs would be the hot spots.
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
        assert_eq!(subset.size(155, 24.0), 155.0 * NODES_PER_SERVER / 24.0, "where cover asks for more it decides");
        assert_eq!([3, 6, 8, 9, 50].map(half_sample_size), [2, 2, 2, 3, 3]);
    }
}
