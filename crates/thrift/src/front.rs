//! Towards the clients: connections, calls coming in, final answers going out in the order of the calls.

use crate::codec::application as app;
use crate::codec::decoder::{Accept, Decoder, Item, Malformed};
use crate::codec::head::Head;
use crate::codec::header::Header;
use crate::codec::message::{Encoded, Message};
use crate::codec::{Form, Kind, Limits, Protocol, Transport};
use crate::table::{BadFact, Table};
use crate::upstream::{read, write, Boxes, Served, ThriftExchange, READ};
use laurelroute_core::accept::{ConnectionHandler, SlotDemand};
use laurelroute_core::budget::BodyLease;
use laurelroute_core::call::{Call, FinalResponse, LocalReply, ResponseSlot};
use laurelroute_core::connection::{write_stall_timeout, Connection, ConnectionIo};
use laurelroute_core::events::Label;
use laurelroute_core::gateway::{route_key, Gateway, PendingRequest};
use laurelroute_core::idle::IdleTracker;
use laurelroute_core::peer::{self, PeerState};
use laurelroute_core::request_ids::ClaimError;
use laurelroute_core::running;
use laurelroute_policy::interface::{Nanos, Request};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};

/// A message has to be there whole this long after its first byte, however it trickles in.
const MESSAGE: Duration = Duration::from_secs(2);
/// Where a new client has waited so long for a place, any connection may make room.
const ANY_AFTER: Duration = Duration::from_millis(20);
/// Oneway calls of all clients under way at once that hold up nobody; further ones hold up their own connection.
const MOST_ONEWAY: usize = 1024;

/// What the operator says of the Thrift side.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Which forms clients may speak.
    pub accept: Accept,
    /// What a call may cost.
    pub limits: Limits,
    /// Calls of one connection under way at once; further ones are read when there is room.
    pub pipeline: usize,
    /// A connection without calls is closed after this.
    pub idle: Duration,
    /// What calls mean.
    pub table: Table,
    /// How the boxes speak.
    pub boxes: Boxes,
}

/// All clients' connections; bounded by the budget, which all fronts share.
pub struct Front {
    gateway: Rc<Gateway>,
    settings: FrontSettings,
    open: RefCell<HashMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    left: Notify,
    oneway: Cell<usize>,
}

struct Client {
    /// No call is under way, and no part of one has come.
    idle: Cell<bool>,
    rest: IdleTracker,
    /// Closed right behind its next answer.
    last_answer: Cell<bool>,
    closing: Cell<bool>,
    close: Notify,
}

impl Client {
    /// No call is lost when it is closed now, as far as this process has read.
    fn rests(&self, now: Nanos) -> bool {
        self.idle.get() && self.rest.may_evict(now)
    }
}

/// An answer as it is written, and the memory that it takes if it is a server's.
struct Outgoing {
    encoded: Encoded,
    _lease: Option<BodyLease>,
}

/// An answer that is owed, in the order of the calls.
enum Owed {
    Ready(Encoded),
    Waiting(Waiting),
}

/// A call that is with the gateway.
struct Waiting {
    form: Form,
    header: Option<Header>,
    head: Head,
    claim: Option<PendingRequest>,
    answer: oneshot::Receiver<FinalResponse<Served>>,
}

impl Waiting {
    async fn verdict(&mut self) -> FinalResponse<Served> {
        let verdict = (&mut self.answer).await;
        self.claim = None;
        verdict.unwrap_or(FinalResponse::Local(LocalReply::Failed { late: true }))
    }
}

impl Front {
    /// The front of a gateway, without connections yet.
    pub fn new(gateway: Rc<Gateway>, settings: FrontSettings) -> Rc<Self> {
        Rc::new(Front {
            gateway,
            settings,
            open: RefCell::default(),
            next: Cell::new(0),
            left: Notify::new(),
            oneway: Cell::new(0),
        })
    }

    /// Tells the connection that has rested longest to close, if it has for long. Where a new client has waited for a while
    /// ([`ANY_AFTER`]): else the one that has rested longest, and else one with its answer. False where there is none.
    pub fn make_room(&self, need: SlotDemand) -> bool {
        let now = self.gateway.running_time();
        let open = self.open.borrow();
        let longest = |like: &dyn Fn(&Client) -> bool| {
            let found = open.values().filter(|c| !c.closing.get() && like(c));
            found.min_by_key(|c| c.rest.idle_since())
        };
        let any = matches!(need, SlotDemand::Waiting(waited) if waited >= ANY_AFTER);
        let mut resting = longest(&|c| c.idle.get() && c.rest.may_close(now));
        if resting.is_none() && any {
            resting = longest(&|c| c.rests(now));
        }
        if let Some(client) = resting {
            client.closing.set(true);
            client.close.notify_one();
            return true;
        }
        // Thrift has no word for a close that is to come: a client sees it only where it looks before it calls.
        let told = open.values().filter(|c| c.last_answer.get()).count();
        let at_work = || longest(&|c| c.rest.used() && !c.last_answer.get());
        let last = (any && told < need.connections_to_close()).then(at_work).flatten();
        last.inspect(|client| client.last_answer.set(true)).is_some()
    }

