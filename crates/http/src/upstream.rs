//! The upstream side: one attempt over one connection, and its outcome.

use crate::body::{
    remainder_channel, stream_chunk, BodyChunk, Message, MessageBody, MAX_BODY_BYTES,
    MAX_BUFFERED_RESPONSE_BYTES,
};
use crate::headers::CompactHeaders;
use crate::socket::{Socket, SocketIo};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use laurelroute_core::call::{Exchange, FinalResponse, LocalReply, ResponseSlot, Wire};
use laurelroute_core::connect::{connect, ConnectError};
use laurelroute_core::connection::Connection as TcpConnection;
use laurelroute_core::connection_source::{CarriesAttempts, ConnectionSource};
use laurelroute_core::fleet::PooledConnection;
use laurelroute_core::gateway::Attempt;
use laurelroute_core::payload::BufferedBody;
use laurelroute_core::peer::PeerState;
use laurelroute_core::running;
use laurelroute_policy::interface::AttemptOutcome;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// The index of HTTP among a server's addresses.
pub const HTTP: Wire = Wire(0);

/// The read buffer of a connection to a server, which bounds the memory of 1,000 of them.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Servers write a response when it is ready. One that has begun and makes no progress for this long is broken: its
/// length is wrong, its head has no end, or the machine is gone without a close. 1xx responses may come well ahead of
/// the final one, so a head is given more time than a body. This harms servers that write bodies bit by bit with
/// pauses, which PROTOCOL does not have.
const HEAD_STALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a body may make no progress before its response has begun to the client.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the body of a response that fails the attempt is waited for, so that its connection can be kept. The
/// attempt is reported, and can be retried, only once it is over at its server.
const FAILED_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// A streamed response is given longer: once it has begun to its client, no other can replace it.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A response that is or may be long, and that is not complete after this time, is streamed to its client.
const STREAM_AFTER: Duration = Duration::from_millis(100);
/// A response of unknown length that has come to a standstill after fewer bytes is more likely broken than long: none of
/// it goes to its client.
const MIN_STREAMED_STALL_BYTES: u64 = 16 * 1024;

/// A server's response, ready to be forwarded.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The end-to-end headers, without length and framing.
    pub headers: HeaderMap,
    /// The body; the remainder of a streamed one is still arriving.
    pub body: Rc<Message>,
}

/// A client's request as every attempt sends it, and the slot for its response.
#[derive(Debug)]
pub struct HttpExchange {
    /// Method, unchanged.
    method: Method,
    /// Path and query, unchanged.
    uri: Uri,
    /// The end-to-end headers, until no further attempt can follow.
    headers: RefCell<Option<CompactHeaders>>,
    /// The body, until no further attempt can follow; only one attempt can take the remainder of a streamed one.
    body: RefCell<Option<Rc<Message>>>,
    /// The client's timeout in milliseconds, where it does not run yet because the body is still being received.
    client_timeout_ms: Option<u64>,
    /// Where the front waits for the response.
    reply: ResponseSlot<UpstreamResponse>,
    /// The client's connection, which an abandoned attempt does not keep open.
    client: Weak<Socket>,
}

impl HttpExchange {
    /// A request with the parts of its head, its body and the client's connection.
    pub fn new(
        (method, uri, headers): (Method, Uri, CompactHeaders),
        (body, client_timeout_ms): (Rc<Message>, Option<u64>),
        reply: ResponseSlot<UpstreamResponse>,
        client: Weak<Socket>,
    ) -> Self {
        let (body, headers) = (RefCell::new(Some(body)), RefCell::new(Some(headers)));
        HttpExchange { method, uri, headers, body, client_timeout_ms, reply, client }
    }

    /// Whether a connection may be kept after it has carried the request.
    fn allows_reuse(&self) -> bool {
        self.headers.borrow().as_ref().is_none_or(CompactHeaders::allows_reuse)
    }

    /// The body, if it can be sent from its first byte.
    fn available_body(&self) -> Option<Rc<Message>> {
        self.body.borrow().clone().filter(|body| body.is_available())
    }
}

impl Exchange for HttpExchange {
    fn start_attempt(self: Rc<Self>, attempt: Attempt) -> AbortHandle {
        tokio::task::spawn_local(async move {
            if let Err(outcome) = run_attempt(&self, &attempt).await {
                attempt.fail(outcome);
            }
        })
        .abort_handle()
    }

