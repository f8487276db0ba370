//! Buffered message bodies.

use crate::budget::BodyLease;
use bytes::Bytes;

/// Bodies are kept in blocks of this size.
const BLOCK_BYTES: usize = 16 * 1024;
/// The beginning of a body that the lease of its request's head accounts for, so that a short response finds room whenever
/// its request did.
pub const PREPAID_BYTES: u64 = 4 * 1024;
/// What a streamed body takes beyond its buffered part: a chunk on its way, what is queued for the connection that it is
/// written to, and the read buffer of the connection that it comes from.
const STREAM_BYTES: usize = 64 * 1024;

/// A body, or the beginning of a streamed one, which can be sent again without a copy.
#[derive(Debug)]
pub struct BufferedBody {
    blocks: Vec<Bytes>,
    /// The last block, while it is being filled.
    tail: Vec<u8>,
    len: u64,
    /// The length that the lease accounts for.
    covered: u64,
    lease: BodyLease,
}

impl BufferedBody {
    /// An empty body; what is pushed to it counts against the lease's budget.
    pub fn new(lease: BodyLease) -> Self {
        BufferedBody { blocks: Vec::new(), tail: Vec::new(), len: 0, covered: PREPAID_BYTES, lease }
    }

    /// Reserves room for a body of this length; returns false if the budget has none.
    pub fn reserve(&mut self, length: u64) -> bool {
        let missing = length.saturating_sub(self.covered);
        let reserved = missing == 0 || self.lease.grow(missing as usize);
        if reserved {
            self.covered += missing;
        }
        reserved
    }

    /// Appends a chunk; returns false, with nothing added, if the budget has no room for it. The chunk is copied: it is a
    /// slice of a read buffer of any size, which it would keep allocated.
    pub fn push(&mut self, mut chunk: &[u8]) -> bool {
        if chunk.is_empty() {
            return true;
        }
        if !self.reserve(self.len + chunk.len() as u64) {
            return false;
        }
        crate::io_counters::record_copy(chunk.len());
        self.len += chunk.len() as u64;
        while !chunk.is_empty() {
            let room = BLOCK_BYTES - self.tail.len();
            let (part, rest) = chunk.split_at(room.min(chunk.len()));
            self.tail.extend_from_slice(part);
            chunk = rest;
            if self.tail.len() == BLOCK_BYTES {
                self.seal();
            }
        }
        true
    }

    /// Ends the last block. To be called once nothing more is pushed.
    pub fn seal(&mut self) {
        if !self.tail.is_empty() {
            self.tail.shrink_to_fit();
            self.blocks.push(std::mem::take(&mut self.tail).into());
        }
    }

    /// Accounts for what it takes to stream the rest of the body; returns false if the budget has no room for it.
    pub fn reserve_stream(&mut self) -> bool {
        self.lease.grow(STREAM_BYTES)
    }

    /// Frees the blocks of a streamed body, of which only the rest is still needed.
    pub fn release_blocks(&mut self) {
        self.blocks = Vec::new();
        self.lease.shrink_to(STREAM_BYTES);
    }

    /// Length in bytes of all that was pushed.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The block with this index; `None` after the last.
    pub fn get(&self, index: usize) -> Option<Bytes> {
        self.blocks.get(index).cloned()
    }
}
