//! The downstream side: client connections, their requests and the responses to them.

use crate::body::{MessageBody, ResponseBody};
use crate::client::{Client, ClientSlot, CloseMode};
use crate::intake::{BodyIntake, IntakeError, LastByte};
use crate::local_response::{overloaded_response, text_response, with_connection_close};
use crate::request::{parse_head, policy_request, OutboundHead, RequestError};
use crate::service::Routing;
use crate::socket::SocketIo;
use crate::upstream::UpstreamResponse;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use laurelroute_core::accept::{ConnectionHandler, SlotDemand};
use laurelroute_core::call::{Call, FinalResponse, LocalReply, ResponseSlot};
use laurelroute_core::events::{self, Kind};
use laurelroute_core::gateway::Gateway;
use laurelroute_core::idle::IdleTracker;
use laurelroute_core::peer::{PeerState, PEER_CHECK_INTERVAL};
use laurelroute_core::route::{self, ServiceRoute, WaiterCount};
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

/// The read buffer of a client connection and the longest head; it bounds the memory of 1,000 connections.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// How often connections are checked for timeouts.
pub const SWEEP_INTERVAL: Duration = PEER_CHECK_INTERVAL;
/// How long a streamed request body may take until its last byte.
const UPLOAD_TIMEOUT: Nanos = 600_000_000_000;
/// One in this many of the client slots may be held by requests that wait for their services.
const WAITING_SHARE_DIVISOR: usize = 4;
/// Once a new client has waited this long for a slot, idle connections are closed ahead of busy ones, whose responses
/// could announce the close.
const EVICT_IDLE_AFTER: Duration = Duration::from_millis(100);
/// The most connections that are handed over at once. They are closed here before more follow.
const HAND_OVER_BATCH: usize = 16;

/// All client connections; their number is bounded by the budget.
pub struct Clients {
    gateway: Rc<Gateway>,
    /// How requests name services; without it the gateway handles all requests.
    routing: Option<Routing>,
    waiters: WaiterCount,
    connections: RefCell<HashMap<u64, Rc<Client>>>,
    next_id: Cell<u64>,
    /// The number of connections with a request in flight.
    in_flight: Cell<usize>,
    /// Notified when a connection has closed.
    closed: Notify,
    /// Idle connections are being handed over to another process of the node.
    handing_over: Cell<bool>,
    /// Notified when a connection becomes idle during a hand-over.
    idle_notify: Notify,
}

impl Clients {
    /// A front for the gateway, without connections yet.
    pub fn new(gateway: Rc<Gateway>) -> Rc<Self> {
        Self::routed(gateway, None)
    }

    /// A front for requests that name services. The gateway is the process's own, which holds what its services share.
    pub fn routed(gateway: Rc<Gateway>, routing: Option<Routing>) -> Rc<Self> {
        Rc::new(Clients {
            gateway,
            routing,
            waiters: WaiterCount::default(),
            connections: RefCell::default(),
            next_id: Cell::new(0),
            in_flight: Cell::new(0),
            closed: Notify::new(),
            handing_over: Cell::new(false),
            idle_notify: Notify::new(),
        })
    }

    /// Closes a connection to make room for a new client; false where none can be closed. Each connection is asked
    /// once, so that a burst of new clients makes as much room as it needs.
    pub fn make_room(&self, need: SlotDemand) -> bool {
        let connections = self.connections.borrow();
        let now = self.gateway.running_time();
        let candidate = find_unneeded(&connections, now).or_else(|| match need {
            SlotDemand::Upcoming => None,
            SlotDemand::Waiting(waited) => {
                find_evictable(&connections, now, waited, need.connections_to_close())
            }
        });
        let Some((client, close_mode)) = candidate else { return false };
        client.request_close(close_mode);
        events::record_for_connection(self.gateway.clock.now(), Kind::ClosedForRoom);
        true
    }

