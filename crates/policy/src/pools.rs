//! Two pools of servers during a traffic shift: which of them a request is meant for.

use super::*;

/// A server's pool; 0 if it is in neither.
const OLD: u8 = 1;
const NEW: u8 = 2;

impl Balancer {
    pub(super) fn apply_split(&mut self, now: Nanos, split: Option<TrafficSplit>) {
        for state in &mut self.servers {
            let pool = split.as_ref().and_then(|s| s.pools.get(&state.server.endpoint));
            state.pool = pool.map_or(0, |&is_new| if is_new { NEW } else { OLD });
        }
        self.split = split;
        (0..self.zones.len()).for_each(|zone| self.rank_zone(now, zone));
    }

    /// The pool that a request is meant for. A retry goes to the old pool, so that failures do not speed up
    /// the shift.
    fn pool_for(&self, pending: &Pending) -> Option<u8> {
        let share = self.split.as_ref()?.shares.get(usize::from(pending.request.class));
        let in_new_pool = pending.request.in_split_share(*share.unwrap_or(&0.0));
        Some(if in_new_pool && pending.attempts.is_empty() { NEW } else { OLD })
    }

    /// Chooses a server of that pool. The other pool serves the request if that pool has no eligible
    /// server, or if the new pool's response would be late.
    pub(super) fn choose(&mut self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        self.target_pool = self.pool_for(pending);
        let choice = self.choose_across_zones(now, pending);
        let class = usize::from(pending.request.class);
        let late = |latency: f64| {
            latency * self.mean_latency[class] > self.settings.classes[class].latency_target as f64
        };
        let accepted = choice.is_some_and(|(_, latency)| self.target_pool != Some(NEW) || !late(latency));
        if self.target_pool.take().is_none() || accepted {
            return choice;
        }
        self.choose_across_zones(now, pending).or(choice)
    }
}
