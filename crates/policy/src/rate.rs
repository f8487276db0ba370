//! A rate a second that fades.

use crate::interface::Nanos;

/// Counts events; what is read is averaged over the memory that it is read with.
#[derive(Clone, Copy, Default)]
pub(crate) struct Rate {
    sum: f64,
    at: Nanos,
}

impl Rate {
    pub fn read(&self, now: Nanos, memory: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / memory).exp() / (memory / 1e9)
    }

    pub fn count(&mut self, now: Nanos, memory: f64) {
        self.sum = self.sum * (-(now.saturating_sub(self.at) as f64) / memory).exp() + 1.0;
        self.at = now;
    }
}
