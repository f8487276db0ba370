//! State that a process has learned about traffic and servers, for the process that takes over from it.
//!
//! A process that starts from nothing treats all servers as equal, guesses all latencies, and refuses
//! requests unnecessarily until it has measured them. The learned state spares its successor that.

use super::*;

impl Balancer {
    /// The state that this process has learned.
    pub fn learned_state(&self, now: Nanos) -> LearnedState {
        let classes = self.mean_latency.iter().zip(&self.latency_samples);
        let servers = self.observations(now).map(LearnedServer::from);
        LearnedState {
            rate: self.arrivals.since_start(now, self.settings.ramp as f64),
            classes: classes.map(|(&mean_latency, &samples)| (mean_latency as Nanos, samples)).collect(),
            slowdown: self.slowdown_now(now),
            failure_rate: self.failure_rate,
            servers: servers.collect(),
        }
    }

    /// Takes over the learned state of another process of the node, for the servers that are listed here.
    pub(super) fn take_over(&mut self, now: Nanos, learned: LearnedState) {
        let clamped = |value: f64, max: f64| if value.is_finite() { value.clamp(0.0, max) } else { 0.0 };
        self.arrivals.set(now, self.settings.ramp as f64, clamped(learned.rate, 1e9));
        for (class, (mean_latency, samples)) in
            learned.classes.into_iter().enumerate().take(self.mean_latency.len())
        {
            if mean_latency > 0 && samples > 0 {
                (self.mean_latency[class], self.latency_samples[class]) = (mean_latency as f64, samples);
            }
        }
        (self.slowdown, self.slowdown_at) =
            (clamped(learned.slowdown, MAX_LATENCY_RATIO).max(MIN_WORK_RATIO), now);
        self.failure_rate = clamped(learned.failure_rate, 1.0);
        let increment = self.score_increment(now);
        for learned in learned.servers {
            let Some(&i) = self.by_endpoint.get(&learned.server) else { continue };
            let state = &mut self.servers[i];
            (state.relative_latency, state.latency_at) =
                (clamped(learned.relative_latency, MAX_LATENCY_RATIO).max(MIN_WORK_RATIO), now);
            (state.failure_rate, state.failure_rate_at) = (clamped(learned.failure_rate, 1.0), now);
            self.add_score(i, clamped(learned.score, 1e9) * increment);
        }
    }
}
