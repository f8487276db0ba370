//! Detects whether a peer has closed its connection, without reading the data that it has sent.
//!
//! Reading alone is not enough: with bytes of a further request unread, the end of stream behind them is not reached
//! while the request before them is in progress.

use crate::retry_io::{classify_error, retry_interrupted, ErrorClass};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// How often a connection is checked while its request is in progress and nothing is read from it. A request must not
/// be sent on once its client has been gone for 0.3 s, and on a busy core a check may run late.
pub const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Within this time the poller reports pending events. Only clients that have sent far more than their first request
/// wait for it.
pub(crate) const POLLER_TURN: Duration = Duration::from_millis(1);

/// Whether the peer has closed its side or reset the connection, as far as the poller has reported it (EPOLLRDHUP,
/// EPOLLHUP), regardless of unread data.
pub(crate) fn closed(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
    matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Peeks for unread data: a positive count if there is some, 0 at the end of the stream. This queries the kernel
/// directly, since the readiness that the runtime has stored may be outdated.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    crate::io_counters::record_peek();
    retry_interrupted(|| socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}

/// Whether nothing is unread and the peer has not closed: closing the connection now loses no request, and a request
/// sent now does not meet a close.
pub(crate) fn is_quiescent(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(e) if classify_error(&e) == ErrorClass::WouldBlock)
}

/// With so much unread, the peer's close may be behind data that the kernel has not accepted: it is then not known here.
/// Clients send one request at a time, and hold back the next until they have the answer.
const MAX_UNREAD_BYTES_BEFORE_CLOSE: u64 = 64 * 1024;

/// Whether so much is unread that a close of the peer may not have arrived.
pub(crate) fn may_hide_close(stream: &TcpStream) -> bool {
    rustix::io::ioctl_fionread(stream).is_ok_and(|unread| unread >= MAX_UNREAD_BYTES_BEFORE_CLOSE)
}

/// State of the connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The connection is open.
    Connected,
    /// The peer has closed or reset the connection.
    Closed,
    /// There is unread data, behind which the end of the stream may be. If the state is the same after the poller has
    /// run, the connection is open.
    Unknown,
}

/// The state of the connection to the peer, as the kernel reports it now.
pub(crate) fn peer_state(stream: &TcpStream) -> PeerState {
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
