//! One TCP connection, shared between hyper and the node: hyper reads and writes it, the node asks what has
//! gone over it.

use crate::body::MOST_BODY;
use laurelroute_core::call::SendProgress;
use laurelroute_core::{peer, retry_io};
use std::cell::Cell;
use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection and what the node has to know of it.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Something has come since the node last cleared this.
    pub heard: Cell<bool>,
    /// Another process has it: nothing more is read here.
    given: Cell<bool>,
    /// Something has gone either way since the node last cleared this.
    pub moved: Cell<bool>,
    /// An answer has been given to hyper, and the kernel may not have all of it yet.
    pub unsent: Cell<bool>,
    outgoing: Cell<Outgoing>,
    incoming: Option<Cell<Incoming>>,
}

/// How much of a request has been handed to the kernel. A request of which it does not have the last byte
/// cannot have run, and only that proves that an unsafe one may be sent again.
#[derive(Clone, Copy, Debug, Default)]
struct Outgoing {
    /// How many bytes of the blank line that ends a head have just gone by.
    blank: u8,
    head_done: bool,
    body_left: u64,
}

impl Outgoing {
    fn note(&mut self, bytes: &[u8]) {
        let mut at = 0;
        while !self.head_done && at < bytes.len() {
            self.blank = match (bytes[at], self.blank) {
                (b'\r', 2) => 3,
                (b'\r', _) => 1,
                (b'\n', 1) => 2,
                (b'\n', 3) => 4,
                _ => 0,
            };
            self.head_done = self.blank == 4;
            at += 1;
        }
        self.body_left = self.body_left.saturating_sub((bytes.len() - at) as u64);
    }
}

/// The longest line of a head of which the framing is read: no sound length needs more.
const FRAMING_LINE: usize = 48;

/// What the heads that a client sends say of their bodies' lengths. The parser behind drops a length that comes
/// after a transfer coding before anybody sees it, and whoever takes the other one sees another request in the
/// body. This guards against all requests whose end is in doubt: both framings, or more than one length. It
/// follows the lengths from one request to the next, so that it would also catch such a request behind others;
/// it would do harm to a client that sends the same length twice, which no rule asks us to take.
#[derive(Clone, Copy, Debug)]
struct Incoming {
    part: Part,
    line: [u8; FRAMING_LINE],
    len: usize,
    /// Heads that are complete.
    heads: u32,
    lengths: u32,
    length: Option<u64>,
    coded: bool,
    /// The head whose framing is at fault, counted from 1.
    fault: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
enum Part {
    /// At the first line of a head, or in the empty lines ahead of it.
    Start,
    Fields,
    Body(u64),
    /// At a chunk's size (RFC 9112, section 7.1), in a chunk with the line end behind it, in the trailer fields.
    Size,
    Chunk(u64),
    Trailers,
    /// What comes is no message that ends where it says: the connection ends with this request.
    Lost,
}

impl Incoming {
    const NEW: Incoming = Incoming {
        part: Part::Start,
        line: [0; FRAMING_LINE],
        len: 0,
        heads: 0,
        lengths: 0,
        length: None,
        coded: false,
        fault: None,
    };

    fn note(&mut self, mut bytes: &[u8]) {
        while let Some(&byte) = bytes.first() {
            match self.part {
                Part::Lost => return,
                Part::Body(left) | Part::Chunk(left) => {
                    let skip = left.min(bytes.len() as u64);
                    bytes = &bytes[skip as usize..];
                    self.part = match (self.part, left - skip) {
                        (Part::Chunk(_), 0) => Part::Size,
                        (Part::Chunk(_), left) => Part::Chunk(left),
                        (_, 0) => Part::Start,
                        (_, left) => Part::Body(left),
                    };
                    continue;
                }
                _ if byte == b'\n' => self.end_of_line(),
                _ => {
                    if let Some(place) = self.line.get_mut(self.len) {
                        *place = byte;
                    }
                    self.len += 1;
                }
            }
            bytes = &bytes[1..];
        }
    }

