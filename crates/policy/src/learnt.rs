//! What a process of a node has learnt, for the one that takes over from it.
//!
//! A process that starts takes all servers for equal and all answer times for a guess, and turns away what
//! it has no need to until it knows better. One that takes over need not.

use super::*;

impl Balancer {
    /// What this process has learnt.
    pub fn learned_state(&self, now: Nanos) -> LearnedState {
        let classes = self.typical.iter().zip(&self.answers);
        let servers = self.observations(now).map(LearnedServer::from);
        LearnedState {
            rate: self.arrivals.since_start(now, self.settings.ramp as f64),
            classes: classes.map(|(&typical, &answers)| (typical as Nanos, answers)).collect(),
            slowdown: self.slowdown_now(now),
            failure_rate: self.failure_rate,
            servers: servers.collect(),
        }
    }

    /// Takes over what another process of the node has learnt, of the servers that are in the list here.
    pub(super) fn take_over(&mut self, now: Nanos, learnt: LearnedState) {
        let sound = |figure: f64, most: f64| if figure.is_finite() { figure.clamp(0.0, most) } else { 0.0 };
        self.arrivals.set(now, self.settings.ramp as f64, sound(learnt.rate, 1e9));
        for (class, (typical, answers)) in learnt.classes.into_iter().enumerate().take(self.typical.len()) {
            if typical > 0 && answers > 0 {
                (self.typical[class], self.answers[class]) = (typical as f64, answers);
            }
        }
        (self.slowdown, self.slowdown_at) = (sound(learnt.slowdown, SURGE).max(LIGHTEST), now);
        self.failure_rate = sound(learnt.failure_rate, 1.0);
        let grown = self.increment(now);
        for known in learnt.servers {
            let Some(&i) = self.by_endpoint.get(&known.server) else { continue };
            let node = &mut self.nodes[i];
            (node.relative_latency, node.latency_at) = (sound(known.relative_latency, SURGE).max(LIGHTEST), now);
            (node.failure_rate, node.failure_rate_at) = (sound(known.failure_rate, 1.0), now);
            self.credit(i, sound(known.score, 1e9) * grown);
        }
    }
}
