//! Time for which this process has been running, for timeouts on peers that make no progress.
//!
//! A process that is stopped, starved or paging is not notified of it: its monotonic clock continues, and data that its
//! peers send meanwhile stays unread in its sockets. When it resumes, its timers are late and may fire before anything
//! is read. Timeouts on peers therefore use [`RunningTime`], and read the sockets first ([`poll_sockets_first`]).

use crate::peer::PEER_CHECK_INTERVAL;
use laurelroute_policy::interface::Nanos;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// The most time counted between two ticks: usual timer delays and short stalls count as running.
const MAX_TICK: Nanos = 3 * PEER_CHECK_INTERVAL.as_nanos() as Nanos;
/// A timer that fires later than this shows that the process was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(20);
/// Runtime turns after which data in the sockets has been read and passed on: to the connection, the request and the
/// attempt.
const READ_TURNS: usize = 3;

/// A clock that stops while the process is stalled.
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

    /// The running time since the first tick, at this monotonic time.
    pub fn at(&self, now: Nanos) -> Nanos {
        let passed = now.saturating_sub(self.ticked_at.get().unwrap_or(now));
        self.counted.get() + passed.min(MAX_TICK)
    }
}

/// Lets the runtime read pending data from the sockets before the caller continues.
///
/// When a stopped process is resumed, its wait for events is interrupted (EINTR, signal(7)), and the runtime then fires
/// its timers without having polled for events.
pub async fn poll_sockets_first() {
    for _ in 0..READ_TURNS {
        tokio::task::yield_now().await;
    }
}

/// Sleeps for a duration, like [`sleep_until`].
pub async fn sleep(span: Duration) {
    sleep_until(Instant::now() + span).await;
}

/// Sleeps until a time. If the process was stalled beyond it, pending data has been read when this returns.
pub async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at).await;
    if at.elapsed() > STALL_THRESHOLD {
        poll_sockets_first().await;
    }
}

/// A timeout expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not in time")]
pub struct TimedOut;

/// Waits for a future with a timeout. Unlike the runtime's own timeout, this polls the future again after a stall of
/// the process, once pending data has been read.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, TimedOut> {
    let mut future = pin!(future);
    let end = Instant::now() + limit;
    tokio::select! {
        biased;
        output = &mut future => return Ok(output),
        _ = tokio::time::sleep_until(end) => {}
    }
    if end.elapsed() <= STALL_THRESHOLD {
        return Err(TimedOut);
    }
    for _ in 0..READ_TURNS {
        tokio::task::yield_now().await;
        let polled = poll_fn(|context| Poll::Ready(future.as_mut().poll(context))).await;
        if let Poll::Ready(output) = polled {
            return Ok(output);
        }
    }
    Err(TimedOut)
}
