//! An exponentially decaying event rate per second.

use crate::interface::Nanos;

/// Minimum averaging time as a share of the memory, so that the first events do not look like a burst.
const MIN_SPAN: f64 = 0.02;

/// Counts events; a read averages over the memory that it is given.
#[derive(Clone, Copy, Default)]
pub(crate) struct Rate {
    sum: f64,
    updated_at: Nanos,
    started_at: Option<Nanos>,
}

impl Rate {
    /// The rate averaged over the whole memory: low at first, for limits that random variation alone must
    /// not exceed.
    pub fn read(&self, now: Nanos, memory: f64) -> f64 {
        self.decayed_sum(now, memory) / (memory / 1e9)
    }

    /// The rate averaged over the time since counting began, if that is shorter than the memory.
    pub fn since_start(&self, now: Nanos, memory: f64) -> f64 {
        // A node that has just started has not counted for its whole memory. Averaged over all of it, its
        // rate would look low, and it would send cold servers next to nothing and all of its work to the
        // few warm ones.
        let age = self.started_at.map_or(0.0, |start| now.saturating_sub(start) as f64);
        let span = (1.0 - (-age / memory).exp()).max(MIN_SPAN) * memory;
        self.decayed_sum(now, memory) / (span / 1e9)
    }

    pub fn count(&mut self, now: Nanos, memory: f64) {
        self.sum = self.decayed_sum(now, memory) + 1.0;
        self.updated_at = now;
        self.started_at.get_or_insert(now);
    }

    /// Sets the state to that of a constant `rate` over the whole memory.
    pub fn set(&mut self, now: Nanos, memory: f64, rate: f64) {
        *self = Rate { sum: rate * memory / 1e9, updated_at: now, started_at: Some(0) };
    }

    fn decayed_sum(&self, now: Nanos, memory: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.updated_at) as f64) / memory).exp()
    }
}
