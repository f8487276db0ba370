//! Towards the servers: one attempt over one connection, and how it ended.

use crate::body::{rest, Message, Piece, PieceBody, MOST_BODY, WHOLE};
use crate::socket::{Socket, SocketIo};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use laurelroute_core::call::{Exchange, FinalResponse, LocalReply, ResponseSlot, Wire};
use laurelroute_core::connect::{connect, ConnectError, ConnectionPermit};
use laurelroute_core::connection_source::ConnectionSource;
use laurelroute_core::fleet::PooledConnection;
use laurelroute_core::gateway::Attempt;
use laurelroute_core::payload::BufferedBody;
use laurelroute_core::peer::PeerState;
use laurelroute_core::running;
use laurelroute_policy::interface::AttemptOutcome;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// HTTP's place among a server's addresses.
pub const HTTP: Wire = Wire(0);

/// Read buffer of a connection to a server: it bounds what 1,000 of them hold.
const BUFFER: usize = 16 * 1024;
/// Servers write an answer when it is ready. One that has begun and stands still for this long is no answer: its
/// length is wrong, its head has no end, or the machine is gone, and nobody will say so. 1xx answers may come
/// well ahead of the rest, so that a head is given more time than a body. It would do harm to servers that write
/// bodies bit by bit with pauses, which PROTOCOL does not have.
const HEAD_STALL: Duration = Duration::from_millis(1000);
const BODY_STALL: Duration = Duration::from_millis(800);
/// A long answer that has begun to a client is given longer: nothing can take its place.
const LONG_STALL: Duration = Duration::from_millis(2_500);
/// An answer of no known length that is not whole after this begins to its client.
const UNKNOWN_LENGTH: Duration = Duration::from_millis(100);
/// A server's whole answer, ready to be passed on.
#[derive(Debug)]
pub struct Served {
    /// The message's own headers, without length and framing.
    pub headers: HeaderMap,
    /// The body; of a long one, the rest is on its way.
    pub body: Rc<Message>,
}

/// A client's request as every attempt sends it, and the place of its answer.
#[derive(Debug)]
pub struct HttpExchange {
    /// Method, unchanged.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// The message's own headers.
    pub headers: HeaderMap,
    /// The body; of a long one, one attempt can take the rest.
    pub body: Rc<Message>,
    /// For how many milliseconds an answer is waited for, where that does not count yet.
    pub wait: Option<u64>,
    /// Where the front waits.
    pub reply: ResponseSlot<Served>,
    /// The client's connection.
    pub client: Rc<Socket>,
}

impl Exchange for HttpExchange {
    fn start_attempt(self: Rc<Self>, attempt: Attempt) -> AbortHandle {
        tokio::task::spawn_local(async move {
            if let Err(ending) = exchange(&self, &attempt).await {
                attempt.fail(ending);
            }
        })
        .abort_handle()
    }

    fn send_local_reply(&self, end: LocalReply) {
        self.reply.send(FinalResponse::Local(end));
    }

    fn client_state(&self) -> PeerState {
        self.client.presence()
    }
}

/// A connection with hyper's two halves. There is no task behind it: whoever uses it drives it.
struct Link {
    socket: Rc<Socket>,
    sender: SendRequest<PieceBody>,
    connection: Option<Connection<TokioIo<SocketIo>, PieceBody>>,
    _held: ConnectionPermit,
}

impl PooledConnection for Link {
    fn is_reusable(&self) -> bool {
        self.socket.quiet()
    }
}

impl Link {
    fn turn(&mut self, cx: &mut Context<'_>) {
        if let Some(connection) = &mut self.connection {
            if Pin::new(connection).poll(cx).is_ready() {
                self.connection = None;
            }
        }
    }

    /// Waits for something on the connection while that goes on.
    async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.turn(cx);
            future.as_mut().poll(cx)
        })
        .await
    }

    /// Whether the connection can carry another request, now that an answer is read to its end.
    async fn reusable(&mut self) -> bool {
        poll_fn(|cx| {
            self.turn(cx);
            Poll::Ready(())
        })
        .await;
        self.connection.is_some() && self.sender.is_ready()
    }
}

