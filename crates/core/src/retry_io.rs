//! What an error of a system call on a socket means, decided in one place for all connections, and reads and writes on
//! which interrupted and short calls do no harm.

use crate::io_counters;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is to be done after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// The call did nothing and may be made again at once (EINTR).
    Interrupted,
    /// Nothing can be done now (EAGAIN): the poller says when.
    WouldBlock,
    /// The connection is over.
    Fatal,
}

/// A call that came to nothing so often in a row gives way to others first: a storm of signals must not hold the thread.
const MOST_IN_A_ROW: usize = 16;

/// What an error of a read or a write on a connection means.
pub fn classify_error(error: &io::Error) -> ErrorClass {
    match error.kind() {
        io::ErrorKind::Interrupted => ErrorClass::Interrupted,
        io::ErrorKind::WouldBlock => ErrorClass::WouldBlock,
        _ => ErrorClass::Fatal,
    }
}

/// Makes a call until it is not interrupted.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if classify_error(&e) == ErrorClass::Interrupted => {}
            done => return done,
        }
    }
}

/// Reads what there is from a connection, or waits for it.
///
/// The runtime's own reads take a short one for a sign that nothing is left, and wait for the next bytes to arrive. A call that
/// is interrupted in its middle leaves bytes behind, which may be the last: here only EAGAIN says that nothing is left.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    for _ in 0..MOST_IN_A_ROW {
        ready!(stream.poll_read_ready(cx))?;
        let read = stream.try_read_buf(buffer);
        io_counters::record_read(read.is_err());
        match read {
            Err(e) if classify_error(&e) != ErrorClass::Fatal => {}
            done => return Poll::Ready(done),
        }
    }
    later(cx)
}

/// Writes what a connection takes, or waits until it takes something; short writes are no sign that it is full.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    slices: &[io::IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    for _ in 0..MOST_IN_A_ROW {
        ready!(stream.poll_write_ready(cx))?;
        io_counters::record_write();
        match stream.try_write_vectored(slices) {
            Err(e) if classify_error(&e) != ErrorClass::Fatal => {}
            done => return Poll::Ready(done),
        }
    }
    later(cx)
}

fn later<T>(cx: &mut Context<'_>) -> Poll<T> {
    cx.waker().wake_by_ref();
    Poll::Pending
}

/// A connection on which interrupted and short calls do no harm.
#[derive(Debug)]
pub struct RetryingStream(Rc<TcpStream>);

impl RetryingStream {
    /// Reads and writes this connection.
    pub fn new(stream: TcpStream) -> RetryingStream {
        RetryingStream(Rc::new(stream))
    }

    /// The connection, for those who only look at it.
    pub fn connection(&self) -> &Rc<TcpStream> {
        &self.0
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
        // The kernel has what was written.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write))
    }
}
