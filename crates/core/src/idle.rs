//! Decides when a client connection that is idle between two requests may be closed: one rule for all protocols and
//! reasons.
//!
//! A client may send its next request at any moment, and a close that races with it leaves that request without a
//! response. A connection that has carried requests is therefore closed with a response that announces it, by handing
//! it over to another process, or after being idle for so long that a client which keeps sending requests would have
//! sent one.
//!
//! Idle time is counted in checks, one every [`crate::peer::PEER_CHECK_INTERVAL`], each made after the sockets have
//! been read. A stall of the process or of the machine counts as one check, however long it lasts.

use laurelroute_policy::interface::Nanos;
use std::cell::Cell;

/// An active client has sent its next request by this many checks.
const ACTIVE_CLIENT_CHECKS: u32 = 3;
/// By this many checks so has an active client that is itself slowed down by busy cores and reads its response late.
const SLOW_CLIENT_CHECKS: u32 = 10;
/// Time within which a client sends its first request after connecting, in running time ([`crate::running`]).
pub const FIRST_REQUEST_GRACE: Nanos = 100_000_000;

/// Tracks how long a connection has been idle: since it was opened, or since its last response.
#[derive(Debug)]
pub struct IdleTracker {
    /// Start of the idle period, in running time.
    idle_since: Cell<Nanos>,
    /// Whether the connection has carried a request, here or in the process that handed it over.
    used: Cell<bool>,
    /// Consecutive checks that found the connection idle.
    idle_checks: Cell<u32>,
}

impl IdleTracker {
    /// A tracker for a connection that was just opened or that another process has handed over.
    pub fn new(now: Nanos, used: bool) -> IdleTracker {
        IdleTracker { idle_since: Cell::new(now), used: Cell::new(used), idle_checks: Cell::new(0) }
    }

    /// Records that a request has arrived.
    pub fn request_started(&self) {
        self.used.set(true);
        self.idle_checks.set(0);
    }

    /// Starts an idle period: the last byte of a response has been sent.
    pub fn response_sent(&self, now: Nanos) {
        self.idle_since.set(now);
        self.idle_checks.set(0);
    }

    /// Records a check that found the connection idle.
    pub fn record_check(&self) {
        self.idle_checks.set(self.idle_checks.get().saturating_add(1));
    }

    /// Whether the connection has carried a request.
    pub fn used(&self) -> bool {
        self.used.get()
    }

    /// Start of the idle period, in running time.
    pub fn idle_since(&self) -> Nanos {
        self.idle_since.get()
    }

    /// Length of the idle period, in running time.
    pub fn idle_for(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.idle_since.get())
    }

    /// Whether the connection may be closed if a new client needs its slot and no other can be freed: a request is
    /// unlikely to be on its way. The caller has to check the kernel's receive buffer as well.
    pub fn may_evict(&self, now: Nanos) -> bool {
        self.idle_longer_than(ACTIVE_CLIENT_CHECKS, now)
    }

    /// Whether the connection may be closed without need: not even a slowed-down client is likely to have a request on
    /// its way.
    pub fn may_close(&self, now: Nanos) -> bool {
        self.idle_longer_than(SLOW_CLIENT_CHECKS, now)
    }

    fn idle_longer_than(&self, checks: u32, now: Nanos) -> bool {
        match self.used.get() {
            true => self.idle_checks.get() >= checks,
            false => self.idle_for(now) >= FIRST_REQUEST_GRACE,
        }
    }
}
