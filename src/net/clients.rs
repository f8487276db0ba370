//! Towards the clients: the listener, requests coming in, final answers going out.

use super::body::{AnswerBody, Broken, PieceBody, Pieces};
use super::budget::Slot;
use super::gateway::{Answer, Gateway, Message};
use super::io::{Socket, SocketIo};
use super::servers::{self, EMFILE, ENFILE, TIMEOUT};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use yarrowfield::interface::{self, Nanos};

/// The most that a body may hold.
const MOST_BODY: u64 = 32_000_000;
/// Read buffer of a client's connection and the longest head; it bounds what 1,000 connections hold.
const BUFFER: usize = 16 * 1024;
/// A connection without a request is closed after this many seconds, one that stands still in the middle of a
/// request or of an answer after fewer: a slow client still moves.
const IDLE_S: u32 = 90;
const STUCK_S: u32 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Between requests, or in a head.
    Idle,
    /// In a body.
    Reading,
    /// The request is with the gateway, whose deadline bounds it.
    Waiting,
    /// The answer is on its way.
    Writing,
}

struct Client {
    socket: Rc<Socket>,
    stage: Cell<Stage>,
    idle_since: Cell<Nanos>,
    still_s: Cell<u32>,
    /// It came when there was no place left: it is only told to come back.
    surplus: bool,
    cut: Cell<bool>,
    close: Notify,
    _slot: Slot,
}

impl Client {
    /// Nothing is lost when it is closed now: it is between requests, and no further one has come.
    fn idle(&self) -> bool {
        self.stage.get() == Stage::Idle && !self.socket.heard.get() && self.socket.quiet()
    }

    fn stop(&self, cut: bool) {
        self.cut.set(cut);
        self.close.notify_one();
    }
}

/// All clients' connections; bounded by the budget.
pub struct Clients {
    gateway: Rc<Gateway>,
    open: RefCell<HashMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    left: Notify,
}

impl Clients {
    pub fn new(gateway: Rc<Gateway>) -> Rc<Self> {
        Rc::new(Clients { gateway, open: RefCell::default(), next: Cell::new(0), left: Notify::new() })
    }

    /// Accepts until told to stop, and then what the kernel has accepted for us by then.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, stop: Rc<Notify>) {
        let mut stop = pin!(stop.notified());
        loop {
            // The kernel holds further ones until somebody has gone.
            while self.gateway.budget.clients_exhausted() {
                self.make_room();
                let _ = tokio::time::timeout(Duration::from_millis(20), self.left.notified()).await;
            }
            tokio::select! {
                biased;
                accepted = listener.accept() => self.accepted(accepted.map(|(stream, _)| stream)).await,
                _ = &mut stop => return,
            }
        }
    }

    async fn accepted(self: &Rc<Self>, accepted: io::Result<TcpStream>) {
        match accepted {
            Ok(stream) => self.open(stream),
            Err(e) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE)) => {
                // Accepting again at once would only spin: something has to close first.
                self.make_room();
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            // A client that left while it waited: nothing to do with the next one.
            Err(_) => tokio::task::yield_now().await,
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream) {
        let budget = &self.gateway.budget;
        if budget.clients() >= budget.most_clients {
            self.make_room();
        }
        let client = Rc::new(Client {
            socket: Socket::new(stream),
            stage: Cell::new(Stage::Idle),
            idle_since: Cell::new(self.gateway.clock.now()),
            still_s: Cell::new(0),
            surplus: budget.clients() >= budget.most_clients,
            cut: Cell::new(false),
            close: Notify::new(),
            _slot: budget.client(),
        });
        let id = self.next.get();
        self.next.set(id + 1);
        self.open.borrow_mut().insert(id, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            serve(&clients.gateway, client).await;
            clients.open.borrow_mut().remove(&id);
            clients.left.notify_one();
        });
    }

    /// Closes the connection that has stood idle longest.
    fn make_room(&self) {
        let open = self.open.borrow();
        let mut idle: Vec<_> = open.values().filter(|c| c.stage.get() == Stage::Idle).collect();
        idle.sort_unstable_by_key(|c| c.idle_since.get());
        if let Some(client) = idle.into_iter().find(|c| c.idle()) {
            client.stop(false);
        }
    }

    /// Once a second: closes what stands still. No client may hold a descriptor for good.
    pub fn sweep(&self) {
        for client in self.open.borrow().values() {
            let still = if client.socket.moved.replace(false) { 0 } else { client.still_s.get() + 1 };
            client.still_s.set(still);
            let resting = client.stage.get() == Stage::Idle && !client.socket.heard.get();
            match client.stage.get() {
                Stage::Waiting => client.still_s.set(0),
                _ if resting && still >= IDLE_S && client.socket.quiet() => client.stop(false),
                _ if !resting && still >= STUCK_S => client.stop(true),
                _ => {}
            }
        }
    }

    /// Closes all connections that are between requests; the number of those that are left.
    pub fn close_idle(&self) -> usize {
        let open = self.open.borrow();
        open.values().filter(|c| c.idle()).for_each(|c| c.stop(false));
        open.len()
    }
}

