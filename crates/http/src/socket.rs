//! One TCP connection, shared between hyper, which reads and writes it, and the node, which asks what has been
//! transferred.

use crate::body::MAX_BODY_BYTES;
use laurelroute_core::connection::Connection;
use laurelroute_core::peer::PeerState;
use std::any::Any;
use std::cell::Cell;
use std::io;
use std::os::fd::BorrowedFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection and the state of its transfers.
#[derive(Debug)]
pub struct Socket {
    connection: Rc<Connection>,
    /// Data has been received since the node last cleared this flag.
    pub data_received: Cell<bool>,
    /// Another process has the connection: nothing more is read here.
    handed_over: Cell<bool>,
    /// Data has been transferred in either direction since the node last cleared this flag.
    pub progressed: Cell<bool>,
    /// hyper has been given a response of which the kernel may not have every byte yet.
    pub response_unsent: Cell<bool>,
    request_progress: Cell<RequestProgress>,
    request_framing: Option<Cell<RequestFraming>>,
}

/// How much of a request has been passed to the kernel. A request whose last byte has not been passed cannot have run,
/// and only that proves that one which is not idempotent may be sent again.
#[derive(Clone, Copy, Debug, Default)]
struct RequestProgress {
    /// The number of bytes matched of the blank line that ends a head.
    blank_line_bytes: u8,
    head_done: bool,
    body_remaining: u64,
}

impl RequestProgress {
    fn is_complete(&self) -> bool {
        self.head_done && self.body_remaining == 0
    }

    fn observe(&mut self, bytes: &[u8]) {
        let mut at = 0;
        while !self.head_done && at < bytes.len() {
            self.blank_line_bytes = match (bytes[at], self.blank_line_bytes) {
                (b'\r', 2) => 3,
                (b'\r', _) => 1,
                (b'\n', 1) => 2,
                (b'\n', 3) => 4,
                _ => 0,
            };
            self.head_done = self.blank_line_bytes == 4;
            at += 1;
        }
        self.body_remaining = self.body_remaining.saturating_sub((bytes.len() - at) as u64);
    }
}

/// The longest prefix of a header line that is examined for framing: no valid length field needs more.
const MAX_FRAMING_LINE_BYTES: usize = 48;

/// The framing of a client's requests. hyper's parser drops a Content-Length that follows a Transfer-Encoding before
/// the service sees it, and a server that goes by the length would find another request in the body (request
/// smuggling). This detects every request whose end is ambiguous: both framings, or more than one length. It tracks the
/// bodies from one request to the next, and so detects pipelined ones too; it harms clients that send the same length
/// twice, which no rule requires us to accept.
#[derive(Clone, Copy, Debug)]
struct RequestFraming {
    state: FramingState,
    /// The beginning of the current line.
    line: [u8; MAX_FRAMING_LINE_BYTES],
    /// The length of the current line, which may exceed `line`.
    line_length: usize,
    /// Complete heads so far.
    heads_read: u32,
    /// Content-Length fields in the current head.
    content_lengths: u32,
    content_length: Option<u64>,
    /// The current head has a Transfer-Encoding field.
    chunked: bool,
    /// The first head whose framing is ambiguous, counted from 1.
    ambiguous_head: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
enum FramingState {
    /// Before or within the request line; empty lines may precede it.
    Start,
    HeaderFields,
    Body(u64),
    /// The states of a chunked body (RFC 9112, section 7.1): a chunk's size line, its data with the line end behind it,
    /// and the trailer fields.
    ChunkSize,
    ChunkData(u64),
    Trailers,
    /// The framing is ambiguous or invalid: the connection is closed after this request.
    Invalid,
}

impl RequestFraming {
    const NEW: RequestFraming = RequestFraming {
        state: FramingState::Start,
        line: [0; MAX_FRAMING_LINE_BYTES],
        line_length: 0,
        heads_read: 0,
        content_lengths: 0,
        content_length: None,
        chunked: false,
        ambiguous_head: None,
    };

    fn observe(&mut self, mut bytes: &[u8]) {
        while let Some(&byte) = bytes.first() {
            match self.state {
                FramingState::Invalid => return,
                FramingState::Body(left) | FramingState::ChunkData(left) => {
                    let skip = left.min(bytes.len() as u64);
                    bytes = &bytes[skip as usize..];
                    self.state = match (self.state, left - skip) {
                        (FramingState::ChunkData(_), 0) => FramingState::ChunkSize,
                        (FramingState::ChunkData(_), left) => FramingState::ChunkData(left),
                        (_, 0) => FramingState::Start,
                        (_, left) => FramingState::Body(left),
                    };
                    continue;
                }
                _ if byte == b'\n' => self.end_of_line(),
                _ => {
                    if let Some(slot) = self.line.get_mut(self.line_length) {
                        *slot = byte;
                    }
                    self.line_length += 1;
                }
            }
            bytes = &bytes[1..];
        }
    }

