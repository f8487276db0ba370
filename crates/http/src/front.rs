//! Towards the clients: the listener, requests coming in, final answers going out.

use crate::body::{AnswerBody, Message, PieceBody};
use crate::client::{Client, End, Place};
use crate::intake::{Intake, IntakeError};
use crate::service::{NameError, Routing};
use crate::socket::{Socket, SocketIo};
use crate::upstream::{self, HttpExchange, Served, TIMEOUT};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use laurelroute_core::accept::{ConnectionHandler, SlotDemand};
use laurelroute_core::call::{Call, FinalResponse, LocalReply, ResponseSlot};
use laurelroute_core::events::{self, Kind, Label};
use laurelroute_core::gateway::{route_key, Gateway};
use laurelroute_core::idle::IdleTracker;
use laurelroute_core::peer::PEER_CHECK_INTERVAL;
use laurelroute_core::route::{self, RouteError, ServiceRoute, WaiterCount};
use laurelroute_policy::interface::{self, Idempotency, Nanos};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::os::fd::BorrowedFd;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Read buffer of a client's connection and the longest head; it bounds what 1,000 connections hold.
const BUFFER: usize = 16 * 1024;
/// The longest id of a request.
const MOST_ID: usize = 128;
/// How often connections are looked at.
pub const SWEEP_INTERVAL: Duration = PEER_CHECK_INTERVAL;
/// How long a body that passes through may take until its last byte.
const UPLOAD: Nanos = 600_000_000_000;
/// One in so many of the places for clients may be held by requests that wait for their services.
const WAITING_PART: usize = 4;
/// Where a new client has waited so long for a place, connections at rest end ahead of those whose answers could say so.
const AT_REST_AFTER: Duration = Duration::from_millis(100);
/// Connections that go over to another process before those that went are closed here.
const AT_ONCE: usize = 16;

/// All clients' connections; bounded by the budget.
pub struct Clients {
    gateway: Rc<Gateway>,
    /// Where requests name services; without it the gateway carries all.
    routing: Option<Routing>,
    waits: WaiterCount,
    open: RefCell<HashMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    /// Connections on which a request is under way.
    busy: Cell<usize>,
    left: Notify,
    /// Connections go over to another process of the node as they come to rest, and one has.
    handing: Cell<bool>,
    rested: Notify,
}

impl Clients {
    /// The front of a gateway, without connections yet.
    pub fn new(gateway: Rc<Gateway>) -> Rc<Self> {
        Self::routed(gateway, None)
    }

    /// The same where requests name services. The gateway is that of the process: what it has in common is asked there.
    pub fn routed(gateway: Rc<Gateway>, routing: Option<Routing>) -> Rc<Self> {
        Rc::new(Clients {
            gateway,
            routing,
            waits: WaiterCount::default(),
            open: RefCell::default(),
            next: Cell::new(0),
            busy: Cell::new(0),
            left: Notify::new(),
            handing: Cell::new(false),
            rested: Notify::new(),
        })
    }

    /// Ends a connection so that a new client finds a place; false where there is none that can be ended. Each is told
    /// once, so that a burst of new ones makes as much room as it takes.
    pub fn make_room(&self, need: SlotDemand) -> bool {
        let open = self.open.borrow();
        let now = self.gateway.running_time();
        let found = spare(&open, now).or_else(|| match need {
            SlotDemand::Upcoming => None,
            SlotDemand::Waiting(waited) => needed(&open, now, waited, need.connections_to_close()),
        });
        let Some((client, end)) = found else { return false };
        client.tell(end);
        events::record_for_connection(self.gateway.clock.now(), Kind::ClosedForRoom);
        true
    }

    /// Every `SWEEP_INTERVAL`: closes what stands still.
    pub fn sweep(&self) {
        let now = self.gateway.running_time();
        let open = self.open.borrow();
        let crowded = self.gateway.budget.is_crowded(open.len());
        let ended = open.values().filter_map(|client| client.sweep(now, crowded));
        ended.for_each(|kind| events::record_for_connection(self.gateway.clock.now(), kind));
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.open.borrow().len()
    }