    fn send_local_reply(&self, reply: LocalReply) {
        self.reply.send(FinalResponse::Local(reply));
    }

    fn client_state(&self) -> PeerState {
        let Some(client) = self.client.upgrade() else { return PeerState::Closed };
        // What is unread of a client whose body is streamed may belong to that.
        let streamed = self.body.borrow().as_ref().is_some_and(|body| body.is_streamed());
        match streamed {
            true => client.connection().peer_state(),
            false => client.connection().client_state_after_request(),
        }
    }

    fn release_request(&self) {
        self.body.take();
        self.headers.take();
    }
}

/// An upstream connection with hyper's two halves. No task drives it: its user does.
struct UpstreamConnection {
    socket: Rc<Socket>,
    sender: SendRequest<MessageBody>,
    driver: Option<Connection<TokioIo<SocketIo>, MessageBody>>,
}

impl PooledConnection for UpstreamConnection {
    fn is_reusable(&self) -> bool {
        self.socket.is_quiescent()
    }
}

impl CarriesAttempts for UpstreamConnection {
    fn connection(&self) -> &Rc<TcpConnection> {
        self.socket.connection()
    }
}

impl UpstreamConnection {
    fn poll_driver(&mut self, cx: &mut Context<'_>) {
        if let Some(driver) = &mut self.driver {
            if Pin::new(driver).poll(cx).is_ready() {
                self.driver = None;
            }
        }
    }

    /// Awaits a future while driving the connection.
    async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.poll_driver(cx);
            future.as_mut().poll(cx)
        })
        .await
    }

    /// Whether the connection can carry another request, now that a response has been read to its end.
    async fn is_ready_for_reuse(&mut self) -> bool {
        poll_fn(|cx| {
            self.poll_driver(cx);
            Poll::Ready(())
        })
        .await;
        self.driver.is_some() && self.sender.is_ready()
    }
}

async fn open_connection(attempt: &Attempt, address: SocketAddr) -> Result<UpstreamConnection, ConnectError> {
    let socket = Socket::new(connect(attempt.gateway(), attempt.server(), HTTP, address).await?);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(SocketIo(socket.clone()))).await;
    let (sender, driver) = handshake.map_err(|_| ConnectError::Failed)?;
    Ok(UpstreamConnection { socket, sender, driver: Some(driver) })
}

/// Runs one attempt to its end; an error is its outcome where that has not been reported yet. When the gateway has
/// stopped waiting, the attempt may go on for a while so that its connection can be reused.
async fn run_attempt(message: &HttpExchange, attempt: &Attempt) -> Result<(), AttemptOutcome> {
    let mut source = ConnectionSource::new(attempt, HTTP)?;
    loop {
        let mut attempt_connection = source.next(|address| open_connection(attempt, address)).await?;
        let connection: &mut UpstreamConnection = &mut attempt_connection.connection;
        let body = message.available_body().ok_or(AttemptOutcome::NotSent)?;
        connection.socket.expect_request(body.length());
        let remaining_ms = message.client_timeout_ms.unwrap_or_else(|| attempt.remaining_ms());
        let response = connection.sender.send_request(build_request(
            message,
            body,
            remaining_ms,
            connection.socket.clone(),
        ));
        let socket = connection.socket.clone();
        let reusable = message.allows_reuse();
        return match read_head(connection, response).await {
            Ok(response) => {
                let received = receive_response(message, attempt, connection, response).await?;
                // Nothing of the attempt is left at its server when its outcome is reported.
                match received.complete && reusable && connection.is_ready_for_reuse().await {
                    true => source.release(attempt_connection),
                    false => drop(attempt_connection),
                }
                received.report(message, attempt)
            }
            Err(_) if socket.request_sent() => Err(AttemptOutcome::Reset),
            Err(_) if attempt_connection.reused && message.available_body().is_some() => continue,
            Err(_) => Err(AttemptOutcome::ConnectFailed),
        };
    }
}

/// Reads the head of the response: waits as long as the attempt may take, but a head that has begun has to end within
/// [`HEAD_STALL_TIMEOUT`].
async fn read_head<F, T>(connection: &mut UpstreamConnection, response: F) -> Result<T, ResponseError>
where
    F: Future<Output = hyper::Result<T>>,
{
    connection.socket.data_received.set(false);
    let socket = connection.socket.clone();
    let mut response = pin!(connection.drive(response));
    let started = poll_fn(|cx| match response.as_mut().poll(cx) {
        Poll::Ready(response) => Poll::Ready(Some(response)),
        Poll::Pending if socket.data_received.get() => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    })
    .await;
    match started {
        Some(response) => response.map_err(ResponseError::from),
        None => running::timeout(HEAD_STALL_TIMEOUT, response).await?.map_err(ResponseError::from),
    }
}

