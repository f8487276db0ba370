//! The node's one clock. It begins at what the wall clock says and only goes forward from there: where that was wrong or is
//! stepped later, spans of time stay right. Times of other machines are brought to it in [`crate::age`].

use laurelroute_policy::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The system's clock is read once; from then on time only goes forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch: Nanos,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock.
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { epoch: since.as_nanos() as Nanos, start: Instant::now() }
    }

    /// Nanoseconds on the node's own clock.
    pub fn now(&self) -> Nanos {
        self.epoch + self.start.elapsed().as_nanos() as Nanos
    }

    /// What the wall clock says now, nanoseconds since the Unix epoch.
    pub fn wall(&self) -> Nanos {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
    }

    /// The instant of a point in time, for timers.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.start + Duration::from_nanos(at.saturating_sub(self.epoch))).into()
    }
}
