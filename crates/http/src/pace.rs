//! Limits on how slowly a peer may send a body. Does no I/O: it is fed with the bytes received and the time waited for
//! them.

use std::time::Duration;

/// Limits on the sender of a body.
#[derive(Clone, Copy, Debug)]
pub struct PaceLimits {
    /// The longest pause between two chunks.
    pub max_pause: Duration,
    /// The sum of all pauses that is allowed in addition to the time that the bytes received have earned.
    pub grace: Duration,
    /// The lowest accepted rate, in bytes per second.
    pub min_rate: u64,
}

/// Tracks a body that is being received.
#[derive(Debug)]
pub struct PaceTracker {
    limits: PaceLimits,
    waited: Duration,
    bytes: u64,
}

impl PaceLimits {
    /// Starts to track a body of which nothing has been received.
    pub fn start(self) -> PaceTracker {
        PaceTracker { limits: self, waited: Duration::ZERO, bytes: 0 }
    }
}

impl PaceTracker {
    /// How long to wait for the next chunk.
    pub fn next_timeout(&self) -> Duration {
        let earned_time = Duration::from_secs_f64(self.bytes as f64 / self.limits.min_rate as f64);
        (self.limits.grace + earned_time).saturating_sub(self.waited).min(self.limits.max_pause)
    }

    /// Records a chunk and the time waited for it, which must not include time during which this process was held up.
    pub fn received(&mut self, bytes: usize, waited: Duration) {
        self.waited += waited;
        self.bytes += bytes as u64;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: PaceLimits = PaceLimits {
        max_pause: Duration::from_secs(1),
        grace: Duration::from_millis(1200),
        min_rate: 32_000,
    };

    /// Seconds until a sender of chunks of this size at this rate is cut off, or `None` where it never is.
    fn cut_off_after(chunk: usize, bytes_per_second: f64) -> Option<f64> {
        let (mut tracker, pause) = (LIMITS.start(), Duration::from_secs_f64(chunk as f64 / bytes_per_second));
        let mut elapsed = 0.0;
        for _ in 0..20_000 {
            if pause > tracker.next_timeout() {
                return Some(elapsed + tracker.next_timeout().as_secs_f64());
            }
            elapsed += pause.as_secs_f64();
            tracker.received(chunk, pause);
        }
        None
    }

    #[test]
    fn slow_senders_pass_and_trickling_ones_are_cut_off() {
        assert_eq!(cut_off_after(100, 64_000.0), None);
        assert_eq!(cut_off_after(16_000, 64_000.0), None);
        assert!(cut_off_after(1, 100.0).is_some_and(|at| at < 1.3));
        assert!(cut_off_after(1000, 10_000.0).is_some_and(|at| at < 2.0));
    }

    #[test]
    fn a_pause_is_bounded_however_much_was_received() {
        let mut tracker = LIMITS.start();
        tracker.received(10_000_000, Duration::ZERO);
        assert_eq!(tracker.next_timeout(), LIMITS.max_pause);
    }
}
