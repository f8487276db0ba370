//! Counters of the system calls on the node's sockets and of the bytes copied, so that a measurement needs no tracer.

use std::cell::Cell;

thread_local! {
    static COUNTERS: Cell<IoCounters> = const { Cell::new(IoCounters::ZERO) };
}

/// System calls on this thread's connections, and bytes copied, since the thread started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IoCounters {
    /// Reads, including those that found nothing.
    pub reads: u64,
    /// Reads that found nothing (EAGAIN).
    pub empty_reads: u64,
    /// Writes, vectored or not.
    pub writes: u64,
    /// Peeks for unread data, which check whether a connection is still idle and open.
    pub peeks: u64,
    /// Bytes of messages copied between buffers of the node.
    pub copied_bytes: u64,
}

impl IoCounters {
    const ZERO: IoCounters = IoCounters { reads: 0, empty_reads: 0, writes: 0, peeks: 0, copied_bytes: 0 };

    /// This thread's counters.
    pub fn now() -> IoCounters {
        COUNTERS.get()
    }

    /// The total number of system calls.
    pub fn syscalls(&self) -> u64 {
        self.reads + self.writes + self.peeks
    }
}

fn add(f: impl FnOnce(&mut IoCounters)) {
    let mut counters = COUNTERS.get();
    f(&mut counters);
    COUNTERS.set(counters);
}

/// Counts a read.
pub fn record_read(empty: bool) {
    add(|c| {
        c.reads += 1;
        c.empty_reads += u64::from(empty);
    });
}

/// Counts a write.
pub fn record_write() {
    add(|c| c.writes += 1);
}

/// Counts a peek.
pub fn record_peek() {
    add(|c| c.peeks += 1);
}

/// Counts the bytes of a copy.
pub fn record_copy(bytes: usize) {
    add(|c| c.copied_bytes += bytes as u64);
}