    /// Gives connections that are between requests to another process of the node, by `give`, until that has no room;
    /// how many. `give` is told whether the connection has carried a request. Some at a time: what is given is closed here only when its task has run, and until then both hold it.
    /// A client notices nothing: its next request finds the other process.
    pub fn hand_over(&self, give: impl Fn(BorrowedFd<'_>, bool) -> bool) -> usize {
        self.handing.set(true);
        let open = self.open.borrow();
        // What has been read of a further request cannot go over: that one is served here.
        let mut given = 0;
        for client in open.values().filter(|c| c.may_be_given()).take(AT_ONCE) {
            if !client.socket.give(|connection| give(connection, client.rest.used())) {
                return given;
            }
            client.tell(End::Now);
            given += 1;
        }
        if given == AT_ONCE {
            self.rested.notify_one();
        }
        given
    }

    /// Waits until a connection comes to rest after [`Clients::hand_over`] has gone over them: a client that asks without a
    /// pause rests for some tens of microseconds between two requests, which no clock's tick meets.
    pub async fn connection_idle(&self) {
        self.rested.notified().await;
    }

    /// Takes a connection that another process of the node has given over between two requests, or before the first one.
    pub fn resume(self: &Rc<Self>, stream: TcpStream, used: bool) {
        self.serve(stream, used, self.place());
    }

    /// Closes all connections that rest; the number of those that are left.
    pub fn close_idle(&self) -> usize {
        let now = self.gateway.running_time();
        let open = self.open.borrow();
        open.values().filter(|c| !c.ending() && c.may_close(now)).for_each(|c| c.tell(End::AtRest));
        open.len()
    }

    fn place(&self) -> Place {
        Place::Kept { _slot: self.gateway.budget.acquire_client() }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, used: bool, place: Place) {
        let now = self.gateway.running_time();
        let client = Rc::new(Client::new(Socket::of_client(stream), now, used, place));
        let id = self.next.get();
        self.next.set(id + 1);
        self.open.borrow_mut().insert(id, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            serve(&clients, client).await;
            clients.open.borrow_mut().remove(&id);
            clients.left.notify_one();
        });
    }
}

type Open = HashMap<u64, Rc<Client>>;

/// A connection that nobody needs: one that has never said anything, else one that has stopped in the middle of a head, and
/// else the one that has rested longest, if for long.
fn spare(open: &Open, now: Nanos) -> Option<(&Rc<Client>, End)> {
    longest_at_rest(open, now, |rest| !rest.used() && rest.may_evict(now))
        .map(|client| (client, End::AtRest))
        .or_else(|| Some((longest_stopped(open, now)?, End::Now)))
        .or_else(|| Some((longest_at_rest(open, now, |rest| rest.may_close(now))?, End::AtRest)))
}

/// The connection that has rested longest of those whose rest is like this.
fn longest_at_rest(open: &Open, now: Nanos, like: impl Fn(&IdleTracker) -> bool) -> Option<&Rc<Client>> {
    let mut resting: Vec<_> = open.values().filter(|c| !c.ending() && like(&c.rest)).collect();
    resting.sort_unstable_by_key(|c| c.rest.idle_since());
    // The kernel is asked last, and only until one is found.
    resting.into_iter().find(|c| c.may_close(now))
}

/// A connection whose client may go on asking, where a new client has waited for so long and so many connections should be
/// about to end. One at rest is ended only where no answer is due that says so, or where those that are due take too long:
/// its client may be late to read.
fn needed(
    open: &Open,
    now: Nanos,
    waited: Duration,
    connections_to_close: usize,
) -> Option<(&Rc<Client>, End)> {
    let due = open.values().filter(|client| client.ends_with_answer()).count();
    let with_answer =
        || Some((longest_at_work(open)?, End::WithAnswer)).filter(|_| due < connections_to_close);
    let at_rest = || Some((longest_at_rest(open, now, |rest| rest.may_evict(now))?, End::AtRest));
    if waited >= AT_REST_AFTER {
        return at_rest().or_else(with_answer);
    }
    with_answer().or_else(|| at_rest().filter(|_| due == 0))
}

/// Of the connections whose requests are under way and that do not end with their answers already, the one that has had its
/// last answer longest ago.
fn longest_at_work(open: &Open) -> Option<&Rc<Client>> {
    let at_work = open.values().filter(|c| c.before_answer() && !c.ends_with_answer());
    at_work.min_by_key(|c| c.rest.idle_since())
}

/// The connection that has stood still longest in the middle of a head.
fn longest_stopped(open: &Open, now: Nanos) -> Option<&Rc<Client>> {
    let stopped = open.values().filter(|c| !c.ending()).filter_map(|c| Some((c.stopped_since(now)?, c)));
    stopped.min_by_key(|(since, _)| *since).map(|(_, client)| client)
}