    fn end_of_line(&mut self) {
        let cut = self.len > FRAMING_LINE;
        let line = self.line;
        let line = line[..self.len.min(FRAMING_LINE)].trim_ascii();
        self.len = 0;
        match self.part {
            Part::Start | Part::Trailers if line.is_empty() => self.part = Part::Start,
            Part::Start => self.part = Part::Fields,
            Part::Trailers => {}
            Part::Size => self.part = chunk(line),
            _ if line.is_empty() => self.end_of_head(),
            _ => {
                let colon = line.iter().position(|b| *b == b':').unwrap_or(line.len());
                let (name, value) = line.split_at(colon);
                if name.trim_ascii().eq_ignore_ascii_case(b"content-length") {
                    self.lengths += 1;
                    let digits = std::str::from_utf8(value).ok().map(|v| v.trim_start_matches(':').trim());
                    self.length = digits.filter(|_| !cut).and_then(|d| d.parse().ok());
                } else if name.trim_ascii().eq_ignore_ascii_case(b"transfer-encoding") {
                    self.coded = true;
                }
            }
        }
    }

    fn end_of_head(&mut self) {
        self.heads += 1;
        let unclear = self.lengths == 1 && self.length.is_none();
        if self.lengths + u32::from(self.coded) > 1 || unclear {
            self.fault.get_or_insert(self.heads);
        }
        self.part = match self.length {
            _ if self.fault.is_some() => Part::Lost,
            _ if self.coded => Part::Size,
            Some(length) if length > 0 => Part::Body(length),
            _ => Part::Start,
        };
        (self.lengths, self.length, self.coded) = (0, None, false);
    }
}

/// What follows a chunk's first line.
fn chunk(line: &[u8]) -> Part {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
    let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
    match size {
        Some(0) => Part::Trailers,
        Some(size) => Part::Chunk(size.saturating_add(2)),
        None => Part::Lost,
    }
}

impl SendProgress for Socket {
    fn fully_sent(&self) -> bool {
        self.written()
    }
}

impl Socket {
    /// A connection to a server.
    pub fn new(stream: TcpStream) -> Rc<Self> {
        Self::with(stream, None)
    }

    /// A client's connection, on which the framing of requests is watched.
    pub fn of_client(stream: TcpStream) -> Rc<Self> {
        Self::with(stream, Some(Cell::new(Incoming::NEW)))
    }

    fn with(stream: TcpStream, incoming: Option<Cell<Incoming>>) -> Rc<Self> {
        // Answers and requests are written whole: waiting to fill a segment would only delay them.
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream,
            heard: Cell::new(false),
            given: Cell::new(false),
            moved: Cell::new(true),
            unsent: Cell::new(false),
            outgoing: Cell::default(),
            incoming,
        })
    }

    /// Whether the lengths that the request with this number gives, counted from 1, contradict each other.
    pub fn unclear(&self, request: u32) -> bool {
        self.incoming.as_ref().is_some_and(|i| i.get().fault.is_some_and(|at| at <= request))
    }

    /// No part of a further message has been read.
    pub fn between(&self) -> bool {
        let between = |i: Incoming| matches!(i.part, Part::Start) && i.len == 0;
        self.incoming.as_ref().is_none_or(|i| between(i.get()))
    }

    /// The peer has closed or reset the connection, whatever is still unread.
    pub fn left(&self) -> bool {
        peer::closed(&self.stream)
    }

    /// The same for a request that has just been read, the connection's first or a later one.
    pub async fn left_behind(&self, first: bool) -> bool {
        peer::closed_after_read(&self.stream, first).await
    }

    /// Whether the peer is there, as the kernel has it now.
    pub fn presence(&self) -> peer::PeerState {
        peer::peer_state(&self.stream)
    }

    /// A request with a body of this length is about to be written; one of no known length tells its end.
    pub fn expect_request(&self, body: Option<u64>) {
        self.outgoing.set(Outgoing { body_left: body.unwrap_or(u64::MAX), ..Outgoing::default() });
    }

    /// A body of no known length has been read to its end: the request may be whole from here on.
    pub fn body_ended(&self) {
        let outgoing = self.outgoing.get();
        if outgoing.body_left > MOST_BODY {
            self.outgoing.set(Outgoing { body_left: 0, ..outgoing });
        }
    }

    /// The kernel has the last byte of the request: from here on it may have run.
    pub fn written(&self) -> bool {
        let o = self.outgoing.get();
        o.head_done && o.body_left == 0
    }

    /// Gives the connection to another process by `give`, which gets its descriptor and says whether that has it now.
    /// From then on nothing is read here, whatever comes; what is left is to drop it.
    pub fn give(&self, give: impl FnOnce(BorrowedFd<'_>) -> bool) -> bool {
        self.given.set(give(self.stream.as_fd()));
        self.given.get()
    }

    /// Nothing has come and the peer has not closed. This asks the kernel itself: what the runtime knows may
    /// be older than a close that would lose the next request.
    pub fn quiet(&self) -> bool {
        peer::is_quiescent(&self.stream)
    }
}

