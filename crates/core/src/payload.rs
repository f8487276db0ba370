//! Messages as they are held and passed on.

use crate::budget::BodyLease;
use bytes::{Bytes, BytesMut};

/// BufferedBody up to this are copied out of the buffer in which they came, and put together: a body that comes a few bytes at a
/// time would else cost far more than its bytes.
const SMALL: usize = 4096;

/// A whole body, in the pieces in which it came: it can be sent again without a copy.
#[derive(Debug)]
pub struct BufferedBody {
    pieces: Vec<Bytes>,
    /// Small ones that came last.
    tail: BytesMut,
    len: u64,
    lease: BodyLease,
}

impl BufferedBody {
    /// Nothing yet; what is pushed counts against the lease's budget.
    pub fn new(lease: BodyLease) -> Self {
        BufferedBody { pieces: Vec::new(), tail: BytesMut::new(), len: 0, lease }
    }

    /// Adds a piece; false, with nothing added, where the budget has no room for it.
    pub fn push(&mut self, piece: Bytes) -> bool {
        let fits = piece.is_empty() || self.lease.grow(piece.len());
        if fits && !piece.is_empty() {
            self.len += piece.len() as u64;
            // A small piece of a read buffer would hold the whole buffer for as long as the body lives.
            if piece.len() < SMALL {
                crate::io_counters::record_copy(piece.len());
                self.tail.extend_from_slice(&piece);
            }
            if !self.tail.is_empty() && (piece.len() >= SMALL || self.tail.len() >= SMALL) {
                self.pieces.push(self.tail.split().freeze());
            }
            if piece.len() >= SMALL {
                self.pieces.push(piece);
            }
        }
        fits
    }

    /// Bytes held.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The piece with this number, from 0; `None` after the last.
    pub fn get(&self, at: usize) -> Option<Bytes> {
        let tail =
            || (at == self.pieces.len() && !self.tail.is_empty()).then(|| Bytes::copy_from_slice(&self.tail));
        self.pieces.get(at).cloned().or_else(tail)
    }
}