impl ConnectionHandler for Clients {
    fn serve(self: &Rc<Self>, stream: TcpStream) {
        self.serve(stream, false, self.place());
    }

    fn serve_overflow(self: &Rc<Self>, stream: TcpStream) -> Result<(), TcpStream> {
        let Some(slot) = self.gateway.budget.acquire_overflow() else { return Err(stream) };
        self.serve(stream, false, Place::Overflow { _slot: slot });
        Ok(())
    }

    fn connection_closed(&self) -> &Notify {
        &self.left
    }
}

async fn serve(clients: &Rc<Clients>, client: Rc<Client>) {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER).timer(hyper_util::rt::TokioTimer::new()).header_read_timeout(None);
    let service = service_fn(|request| respond(clients, &client, request));
    let io = TokioIo::new(SocketIo(client.socket.clone()));
    let mut connection = pin!(builder.serve_connection(io, service));
    loop {
        tokio::select! {
            biased;
            // What goes wrong here is the client's: it has gone, or was told 400.
            _ = connection.as_mut() => return,
            end = client.told() => match end {
                Some(End::AtRest) if client.may_close(clients.gateway.running_time()) => {
                    connection.as_mut().graceful_shutdown();
                }
                // A request has come since that was decided: it is served, and the next look closes.
                Some(End::AtRest) => {
                    client.go_on();
                    events::record_for_connection(clients.gateway.clock.now(), Kind::CloseCrossed);
                }
                Some(End::Now) => return,
                Some(End::WithAnswer) | None => {}
            },
        }
    }
}

/// A request under way. From its head to the end of its answer its connection does not count as idle.
struct Busy {
    clients: Rc<Clients>,
    client: Rc<Client>,
}

impl Busy {
    fn new(clients: &Rc<Clients>, client: &Rc<Client>) -> Self {
        clients.busy.set(clients.busy.get() + 1);
        client.request_came();
        Busy { clients: clients.clone(), client: client.clone() }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.clients.busy.set(self.clients.busy.get() - 1);
        self.client.request_over(self.clients.gateway.running_time());
        if self.clients.handing.get() {
            self.clients.rested.notify_one();
        }
    }
}