async fn serve(gateway: &Rc<Gateway>, client: Rc<Client>) {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER).timer(hyper_util::rt::TokioTimer::new()).header_read_timeout(None);
    let service = service_fn(|request| respond(gateway, &client, request));
    let io = TokioIo::new(SocketIo(client.socket.clone()));
    let mut connection = pin!(builder.serve_connection(io, service));
    loop {
        tokio::select! {
            biased;
            // What goes wrong here is the client's: it has gone, or was told 400.
            _ = connection.as_mut() => return,
            _ = client.close.notified() => {
                if client.cut.get() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// An answer that keeps its connection from counting as idle until hyper has taken all of it.
struct Outgoing {
    body: AnswerBody,
    gateway: Rc<Gateway>,
    client: Rc<Client>,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.client.stage.set(Stage::Idle);
        self.client.idle_since.set(self.gateway.clock.now());
        self.client.socket.heard.set(false);
    }
}

async fn respond(
    gateway: &Rc<Gateway>,
    client: &Rc<Client>,
    request: Request<Incoming>,
) -> Result<Response<Outgoing>, Infallible> {
    client.stage.set(Stage::Reading);
    let mut response = answer(gateway, client, request).await;
    client.stage.set(Stage::Writing);
    if gateway.leaving.get() || client.surplus {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| Outgoing { body, gateway: gateway.clone(), client: client.clone() }))
}

async fn answer(gateway: &Rc<Gateway>, client: &Client, request: Request<Incoming>) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    if head.uri.path() == "/up" && head.method == Method::GET {
        let up = gateway.ready.get() && !gateway.leaving.get();
        return text(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
    }
    if head.headers.contains_key(header::TRANSFER_ENCODING)
        && head.headers.contains_key(header::CONTENT_LENGTH)
    {
        // Two lengths: whoever takes the other one sees another request behind it.
        return closing(text(StatusCode::BAD_REQUEST, "two lengths\n"));
    }
    let name = head.uri.path().split('/').nth(1).unwrap_or_default();
    let Some(class) = gateway.config.classes.iter().position(|c| c == name) else {
        return closing(text(StatusCode::NOT_FOUND, "no such class of requests\n"));
    };
    let body = match take(gateway, client.surplus, body).await {
        Ok(body) => Rc::new(body),
        Err(BodyError::TooLarge) => return closing(text(StatusCode::PAYLOAD_TOO_LARGE, "over 32 MB\n")),
        Err(BodyError::NoRoom) => return closing(refused(interface::Nanos::MAX, gateway)),
        Err(BodyError::Broken) => return closing(text(StatusCode::BAD_REQUEST, "the body broke off\n")),
    };
    client.stage.set(Stage::Waiting);
    let now = gateway.clock.now();
    let longest = gateway.config.settings.classes[class].give_up;
    let number =
        |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
    let wait = head.headers.get(TIMEOUT).and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
    // No client waits longer than its class: a longer figure would only hold memory.
    let give_up_at = now + wait.map_or(longest, |ms| ms.saturating_mul(1_000_000).min(longest));
    let tenant = head.headers.get("x-tenant-id").map(HeaderValue::as_bytes);
    let tenant = gateway.config.tenants.iter().position(|t| Some(t.as_bytes()) == tenant);
    let request = interface::Request {
        class: class as u8,
        // One that the settings do not name has no share to be over.
        tenant: tenant.map_or(u32::MAX, |t| t as u32),
        key: head.headers.get("x-route-key").map_or(0, |k| route_key(k.as_bytes())),
        work_hint: number("x-cost").filter(|us| *us > 0.0).map(|us| (us * 1000.0) as Nanos),
        is_retry: head.headers.get("x-retried").is_some_and(|v| v == "1"),
        is_write: head
            .headers
            .get("x-attrs")
            .is_some_and(|v| v.to_str().unwrap_or_default().split(',').any(|a| a.trim() == "write=1")),
        ..interface::Request::new(0, give_up_at)
    };
    let mut headers = head.headers;
    servers::strip(&mut headers);
    headers.remove(header::EXPECT);
    if !headers.contains_key(header::CONTENT_LENGTH) && body.len() > 0 {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let uri = match head.uri.path_and_query() {
        Some(path) if head.uri.scheme().is_some() => Uri::from(path.clone()),
        _ => head.uri,
    };
    let message = Message { method: head.method, uri, headers, body, give_up_at };
    let mut ticket = gateway.submit(request, message);
    match ticket.answer().await {
        Answer::Whole { headers, body } => served(headers, AnswerBody::Whole(PieceBody::new(Rc::new(body)))),
        Answer::Stream { headers, length, pieces } => {
            served(headers, AnswerBody::Stream { pieces, length, ticket })
        }
        Answer::Refused { retry_after } => refused(retry_after, gateway),
        Answer::Failed { late: true } => text(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
        Answer::Failed { late: false } => text(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

fn route_key(text: &[u8]) -> u64 {
    let hex = std::str::from_utf8(text).ok().and_then(|t| u64::from_str_radix(t, 16).ok());
    hex.unwrap_or_else(|| super::mix(text))
}

fn served(headers: HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.headers_mut() = headers;
    response
}

fn refused(retry_after: Nanos, gateway: &Gateway) -> Response<AnswerBody> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    let seconds = retry_after.min(gateway.config.settings.max_retry_after) as f64 / 1e9;
    if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
        if retry_after > 0 && gateway.config.settings.retry_after {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn text(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let text = (!text.is_empty()).then(|| Bytes::from_static(text.as_bytes()));
    let mut response = Response::new(AnswerBody::Text(text));
    *response.status_mut() = status;
    response
}

fn closing(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

enum BodyError {
    TooLarge,
    NoRoom,
    Broken,
}

/// Reads a body whole. Without room for it the rest is read and thrown away: the client gets its refusal when
/// it listens, and not a reset in the middle of its sending.
async fn take(gateway: &Gateway, throw_away: bool, mut body: Incoming) -> Result<Pieces, BodyError> {
    if body.size_hint().lower() > MOST_BODY {
        return Err(BodyError::TooLarge);
    }
    let mut pieces = Some(Pieces::new(gateway.budget.lease())).filter(|_| !throw_away);
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        len += data.len() as u64;
        if len > MOST_BODY {
            return Err(BodyError::TooLarge);
        }
        if pieces.as_mut().is_some_and(|p| !p.push(data)) {
            pieces = None;
        }
    }
    pieces.ok_or(BodyError::NoRoom)
}
