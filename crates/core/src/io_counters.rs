//! What the node asks of the kernel, counted where its sockets are used, so that a measurement needs no tracer.

use std::cell::Cell;

thread_local! {
    static TALLY: Cell<IoCounters> = const { Cell::new(IoCounters::ZERO) };
}

/// System calls on this thread's connections since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IoCounters {
    /// Reads, those that found nothing among them.
    pub reads: u64,
    /// Reads that found nothing (EAGAIN).
    pub empty_reads: u64,
    /// Writes, vectored or not.
    pub writes: u64,
    /// Looks at whether a kept connection is still quiet.
    pub peeks: u64,
    /// Bytes of messages that were copied from one buffer of the node's to another.
    pub copied_bytes: u64,
}

impl IoCounters {
    const ZERO: IoCounters = IoCounters { reads: 0, empty_reads: 0, writes: 0, peeks: 0, copied_bytes: 0 };

    /// This thread's counts.
    pub fn now() -> IoCounters {
        TALLY.get()
    }

    /// All calls together.
    pub fn syscalls(&self) -> u64 {
        self.reads + self.writes + self.peeks
    }
}

fn add(f: impl FnOnce(&mut IoCounters)) {
    let mut tally = TALLY.get();
    f(&mut tally);
    TALLY.set(tally);
}

/// Counts a read.
pub fn record_read(empty: bool) {
    add(|t| {
        t.reads += 1;
        t.empty_reads += u64::from(empty);
    });
}

/// Counts a write.
pub fn record_write() {
    add(|t| t.writes += 1);
}

/// Counts a peek.
pub fn record_peek() {
    add(|t| t.peeks += 1);
}

/// Counts a copy.
pub fn record_copy(bytes: usize) {
    add(|t| t.copied_bytes += bytes as u64);
}