    /// Closes connections that make no progress; to be called every [`SWEEP_INTERVAL`].
    pub fn sweep(&self) {
        let now = self.gateway.running_time();
        let connections = self.connections.borrow();
        let crowded = self.gateway.budget.is_crowded(connections.len());
        let closed = connections.values().filter_map(|client| client.sweep(now, crowded));
        closed.for_each(|kind| events::record_for_connection(self.gateway.clock.now(), kind));
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Hands connections that are between requests over to another process of the node by `send` until that has no
    /// room, and returns their number. `send` gets whether the connection has carried a request. The number per call is
    /// limited because a connection is closed here only when its task has run, and until then both processes hold it.
    /// Clients notice nothing: their next requests reach the other process.
    pub fn hand_over(&self, send: impl Fn(BorrowedFd<'_>, bool) -> bool) -> usize {
        self.handing_over.set(true);
        let connections = self.connections.borrow();
        // A request that has been read in part cannot be handed over: it is served here.
        let mut handed_over = 0;
        for client in connections.values().filter(|c| c.may_hand_over()).take(HAND_OVER_BATCH) {
            if !client.socket.hand_over(|connection| send(connection, client.idle_tracker.used())) {
                return handed_over;
            }
            client.request_close(CloseMode::Immediately);
            handed_over += 1;
        }
        if handed_over == HAND_OVER_BATCH {
            self.idle_notify.notify_one();
        }
        handed_over
    }

    /// Waits until a connection becomes idle after [`Clients::hand_over`] was called: one whose client sends requests
    /// without a pause is idle for some tens of microseconds between two of them, which a periodic check does not meet.
    pub async fn connection_idle(&self) {
        self.idle_notify.notified().await;
    }

    /// Serves a connection that another process of the node has handed over between two requests, or before the first
    /// one.
    pub fn resume(self: &Rc<Self>, stream: TcpStream, used: bool) {
        self.serve(stream, used, self.acquire_slot());
    }

    /// Closes all idle connections and returns the number of open ones.
    pub fn close_idle(&self) -> usize {
        let now = self.gateway.running_time();
        let connections = self.connections.borrow();
        connections
            .values()
            .filter(|c| !c.is_closing() && c.may_close(now))
            .for_each(|c| c.request_close(CloseMode::WhenIdle));
        connections.len()
    }

    fn acquire_slot(&self) -> ClientSlot {
        ClientSlot::Regular { _slot: self.gateway.budget.acquire_client() }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, used: bool, slot: ClientSlot) {
        let now = self.gateway.running_time();
        let client = Rc::new(Client::new(stream, now, used, slot));
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.connections.borrow_mut().insert(id, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            serve_connection(&clients, client).await;
            clients.connections.borrow_mut().remove(&id);
            clients.closed.notify_one();
        });
    }
}

type Connections = HashMap<u64, Rc<Client>>;

/// A connection that can be closed without harm: one that has never sent anything, else one that has stalled within a
/// head, else the one that has been idle longest, if for long enough.
fn find_unneeded(connections: &Connections, now: Nanos) -> Option<(&Rc<Client>, CloseMode)> {
    longest_idle(connections, now, |idle| !idle.used() && idle.may_evict(now))
        .map(|client| (client, CloseMode::WhenIdle))
        .or_else(|| Some((longest_stalled_head(connections, now)?, CloseMode::Immediately)))
        .or_else(|| Some((longest_idle(connections, now, |idle| idle.may_close(now))?, CloseMode::WhenIdle)))
}

/// The longest idle connection of those that match.
fn longest_idle(
    connections: &Connections,
    now: Nanos,
    matches: impl Fn(&IdleTracker) -> bool,
) -> Option<&Rc<Client>> {
    let mut idle: Vec<_> =
        connections.values().filter(|c| !c.is_closing() && matches(&c.idle_tracker)).collect();
    idle.sort_unstable_by_key(|c| c.idle_tracker.idle_since());
    // The kernel is asked last, and only until one is found.
    idle.into_iter().find(|c| c.may_close(now))
}

/// A connection whose client may send further requests, for a new client that has waited this long when this many
/// connections should be about to close. An idle one is closed only where no response is due that announces its close,
/// or where those that are due take too long: its client may be late to read.
fn find_evictable(
    connections: &Connections,
    now: Nanos,
    waited: Duration,
    target_closing: usize,
) -> Option<(&Rc<Client>, CloseMode)> {
    let due = connections.values().filter(|client| client.closes_after_response()).count();
    let after_response =
        || Some((longest_in_flight(connections)?, CloseMode::AfterResponse)).filter(|_| due < target_closing);
    let when_idle =
        || Some((longest_idle(connections, now, |idle| idle.may_evict(now))?, CloseMode::WhenIdle));
    if waited >= EVICT_IDLE_AFTER {
        return when_idle().or_else(after_response);
    }
    after_response().or_else(|| when_idle().filter(|_| due == 0))
}

/// Of the connections with a request in flight that do not close after its response already, the one whose last
/// response was longest ago.
fn longest_in_flight(connections: &Connections) -> Option<&Rc<Client>> {
    let in_flight = connections.values().filter(|c| c.awaits_response() && !c.closes_after_response());
    in_flight.min_by_key(|c| c.idle_tracker.idle_since())
}

/// The connection that has been stalled longest within a head.
fn longest_stalled_head(connections: &Connections, now: Nanos) -> Option<&Rc<Client>> {
    let stalled = connections
        .values()
        .filter(|c| !c.is_closing())
        .filter_map(|c| Some((c.head_stalled_since(now)?, c)));
    stalled.min_by_key(|(since, _)| *since).map(|(_, client)| client)
}

impl ConnectionHandler for Clients {
    fn serve(self: &Rc<Self>, stream: TcpStream) {
        self.serve(stream, false, self.acquire_slot());
    }

