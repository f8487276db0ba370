//! A TCP connection that one owner holds and others refer to: it can be closed at once, whoever still refers to it, and
//! what it takes up within the limits is released exactly when its descriptor is closed.

use crate::peer::{self, PeerState};
use crate::retry_io;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most data that the kernel holds for a peer beyond what the peer's receive window takes, in bytes. With a larger
/// queue, a write that goes through says little of the peer: the kernel accepts megabytes at once, and nothing more before
/// a third of them is gone. It also bounds the memory that a slow reader takes up.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;
/// What the kernel is asked to hold for a connection that is not read. By itself it would hold many megabytes, of a server
/// whose answer is long as of a client that sends more than it may.
const MAX_UNREAD_BYTES: usize = 256 * 1024;
/// How long a peer may take nothing of what is written to it. The kernel of a peer that reads slowly accepts data in steps
/// of up to a sixteenth of its receive buffer, with seconds between them.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The same for a client where others need its slot.
const WRITE_STALL_TIMEOUT_CROWDED: Duration = Duration::from_secs(3);

/// How long a peer may take nothing of what is written to it before it counts as gone; `crowded` where other clients need
/// the slot.
pub fn write_stall_timeout(crowded: bool) -> Duration {
    match crowded {
        true => WRITE_STALL_TIMEOUT_CROWDED,
        false => WRITE_STALL_TIMEOUT,
    }
}

/// An open descriptor and its slots, in the order in which they are released.
struct Open {
    stream: TcpStream,
    _slots: Box<dyn Any>,
}

/// A TCP connection of the node.
pub struct Connection {
    open: RefCell<Option<Open>>,
    request_sent: Cell<bool>,
    /// The last write found no room: the peer takes nothing.
    write_blocked: Cell<bool>,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Connection(open: {})", self.is_open())
    }
}

impl Connection {
    /// A connection that holds these slots until it is closed.
    pub fn new(stream: TcpStream, slots: impl Any) -> Rc<Connection> {
        // Messages are written in full: waiting to fill a segment would only delay them.
        let _ = stream.set_nodelay(true);
        // Without these, the connection works all the same.
        let socket = socket2::SockRef::from(&stream);
        let _ = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        let _ = socket.set_recv_buffer_size(MAX_UNREAD_BYTES);
        let open = Open { stream, _slots: Box::new(slots) };
        Rc::new(Connection {
            open: RefCell::new(Some(open)),
            request_sent: Cell::new(false),
            write_blocked: Cell::new(false),
        })
    }

    /// Closes the connection now: the peer is notified before this returns. Later reads and writes fail.
    pub fn close(&self) {
        drop(self.open.take());
    }

    /// Whether the connection has not been closed here.
    pub fn is_open(&self) -> bool {
        self.open.borrow().is_some()
    }

    /// Whether the kernel has the last byte of the request that the connection carries: from then on it may run.
    pub fn request_sent(&self) -> bool {
        self.request_sent.get()
    }

    /// Records whether the kernel has the last byte of the request.
    pub fn set_request_sent(&self, sent: bool) {
        self.request_sent.set(sent);
    }

    fn with_stream<T>(&self, f: impl FnOnce(&TcpStream) -> T) -> Option<T> {
        self.open.borrow().as_ref().map(|open| f(&open.stream))
    }

    /// Whether nothing has arrived and the peer has not closed. This asks the kernel: the runtime's state may be older
    /// than a close that would lose the next request.
    pub fn is_quiescent(&self) -> bool {
        self.with_stream(peer::is_quiescent).unwrap_or(false)
    }

    /// Whether the connection is closed here or by the peer, even if data is still unread.
    pub fn peer_closed(&self) -> bool {
        self.with_stream(peer::closed).unwrap_or(true)
    }

    /// The state of the peer, as the kernel has it now.
    pub fn peer_state(&self) -> PeerState {
        self.with_stream(peer::peer_state).unwrap_or(PeerState::Closed)
    }

    /// Whether so much is unread that a close of the peer may not have arrived.
    pub fn may_hide_close(&self) -> bool {
        self.with_stream(peer::may_hide_close).unwrap_or(true)
    }

    /// The state of a client whose request has been read to its end. A client counts as gone if it has sent so much behind
    /// the request that its close could not arrive: a further attempt might be sent long after the close.
    pub fn client_state_after_request(&self) -> PeerState {
        match self.peer_state() {
            PeerState::Unknown if self.may_hide_close() => PeerState::Closed,
            state => state,
        }
    }

    /// The state of the peer behind a request that has just been read, the connection's first or a later one. The runtime reads a new connection before it has polled it at all, and an old one on the strength of
    /// an earlier event. On the first request of a connection, where the end of the stream may be behind unread data,
    /// the poller is given time to run.
    pub async fn peer_state_after_read(&self, first_request: bool) -> PeerState {
        let state = self.peer_state();
        if state == PeerState::Unknown && first_request {
            tokio::time::sleep(peer::POLLER_TURN).await;
            return if self.peer_closed() { PeerState::Closed } else { PeerState::Unknown };
        }
        state
    }

    /// Runs `f` on the descriptor, if the connection is open.
    pub fn with_descriptor<T>(&self, f: impl FnOnce(BorrowedFd<'_>) -> T) -> Option<T> {
        self.with_stream(|stream| f(stream.as_fd()))
    }

    /// Reads available data, or waits for some ([`retry_io::poll_read`]).
    pub fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        self.with_stream(|stream| retry_io::poll_read(stream, cx, buffer)).unwrap_or_else(closed_error)
    }

    /// Writes as much as the connection accepts, or waits until it accepts some ([`retry_io::poll_write`]).
    pub fn poll_write(&self, cx: &mut Context<'_>, slices: &[io::IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let written = self.with_stream(|stream| retry_io::poll_write(stream, cx, slices));
        let written = written.unwrap_or_else(closed_error);
        self.write_blocked.set(written.is_pending());
        written
    }

    /// Whether there is data to write and the peer takes none of it now.
    pub fn write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Ends the sending direction.
    pub fn shutdown_write(&self) -> io::Result<()> {
        let shut = |stream: &TcpStream| socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
        self.with_stream(shut).unwrap_or(Ok(()))
    }
}

fn closed_error<T>() -> Poll<io::Result<T>> {
    Poll::Ready(Err(io::ErrorKind::NotConnected.into()))
}

/// Reads and writes of a connection, for its owner.
#[derive(Debug)]
pub struct ConnectionIo(pub Rc<Connection>);

impl AsyncRead for ConnectionIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buffer).map_ok(|_| ())
    }
}

impl AsyncWrite for ConnectionIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes are unbuffered: the kernel already has the data.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.shutdown_write())
    }
}
