//! Time in which this process ran, for limits on how long a peer may stand still.
//!
//! A process that is stopped, starved or paging is not told so: its monotonic clock goes on, and what its peers send meanwhile
//! lies unread in its sockets. When it runs again its timers are late and may fire before anything is read. Whoever judges a peer by the time that has
//! passed goes by [`RunningTime`], and reads first ([`poll_sockets_first`]).

use crate::peer::PEER_CHECK_INTERVAL;
use laurelroute_policy::interface::Nanos;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// The most that counts from one tick to the next: a timer's usual lateness and short hold-ups are part of running.
const MOST_COUNTED: Nanos = 3 * PEER_CHECK_INTERVAL.as_nanos() as Nanos;
/// A timer that fires so long after its time says that the process was held up.
const LATE: Duration = Duration::from_millis(20);
/// Turns of the runtime in which what lies in the sockets is read and handed on: to the connection, to the request, to the attempt.
const TURNS: usize = 3;

/// A clock that stands still while the process does.
#[derive(Debug, Default)]
pub struct RunningTime {
    counted: Cell<Nanos>,
    ticked_at: Cell<Option<Nanos>>,
}

impl RunningTime {
    /// To be called every [`PEER_CHECK_INTERVAL`], with the monotonic time.
    pub fn tick(&self, now: Nanos) {
        self.counted.set(self.at(now));
        self.ticked_at.set(Some(now));
    }

    /// The running time at this monotonic time, counted from the first tick.
    pub fn at(&self, now: Nanos) -> Nanos {
        let passed = now.saturating_sub(self.ticked_at.get().unwrap_or(now));
        self.counted.get() + passed.min(MOST_COUNTED)
    }
}

/// Lets the runtime read what lies in the sockets before its caller goes on.
///
/// A process that is woken from a stop has its wait for events interrupted (EINTR, signal(7)), and the runtime then fires its timers without having
/// asked for events.
pub async fn poll_sockets_first() {
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
    }
}

/// Waits so long ([`sleep_until`]).
pub async fn sleep(span: Duration) {
    sleep_until(Instant::now() + span).await;
}

/// Waits until that time; where the process was held up beyond it, what came meanwhile has been read by the end of this.
pub async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at).await;
    if at.elapsed() > LATE {
        poll_sockets_first().await;
    }
}

/// What was waited for did not come in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not in time")]
pub struct TimedOut;

/// Waits so long for a future. Unlike the runtime's own time-out this one looks once more at what came while the process was
/// held up.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, TimedOut> {
    let mut future = pin!(future);
    let end = Instant::now() + limit;
    tokio::select! {
        biased;
        output = &mut future => return Ok(output),
        _ = tokio::time::sleep_until(end) => {}
    }
    if end.elapsed() <= LATE {
        return Err(TimedOut);
    }
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
        let polled = poll_fn(|context| Poll::Ready(future.as_mut().poll(context))).await;
        if let Poll::Ready(output) = polled {
            return Ok(output);
        }
    }
    Err(TimedOut)
}
