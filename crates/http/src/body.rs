//! Bodies that are being sent: requests to servers and responses to clients.

use crate::socket::Socket;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use laurelroute_core::io_counters::record_copy;
use laurelroute_core::payload::BufferedBody;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// A response body up to this size is buffered in full before it is sent, so that a response which turns out to be
/// broken is never begun to a client. Longer ones are streamed.
pub const MAX_BUFFERED_RESPONSE_BYTES: u64 = 64 * 1024;
/// The longest body that is accepted.
pub const MAX_BODY_BYTES: u64 = 33 * 1024 * 1024;

/// A shorter chunk is copied before it is passed on: it would keep a read buffer of twice its size allocated.
const MIN_SHARED_CHUNK_BYTES: usize = 8 * 1024;

/// A chunk of a streamed body as it is passed on, which keeps no more than twice its size allocated.
pub fn stream_chunk(data: Bytes) -> BodyChunk {
    if data.len() >= MIN_SHARED_CHUNK_BYTES {
        return BodyChunk::Data(data);
    }
    record_copy(data.len());
    BodyChunk::Data(Bytes::copy_from_slice(&data))
}

/// An item of a streamed body, behind the buffered part.
#[derive(Debug)]
pub enum BodyChunk {
    /// More data.
    Data(Bytes),
    /// The end of the body. A body whose sender is dropped without this is incomplete.
    End,
}

/// Receives the remainder of a streamed body.
pub type BodyRemainder = mpsc::Receiver<BodyChunk>;

/// A channel for the remainder of a streamed body. Its capacity of one chunk lets the receiver's pace limit the
/// sender's.
pub fn remainder_channel() -> (mpsc::Sender<BodyChunk>, BodyRemainder) {
    mpsc::channel(1)
}

/// A fully buffered body, or the buffered part of a streamed one with its remainder, which the first to read so far
/// takes.
#[derive(Debug)]
pub struct Message {
    buffered: RefCell<BufferedBody>,
    remainder: RefCell<Option<BodyRemainder>>,
    /// The total length, where it is known.
    length: Option<u64>,
    streamed: bool,
}

impl Message {
    /// A fully buffered body.
    pub fn buffered(mut buffered: BufferedBody) -> Rc<Message> {
        buffered.seal();
        let length = Some(buffered.len());
        let buffered = RefCell::new(buffered);
        Rc::new(Message { buffered, remainder: RefCell::default(), length, streamed: false })
    }

    /// A streamed body: its buffered part, its remainder and its total length, where that is known.
    pub fn streamed(
        mut buffered: BufferedBody,
        remainder: BodyRemainder,
        length: Option<u64>,
    ) -> Rc<Message> {
        buffered.seal();
        let (buffered, remainder) = (RefCell::new(buffered), RefCell::new(Some(remainder)));
        Rc::new(Message { buffered, remainder, length, streamed: true })
    }

    /// Takes the remainder of a streamed body: from here on the body cannot be sent again, and its buffered part is
    /// freed.
    fn take_remainder(&self) -> Option<BodyRemainder> {
        let remainder = self.remainder.take();
        if remainder.is_some() {
            self.buffered.borrow_mut().release_blocks();
        }
        remainder
    }

    /// The total length, where it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the body is received while it is sent.
    pub fn is_streamed(&self) -> bool {
        self.streamed
    }

    /// Whether the body can be sent from its first byte: its remainder has not been taken.
    pub fn is_available(&self) -> bool {
        !self.streamed || self.remainder.borrow().is_some()
    }
}

/// A message's body as hyper sends it.
pub struct MessageBody {
    message: Rc<Message>,
    next_piece: usize,
    remaining: Option<u64>,
    remainder: Option<BodyRemainder>,
    /// Notified of the end of a body of unknown length.
    socket: Option<Rc<Socket>>,
}

impl MessageBody {
    /// Sends the message from its first byte; `socket`, over which it is sent, is notified of its end.
    pub fn new(message: Rc<Message>, socket: Option<Rc<Socket>>) -> Self {
        MessageBody { remaining: message.length, message, next_piece: 0, remainder: None, socket }
    }

    fn count_sent(&mut self, piece: &Bytes) {
        self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(piece.len() as u64));
    }

    fn finish(&mut self) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(socket) = self.socket.take() {
            socket.body_finished();
        }
        Poll::Ready(None)
    }
}

impl Body for MessageBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = &mut *self;
        let piece = this.message.buffered.borrow().get(this.next_piece);
        if let Some(piece) = piece {
            this.next_piece += 1;
            this.count_sent(&piece);
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        if !this.message.streamed {
            return this.finish();
        }
        if this.remainder.is_none() {
            this.remainder = this.message.take_remainder();
        }
        let Some(remainder) = &mut this.remainder else {
            return Poll::Ready(Some(Err(io::Error::other(
                "another attempt has taken the remainder of the body",
            ))));
        };
        match ready!(remainder.poll_recv(cx)) {
            Some(BodyChunk::Data(piece)) => {
                this.count_sent(&piece);
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            Some(BodyChunk::End) => this.finish(),
            None => Poll::Ready(Some(Err(io::Error::other("the body ended early")))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// The body of a response to a client.
pub enum ResponseBody {
    /// A text of the node itself.
    Local(Option<Bytes>),
    /// A server's body.
    Upstream(MessageBody),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            ResponseBody::Local(text) => Poll::Ready(text.take().map(|t| Ok(Frame::data(t)))),
            ResponseBody::Upstream(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Local(text) => text.is_none(),
            ResponseBody::Upstream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Local(text) => SizeHint::with_exact(text.as_ref().map_or(0, |t| t.len() as u64)),
            ResponseBody::Upstream(body) => body.size_hint(),
        }
    }
}