    fn serve_overflow(self: &Rc<Self>, stream: TcpStream) -> Result<(), TcpStream> {
        let Some(slot) = self.gateway.budget.acquire_overflow() else { return Err(stream) };
        self.serve(stream, false, ClientSlot::Overflow { _slot: slot });
        Ok(())
    }

    fn connection_closed(&self) -> &Notify {
        &self.closed
    }
}

async fn serve_connection(clients: &Rc<Clients>, client: Rc<Client>) {
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(READ_BUFFER_BYTES)
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(None);
    let service = service_fn(|request| respond(clients, &client, request));
    let io = TokioIo::new(SocketIo(client.socket.clone()));
    let mut connection = pin!(builder.serve_connection(io, service));
    loop {
        tokio::select! {
            biased;
            // Errors here are the client's: it has gone, or has been sent 400.
            _ = connection.as_mut() => return,
            mode = client.close_requested() => match mode {
                Some(CloseMode::WhenIdle) if client.may_close(clients.gateway.running_time()) => {
                    connection.as_mut().graceful_shutdown();
                }
                // A request has arrived since the decision: it is served, and a later check closes.
                Some(CloseMode::WhenIdle) => {
                    client.cancel_close();
                    events::record_for_connection(clients.gateway.clock.now(), Kind::CloseCrossed);
                }
                Some(CloseMode::Immediately) => return,
                Some(CloseMode::AfterResponse) | None => {}
            },
        }
    }
}

/// Tracks a request in flight. From its head to the end of its response its connection is not idle.
struct RequestGuard {
    clients: Rc<Clients>,
    client: Rc<Client>,
}

impl RequestGuard {
    fn new(clients: &Rc<Clients>, client: &Rc<Client>) -> Self {
        clients.in_flight.set(clients.in_flight.get() + 1);
        client.request_started();
        RequestGuard { clients: clients.clone(), client: client.clone() }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.clients.in_flight.set(self.clients.in_flight.get() - 1);
        self.client.request_finished(self.clients.gateway.running_time());
        if self.clients.handing_over.get() {
            self.clients.idle_notify.notify_one();
        }
    }
}

/// A response that is being sent, until hyper has taken all of it.
struct GuardedBody {
    body: ResponseBody,
    _guard: RequestGuard,
}

impl Body for GuardedBody {
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
) -> Result<Response<GuardedBody>, Infallible> {
    let guard = RequestGuard::new(clients, client);
    let gateway = &clients.gateway;
    let mut response = match handle_request(clients, client, request).await {
        Ok(response) => response,
        Err(error) => with_connection_close(error.response(gateway)),
    };
    let closes = client.response_started(gateway.running_time());
    if closes || gateway.is_draining() {
        response = with_connection_close(response);
    }
    Ok(response.map(|body| GuardedBody { body, _guard: guard }))
}

async fn handle_request(
    clients: &Rc<Clients>,
    client: &Client,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, RequestError> {
    let gateway = &clients.gateway;
    let (parts, body) = request.into_parts();
    if parts.uri.path() == "/up" && parts.method == Method::GET {
        let up = gateway.ready.get() && !gateway.is_draining();
        let status = if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return Ok(text_response(status, Bytes::new()));
    }
    let head = parse_head(gateway, client, &parts)?;
    // The service is requested with the head, so that it is resolved while the body arrives.
    let routed = match &clients.routing {
        Some(routing) => {
            Some(ServiceRoute::new(&routing.services, routing.name_source.service_name(&parts)?)?)
        }
        None => None,
    };
    let safe = gateway.config.settings.classes[head.class].idempotency == Idempotency::Safe;
    let request = policy_request(gateway, &head, &parts.headers);
    let outbound = OutboundHead::new(gateway, parts)?;
    let mut intake = BodyIntake::new(&gateway.budget, body)?;
    let complete = intake.buffer().await?;
    if safe && !intake.buffered.is_empty() {
        return Err(RequestError::WrongMethod);
    }
    if clients.in_flight.get() > gateway.budget.max_clients() {
        // So many requests are in flight that new clients find no slot: a rejection is better than leaving them to wait
        // for one.
        events::record_for_connection(gateway.clock.now(), Kind::RefusedNoRoom);
        return Err(RequestError::Overloaded);
    }
    // A request that has waited in the kernel's queue, or for the end of its body, is not sent on if its client has
    // gone meanwhile.
    match client.socket.peer_state_after_read(client.request_count() == 1).await {
        PeerState::Closed => return Err(RequestError::ClientGone),
        PeerState::Unknown if complete && client.socket.connection().may_hide_close() => {
            return Err(RequestError::TooMuchBehind);
        }
        PeerState::Unknown | PeerState::Connected => {}
    }
    client.request_submitted();
    let now = gateway.clock.now();
    let give_up_at = now + head.client_timeout + if complete { 0 } else { UPLOAD_TIMEOUT };
    let id_claim = gateway.claim_request_id(head.id, give_up_at, head.label)?;
    let service_gateway = match &routed {
        None => gateway.clone(),
        Some(routed) => {
            let wait_until =
                route::wait_deadline(&gateway.config.settings, head.class, now + head.client_timeout);
            let limit = (&clients.waiters, (gateway.budget.max_clients() / WAITING_SHARE_DIVISOR).max(1));
            let (service_gateway, waited) = routed.gateway(&gateway.clock, wait_until, limit).await?;
            let first = client.request_count() == 1;
            if waited && client.socket.peer_state_after_read(first).await == PeerState::Closed {
                return Err(RequestError::ClientGone);
            }
            service_gateway
        }
    };
    let (body, upload) = intake.into_message(complete)?;
    let client_timeout_ms = upload.is_some().then_some(head.client_timeout / 1_000_000);
    let (reply, mut response) = ResponseSlot::new();
    let exchange = outbound.exchange((body, client_timeout_ms), reply, Rc::downgrade(&client.socket));
    let request = interface::Request { deadline: give_up_at, ..request };
    let call = Call { request, give_up_at, label: head.label, id_claim: Some(id_claim) };
    let pending = service_gateway.submit(call, Rc::new(exchange));
    let outcome = match upload {
        None => pending.response(&mut response).await,
        Some(upload) => {
            // The upload goes on by itself: a body that is answered early is still read to its end, as closing the
            // connection with unread data would lose the response.
            let (done, mut uploaded) = oneshot::channel();
            let (clock, deadline) = (gateway.clock, pending.deadline());
            let report = move |last_byte| match last_byte {
                LastByte::Outstanding => deadline.set(clock.now() + UPLOAD_TIMEOUT),
                LastByte::PossibleSince(since) => deadline.set(clock.at(since) + head.client_timeout),
            };
            tokio::task::spawn_local(async move { done.send(upload.run(report).await) });
            tokio::select! {
                outcome = pending.response(&mut response) => outcome,
                end = &mut uploaded => {
                    end.unwrap_or(Err(IntakeError::Incomplete))?;
                    pending.body_received();
                    pending.response(&mut response).await
                }
            }
        }
    };
    Ok(match outcome {
        FinalResponse::Upstream(UpstreamResponse { headers, body }) => {
            let mut response = Response::new(ResponseBody::Upstream(MessageBody::new(body, None)));
            *response.headers_mut() = headers;
            response
        }
        FinalResponse::Local(LocalReply::Refused { retry_after }) => {
            overloaded_response(retry_after, gateway)
        }
        FinalResponse::Local(LocalReply::Failed { late: true }) => {
            text_response(StatusCode::GATEWAY_TIMEOUT, Bytes::from_static(b"no answer in time\n"))
        }
        FinalResponse::Local(LocalReply::Failed { late: false }) => {
            text_response(StatusCode::BAD_GATEWAY, Bytes::from_static(b"failed\n"))
        }
    })
}
