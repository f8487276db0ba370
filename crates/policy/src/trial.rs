//! Trial requests to servers that operators have put back into use: one each, regardless of rank and zone.
//!
//! Such a server returns cold and with a score of 0, and in another zone would get requests only by chance,
//! while the operator wants to see that it serves.

use super::*;

/// A server waits this share of the overload window for a request that it can serve in time while cold.
const MAX_TRIAL_WAIT: f64 = 0.5;

impl Balancer {
    /// Schedules a trial of a server that is back in use.
    pub(super) fn schedule_trial(&mut self, now: Nanos, server: Endpoint) {
        if let Some(&i) = self.by_endpoint.get(&server) {
            self.pending_trials.retain(|t| t.0 != i);
            self.pending_trials.push((i, now));
        }
    }

    /// The server that this request is to try, with the latency expected there. Only requests that may be
    /// repeated are used, and only once slow start allows the server a request.
    pub(super) fn take_trial(&mut self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        let mut trials = std::mem::take(&mut self.pending_trials);
        trials.retain(|t| self.servers[t.0].server.phase == Phase::Ready);
        let class = usize::from(pending.request.class);
        let safe = self.settings.classes[class].idempotency == Idempotency::Safe;
        let max_wait = (MAX_TRIAL_WAIT * self.settings.overload_window as f64) as Nanos;
        let position = trials.iter().position(|&(i, since)| {
            let state = &self.servers[i];
            let latency = self.mean_latency[class] / self.capacity_fraction(now, i);
            let fits = latency <= self.settings.classes[class].latency_target as f64
                || now.saturating_sub(since) >= max_wait;
            safe && fits && state.in_flight == 0 && state.ejected_until <= now && state.next_send_at <= now
        });
        let chosen = position.map(|k| trials.remove(k).0);
        self.pending_trials = trials;
        chosen.map(|i| (i, 0.0))
    }
}
