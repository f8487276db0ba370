//! Buffered message bodies.

use crate::budget::BodyLease;
use bytes::{Bytes, BytesMut};

/// Chunks below this size are copied out of their read buffer and merged: otherwise a body that arrives a few bytes at
/// a time would take far more memory than its length.
const SMALL_CHUNK_BYTES: usize = 4096;

/// A complete body in the chunks in which it arrived, so that it can be sent again without a copy.
#[derive(Debug)]
pub struct BufferedBody {
    chunks: Vec<Bytes>,
    /// The last small chunks, merged.
    tail: BytesMut,
    len: u64,
    lease: BodyLease,
}

impl BufferedBody {
    /// An empty body; chunks pushed to it count against the lease's budget.
    pub fn new(lease: BodyLease) -> Self {
        BufferedBody { chunks: Vec::new(), tail: BytesMut::new(), len: 0, lease }
    }

    /// Appends a chunk; returns false, with nothing added, if the budget has no room for it.
    pub fn push(&mut self, chunk: Bytes) -> bool {
        let fits = chunk.is_empty() || self.lease.grow(chunk.len());
        if fits && !chunk.is_empty() {
            self.len += chunk.len() as u64;
            // A small slice of a read buffer would keep the whole buffer allocated for as long as the body lives.
            if chunk.len() < SMALL_CHUNK_BYTES {
                crate::io_counters::record_copy(chunk.len());
                self.tail.extend_from_slice(&chunk);
            }
            if !self.tail.is_empty()
                && (chunk.len() >= SMALL_CHUNK_BYTES || self.tail.len() >= SMALL_CHUNK_BYTES)
            {
                self.chunks.push(self.tail.split().freeze());
            }
            if chunk.len() >= SMALL_CHUNK_BYTES {
                self.chunks.push(chunk);
            }
        }
        fits
    }

    /// Length in bytes.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The chunk with this index; `None` after the last.
    pub fn get(&self, index: usize) -> Option<Bytes> {
        let tail = || {
            (index == self.chunks.len() && !self.tail.is_empty()).then(|| Bytes::copy_from_slice(&self.tail))
        };
        self.chunks.get(index).cloned().or_else(tail)
    }
}
