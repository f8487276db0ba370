//! Silence of servers whose requests are cancelled before an answer comes.
//!
//! A cancelled attempt is a censored observation: the answer takes at least as long as was waited for it. A
//! server that never answers would otherwise look idle whenever its last request is cancelled, and attract
//! the next one. What is kept is the time in which something was out at the server, since its last answer:
//! attempts that wait side by side count once, and a pause in between doesn't count. It is used to compare
//! servers only. Admission goes by answers, so that impatient clients do not have patient ones refused.

use super::*;

/// Silence fades over at least and at most this many memories of a lag. In between it grows with the spells:
/// a server that hung once is tried again soon, one that has never answered seldom.
const MEMORIES: (f64, f64) = (0.5, 3.0);

/// Unanswered busy time of a server since its last answer, as of the moment its last attempt was cancelled.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Silence {
    busy: f64,
    /// Busy times since the last answer, each as a part of the most that one may count for. They don't fade.
    spells: f64,
    idle_since: Nanos,
}

impl Silence {
    /// The server has answered, with whatever it was.
    pub(super) fn end(&mut self) {
        *self = Silence::default();
    }

    /// The last attempt out has been cancelled, after something had been out without an answer since
    /// `busy_since`. This spell counts for no more than `most`: one connection alone may have fallen silent.
    pub(super) fn add(&mut self, now: Nanos, busy_since: Nanos, most: f64, memory: f64) {
        let before = self.read(busy_since, memory);
        let busy = (now.saturating_sub(busy_since) as f64).min(most);
        *self = Silence { busy: before + busy, spells: self.spells + busy / most, idle_since: now };
    }

    /// What is left of it: it fades while the server is idle, so that the server is tried again.
    pub(super) fn read(&self, now: Nanos, memory: f64) -> f64 {
        let (least, most) = MEMORIES;
        let fading = memory * (least * self.spells).clamp(least, most);
        self.busy * (-(now.saturating_sub(self.idle_since) as f64) / fading).exp()
    }
}

impl Balancer {
    /// How much longer than `expected` an answer here has to be expected for the silence, in mean responses.
    pub(super) fn silence_cost(&self, now: Nanos, i: usize, mean: f64, expected: f64) -> f64 {
        let node = &self.nodes[i];
        let busy_since = if node.out > 0 { node.silent_since } else { now };
        let before = node.silence.read(busy_since, self.memory);
        if before == 0.0 {
            return 0.0;
        }
        let silent = before + now.saturating_sub(busy_since) as f64;
        (silent / mean - expected).max(0.0)
    }
}
