//! Signals of the process, heard so that none is missed and no interrupted call does harm.
//!
//! The handler raises a flag and writes a byte to a socket. The flag counts; the byte only wakes whoever waits, and where it
//! is lost the flag is found at the next look.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream as Pair;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// How often the flag is looked at where nothing wakes.
const LOOK: Duration = Duration::from_millis(250);

/// One kind of signal.
pub(crate) struct Signal {
    raised: Arc<AtomicBool>,
    wake: UnixStream,
}

impl Signal {
    /// SIGTERM from now on.
    pub(crate) fn terminate() -> io::Result<Signal> {
        Signal::of(SIGTERM)
    }

    /// SIGHUP from now on.
    pub(crate) fn hangup() -> io::Result<Signal> {
        Signal::of(SIGHUP)
    }

    fn of(number: i32) -> io::Result<Signal> {
        let raised = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(number, raised.clone())?;
        let (handler, wake) = Pair::pair()?;
        handler.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(number, handler)?;
        Ok(Signal { raised, wake: UnixStream::from_std(wake)? })
    }

    /// Waits for the next one; several that come in between are one.
    pub(crate) async fn recv(&mut self) {
        while !self.raised.swap(false, Ordering::SeqCst) {
            let _ = timeout(LOOK, self.wake.readable()).await;
            // However the read ends, the flag says what has come.
            let _ = self.wake.try_read(&mut [0; 64]);
        }
    }
}
