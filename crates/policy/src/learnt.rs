//! What a process of a node has learnt, for the one that takes over from it.
//!
//! A process that starts takes all servers for equal and all answer times for a guess, and turns away what
//! it has no need to until it knows better. One that takes over need not.

use super::*;

impl Balancer {
    /// What this process has learnt.
    pub fn learnt(&self, now: Nanos) -> Learnt {
        let classes = self.typical.iter().zip(&self.answers);
        let servers = self.observed(now).map(Known::from);
        Learnt {
            rate: self.arrivals.since_start(now, self.settings.ramp as f64),
            classes: classes.map(|(&typical, &answers)| (typical as Nanos, answers)).collect(),
            pressure: self.pressure_now(now),
            faults: self.faults,
            servers: servers.collect(),
        }
    }

    /// Takes over what another process of the node has learnt, of the servers that are in the list here.
    pub(super) fn take_over(&mut self, now: Nanos, learnt: Learnt) {
        let sound = |figure: f64, most: f64| if figure.is_finite() { figure.clamp(0.0, most) } else { 0.0 };
        self.arrivals.set(now, self.settings.ramp as f64, sound(learnt.rate, 1e9));
        for (class, (typical, answers)) in learnt.classes.into_iter().enumerate().take(self.typical.len()) {
            if typical > 0 && answers > 0 {
                (self.typical[class], self.answers[class]) = (typical as f64, answers);
            }
        }
        (self.pressure, self.pressure_at) = (sound(learnt.pressure, SURGE).max(LIGHTEST), now);
        self.faults = sound(learnt.faults, 1.0);
        let grown = self.increment(now);
        for known in learnt.servers {
            let Some(&i) = self.by_endpoint.get(&known.server) else { continue };
            let node = &mut self.nodes[i];
            (node.lag, node.lag_at) = (sound(known.lag, SURGE).max(LIGHTEST), now);
            (node.faults, node.fault_at) = (sound(known.faults, 1.0), now);
            self.credit(i, sound(known.accomplished, 1e9) * grown);
        }
    }
}