/// Builds the request to a server, with the time that is left.
fn build_request(
    message: &HttpExchange,
    body: Rc<Message>,
    remaining_ms: u64,
    socket: Rc<Socket>,
) -> Request<MessageBody> {
    let mut request = Request::new(MessageBody::new(body, Some(socket)));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    let mut headers = message.headers.borrow().as_ref().map(CompactHeaders::to_map).unwrap_or_default();
    headers.insert(TIMEOUT_MS, HeaderValue::from(remaining_ms));
    *request.headers_mut() = headers;
    request
}

/// The header that carries how long the sender waits, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-timeout-ms");
/// The header by which a server states that it has not processed the request.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

/// Why a response is unusable. The request has run, or may have.
#[derive(Debug, thiserror::Error)]
enum ResponseError {
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("the response has stalled")]
    Stalled(#[from] running::TimedOut),
    #[error("the response is too long")]
    TooLong,
    #[error("the framing of the response is ambiguous")]
    AmbiguousFraming,
    #[error("the node's buffers are full")]
    BufferLimit,
}

/// A response of which no more is read.
struct ReceivedResponse {
    /// The connection has reached the end of the response.
    complete: bool,
    result: ResponseResult,
}

enum ResponseResult {
    /// The whole of a successful response.
    Success(UpstreamResponse),
    /// The attempt has failed in this way.
    Failure(AttemptOutcome),
    /// A streamed response, whose beginning has been reported.
    Streamed,
}

impl ReceivedResponse {
    /// Reports the attempt's outcome, unless that was done.
    fn report(self, message: &HttpExchange, attempt: &Attempt) -> Result<(), AttemptOutcome> {
        match self.result {
            ResponseResult::Failure(outcome) => return Err(outcome),
            ResponseResult::Success(response) if attempt.succeed() => {
                message.reply.send(FinalResponse::Upstream(response));
            }
            ResponseResult::Success(_) | ResponseResult::Streamed => {}
        }
        Ok(())
    }
}

/// The outcome of an attempt whose response has another status than success.
fn failed_status(head: &Parts) -> Option<AttemptOutcome> {
    if head.status == StatusCode::OK {
        return None;
    }
    let not_processed = head.headers.get(NOT_PROCESSED).is_some_and(|v| v == "1");
    let rejected = matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    Some(if rejected && not_processed { AttemptOutcome::Rejected } else { AttemptOutcome::Error })
}

/// Reads a response. Only a long one is begun to its client, and reported, before its end; an error is the outcome of
/// an attempt whose response is broken.
async fn receive_response(
    message: &HttpExchange,
    attempt: &Attempt,
    connection: &mut UpstreamConnection,
    response: Response<Incoming>,
) -> Result<ReceivedResponse, AttemptOutcome> {
    let buffered = BufferedBody::new(attempt.gateway().budget.body_lease());
    let (head, body) = response.into_parts();
    if let Some(outcome) = failed_status(&head) {
        let discard = read_body(connection, body, &head.headers, buffered);
        let read = running::timeout(FAILED_BODY_TIMEOUT, discard).await;
        let complete = matches!(read, Ok(Ok(BodyRead::Complete(_))));
        return Ok(ReceivedResponse { complete, result: ResponseResult::Failure(outcome) });
    }
    let body_read = read_body(connection, body, &head.headers, buffered).await;
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    match body_read.map_err(|_| AttemptOutcome::Reset)? {
        BodyRead::Complete(buffered) => {
            let response = UpstreamResponse { headers, body: Message::buffered(buffered) };
            Ok(ReceivedResponse { complete: true, result: ResponseResult::Success(response) })
        }
        BodyRead::Partial(mut buffered, body) => {
            if !buffered.reserve_stream() {
                return Err(AttemptOutcome::Reset);
            }
            // Where no client waits for it, its remainder is not worth reading.
            let complete = attempt.succeed() && {
                let (sender, remainder) = remainder_channel();
                let (received, length) =
                    (buffered.len(), body.size_hint().exact().map(|remaining| remaining + buffered.len()));
                let streamed = Message::streamed(buffered, remainder, length);
                message.reply.send(FinalResponse::Upstream(UpstreamResponse { headers, body: streamed }));
                stream_body(connection, body, received, sender).await
            };
            Ok(ReceivedResponse { complete, result: ResponseResult::Streamed })
        }
    }
}

