//! Bodies on their way out.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use laurelroute_core::payload::Pieces;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Pieces on their way out.
pub struct PieceBody {
    pieces: Rc<Pieces>,
    at: usize,
    left: u64,
}

impl PieceBody {
    /// From the first piece on.
    pub fn new(pieces: Rc<Pieces>) -> Self {
        PieceBody { left: pieces.len(), pieces, at: 0 }
    }
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.pieces().get(self.at).cloned();
        if let Some(piece) = &piece {
            self.at += 1;
            self.left -= piece.len() as u64;
        }
        Poll::Ready(piece.map(|p| Ok(Frame::data(p))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// What goes back to a client.
pub enum AnswerBody {
    /// A line of the node's own.
    Text(Option<Bytes>),
    /// A server's.
    Whole(PieceBody),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            AnswerBody::Text(text) => Poll::Ready(text.take().map(|t| Ok(Frame::data(t)))),
            AnswerBody::Whole(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Text(text) => text.is_none(),
            AnswerBody::Whole(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Text(text) => SizeHint::with_exact(text.as_ref().map_or(0, |t| t.len() as u64)),
            AnswerBody::Whole(body) => body.size_hint(),
        }
    }
}