    fn is_crowded(&self) -> bool {
        self.gateway.budget.is_crowded(self.gateway.budget.clients())
    }

    /// To be called now and then: sees which connections rest.
    pub fn sweep(&self) {
        self.open.borrow().values().filter(|c| c.idle.get()).for_each(|c| c.rest.record_check());
    }

    /// Closes all connections that rest; the number of those that are left.
    pub fn close_idle(&self) -> usize {
        let now = self.gateway.running_time();
        let open = self.open.borrow();
        open.values().filter(|c| c.rests(now)).for_each(|c| c.close.notify_one());
        open.len()
    }

    /// Takes what was read. `None` where no answer is owed.
    fn take(self: &Rc<Self>, item: Item, left: bool, client: &Rc<Connection>) -> Option<Owed> {
        match item {
            // Nobody waits for its answer any more: what has waited to be read is not sent on.
            Item::Message(message) if message.head.kind == Kind::Call && left => None,
            Item::Message(message) => self.call(message, client),
            // Nobody waits for an answer to a oneway call, sound or not.
            Item::Malformed(Malformed { call: Some((_, head, _)), fault, .. })
                if head.kind == Kind::Oneway =>
            {
                tracing::warn!("thrift: oneway call of {:?} dropped: {fault}", head.name);
                None
            }
            Item::Malformed(malformed) => Some(Owed::Ready(unsound(malformed))),
        }
    }

    fn call(self: &Rc<Self>, message: Message, client: &Rc<Connection>) -> Option<Owed> {
        let (form, header, head) = (message.form, message.header.clone(), message.head.clone());
        match self.submit(message, client) {
            Ok((claim, answer)) => {
                let waiting = Waiting { form, header, head, claim: Some(claim), answer };
                if waiting.head.kind == Kind::Oneway && self.oneway.get() < MOST_ONEWAY {
                    self.detach(waiting);
                    return None;
                }
                Some(Owed::Waiting(waiting))
            }
            Err(fault) if head.kind == Kind::Oneway => {
                tracing::warn!("thrift: oneway call of {:?} dropped: {fault}", head.name);
                None
            }
            Err(fault) => {
                let text = fault.text(&self.gateway);
                Some(Owed::Ready(app::encode(form, &head, header.as_ref(), fault.code(), &text)))
            }
        }
    }

    /// The answer to a call that has come in part and finds no room; `None` where none is owed, or where it is not known
    /// which call it is.
    fn refuse_partial(&self, decoder: &mut Decoder) -> Option<Owed> {
        let (form, head, header) = decoder.abandon()?;
        if head.kind != Kind::Call {
            return None;
        }
        let text = Fault::NoRoom.text(&self.gateway);
        Some(Owed::Ready(app::encode(form, &head, header.as_ref(), Fault::NoRoom.code(), &text)))
    }

    /// A oneway call goes on whatever becomes of its connection.
    fn detach(self: &Rc<Self>, mut waiting: Waiting) {
        self.oneway.set(self.oneway.get() + 1);
        let front = self.clone();
        tokio::task::spawn_local(async move {
            let verdict = waiting.verdict().await;
            front.oneway.set(front.oneway.get() - 1);
            tell_lost(&waiting.head, &verdict);
        });
    }

    /// Checks a call, before anything is held for it, and hands it to the gateway.
    fn submit(
        self: &Rc<Self>,
        message: Message,
        client: &Rc<Connection>,
    ) -> Result<(PendingRequest, oneshot::Receiver<FinalResponse<Served>>), Fault> {
        let gateway = &self.gateway;
        if !matches!(message.head.kind, Kind::Call | Kind::Oneway) {
            return Err(Fault::NoCall);
        }
        let method = self.settings.table.method(&message.head.name).ok_or(Fault::Method)?;
        let facts = method.facts(&message)?;
        let class = &gateway.config.settings.classes[usize::from(method.class)];
        let wait = facts.deadline_ms.map_or(class.client_timeout, |ms| ms.saturating_mul(1_000_000));
        let give_up_at = gateway.clock.now() + wait.min(class.client_timeout);
        let mut lease = gateway.budget.body_lease();
        if !lease.grow(message.bytes().len().max(READ)) {
            return Err(Fault::NoRoom);
        }
        let id = facts.request_id.as_deref().map(laurelroute_core::stable_hash);
        let label = facts.request_id.as_deref().map(Label::of).unwrap_or_default();
        let id_claim = id.map(|id| gateway.claim_request_id(id, give_up_at, label)).transpose()?;
        let request = Request {
            class: method.class,
            tenant: gateway.config.tenant_index(facts.tenant.as_deref()),
            key: facts.route_key.as_deref().map_or(0, route_key),
            ..Request::new(0, give_up_at)
        };
        let (reply, answer) = ResponseSlot::new();
        let held = (Rc::downgrade(client), lease);
        let exchange = ThriftExchange::new(message, method.clone(), self.settings.boxes, reply, held);
        let call = Call { request, give_up_at, label, id_claim };
        Ok((gateway.submit(call, Rc::new(exchange)), answer))
    }

