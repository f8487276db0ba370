//! One TCP connection, shared between hyper and the node: hyper reads and writes it, the node asks what has
//! gone over it.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection and what the node has to know of it.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Something has come since the node last cleared this.
    pub heard: Cell<bool>,
    /// Something has gone either way since the node last cleared this.
    pub moved: Cell<bool>,
    outgoing: Cell<Outgoing>,
}

/// How much of a request has been handed to the kernel. A request of which it does not have the last byte
/// cannot have run, and only that proves that an unsafe one may be sent again.
#[derive(Clone, Copy, Debug, Default)]
struct Outgoing {
    /// How many bytes of the blank line that ends a head have just gone by.
    blank: u8,
    head_done: bool,
    body_left: u64,
}

impl Outgoing {
    fn note(&mut self, bytes: &[u8]) {
        let mut at = 0;
        while !self.head_done && at < bytes.len() {
            self.blank = match (bytes[at], self.blank) {
                (b'\r', 2) => 3,
                (b'\r', _) => 1,
                (b'\n', 1) => 2,
                (b'\n', 3) => 4,
                _ => 0,
            };
            self.head_done = self.blank == 4;
            at += 1;
        }
        self.body_left = self.body_left.saturating_sub((bytes.len() - at) as u64);
    }
}

impl Socket {
    pub fn new(stream: TcpStream) -> Rc<Self> {
        // Answers and requests are written whole: waiting to fill a segment would only delay them.
        let _ = stream.set_nodelay(true);
        Rc::new(Socket { stream, heard: Cell::new(false), moved: Cell::new(true), outgoing: Cell::default() })
    }

    /// A request with a body of this length is about to be written.
    pub fn expect_request(&self, body: u64) {
        self.outgoing.set(Outgoing { body_left: body, ..Outgoing::default() });
    }

    /// The kernel has the last byte of the request: from here on it may have run.
    pub fn written(&self) -> bool {
        let o = self.outgoing.get();
        o.head_done && o.body_left == 0
    }

    /// Nothing has come and the peer has not closed. This asks the kernel itself: what the runtime knows may
    /// be older than a close that would lose the next request.
    pub fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let seen = socket2::SockRef::from(&self.stream).peek(&mut byte);
        matches!(seen, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The side of a [`Socket`] that hyper holds.
pub struct SocketIo(pub Rc<Socket>);

impl AsyncRead for SocketIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read_buf(buf) {
                Ok(n) => {
                    self.0.heard.set(self.0.heard.get() | (n > 0));
                    self.0.moved.set(true);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.stream.try_write_vectored(slices) {
                Ok(n) => {
                    self.0.moved.set(true);
                    let (mut outgoing, mut left) = (self.0.outgoing.get(), n);
                    for slice in slices {
                        let part = left.min(slice.len());
                        outgoing.note(&slice[..part]);
                        left -= part;
                    }
                    self.0.outgoing.set(outgoing);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_written_with_its_last_byte() {
        let request = b"POST /a HTTP/1.1\r\nA: b\r\r\r\n\r\nbody";
        let mut o = Outgoing { body_left: 4, ..Outgoing::default() };
        for (k, byte) in request.iter().enumerate() {
            assert!(!(o.head_done && o.body_left == 0), "done after {k} bytes");
            o.note(&[*byte]);
        }
        assert!(o.head_done && o.body_left == 0);
    }
}
