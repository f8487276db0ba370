//! Ids of clients' requests for as long as an attempt of theirs may be out.

use laurelroute_policy::interface::Nanos;
use std::collections::{HashSet, VecDeque};

/// Ids that are remembered at most; past that the oldest are forgotten.
const MOST_IDS: usize = 16 * 1024;

/// An id is new with each request: a second one under it is somebody else's, or a copy, and servers would take it
/// for a repeat.
#[derive(Default)]
pub struct Ids {
    open: HashSet<u64>,
    /// In the order in which they came; bounded by `MOST_IDS`.
    queue: VecDeque<(Nanos, u64)>,
}

impl Ids {
    /// Takes an id until then; false where it is taken.
    pub fn claim(&mut self, now: Nanos, id: u64, until: Nanos) -> bool {
        let due =
            |q: &VecDeque<(Nanos, u64)>| q.len() >= MOST_IDS || q.front().is_some_and(|(at, _)| *at <= now);
        while due(&self.queue) {
            if let Some((_, id)) = self.queue.pop_front() {
                self.open.remove(&id);
            }
        }
        let new = self.open.insert(id);
        if new {
            self.queue.push_back((until, id));
        }
        new
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_is_taken_until_it_is_due() {
        let mut ids = Ids::default();
        assert!(ids.claim(0, 7, 10) && !ids.claim(9, 7, 20) && ids.claim(10, 7, 20));
    }

    #[test]
    fn the_oldest_make_room() {
        let mut ids = Ids::default();
        for id in 0..=MOST_IDS as u64 {
            assert!(ids.claim(0, id, 10));
        }
        assert_eq!(ids.queue.len(), MOST_IDS);
        assert!(ids.claim(0, 0, 10), "the first was forgotten");
    }
}
