//! Time without a response at servers whose requests are cancelled before one arrives.
//!
//! A cancelled attempt is a censored observation: the response takes at least as long as it was waited for.
//! If that were ignored, a server that never responds would look idle whenever its last request is
//! cancelled, and attract the next one. The module tracks the time during which requests were in flight
//! since the server's last response: concurrent attempts count once, and idle pauses do not count. It is
//! used only to compare servers. Admission uses measured responses, so that clients with short timeouts do
//! not cause requests of patient ones to be refused.

use super::*;

/// Silence decays over at least and at most this many latency memories. In between, the time grows with the
/// spells: a server that hung once is tried again soon, one that has never responded rarely.
const DECAY_MEMORIES: (f64, f64) = (0.5, 3.0);

/// Busy time of a server without a response since its last one, as of the cancellation of its last attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Silence {
    busy: f64,
    /// Busy times since the last response, each as a share of the most that one spell may count for. They
    /// do not decay.
    spells: f64,
    idle_since: Nanos,
}

impl Silence {
    /// The server has responded, successfully or not.
    pub(super) fn end(&mut self) {
        *self = Silence::default();
    }

    /// The last attempt in flight has been cancelled, and no response has come since `busy_since`. This
    /// spell counts for at most `max_spell`: a single connection may have hung.
    pub(super) fn add(&mut self, now: Nanos, busy_since: Nanos, max_spell: f64, memory: f64) {
        let previous = self.read(busy_since, memory);
        let busy = (now.saturating_sub(busy_since) as f64).min(max_spell);
        *self = Silence { busy: previous + busy, spells: self.spells + busy / max_spell, idle_since: now };
    }

    /// The remaining silence: it decays while the server is idle, so that the server is tried again.
    pub(super) fn read(&self, now: Nanos, memory: f64) -> f64 {
        let (least, most) = DECAY_MEMORIES;
        let decay_time = memory * (least * self.spells).clamp(least, most);
        self.busy * (-(now.saturating_sub(self.idle_since) as f64) / decay_time).exp()
    }
}

impl Balancer {
    /// How much longer than `expected` a response takes according to the silence, in mean responses.
    pub(super) fn silence_penalty(&self, now: Nanos, i: usize, mean: f64, expected: f64) -> f64 {
        let state = &self.servers[i];
        let busy_since = if state.in_flight > 0 { state.silent_since } else { now };
        let previous = state.silence.read(busy_since, self.latency_memory);
        if previous == 0.0 {
            return 0.0;
        }
        let silence = previous + now.saturating_sub(busy_since) as f64;
        (silence / mean - expected).max(0.0)
    }
}
