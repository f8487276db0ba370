//! Classification of socket errors for all connections, and reads and writes that handle interrupted and short system
//! calls.

use crate::io_counters;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How to handle an error of a socket call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// The call did nothing and can be retried at once (EINTR).
    Interrupted,
    /// The socket is not ready (EAGAIN): wait for the poller.
    WouldBlock,
    /// The connection is broken.
    Fatal,
}

/// After this many fruitless calls in a row the task yields to others: a storm of signals must not occupy the thread.
const MAX_FRUITLESS_CALLS: usize = 16;

/// Classifies an error of a read or a write on a connection.
pub fn classify_error(error: &io::Error) -> ErrorClass {
    match error.kind() {
        io::ErrorKind::Interrupted => ErrorClass::Interrupted,
        io::ErrorKind::WouldBlock => ErrorClass::WouldBlock,
        _ => ErrorClass::Fatal,
    }
}

/// Repeats a call until it is not interrupted.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if classify_error(&e) == ErrorClass::Interrupted => {}
            done => return done,
        }
    }
}

/// Reads available data from a connection, or waits for some.
///
/// The runtime's own reads take a short read to mean that nothing is left, and wait for new data to arrive. A call that
/// is interrupted midway leaves bytes behind, which may be the last ones: here only EAGAIN means that nothing is left.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    for _ in 0..MAX_FRUITLESS_CALLS {
        ready!(stream.poll_read_ready(cx))?;
        let read = stream.try_read_buf(buffer);
        io_counters::record_read(read.is_err());
        match read {
            Err(e) if classify_error(&e) != ErrorClass::Fatal => {}
            done => return Poll::Ready(done),
        }
    }
    yield_and_retry(cx)
}

/// Writes as much as a connection accepts, or waits until it accepts some; a short write does not mean that it is full.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    slices: &[io::IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    for _ in 0..MAX_FRUITLESS_CALLS {
        ready!(stream.poll_write_ready(cx))?;
        io_counters::record_write();
        match stream.try_write_vectored(slices) {
            Err(e) if classify_error(&e) != ErrorClass::Fatal => {}
            done => return Poll::Ready(done),
        }
    }
    yield_and_retry(cx)
}

fn yield_and_retry<T>(cx: &mut Context<'_>) -> Poll<T> {
    cx.waker().wake_by_ref();
    Poll::Pending
}

/// A connection whose reads and writes handle interrupted and short system calls.
#[derive(Debug)]
pub struct RetryingStream(TcpStream);

impl RetryingStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> RetryingStream {
        RetryingStream(stream)
    }
}

impl AsyncRead for RetryingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buffer).map_ok(|_| ())
    }
}

impl AsyncWrite for RetryingStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes are unbuffered: the kernel already has the data.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0).shutdown(std::net::Shutdown::Write))
    }
}