async fn open(attempt: &Attempt, dial: SocketAddr) -> Result<Link, ConnectError> {
    let (stream, held) = connect(attempt.gateway(), attempt.server(), HTTP, dial).await?;
    let socket = Socket::new(stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER);
    let handshake = builder.handshake(TokioIo::new(SocketIo(socket.clone()))).await;
    let (sender, connection) = handshake.map_err(|_| ConnectError::Failed)?;
    Ok(Link { socket, sender, connection: Some(connection), _held: held })
}

/// Plays one attempt to its end; an error is how it ended where it was not told of yet. Where the gateway has
/// stopped waiting, the attempt may go on for a while, so that its connection can be kept.
async fn exchange(message: &HttpExchange, attempt: &Attempt) -> Result<(), AttemptOutcome> {
    let mut lines = ConnectionSource::new(attempt, HTTP)?;
    loop {
        let mut line = lines.next(|dial| open(attempt, dial)).await?;
        let link: &mut Link = &mut line.connection;
        if !message.body.available() {
            return Err(AttemptOutcome::NotSent);
        }
        link.socket.expect_request(message.body.length());
        attempt.set_send_progress(link.socket.clone());
        let millis_left = message.wait.unwrap_or_else(|| attempt.remaining_ms());
        let response = link.sender.send_request(request(message, millis_left, link.socket.clone()));
        let socket = link.socket.clone();
        return match head(link, response).await {
            Ok(response) => {
                if answer(message, attempt, link, response).await && link.reusable().await {
                    lines.release(line);
                }
                Ok(())
            }
            Err(_) if socket.written() => Err(AttemptOutcome::Reset),
            Err(_) if line.reused && message.body.available() => continue,
            Err(_) => Err(AttemptOutcome::ConnectFailed),
        };
    }
}

/// The head of the answer: waited for as long as it may take, but once it has begun it has to come to its end.
async fn head<F, T>(link: &mut Link, response: F) -> Result<T, Broken>
where
    F: Future<Output = hyper::Result<T>>,
{
    link.socket.heard.set(false);
    let socket = link.socket.clone();
    let mut response = pin!(link.drive(response));
    let begun = poll_fn(|cx| match response.as_mut().poll(cx) {
        Poll::Ready(answer) => Poll::Ready(Some(answer)),
        Poll::Pending if socket.heard.get() => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    })
    .await;
    match begun {
        Some(answer) => answer.map_err(Broken::from),
        None => running::timeout(HEAD_STALL, response).await?.map_err(Broken::from),
    }
}

/// The client's request as it goes to a server, with the time that is left.
fn request(message: &HttpExchange, millis_left: u64, socket: Rc<Socket>) -> Request<PieceBody> {
    let mut request = Request::new(PieceBody::new(message.body.clone(), Some(socket)));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    let mut headers = message.headers.clone();
    headers.insert(TIMEOUT, HeaderValue::from(millis_left));
    *request.headers_mut() = headers;
    request
}

/// How long the sender waits, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout-ms");
/// A server's word that the request never ran.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

/// Why an answer is none. The request has run, or may have.
#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("it stands still")]
    Still(#[from] running::TimedOut),
    #[error("longer than any answer")]
    TooLong,
    #[error("where it ends is not clear")]
    Unclear,
    #[error("the node has no room for it")]
    NoRoom,
}