    /// The final answer in the form of its call; `None` where none is owed.
    fn encode(&self, call: &Waiting, verdict: FinalResponse<Served>) -> Option<Outgoing> {
        if call.head.kind == Kind::Oneway {
            tell_lost(&call.head, &verdict);
            return None;
        }
        let exception =
            |code, text: &str| app::encode(call.form, &call.head, call.header.as_ref(), code, text);
        let mut answer_lease = None;
        let encoded = match verdict {
            FinalResponse::Upstream(Served { message: Some(message), lease }) => {
                answer_lease = Some(lease);
                let header = call.header.as_ref().map(|h| Header { pairs: pairs(&message), ..h.clone() });
                match message.encode(call.form, header.as_ref()) {
                    Ok(out) => out,
                    Err(fault) => exception(app::INTERNAL_ERROR, &fault.to_string()),
                }
            }
            FinalResponse::Upstream(_) => exception(app::INTERNAL_ERROR, "no answer"),
            FinalResponse::Local(LocalReply::Refused { retry_after }) => {
                exception(app::LOAD_SHEDDING, &advice(&self.gateway, retry_after))
            }
            FinalResponse::Local(LocalReply::Failed { late: true }) => {
                exception(app::TIMEOUT, "no answer in time")
            }
            FinalResponse::Local(LocalReply::Failed { late: false }) => {
                exception(app::INTERNAL_ERROR, "failed")
            }
        };
        Some(Outgoing { encoded, _lease: answer_lease })
    }
}

/// Nobody hears that a oneway call was given up but the operator.
fn tell_lost(head: &Head, verdict: &FinalResponse<Served>) {
    if let FinalResponse::Local(end) = verdict {
        tracing::warn!("thrift: oneway call of {:?} was given up: {end:?}", head.name);
    }
}

fn pairs(message: &Message) -> Vec<(String, String)> {
    message.header.as_ref().map(|h| h.pairs.clone()).unwrap_or_default()
}

fn advice(gateway: &Gateway, retry_after: Nanos) -> String {
    match gateway.config.retry_after_seconds(retry_after) {
        Some(seconds) => format!("refused, repeating it is harmless; retry after {seconds:.3} s"),
        None => "refused, repeating it is harmless".to_owned(),
    }
}

impl ConnectionHandler for Front {
    fn serve(self: &Rc<Self>, stream: TcpStream) {
        let connection = Connection::new(stream, self.gateway.budget.acquire_client());
        let client = Rc::new(Client {
            idle: Cell::new(true),
            rest: IdleTracker::new(self.gateway.running_time(), false),
            last_answer: Cell::new(false),
            closing: Cell::new(false),
            close: Notify::new(),
        });
        let id = self.next.get();
        self.next.set(id + 1);
        self.open.borrow_mut().insert(id, client.clone());
        let front = self.clone();
        tokio::task::spawn_local(async move {
            serve(&front, &client, connection).await;
            front.open.borrow_mut().remove(&id);
            front.left.notify_one();
        });
    }

    fn connection_closed(&self) -> &Notify {
        &self.left
    }
}

