//! When a client's connection that rests between two requests may be ended: one rule for every wire and every reason.
//!
//! A client may send its next request at any moment, and a close that crosses it leaves that request without an answer. A
//! connection that has been used is therefore ended with an answer that says so, by giving it to another process, or after a rest
//! so long that a client which goes on asking would have asked.
//!
//! A rest is counted in looks, one every [`crate::peer::PEER_CHECK_INTERVAL`], each after the sockets have been read. However long the process
//! or the whole machine was held up, that counts as one look.

use laurelroute_policy::interface::Nanos;
use std::cell::Cell;

/// A client that goes on asking has asked again by this look.
const ASKS_AGAIN: u32 = 3;
/// So has one by this look that is held up itself on busy cores, and is late to read its answer.
const ASKS_AGAIN_LATE: u32 = 10;
/// A client sends its first request as soon as it is connected, in running time ([`crate::running`]).
pub const FIRST_REQUEST_GRACE: Nanos = 100_000_000;

/// A connection's rest: since it was opened, or since its last answer.
#[derive(Debug)]
pub struct IdleTracker {
    /// In running time.
    since: Cell<Nanos>,
    /// It has carried a request, here or at the process that gave it over.
    used: Cell<bool>,
    /// Looks that have found it at rest.
    looks: Cell<u32>,
}

impl IdleTracker {
    /// Of a connection that has just been opened, or that another process has given over.
    pub fn new(now: Nanos, used: bool) -> IdleTracker {
        IdleTracker { since: Cell::new(now), used: Cell::new(used), looks: Cell::new(0) }
    }

    /// A request has come.
    pub fn request_started(&self) {
        self.used.set(true);
        self.looks.set(0);
    }

    /// The rest begins: the last byte of an answer is on its way.
    pub fn response_sent(&self, now: Nanos) {
        self.since.set(now);
        self.looks.set(0);
    }

    /// To be called at each look that finds the connection at rest.
    pub fn record_check(&self) {
        self.looks.set(self.looks.get().saturating_add(1));
    }

    /// Whether it has carried a request.
    pub fn used(&self) -> bool {
        self.used.get()
    }

    /// Since when it rests, in running time.
    pub fn idle_since(&self) -> Nanos {
        self.since.get()
    }

    /// How long it has rested, in running time.
    pub fn idle_for(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.since.get())
    }

    /// Whether it may be ended where a new client needs its place and nobody else's can be had: no request is likely to be
    /// on its way. What the kernel has is to be asked beside it.
    pub fn may_evict(&self, now: Nanos) -> bool {
        self.longer_than(ASKS_AGAIN, now)
    }

    /// Whether it may be ended without need: not even one of a client that is held up.
    pub fn may_close(&self, now: Nanos) -> bool {
        self.longer_than(ASKS_AGAIN_LATE, now)
    }

    fn longer_than(&self, looks: u32, now: Nanos) -> bool {
        match self.used.get() {
            true => self.looks.get() >= looks,
            false => self.idle_for(now) >= FIRST_REQUEST_GRACE,
        }
    }
}
