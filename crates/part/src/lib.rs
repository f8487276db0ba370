//! How many servers a node ranks in a zone, and how many it draws for a request: pure, and told all that it goes by.
//!
//! A node of many sees few requests, and what it cannot know of a server it cannot rank it by. So its part of a zone follows
//! from what it has to go by: its own requests while an answer's news is believed, against those that it takes to tell
//! servers apart. Where there are fewer servers than nodes can cover, the cover decides.

/// Servers drawn for a request at most, half of them from the accomplished set; no more than this part of those ranked, or
/// the ranking would say nothing, and never fewer than the design's four.
pub const DRAWN: usize = 6;
const DRAWN_SHARE: f64 = 2.0 / 3.0;
const LEAST_DRAWN: usize = 4;
/// About how many nodes each server is ranked by.
const COVER: f64 = 3.0;
/// Requests for each server that make news of it: the mean of so many answers is known to a quarter.
const NEWS: f64 = 16.0;
/// Bounds of a part that follows from news.
const LEAST: f64 = 1.5 * LEAST_DRAWN as f64;
const MOST: f64 = 2.0 * DRAWN as f64;
/// A part changes once it would differ by this much; it is looked at twice while news is believed.
const STEP: f64 = 1.25;

/// How many servers are drawn from each half of a ranking of `count`.
pub fn half_drawn(count: usize) -> usize {
    ((DRAWN_SHARE * count as f64) as usize).clamp(LEAST_DRAWN, DRAWN) / 2
}

/// The least part that a node ranks, as it follows its rate.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    least: f64,
    next: u64,
}

impl Part {
    /// A node that knows nothing yet.
    pub const NEW: Part = Part { least: LEAST, next: 0 };

    /// Servers to be ranked of `count`, with so many nodes on the zone.
    pub fn size(&self, count: usize, nodes: f64) -> f64 {
        (count as f64 * COVER / nodes).max(self.least)
    }

    /// Requests come at `rate` a second, asked for when the part is looked at, and news is believed for `memory` nanoseconds; true where the part has changed.
    /// Heavy nodes rank more servers than light ones, or theirs would be the hot spots.
    pub fn follow(&mut self, now: u64, rate: impl FnOnce() -> f64, memory: f64) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + (memory / 2.0) as u64;
        let wanted = (rate() * memory / 1e9 / NEWS).clamp(LEAST, MOST);
        let differs = wanted > self.least * STEP || wanted * STEP < self.least;
        if differs {
            self.least = wanted;
        }
        differs
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_part_follows_the_rate_and_the_draw_leaves_some_out() {
        let mut part = Part::NEW;
        assert_eq!(part.size(40, 60.0), LEAST);
        assert!(!part.follow(0, || 15.0, 3e9), "45 requests are news of three servers");
        assert!(!part.follow(1, || 1000.0, 3e9), "not looked at again at once");
        assert!(part.follow(1_500_000_000, || 48.0, 3e9));
        assert_eq!(part.size(40, 60.0), 9.0);
        assert!(part.follow(3_000_000_000, || 1000.0, 3e9));
        assert_eq!(part.size(40, 60.0), MOST);
        assert_eq!(part.size(155, 24.0), 155.0 * COVER / 24.0, "where cover asks for more it decides");
        assert_eq!([3, 6, 8, 9, 50].map(half_drawn), [2, 2, 2, 3, 3]);
    }
}
