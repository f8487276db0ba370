//! Two pools of servers while a shift is on: which one a request is meant for.

use super::*;

/// A server's pool; 0 where it is in none.
const OLD: u8 = 1;
const NEW: u8 = 2;

impl Balancer {
    pub(super) fn follow_split(&mut self, now: Nanos, split: Option<TrafficSplit>) {
        for node in &mut self.nodes {
            let pool = split.as_ref().and_then(|s| s.pools.get(&node.server.endpoint));
            node.pool = pool.map_or(0, |&new| if new { NEW } else { OLD });
        }
        self.split = split;
        (0..self.zones.len()).for_each(|zone| self.regroup(now, zone));
    }

    /// The pool that a request is meant for; a repeat goes to the old one: failures do not hurry the shift.
    fn lane(&self, pending: &Pending) -> Option<u8> {
        let share = self.split.as_ref()?.shares.get(usize::from(pending.request.class));
        let within = pending.request.in_split_share(*share.unwrap_or(&0.0));
        Some(if within && pending.attempts.is_empty() { NEW } else { OLD })
    }

    /// The choice within that pool; the other one serves where it has nobody, or the new one would be late.
    pub(super) fn choose(&mut self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        self.lane = self.lane(pending);
        let found = self.choose_near(now, pending);
        let class = usize::from(pending.request.class);
        let late = |q: f64| q * self.typical[class] > self.settings.classes[class].latency_target as f64;
        let good = found.is_some_and(|(_, q)| self.lane != Some(NEW) || !late(q));
        if self.lane.take().is_none() || good {
            return found;
        }
        self.choose_near(now, pending).or(found)
    }
}