    fn end_of_line(&mut self) {
        let truncated = self.line_length > MAX_FRAMING_LINE_BYTES;
        let line = self.line;
        let line = line[..self.line_length.min(MAX_FRAMING_LINE_BYTES)].trim_ascii();
        self.line_length = 0;
        match self.state {
            FramingState::Start | FramingState::Trailers if line.is_empty() => {
                self.state = FramingState::Start
            }
            FramingState::Start => self.state = FramingState::HeaderFields,
            FramingState::Trailers => {}
            FramingState::ChunkSize => self.state = after_chunk_size(line),
            _ if line.is_empty() => self.end_of_head(),
            _ => {
                let colon = line.iter().position(|b| *b == b':').unwrap_or(line.len());
                let (name, value) = line.split_at(colon);
                if name.trim_ascii().eq_ignore_ascii_case(b"content-length") {
                    self.content_lengths += 1;
                    let digits = std::str::from_utf8(value).ok().map(|v| v.trim_start_matches(':').trim());
                    self.content_length = digits.filter(|_| !truncated).and_then(|d| d.parse().ok());
                } else if name.trim_ascii().eq_ignore_ascii_case(b"transfer-encoding") {
                    self.chunked = true;
                }
            }
        }
    }

    fn end_of_head(&mut self) {
        self.heads_read += 1;
        let invalid_length = self.content_lengths == 1 && self.content_length.is_none();
        if self.content_lengths + u32::from(self.chunked) > 1 || invalid_length {
            self.ambiguous_head.get_or_insert(self.heads_read);
        }
        self.state = match self.content_length {
            _ if self.ambiguous_head.is_some() => FramingState::Invalid,
            _ if self.chunked => FramingState::ChunkSize,
            Some(length) if length > 0 => FramingState::Body(length),
            _ => FramingState::Start,
        };
        (self.content_lengths, self.content_length, self.chunked) = (0, None, false);
    }
}

/// The state that follows a chunk's size line.
fn after_chunk_size(line: &[u8]) -> FramingState {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
    let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
    match size {
        Some(0) => FramingState::Trailers,
        Some(size) => FramingState::ChunkData(size.saturating_add(2)),
        None => FramingState::Invalid,
    }
}

impl Socket {
    /// A connection to a server.
    pub fn new(connection: Rc<Connection>) -> Rc<Self> {
        Self::with_framing(connection, None)
    }

    /// A client connection, on which the framing of requests is tracked. It holds these slots until it is closed.
    pub fn for_client(stream: TcpStream, slots: impl Any) -> Rc<Self> {
        Self::with_framing(Connection::new(stream, slots), Some(Cell::new(RequestFraming::NEW)))
    }

    fn with_framing(connection: Rc<Connection>, request_framing: Option<Cell<RequestFraming>>) -> Rc<Self> {
        Rc::new(Socket {
            connection,
            data_received: Cell::new(false),
            handed_over: Cell::new(false),
            progressed: Cell::new(true),
            response_unsent: Cell::new(false),
            request_progress: Cell::default(),
            request_framing,
        })
    }

    /// The underlying connection.
    pub fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }

    /// Whether the framing of the request with this number, counted from 1, or of an earlier one is ambiguous.
    pub fn has_ambiguous_framing(&self, request: u32) -> bool {
        self.request_framing
            .as_ref()
            .is_some_and(|framing| framing.get().ambiguous_head.is_some_and(|head| head <= request))
    }

    /// Whether no part of a further request has been read.
    pub fn is_between_requests(&self) -> bool {
        let between = |framing: RequestFraming| {
            matches!(framing.state, FramingState::Start) && framing.line_length == 0
        };
        self.request_framing.as_ref().is_none_or(|framing| between(framing.get()))
    }

    /// Whether the peer has closed or reset the connection, even if data is still unread.
    pub fn peer_closed(&self) -> bool {
        self.connection.peer_closed()
    }

    /// The state of the peer behind a request that has just been read, the connection's first or a later one.
    pub async fn peer_state_after_read(&self, first: bool) -> PeerState {
        self.connection.peer_state_after_read(first).await
    }

    /// Called when a request with a body of this length is about to be written; [`Socket::body_finished`] ends a body
    /// of unknown length.
    pub fn expect_request(&self, body: Option<u64>) {
        let body_remaining = body.unwrap_or(u64::MAX);
        self.set_request_progress(RequestProgress { body_remaining, ..RequestProgress::default() });
    }

    /// Called when a body of unknown length has been read to its end: the request may be complete from here on.
    pub fn body_finished(&self) {
        let progress = self.request_progress.get();
        if progress.body_remaining > MAX_BODY_BYTES {
            self.set_request_progress(RequestProgress { body_remaining: 0, ..progress });
        }
    }

