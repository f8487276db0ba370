//! Whether a peer is still there, found out without reading what it has sent.
//!
//! Reading alone does not tell: with bytes of a further request unread, the end behind them is never come to while the
//! request before them waits.

use crate::retry_io::{classify_error, retry_interrupted, ErrorClass};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// How often a connection whose request waits, and that is not read, is looked at: a request is not to be sent on once its
/// client has been gone for 0.3 s, and a look may come late on a busy core.
pub const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// In this time the poller says what it knows; only clients wait for it that have sent far more than their first request.
const TURN: Duration = Duration::from_millis(1);

/// The peer has closed its side or reset the connection, as far as the poller has said (EPOLLRDHUP, EPOLLHUP), whatever
/// is still unread.
pub fn closed(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
    matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Bytes that have come and are unread, as far as one tells; none at the peer's end. This asks the kernel itself: what the
/// runtime knows may be older.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    crate::io_counters::record_peek();
    retry_interrupted(|| socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}

/// Nothing has come and the peer has not closed: a close now loses no request, and a request now meets no close.
pub fn is_quiescent(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(e) if classify_error(&e) == ErrorClass::WouldBlock)
}

/// Whether a client is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It is.
    Connected,
    /// It has closed or reset its connection.
    Closed,
    /// It has sent more, behind which its end may be: once the poller has had its turn, this means that it is there.
    Unknown,
}

/// Whether the peer is there, as the kernel has it now.
pub fn peer_state(stream: &TcpStream) -> PeerState {
    if closed(stream) {
        return PeerState::Closed;
    }
    match peek(stream) {
        Ok(0) => PeerState::Closed,
        Ok(_) => PeerState::Unknown,
        Err(e) if classify_error(&e) == ErrorClass::Fatal => PeerState::Closed,
        Err(_) => PeerState::Connected,
    }
}

/// The same as [`closed`] for a request that has just been read, as the kernel has it: the poller may not have come to say so. The runtime
/// reads a new connection before it hears anything of it, and an old one on the strength of what it heard earlier. On a
/// connection's first request an end may be behind bytes that are unread: there the poller is given a turn.
pub async fn closed_after_read(stream: &TcpStream, first: bool) -> bool {
    match peer_state(stream) {
        PeerState::Connected => false,
        PeerState::Closed => true,
        PeerState::Unknown if first => {
            tokio::time::sleep(TURN).await;
            closed(stream)
        }
        PeerState::Unknown => false,
    }
}