/// How much of a response's body was read.
enum BodyRead {
    Complete(BufferedBody),
    /// The buffered part of a long body, and its remainder.
    Partial(BufferedBody, Incoming),
}

/// How the end of a response is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By Content-Length.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the close of the connection. A reset is not a close, and a response that ends with a reset is broken.
    Close,
}

impl Framing {
    /// `None` where the head has both framings.
    fn of(headers: &HeaderMap) -> Option<Framing> {
        let length = headers.contains_key(header::CONTENT_LENGTH);
        match (length, headers.contains_key(header::TRANSFER_ENCODING)) {
            (true, true) => None,
            (true, false) => Some(Framing::Length),
            (false, true) => Some(Framing::Chunked),
            (false, false) => Some(Framing::Close),
        }
    }
}

/// Reads a response's body, in full unless it is long. As nothing is sent before its end has arrived, a broken response
/// is never begun to a client and can still be replaced by another server's. This guards against all invalid lengths:
/// both framings, a length that exceeds the data or the limit. A response that is long, or may be, is not given up for
/// a pause of its server.
async fn read_body(
    connection: &mut UpstreamConnection,
    mut body: Incoming,
    headers: &HeaderMap,
    mut buffered: BufferedBody,
) -> Result<BodyRead, ResponseError> {
    let framing = Framing::of(headers).ok_or(ResponseError::AmbiguousFraming)?;
    if body.size_hint().lower() > MAX_BODY_BYTES {
        return Err(ResponseError::TooLong);
    }
    let started = Instant::now();
    loop {
        let known_length = buffered.len() + body.size_hint().lower();
        let streams_when_stalled = match framing {
            Framing::Length => known_length > MAX_BUFFERED_RESPONSE_BYTES,
            Framing::Chunked | Framing::Close => {
                buffered.is_empty() || buffered.len() >= MIN_STREAMED_STALL_BYTES
            }
        };
        let wait_limit = match streams_when_stalled {
            true => STREAM_AFTER.saturating_sub(started.elapsed()),
            false => BODY_STALL_TIMEOUT,
        };
        let frame = match running::timeout(wait_limit, connection.drive(body.frame())).await {
            Ok(frame) => frame,
            Err(_) if streams_when_stalled => return Ok(BodyRead::Partial(buffered, body)),
            Err(stalled) => return Err(stalled.into()),
        };
        let Some(frame) = frame else { return Ok(BodyRead::Complete(buffered)) };
        let Ok(data) = frame?.into_data() else { continue };
        if !buffered.push(&data) {
            return Err(ResponseError::BufferLimit);
        }
        // A body that ends with its connection is buffered while it arrives: whether it is complete is known only then.
        let overdue = framing == Framing::Chunked && started.elapsed() > STREAM_AFTER;
        if buffered.len() + body.size_hint().lower() > MAX_BUFFERED_RESPONSE_BYTES
            || (overdue && !body.is_end_stream())
        {
            return Ok(BodyRead::Partial(buffered, body));
        }
    }
}

/// Forwards the remainder of a streamed response as it arrives, no faster than its client reads it; true where it came
/// to its end. Otherwise the client's connection is cut, by which the client notices.
async fn stream_body(
    connection: &mut UpstreamConnection,
    mut body: Incoming,
    mut received: u64,
    client: mpsc::Sender<BodyChunk>,
) -> bool {
    while let Ok(frame) = running::timeout(STREAM_STALL_TIMEOUT, connection.drive(body.frame())).await {
        let data = match frame {
            None => {
                // A client that knows the length does not wait for this.
                let _ = client.send(BodyChunk::End).await;
                return true;
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return false,
        };
        received += data.len() as u64;
        if received > MAX_BODY_BYTES || client.send(stream_chunk(data)).await.is_err() {
            return false;
        }
    }
    false
}

/// Removes the hop-by-hop headers.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if let Some(named) = headers.remove(header::CONNECTION) {
        for name in named.to_str().unwrap_or_default().split(',') {
            headers.remove(name.trim());
        }
    }
    const HOP: [HeaderName; 6] = [
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    for name in HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
