//! The node's clock. It starts at the wall clock's time and is monotonic from there: intervals stay correct even if the
//! wall clock was wrong or is stepped later. Times of other machines are converted to it in [`crate::start_time`].

use laurelroute_policy::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at the wall clock's time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch: Nanos,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the wall clock's current time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { epoch: since_epoch.as_nanos() as Nanos, start: Instant::now() }
    }

    /// The current time on this clock, in nanoseconds.
    pub fn now(&self) -> Nanos {
        self.epoch + self.start.elapsed().as_nanos() as Nanos
    }

    /// The time on this clock at an instant, which must not be before the clock's start.
    pub fn at(&self, instant: Instant) -> Nanos {
        self.epoch + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// The current wall clock time, in nanoseconds since the Unix epoch.
    pub fn wall(&self) -> Nanos {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
    }

    /// Converts a time on this clock to a runtime instant, for timers.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.start + Duration::from_nanos(at.saturating_sub(self.epoch))).into()
    }
}
