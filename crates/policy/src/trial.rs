//! Servers that operators have put back: each is tried with one request, whatever its rank and zone.
//!
//! It comes back cold and without accomplishment, and in another zone is met by chance only: who has put it
//! back wants to see that it serves.

use super::*;

/// A server waits this part of `fall` for a request that is not too long for it while it is cold.
const PICKY: f64 = 0.5;

impl Balancer {
    /// A server is back in use.
    pub(super) fn restored(&mut self, now: Nanos, server: Endpoint) {
        if let Some(&i) = self.by_endpoint.get(&server) {
            self.trials.retain(|t| t.0 != i);
            self.trials.push((i, now));
        }
    }

    /// The server that this request is to try, with the answer time expected there. Only what may be repeated
    /// is used for that, and only where a cold server has room for it by now.
    pub(super) fn trial(&mut self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        let mut trials = std::mem::take(&mut self.trials);
        trials.retain(|t| self.nodes[t.0].server.phase == Phase::Ready);
        let class = usize::from(pending.request.class);
        let safe = self.settings.classes[class].idempotency == Idempotency::Safe;
        let patience = (PICKY * self.settings.overload_window as f64) as Nanos;
        let at = trials.iter().position(|&(i, since)| {
            let node = &self.nodes[i];
            let took = self.typical[class] / self.cold_share(now, i);
            let fits =
                took <= self.settings.classes[class].latency_target as f64 || now.saturating_sub(since) >= patience;
            safe && fits && node.out == 0 && node.blocked_until <= now && node.cold_next <= now
        });
        let tried = at.map(|k| trials.remove(k).0);
        self.trials = trials;
        tried.map(|i| (i, 0.0))
    }
}