/// Takes an answer and tells of it; true where the connection came to the answer's end.
async fn answer(
    message: &HttpExchange,
    attempt: &Attempt,
    link: &mut Link,
    response: Response<Incoming>,
) -> bool {
    let budget = &attempt.gateway().budget;
    let (head, body) = response.into_parts();
    let not_processed = head.headers.get(NOT_PROCESSED).is_some_and(|v| v == "1");
    let turned_away = matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    if head.status != StatusCode::OK {
        let ending =
            if turned_away && not_processed { AttemptOutcome::Rejected } else { AttemptOutcome::Error };
        attempt.fail(ending);
        let unwanted = take(link, body, &head.headers, BufferedBody::new(budget.body_lease()));
        let read = running::timeout(BODY_STALL, unwanted).await;
        return matches!(read, Ok(Ok(Taken::Whole(_))));
    }
    let taken = take(link, body, &head.headers, BufferedBody::new(budget.body_lease())).await;
    let mut headers = head.headers;
    strip(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    match taken {
        Ok(Taken::Whole(pieces)) => {
            if attempt.succeed() {
                message.reply.send(FinalResponse::Upstream(Served { headers, body: Message::whole(pieces) }));
            }
            true
        }
        Ok(Taken::Part(pieces, body)) => {
            // Nobody waits for it: its end is not worth reading it.
            if !attempt.succeed() {
                return false;
            }
            let (sender, rest) = rest();
            let (came, length) = (pieces.len(), body.size_hint().exact().map(|left| left + pieces.len()));
            let whole = Message::long(pieces, rest, length);
            message.reply.send(FinalResponse::Upstream(Served { headers, body: whole }));
            pass_on(link, body, came, sender).await
        }
        Err(_) => {
            attempt.fail(AttemptOutcome::Reset);
            false
        }
    }
}

/// What was read of an answer's body.
enum Taken {
    Whole(BufferedBody),
    /// It is long, and the rest is still to come.
    Part(BufferedBody, Incoming),
}

/// How an answer's end is told (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunks,
    /// By the close of its connection. A reset is no close, and an answer that is reset is none.
    Close,
}

impl Framing {
    /// `None` where the head names two ends.
    fn of(headers: &HeaderMap) -> Option<Framing> {
        let length = headers.contains_key(header::CONTENT_LENGTH);
        match (length, headers.contains_key(header::TRANSFER_ENCODING)) {
            (true, true) => None,
            (true, false) => Some(Framing::Length),
            (false, true) => Some(Framing::Chunks),
            (false, false) => Some(Framing::Close),
        }
    }
}

/// Reads an answer's body, whole if it is not long. Held back until its end has come, an answer that turns out to be
/// spoilt is never begun to a client and can still be replaced by another server's. This guards against all that can
/// be wrong with an answer's length: two, one that is larger than what comes or than any answer may be.
async fn take(
    link: &mut Link,
    mut body: Incoming,
    headers: &HeaderMap,
    mut pieces: BufferedBody,
) -> Result<Taken, Broken> {
    let framing = Framing::of(headers).ok_or(Broken::Unclear)?;
    if body.size_hint().lower() > MOST_BODY {
        return Err(Broken::TooLong);
    }
    let begun = Instant::now();
    while let Some(frame) = running::timeout(BODY_STALL, link.drive(body.frame())).await? {
        let Ok(data) = frame?.into_data() else { continue };
        if !pieces.push(data) {
            return Err(Broken::NoRoom);
        }
        // One that ends with its connection is held back: whether it comes whole is known only then.
        let late = framing == Framing::Chunks && begun.elapsed() > UNKNOWN_LENGTH;
        if pieces.len() + body.size_hint().lower() > WHOLE || (late && !body.is_end_stream()) {
            return Ok(Taken::Part(pieces, body));
        }
    }
    Ok(Taken::Whole(pieces))
}

/// Passes the rest of a long answer on as it comes, no faster than its client takes it; true where it came to its end.
/// Where it does not, the client sees that: its connection is cut.
async fn pass_on(link: &mut Link, mut body: Incoming, mut came: u64, client: mpsc::Sender<Piece>) -> bool {
    while let Ok(frame) = running::timeout(LONG_STALL, link.drive(body.frame())).await {
        let data = match frame {
            None => {
                // A client that has its length does not wait for this.
                let _ = client.send(Piece::End).await;
                return true;
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return false,
        };
        came += data.len() as u64;
        if came > MOST_BODY || client.send(Piece::Data(data)).await.is_err() {
            return false;
        }
    }
    false
}

/// Headers that belong to one connection and not to the message.
pub fn strip(headers: &mut HeaderMap) {
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
