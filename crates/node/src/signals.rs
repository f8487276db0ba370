//! Signal handling that loses no signal and tolerates interrupted system calls.
//!
//! The handler sets a flag and writes a byte to a socket. The flag is authoritative; the byte only wakes the
//! waiting task, and if it is lost the flag is found at the next poll.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// Interval at which the flag is polled without a wake-up.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Receiver of one kind of signal.
pub(crate) struct Signal {
    raised: Arc<AtomicBool>,
    wake: UnixStream,
}

impl Signal {
    /// Receives SIGTERM from now on.
    pub(crate) fn terminate() -> io::Result<Signal> {
        Signal::register(SIGTERM)
    }

    /// Receives SIGHUP from now on.
    pub(crate) fn hangup() -> io::Result<Signal> {
        Signal::register(SIGHUP)
    }

    fn register(number: i32) -> io::Result<Signal> {
        let raised = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(number, raised.clone())?;
        let (handler, wake) = StdUnixStream::pair()?;
        handler.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(number, handler)?;
        Ok(Signal { raised, wake: UnixStream::from_std(wake)? })
    }

    /// Waits for the next signal; several that arrive before the call count as one.
    pub(crate) async fn recv(&mut self) {
        while !self.raised.swap(false, Ordering::SeqCst) {
            let _ = timeout(POLL_INTERVAL, self.wake.readable()).await;
            // The result of the read does not matter: the flag decides.
            let _ = self.wake.try_read(&mut [0; 64]);
        }
    }
}