/// Why a call is not taken. None of them has gone to a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum Fault {
    #[error("neither a call nor oneway")]
    NoCall,
    #[error("no such method")]
    Method,
    #[error("{0}")]
    Fact(#[from] BadFact),
    #[error("{0}")]
    Id(#[from] ClaimError),
    #[error("no room")]
    NoRoom,
}

impl Fault {
    fn code(self) -> i32 {
        match self {
            Fault::NoCall => app::INVALID_MESSAGE_TYPE,
            Fault::Method => app::UNKNOWN_METHOD,
            Fault::Fact(_) | Fault::Id(ClaimError::InUse) => app::PROTOCOL_ERROR,
            // These are refusals: the call is sound, and it has not gone anywhere.
            Fault::NoRoom | Fault::Id(ClaimError::Unrecorded) => app::LOAD_SHEDDING,
        }
    }

    fn text(self, gateway: &Gateway) -> String {
        match self {
            Fault::NoRoom | Fault::Id(ClaimError::Unrecorded) => advice(gateway, Nanos::MAX),
            other => other.to_string(),
        }
    }
}

/// The answer to what can't be read.
fn unsound(malformed: Malformed) -> Encoded {
    let unknown = || {
        let form = Form { transport: Transport::Framed, protocol: Protocol::BinaryStrict };
        (form, Head { name: "malformed".to_owned(), kind: Kind::Call, seqid: 0 }, None)
    };
    let (form, head, header) = malformed.call.unwrap_or_else(unknown);
    app::encode(form, &head, header.as_ref(), app::PROTOCOL_ERROR, &malformed.fault.to_string())
}

/// Serves one connection to its end.
async fn serve(front: &Rc<Front>, client: &Client, connection: Rc<Connection>) {
    let (settings, gateway) = (&front.settings, &front.gateway);
    let mut stream = ConnectionIo(connection);
    let mut decoder = Decoder::new(settings.accept, settings.limits);
    let mut owed: VecDeque<Owed> = VecDeque::new();
    // What a message takes that has come in part.
    let mut partial_lease = gateway.budget.body_lease();
    let (mut reading, mut first) = (true, true);
    // Since when the message that is under way is awaited, in running time.
    let mut begun: Option<Nanos> = None;
    loop {
        while reading && owed.len() < settings.pipeline {
            let Some(item) = decoder.take_item() else { break };
            partial_lease.shrink_to(decoder.message_bytes().saturating_sub(READ));
            reading = !matches!(&item, Item::Malformed(m) if !m.in_step);
            let state = stream.0.peer_state_after_read(std::mem::take(&mut first)).await;
            let left = state == PeerState::Closed;
            client.rest.request_started();
            owed.extend(front.take(item, left, &stream.0));
            if owed.is_empty() {
                // A oneway call: nothing comes after it.
                client.rest.response_sent(gateway.running_time());
            }
            begun = None;
        }
        let room = reading && owed.len() < settings.pipeline;
        let partial = decoder.partial();
        client.idle.set(owed.is_empty() && !partial);
        if !reading && owed.is_empty() {
            return;
        }
        let now = gateway.running_time();
        begun = if room && partial { begun.or(Some(now)) } else { None };
        // In running time: what a stop of this process has taken is not held against its clients.
        let left = match (begun, owed.is_empty()) {
            (Some(begun), _) => MESSAGE.saturating_sub(Duration::from_nanos(now.saturating_sub(begun))),
            (None, true) => settings.idle.saturating_sub(Duration::from_nanos(client.rest.idle_for(now))),
            // The gateway's deadline bounds it.
            (None, false) => Duration::from_secs(3600),
        };
        tokio::select! {
            biased;
            out = next_answer(front, &mut owed), if !owed.is_empty() => {
                if let Some(out) = out {
                    let stall_timeout = || write_stall_timeout(front.is_crowded());
                    if write(&mut stream, &out.encoded, stall_timeout).await.is_err() {
                        return;
                    }
                }
                client.rest.response_sent(gateway.running_time());
                let last = gateway.is_draining() || client.last_answer.get();
                if last && owed.is_empty() && !decoder.partial() && stream.0.is_quiescent() {
                    return;
                }
            }
            n = read(&mut stream, &mut decoder), if room => {
                // With its claims dropped, what is under way is called off.
                if !matches!(n, Ok(n) if n > 0) {
                    return;
                }
                // Room for all of a message is reserved at once: many that each found room for a part would fail halfway.
                if !partial_lease.resize(decoder.message_bytes().saturating_sub(READ)) {
                    reading = false;
                    owed.extend(front.refuse_partial(&mut decoder));
                }
            }
            _ = client.close.notified(), if owed.is_empty() && !partial => {
                // What has come in the meantime is still read, and answered.
                if client.rest.may_evict(gateway.running_time()) && stream.0.is_quiescent() {
                    return;
                }
                client.closing.set(false);
            }
            // What is not read does not tell of its end: with its claims dropped, what is under way is called off.
            _ = tokio::time::sleep(peer::PEER_CHECK_INTERVAL), if !room => if stream.0.peer_closed() {
                return;
            },
            // What has come in the meantime is still read.
            _ = running::sleep(left) => if left.is_zero() && stream.0.is_quiescent() {
                return;
            } else {
                tokio::task::yield_now().await;
            },
        }
    }
}

/// Waits for the answer that is owed first, and takes it off the queue.
async fn next_answer(front: &Front, owed: &mut VecDeque<Owed>) -> Option<Outgoing> {
    if let Owed::Waiting(call) = owed.front_mut()? {
        let verdict = call.verdict().await;
        let out = front.encode(call, verdict);
        owed.pop_front();
        return out;
    }
    match owed.pop_front()? {
        Owed::Ready(encoded) => Some(Outgoing { encoded, _lease: None }),
        Owed::Waiting(_) => None,
    }
}