    /// Whether there is data to write and the peer takes none of it now.
    pub fn write_blocked(&self) -> bool {
        self.connection.write_blocked()
    }

    /// Whether the kernel has the last byte of the request: from then on it may have run.
    pub fn request_sent(&self) -> bool {
        self.connection.request_sent()
    }

    fn set_request_progress(&self, progress: RequestProgress) {
        self.request_progress.set(progress);
        self.connection.set_request_sent(progress.is_complete());
    }

    /// Hands the connection over to another process by `send`, which gets its descriptor and returns whether the other
    /// process has it. From then on nothing is read here, and the connection only remains to be dropped.
    pub fn hand_over(&self, send: impl FnOnce(BorrowedFd<'_>) -> bool) -> bool {
        self.handed_over.set(self.connection.with_descriptor(send).unwrap_or(false));
        self.handed_over.get()
    }

    /// Whether nothing has arrived and the peer has not closed. This asks the kernel: the runtime's state may be older
    /// than a close that would lose the next request.
    pub fn is_quiescent(&self) -> bool {
        self.connection.is_quiescent()
    }
}

/// The I/O side of a [`Socket`], which hyper owns.
pub struct SocketIo(pub Rc<Socket>);

impl AsyncRead for SocketIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.0.handed_over.get() {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = ready!(self.0.connection.poll_read(cx, buf))?;
        if let Some(framing) = &self.0.request_framing {
            let mut state = framing.get();
            state.observe(&buf.filled()[before..]);
            framing.set(state);
        }
        self.0.data_received.set(self.0.data_received.get() | (read > 0));
        self.0.progressed.set(true);
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
        let written = ready!(self.0.connection.poll_write(cx, slices))?;
        self.0.progressed.set(true);
        let (mut progress, mut unaccounted) = (self.0.request_progress.get(), written);
        for slice in slices {
            let part = unaccounted.min(slice.len());
            progress.observe(&slice[..part]);
            unaccounted -= part;
        }
        self.0.set_request_progress(progress);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once it has written all that it has.
        self.0.response_unsent.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.connection.shutdown_write())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_sent_with_its_last_byte() {
        let request = b"POST /a HTTP/1.1\r\nA: b\r\r\r\n\r\nbody";
        let mut progress = RequestProgress { body_remaining: 4, ..RequestProgress::default() };
        for (k, byte) in request.iter().enumerate() {
            assert!(!progress.is_complete(), "done after {k} bytes");
            progress.observe(&[*byte]);
        }
        assert!(progress.is_complete());
    }

    fn ambiguous_head(bytes: &[u8]) -> Option<u32> {
        let mut whole = RequestFraming::NEW;
        whole.observe(bytes);
        let mut bytewise = RequestFraming::NEW;
        bytes.iter().for_each(|b| bytewise.observe(&[*b]));
        assert_eq!(whole.ambiguous_head, bytewise.ambiguous_head);
        whole.ambiguous_head
    }

    #[test]
    fn a_partial_message_is_not_between_requests() {
        let request = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        let mut framing = RequestFraming::NEW;
        for (k, byte) in request.iter().enumerate() {
            let between = matches!(framing.state, FramingState::Start) && framing.line_length == 0;
            assert_eq!(between, k == 0, "after {k} bytes");
            framing.observe(&[*byte]);
        }
        assert!(matches!(framing.state, FramingState::Start) && framing.line_length == 0);
    }

    #[test]
    fn ambiguous_lengths_are_detected_in_any_order_and_behind_other_requests() {
        let plain = b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\n\n\n\r\nGET /a HTTP/1.1\r\nA: b\r\n\r\n";
        assert_eq!(ambiguous_head(plain), None);
        let chunked = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
            4;a=\"b\"\r\n\r\n\r\n\r\nA\r\n0123456789\r\n0\r\nContent-Length: 3\r\n\r\n";
        assert_eq!(ambiguous_head(chunked), None);
        for framing in [
            &b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"[..],
            b"content-length: 3\nTRANSFER-ENCODING : chunked\n",
            b"Content-Length: 3\r\nContent-Length: 3\r\n",
            b"Content-Length: 3, 3\r\n",
            b"Content-Length: 00000000000000000000000000000000000000000000003\r\n",
        ] {
            let head = [b"POST /a HTTP/1.1\r\n", framing, b"\r\n"].concat();
            assert_eq!(ambiguous_head(&head), Some(1));
            assert_eq!(ambiguous_head(&[plain, &head[..]].concat()), Some(3));
            assert_eq!(ambiguous_head(&[plain, &chunked[..], &head[..]].concat()), Some(4));
        }
    }
}
