//! Bodies on their way out.

use crate::socket::Socket;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use laurelroute_core::payload::BufferedBody;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// A message up to this is held whole: an answer that turns out to be spoilt is never begun to a client, and a request
/// can go to another server. Longer ones pass through.
pub const WHOLE: u64 = 64 * 1024;
/// The longest body that passes through.
pub const MOST_BODY: u64 = 33 * 1024 * 1024;

/// What follows the held part of a long body.
#[derive(Debug)]
pub enum Piece {
    /// More of it.
    Data(Bytes),
    /// That was all. Where the sender goes without this word, the body has broken off.
    End,
}

/// Where the rest of a long body comes.
pub type Rest = mpsc::Receiver<Piece>;

/// A place for the rest of a long body. One piece waits in it: who sends is as slow as who takes.
pub fn rest() -> (mpsc::Sender<Piece>, Rest) {
    mpsc::channel(1)
}

/// A whole body, or the held part of a long one with the rest that the first to get so far takes.
#[derive(Debug)]
pub struct Message {
    held: BufferedBody,
    rest: RefCell<Option<Rest>>,
    /// Where it is known.
    length: Option<u64>,
    long: bool,
}

impl Message {
    /// A body that is held whole.
    pub fn whole(held: BufferedBody) -> Rc<Message> {
        let length = Some(held.len());
        Rc::new(Message { held, rest: RefCell::default(), length, long: false })
    }

    /// A long body.
    pub fn long(held: BufferedBody, rest: Rest, length: Option<u64>) -> Rc<Message> {
        Rc::new(Message { held, rest: RefCell::new(Some(rest)), length, long: true })
    }

    /// Its length, where it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// It can be sent from its first byte on.
    pub fn available(&self) -> bool {
        !self.long || self.rest.borrow().is_some()
    }
}

/// A message's body on its way out.
pub struct PieceBody {
    message: Rc<Message>,
    at: usize,
    left: Option<u64>,
    rest: Option<Rest>,
    /// Told of the end where the length does not say it.
    socket: Option<Rc<Socket>>,
}

impl PieceBody {
    /// From the first piece on; the socket that it goes out on hears of the end.
    pub fn new(message: Rc<Message>, socket: Option<Rc<Socket>>) -> Self {
        PieceBody { left: message.length, message, at: 0, rest: None, socket }
    }

    fn passed(&mut self, piece: &Bytes) {
        self.left = self.left.map(|left| left.saturating_sub(piece.len() as u64));
    }

    fn end(&mut self) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(socket) = self.socket.take() {
            socket.body_ended();
        }
        Poll::Ready(None)
    }
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = &mut *self;
        if let Some(piece) = this.message.held.get(this.at) {
            this.at += 1;
            this.passed(&piece);
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        if !this.message.long {
            return this.end();
        }
        if this.rest.is_none() {
            this.rest = this.message.rest.take();
        }
        let Some(rest) = &mut this.rest else {
            return Poll::Ready(Some(Err(io::Error::other(
                "another attempt has taken the rest of the body",
            ))));
        };
        match ready!(rest.poll_recv(cx)) {
            Some(Piece::Data(piece)) => {
                this.passed(&piece);
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            Some(Piece::End) => this.end(),
            None => Poll::Ready(Some(Err(io::Error::other("the body has broken off")))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// What goes back to a client.
pub enum AnswerBody {
    /// A line of the node's own.
    Text(Option<Bytes>),
    /// A server's.
    Served(PieceBody),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            AnswerBody::Text(text) => Poll::Ready(text.take().map(|t| Ok(Frame::data(t)))),
            AnswerBody::Served(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Text(text) => text.is_none(),
            AnswerBody::Served(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Text(text) => SizeHint::with_exact(text.as_ref().map_or(0, |t| t.len() as u64)),
            AnswerBody::Served(body) => body.size_hint(),
        }
    }
}
