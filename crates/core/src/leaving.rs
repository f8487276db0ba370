//! Whether a client is still there, found out without reading what it has sent.
//!
//! Reading alone does not tell: with bytes of a further request unread, the end behind them is never come to while the
//! request before them waits.

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

/// The same of a connection whose first request has just been read. The runtime reads a new connection before the poller has
/// said anything of it, so that the kernel is asked; where bytes are unread the end may be behind them, and the poller is
/// given a turn.
pub async fn closed_in_the_queue(stream: &TcpStream) -> bool {
    if closed(stream) {
        return true;
    }
    crate::tally::peek();
    let seen = socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    match seen {
        Ok(0) => true,
        Ok(_) => {
            tokio::time::sleep(TURN).await;
            closed(stream)
        }
        Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
    }
}