/// The side of a [`Socket`] that hyper holds.
pub struct SocketIo(pub Rc<Socket>);

impl AsyncRead for SocketIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.0.given.get() {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = ready!(retry_io::poll_read(&self.0.stream, cx, buf))?;
        if let Some(incoming) = &self.0.incoming {
            let mut state = incoming.get();
            state.note(&buf.filled()[before..]);
            incoming.set(state);
        }
        self.0.heard.set(self.0.heard.get() | (read > 0));
        self.0.moved.set(true);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(retry_io::poll_write(&self.0.stream, cx, slices))?;
        self.0.moved.set(true);
        let (mut outgoing, mut left) = (self.0.outgoing.get(), written);
        for slice in slices {
            let part = left.min(slice.len());
            outgoing.note(&slice[..part]);
            left -= part;
        }
        self.0.outgoing.set(outgoing);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper asks for this once it has written all that it holds.
        self.0.unsent.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_written_with_its_last_byte() {
        let request = b"POST /a HTTP/1.1\r\nA: b\r\r\r\n\r\nbody";
        let mut o = Outgoing { body_left: 4, ..Outgoing::default() };
        for (k, byte) in request.iter().enumerate() {
            assert!(!(o.head_done && o.body_left == 0), "done after {k} bytes");
            o.note(&[*byte]);
        }
        assert!(o.head_done && o.body_left == 0);
    }

    fn fault(bytes: &[u8]) -> Option<u32> {
        let mut whole = Incoming::NEW;
        whole.note(bytes);
        let mut bytewise = Incoming::NEW;
        bytes.iter().for_each(|b| bytewise.note(&[*b]));
        assert_eq!(whole.fault, bytewise.fault);
        whole.fault
    }

    #[test]
    fn a_message_in_part_is_none() {
        let request = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        let mut incoming = Incoming::NEW;
        for (k, byte) in request.iter().enumerate() {
            let between = matches!(incoming.part, Part::Start) && incoming.len == 0;
            assert_eq!(between, k == 0, "after {k} bytes");
            incoming.note(&[*byte]);
        }
        assert!(matches!(incoming.part, Part::Start) && incoming.len == 0);
    }

    #[test]
    fn unclear_lengths_are_seen_in_any_order_and_behind_others() {
        let plain = b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\n\n\n\r\nGET /a HTTP/1.1\r\nA: b\r\n\r\n";
        assert_eq!(fault(plain), None);
        let chunked = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
            4;a=\"b\"\r\n\r\n\r\n\r\nA\r\n0123456789\r\n0\r\nContent-Length: 3\r\n\r\n";
        assert_eq!(fault(chunked), None);
        for both in [
            &b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"[..],
            b"content-length: 3\nTRANSFER-ENCODING : chunked\n",
            b"Content-Length: 3\r\nContent-Length: 3\r\n",
            b"Content-Length: 3, 3\r\n",
            b"Content-Length: 00000000000000000000000000000000000000000000003\r\n",
        ] {
            let head = [b"POST /a HTTP/1.1\r\n", both, b"\r\n"].concat();
            assert_eq!(fault(&head), Some(1));
            assert_eq!(fault(&[plain, &head[..]].concat()), Some(3));
            assert_eq!(fault(&[plain, &chunked[..], &head[..]].concat()), Some(4));
        }
    }
}
