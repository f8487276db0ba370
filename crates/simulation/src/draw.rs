//! Draws from a seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A generator whose every draw follows from its seed.
#[derive(Clone, Debug)]
pub struct Draw(Pcg64Mcg);

impl Draw {
    /// Starts from a seed; `stream` tells apart what is drawn for different ends.
    pub fn new(seed: u64, stream: u64) -> Draw {
        Draw(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ stream))
    }

    /// A number from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number below `n`, which is above 0.
    pub fn below(&mut self, n: usize) -> usize {
        (self.unit() * n as f64) as usize
    }

    /// A number from `low` to below `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + (self.unit() * (high - low) as f64) as u64
    }

    /// True with this probability.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// A time with this mean, exponentially distributed.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.unit()).ln() * mean
    }
}
