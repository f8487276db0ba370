//! Whether a peer is still there, found out without reading what it has sent.
//!
//! Reading alone does not tell: with bytes of a further request unread, the end behind them is never come to while the
//! request before them waits.

use crate::retry_io::{meaning, retried, Meaning};
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
pub const LOOK: Duration = Duration::from_millis(100);

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
    crate::tally::peek();
    retried(|| socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}

/// Nothing has come and the peer has not closed: a close now loses no request, and a request now meets no close.
pub fn quiet(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(e) if meaning(&e) == Meaning::NotNow)
}

/// Whether a client is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is.
    There,
    /// It has closed or reset its connection.
    Gone,
    /// It has sent more, behind which its end may be: once the poller has had its turn, this means that it is there.
    Unclear,
}

/// Whether the peer is there, as the kernel has it now.
pub fn presence(stream: &TcpStream) -> Presence {
    if closed(stream) {
        return Presence::Gone;
    }
    match peek(stream) {
        Ok(0) => Presence::Gone,
        Ok(_) => Presence::Unclear,
        Err(e) if meaning(&e) == Meaning::Over => Presence::Gone,
        Err(_) => Presence::There,
    }
}

/// The same as [`closed`] for a request that has just been read, as the kernel has it: the poller may not have come to say so. The runtime
/// reads a new connection before it hears anything of it, and an old one on the strength of what it heard earlier. On a
/// connection's first request an end may be behind bytes that are unread: there the poller is given a turn.
pub async fn closed_behind(stream: &TcpStream, first: bool) -> bool {
    match presence(stream) {
        Presence::There => false,
        Presence::Gone => true,
        Presence::Unclear if first => {
            tokio::time::sleep(TURN).await;
            closed(stream)
        }
        Presence::Unclear => false,
    }
}
