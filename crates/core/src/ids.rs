//! Request ids sent by clients, kept for as long as an attempt of the request may be in flight.

use laurelroute_policy::interface::Nanos;
use std::collections::{HashSet, VecDeque};

/// Maximum number of ids kept; beyond it the oldest are dropped.
const MAX_IDS: usize = 16 * 1024;

/// The ids in use. Each request has a new id: a second request with the same id comes from another client or is a copy,
/// and servers would deduplicate it as a repeat.
#[derive(Default)]
pub struct Ids {
    in_use: HashSet<u64>,
    /// Expiry times and ids in order of arrival; bounded by `MAX_IDS`.
    queue: VecDeque<(Nanos, u64)>,
}

impl Ids {
    /// Reserves an id until the given time; returns false if it is in use.
    pub fn claim(&mut self, now: Nanos, id: u64, until: Nanos) -> bool {
        let expired =
            |q: &VecDeque<(Nanos, u64)>| q.len() >= MAX_IDS || q.front().is_some_and(|(at, _)| *at <= now);
        while expired(&self.queue) {
            if let Some((_, id)) = self.queue.pop_front() {
                self.in_use.remove(&id);
            }
        }
        let new = self.in_use.insert(id);
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
    fn an_id_is_in_use_until_it_expires() {
        let mut ids = Ids::default();
        assert!(ids.claim(0, 7, 10) && !ids.claim(9, 7, 20) && ids.claim(10, 7, 20));
    }

    #[test]
    fn the_oldest_ids_are_dropped_when_full() {
        let mut ids = Ids::default();
        for id in 0..=MAX_IDS as u64 {
            assert!(ids.claim(0, id, 10));
        }
        assert_eq!(ids.queue.len(), MAX_IDS);
        assert!(ids.claim(0, 0, 10), "the first id was dropped");
    }
}
