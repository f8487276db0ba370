//! Bytes of a connection, both ways, second by second: those that TCP carries, with TLS and its handshakes, without the
//! heads of IP and TCP.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes by the second since a beginning.
#[derive(Clone, Debug)]
pub struct Seconds {
    begun: Instant,
    bytes: Vec<u32>,
}

/// What a node's seconds come to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Bytes a second, over all of the time.
    pub mean: f64,
    /// The most in any second.
    pub second: f64,
    /// The most bytes a second over any ten seconds.
    pub ten: f64,
}

/// Seconds that are kept: beyond a day nothing is counted.
const MOST_SECONDS: usize = 86_400;

impl Seconds {
    /// Nothing yet; all seconds are counted from `begun`.
    pub fn new(begun: Instant) -> Self {
        Seconds { begun, bytes: Vec::new() }
    }

    /// So many bytes, now.
    pub fn add(&mut self, bytes: usize) {
        let second = self.begun.elapsed().as_secs() as usize;
        if bytes == 0 || second >= MOST_SECONDS {
            return;
        }
        if self.bytes.len() <= second {
            self.bytes.resize(second + 1, 0);
        }
        self.bytes[second] = self.bytes[second].saturating_add(bytes as u32);
    }

    /// Rates from a second on, to now.
    pub fn rates(&self, from: usize) -> Rates {
        let now = self.begun.elapsed().as_secs() as usize + 1;
        rates(self.bytes.get(from..).unwrap_or_default(), now.saturating_sub(from))
    }
}

/// Rates of a span whose first seconds are given and whose others were silent.
pub fn rates(bytes: &[u32], seconds: usize) -> Rates {
    let sum = |part: &[u32]| part.iter().map(|b| f64::from(*b)).sum::<f64>();
    let ten = (0..bytes.len()).map(|k| sum(&bytes[k..bytes.len().min(k + 10)])).fold(0.0, f64::max);
    Rates {
        mean: sum(bytes) / seconds.max(1) as f64,
        second: bytes.iter().copied().max().map_or(0.0, f64::from),
        ten: ten / 10.0,
    }
}

/// Counts are good whoever has panicked.
pub fn lock(seconds: &Mutex<Seconds>) -> MutexGuard<'_, Seconds> {
    seconds.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stream whose bytes are counted.
pub struct Counted<S> {
    inner: S,
    seconds: Arc<Mutex<Seconds>>,
}

impl<S> Counted<S> {
    /// Counts into these seconds.
    pub fn new(inner: S, seconds: Arc<Mutex<Seconds>>) -> Self {
        Counted { inner, seconds }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.inner).poll_read(cx, buf);
        lock(&self.seconds).add(buf.filled().len() - before);
        done
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let done = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &done {
            lock(&self.seconds).add(*written);
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
