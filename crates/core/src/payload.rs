//! Messages as they are held and passed on.

use crate::budget::Lease;
use bytes::Bytes;

/// Pieces up to this are copied out of the buffer in which they came.
const SMALL: usize = 4096;

/// A whole body, in the pieces in which it came: it can be sent again without a copy.
#[derive(Debug)]
pub struct Pieces {
    pieces: Vec<Bytes>,
    len: u64,
    lease: Lease,
}

impl Pieces {
    /// Nothing yet; what is pushed counts against the lease's budget.
    pub fn new(lease: Lease) -> Self {
        Pieces { pieces: Vec::new(), len: 0, lease }
    }

    /// Adds a piece; false, with nothing added, where the budget has no room for it.
    pub fn push(&mut self, piece: Bytes) -> bool {
        let fits = piece.is_empty() || self.lease.grow(piece.len());
        if fits && !piece.is_empty() {
            self.len += piece.len() as u64;
            // A small piece of a read buffer would hold the whole buffer for as long as the body lives.
            let small = piece.len() < SMALL;
            if small {
                crate::tally::copied(piece.len());
            }
            self.pieces.push(if small { Bytes::copy_from_slice(&piece) } else { piece });
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

    /// The pieces, in order.
    pub fn pieces(&self) -> &[Bytes] {
        &self.pieces
    }
}