/// An answer on its way, until hyper has taken all of it.
struct Outgoing {
    body: AnswerBody,
    _busy: Busy,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

async fn respond(
    clients: &Rc<Clients>,
    client: &Rc<Client>,
    request: Request<Incoming>,
) -> Result<Response<Outgoing>, Infallible> {
    let busy = Busy::new(clients, client);
    let gateway = &clients.gateway;
    let mut response = match answer(clients, client, request).await {
        Ok(response) => response,
        Err(fault) => closing(fault.response(gateway)),
    };
    let last = client.answer_begins(gateway.running_time());
    if last || gateway.is_draining() {
        response = closing(response);
    }
    Ok(response.map(|body| Outgoing { body, _busy: busy }))
}

/// Why a request is not taken. It is answered at once and its connection closed: whoever sends such requests
/// has no claim to a place. None of them has gone to a server, which would turn it away, close on it and look
/// faulty for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum Fault {
    #[error("no such class of requests")]
    Class,
    #[error("the class has another method")]
    Method,
    #[error("the length of the body is not clear")]
    Framing,
    #[error("a request needs one X-Request-ID")]
    Id,
    #[error("a request with this id has been taken already")]
    IdTaken,
    #[error("X-Timeout-Ms is not a number of milliseconds")]
    Timeout,
    #[error("the class needs one Idempotency-Key")]
    Key,
    #[error("{0}")]
    Body(#[from] IntakeError),
    #[error("{0}")]
    Service(#[from] NameError),
    #[error("{0}")]
    RouteError(#[from] RouteError),
    #[error("no room")]
    NoRoom,
    #[error("nobody waits for the answer")]
    Left,
}

impl Fault {
    fn response(self, gateway: &Gateway) -> Response<AnswerBody> {
        let status = match self {
            Fault::Class | Fault::RouteError(RouteError::Unknown) => StatusCode::NOT_FOUND,
            Fault::Method => StatusCode::METHOD_NOT_ALLOWED,
            Fault::IdTaken => StatusCode::CONFLICT,
            Fault::Body(IntakeError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            Fault::Body(IntakeError::Slow) => StatusCode::REQUEST_TIMEOUT,
            // The only ones that are refusals: the request is sound, and it has not gone anywhere.
            Fault::NoRoom | Fault::Body(IntakeError::NoRoom) | Fault::RouteError(_) => {
                return refused(Nanos::MAX, gateway)
            }
            _ => StatusCode::BAD_REQUEST,
        };
        text(status, Bytes::from(format!("{self}\n")))
    }
}

/// What a sound head says.
struct Head {
    class: usize,
    id: u64,
    label: Label,
    /// How long the client waits.
    wait: Nanos,
}

/// The one value of a header.
fn only(headers: &HeaderMap, name: HeaderName) -> Option<&[u8]> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none()).map(HeaderValue::as_bytes)
}

fn number(text: &[u8]) -> Option<u64> {
    let digits = text.trim_ascii();
    let sound = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| sound)?.parse().ok()
}

/// Reads a head; everything that PROTOCOL asks of a request is checked here, before anything is held for it.
fn check(gateway: &Gateway, client: &Client, head: &Parts) -> Result<Head, Fault> {
    if client.socket.unclear(client.requests()) {
        return Err(Fault::Framing);
    }
    let name = head.uri.path().split('/').nth(1).unwrap_or_default();
    let class = gateway.config.classes.iter().position(|c| c == name).ok_or(Fault::Class)?;
    let settings = &gateway.config.settings.classes[class];
    let method = if settings.idempotency == Idempotency::Safe { Method::GET } else { Method::POST };
    if head.method != method {
        return Err(Fault::Method);
    }
    if settings.idempotency == Idempotency::Keyed
        && only(&head.headers, IDEMPOTENCY_KEY).is_none_or(<[u8]>::is_empty)
    {
        return Err(Fault::Key);
    }
    let id = only(&head.headers, REQUEST_ID).filter(|id| id.iter().all(u8::is_ascii_graphic));
    let id = id.filter(|id| (1..=MOST_ID).contains(&id.len())).ok_or(Fault::Id)?;
    let wait = only(&head.headers, TIMEOUT).and_then(number).filter(|ms| *ms > 0).ok_or(Fault::Timeout)?;
    // No client waits longer than its class: a longer figure would only hold memory.
    let wait = wait.saturating_mul(1_000_000).min(settings.client_timeout);
    Ok(Head { class, id: laurelroute_core::stable_hash(id), label: Label::of(id), wait })
}

async fn answer(
    clients: &Rc<Clients>,
    client: &Client,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Fault> {
    let gateway = &clients.gateway;
    let (parts, body) = request.into_parts();
    if parts.uri.path() == "/up" && parts.method == Method::GET {
        let up = gateway.ready.get() && !gateway.is_draining();
        let status = if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return Ok(text(status, Bytes::new()));
    }
    let head = check(gateway, client, &parts)?;
    // Asked for with the head: while the body comes, so does the service.
    let routed = match &clients.routing {
        Some(routing) => {
            Some(ServiceRoute::new(&routing.services, routing.name_source.service_name(&parts)?)?)
        }
        None => None,
    };
    let safe = gateway.config.settings.classes[head.class].idempotency == Idempotency::Safe;
    let mut intake = Intake::new(&gateway.budget, body)?;
    let whole = intake.hold().await?;
    if safe && !intake.held.is_empty() {
        return Err(Fault::Method);
    }
    if clients.busy.get() > gateway.budget.max_clients() {
        // So many are under way that new ones find no place: better told than left to wait for one.
        events::record_for_connection(gateway.clock.now(), Kind::RefusedNoRoom);
        return Err(Fault::NoRoom);
    }
    // What has waited in the kernel's queue, or for the end of its body, is not sent on for one that has gone meanwhile.
    if client.socket.left_behind(client.requests() == 1).await {
        return Err(Fault::Left);
    }
    client.request_taken();
    let now = gateway.clock.now();
    let give_up_at = now + head.wait + if whole { 0 } else { UPLOAD };
    if !gateway.claim_request_id(head.id, give_up_at) {
        return Err(Fault::IdTaken);
    }
    let carrier = match &routed {
        None => gateway.clone(),
        Some(routed) => {
            let latest = route::wait_deadline(&gateway.config.settings, head.class, now + head.wait);
            let room = (&clients.waits, (gateway.budget.max_clients() / WAITING_PART).max(1));
            let (carrier, waited) = routed.gateway(&gateway.clock, latest, room).await?;
            if waited && client.socket.left_behind(client.requests() == 1).await {
                return Err(Fault::Left);
            }
            carrier
        }
    };
    let request = interface_request(gateway, &head, &parts.headers, give_up_at);
    let (body, upload) = intake.into_message(whole);
    let wait = upload.is_some().then_some(head.wait / 1_000_000);
    let (exchange, mut answer) = exchange(parts, body, wait, client.socket.clone());
    let claim = carrier.submit(Call { request, give_up_at, label: head.label }, Rc::new(exchange));
    let verdict = match upload {
        None => claim.response(&mut answer).await,
        Some(upload) => {
            // It goes on by itself: what is answered early is still read to its end, or the close would take the answer
            // with it.
            let (done, mut uploaded) = oneshot::channel();
            tokio::task::spawn_local(async move { done.send(upload.run().await) });
            tokio::select! {
                verdict = claim.response(&mut answer) => verdict,
                end = &mut uploaded => {
                    end.unwrap_or(Err(IntakeError::Broken))?;
                    claim.body_received(gateway.clock.now() + head.wait);
                    claim.response(&mut answer).await
                }
            }
        }
    };
    Ok(match verdict {
        FinalResponse::Upstream(Served { headers, body }) => {
            let mut response = Response::new(AnswerBody::Served(PieceBody::new(body, None)));
            *response.headers_mut() = headers;
            response
        }
        FinalResponse::Local(LocalReply::Refused { retry_after }) => refused(retry_after, gateway),
        FinalResponse::Local(LocalReply::Failed { late: true }) => {
            text(StatusCode::GATEWAY_TIMEOUT, Bytes::from_static(b"no answer in time\n"))
        }
        FinalResponse::Local(LocalReply::Failed { late: false }) => {
            text(StatusCode::BAD_GATEWAY, Bytes::from_static(b"failed\n"))
        }
    })
}

/// The request in the module's words.
fn interface_request(
    gateway: &Gateway,
    head: &Head,
    headers: &HeaderMap,
    give_up_at: Nanos,
) -> interface::Request {
    let tenant = headers.get("x-tenant-id").map(HeaderValue::as_bytes);
    let cost = headers.get("x-cost").and_then(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
    interface::Request {
        class: head.class as u8,
        tenant: gateway.config.tenant_index(tenant),
        key: headers.get("x-route-key").map_or(0, |k| route_key(k.as_bytes())),
        work_hint: cost.filter(|us| us.is_finite() && *us > 0.0).map(|us| (us * 1000.0) as Nanos),
        is_retry: headers.get("x-retried").is_some_and(|v| v == "1"),
        is_write: headers
            .get("x-attrs")
            .is_some_and(|v| v.to_str().unwrap_or_default().split(',').any(|a| a.trim() == "write=1")),
        ..interface::Request::new(0, give_up_at)
    }
}

/// The request as it goes to servers.
fn exchange(
    parts: Parts,
    body: Rc<Message>,
    wait: Option<u64>,
    client: Rc<Socket>,
) -> (HttpExchange, oneshot::Receiver<FinalResponse<Served>>) {
    let mut headers = parts.headers;
    upstream::strip(&mut headers);
    headers.remove(header::EXPECT);
    if let Some(length) = body.length().filter(|l| *l > 0 && !headers.contains_key(header::CONTENT_LENGTH)) {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    let uri = match parts.uri.path_and_query() {
        Some(path) if parts.uri.scheme().is_some() => Uri::from(path.clone()),
        _ => parts.uri,
    };
    let (reply, answer) = ResponseSlot::new();
    (HttpExchange { method: parts.method, uri, headers, body, wait, reply, client }, answer)
}

fn refused(retry_after: Nanos, gateway: &Gateway) -> Response<AnswerBody> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"busy\n"));
    let advice = gateway
        .config
        .retry_after_seconds(retry_after)
        .and_then(|s| HeaderValue::try_from(format!("{s:.3}")).ok());
    if let Some(value) = advice {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

fn text(status: StatusCode, text: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Text(Some(text).filter(|t| !t.is_empty())));
    *response.status_mut() = status;
    response
}

fn closing<B>(mut response: Response<B>) -> Response<B> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
