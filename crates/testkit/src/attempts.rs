//! Attempts that servers have under way, by request. Whether one is over is judged by its connection's state in the
//! kernel, not by when a server's thread gets to read it.

use crate::lock;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An attempt that began while earlier ones of its request were still under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// The request.
    pub id: String,
    /// Attempts under way, the new one included.
    pub outstanding: usize,
    /// How long ago the oldest of them had begun.
    pub oldest: Duration,
}

/// One attempt whose last byte has come.
struct Outstanding {
    number: usize,
    begun: Instant,
    /// The server's end of its connection.
    stream: TcpStream,
}

#[derive(Default)]
struct Records {
    outstanding: HashMap<String, Vec<Outstanding>>,
    begun: HashMap<String, usize>,
    overlaps: Vec<Overlap>,
}

/// The attempts of all servers of a test.
#[derive(Clone, Default)]
pub struct Attempts(Arc<Mutex<Records>>);

impl std::fmt::Debug for Attempts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Attempts({:?})", self.overlaps())
    }
}

impl Attempts {
    /// Records that the last byte of an attempt has come over this connection.
    pub fn begin(&self, id: &str, stream: &TcpStream) -> AttemptRecord {
        let stream = stream.try_clone().expect("a connection can be duplicated");
        let mut records = lock(&self.0);
        let begun = records.begun.entry(id.to_owned()).or_default();
        let number = *begun;
        *begun += 1;
        let outstanding = records.outstanding.entry(id.to_owned()).or_default();
        outstanding.retain(|attempt| !peer_closed(&attempt.stream));
        outstanding.push(Outstanding { number, begun: Instant::now(), stream });
        let count = outstanding.len();
        let oldest = outstanding[0].begun.elapsed();
        if count > 1 {
            records.overlaps.push(Overlap { id: id.to_owned(), outstanding: count, oldest });
        }
        AttemptRecord { attempts: self.clone(), id: id.to_owned(), number }
    }

    /// How many attempts of a request have begun.
    pub fn begun(&self, id: &str) -> usize {
        lock(&self.0).begun.get(id).copied().unwrap_or(0)
    }

    /// Attempts that began while others of their requests were under way.
    pub fn overlaps(&self) -> Vec<Overlap> {
        lock(&self.0).overlaps.clone()
    }

    /// The overlaps of more attempts than may be under way at once.
    pub fn over(&self, allowed: usize) -> Vec<Overlap> {
        self.overlaps().into_iter().filter(|overlap| overlap.outstanding > allowed).collect()
    }
}

/// An attempt that is under way at its server until this is dropped, or until its peer has closed the connection. To be
/// dropped right before the last byte of a whole answer is written, and before the connection is closed.
#[must_use]
pub struct AttemptRecord {
    attempts: Attempts,
    id: String,
    number: usize,
}

impl AttemptRecord {
    /// Which attempt of its request it is, from 0.
    pub fn number(&self) -> usize {
        self.number
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        let mut records = lock(&self.attempts.0);
        if let Some(outstanding) = records.outstanding.get_mut(&self.id) {
            outstanding.retain(|attempt| attempt.number != self.number);
            if outstanding.is_empty() {
                records.outstanding.remove(&self.id);
            }
        }
    }
}

/// Whether the peer has closed, shut or reset the connection, whatever is unread.
pub fn peer_closed(stream: &TcpStream) -> bool {
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, ended)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut polled, Some(&at_once)).is_ok() && polled[0].revents().intersects(ended)
}
