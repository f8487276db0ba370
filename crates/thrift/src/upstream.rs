//! Towards the boxes: one attempt over one connection, and how it ended.

use crate::codec::application;
use crate::codec::decoder::{Accept, Decoder, Item};
use crate::codec::head::Head;
use crate::codec::message::{Encoded, Message};
use crate::codec::{Form, Kind, Limits, Transport};
use crate::table::Method;
use laurelroute_core::budget::BodyLease;
use laurelroute_core::call::{Exchange, FinalResponse, LocalReply, ResponseSlot, Wire};
use laurelroute_core::connect::{connect, ConnectError};
use laurelroute_core::connection::{Connection, ConnectionIo};
use laurelroute_core::connection_source::{CarriesAttempts, ConnectionSource};
use laurelroute_core::fleet::PooledConnection;
use laurelroute_core::gateway::Attempt;
use laurelroute_core::peer::PeerState;
use laurelroute_core::running;
use laurelroute_policy::interface::AttemptOutcome;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::AbortHandle;

/// Thrift's place among a server's addresses.
pub const THRIFT: Wire = Wire(1);

/// What is read at once; it bounds what a connection holds that has nothing under way.
pub(crate) const READ: usize = 4096;
/// An answer that has begun and stands still for this long is none, as on HTTP.
const STALL: Duration = Duration::from_millis(250);

/// A wait that is bounded elsewhere.
const NO_TIMEOUT: Duration = Duration::from_secs(3600);

/// How the boxes speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Boxes {
    /// The form that all of them speak.
    pub form: Form,
    /// The type of the TApplicationException by which a box says that it turned a call away, which never ran.
    pub turned_away: i32,
    /// What an answer may cost.
    pub limits: Limits,
}

/// A box's answer; no message where none is owed.
#[derive(Debug)]
pub struct Served {
    /// The answer.
    pub message: Option<Message>,
    /// The memory that it takes.
    pub lease: BodyLease,
}

/// A client's call as every attempt sends it, and the place of its answer.
#[derive(Debug)]
pub struct ThriftExchange {
    head: Head,
    /// The call and the memory that it takes, until no further attempt can follow.
    call: RefCell<Option<(Message, BodyLease)>>,
    method: Rc<Method>,
    boxes: Boxes,
    reply: ResponseSlot<Served>,
    /// The client's connection, which an abandoned attempt does not keep open.
    client: Weak<Connection>,
}

impl ThriftExchange {
    /// A call of a method, which takes what the lease holds.
    pub fn new(
        message: Message,
        method: Rc<Method>,
        boxes: Boxes,
        reply: ResponseSlot<Served>,
        (client, lease): (Weak<Connection>, BodyLease),
    ) -> Self {
        let head = message.head.clone();
        ThriftExchange { head, call: RefCell::new(Some((message, lease))), method, boxes, reply, client }
    }

    /// The call as it is sent; `None` where it is not to be sent, or cannot be.
    fn encode(&self, millis_left: u64) -> Option<Encoded> {
        let call = self.call.borrow();
        let (message, _) = call.as_ref()?;
        if self.boxes.form.transport != Transport::Header {
            return message.encode(self.boxes.form, None).ok();
        }
        let mut header = message.header.clone().unwrap_or_default();
        self.method.tell_deadline(&mut header, millis_left);
        header.seqid = self.head.seqid as u32;
        message.encode(self.boxes.form, Some(&header)).ok()
    }

    fn oneway(&self) -> bool {
        self.head.kind == Kind::Oneway
    }

    fn put(&self, message: Option<Message>, lease: BodyLease) {
        self.reply.send(FinalResponse::Upstream(Served { message, lease }));
    }
}

impl Exchange for ThriftExchange {
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
        match self.oneway() {
            // Nobody waits for its answer, and it goes on whatever becomes of its connection.
            true => PeerState::Connected,
            false => {
                let state = |client: Rc<Connection>| client.client_state_after_request();
                self.client.upgrade().map_or(PeerState::Closed, state)
            }
        }
    }

    fn release_request(&self) {
        self.call.take();
    }
}

struct Link {
    stream: ConnectionIo,
    decoder: Decoder,
}

impl PooledConnection for Link {
    fn is_reusable(&self) -> bool {
        !self.decoder.partial() && self.stream.0.is_quiescent()
    }
}

impl CarriesAttempts for Link {
    fn connection(&self) -> &Rc<Connection> {
        &self.stream.0
    }
}

/// Reads once into the decoder; 0 where the peer has closed.
pub(crate) async fn read(stream: &mut ConnectionIo, decoder: &mut Decoder) -> io::Result<usize> {
    decoder.buffer().reserve(READ);
    stream.read_buf(decoder.buffer()).await
}

/// Writes both parts whole, as long as the peer takes something within each `stall_timeout`.
pub(crate) async fn write(
    stream: &mut ConnectionIo,
    out: &Encoded,
    stall_timeout: impl Fn() -> Duration,
) -> io::Result<()> {
    let (mut prefix, mut payload) = (&out.prefix[..], &out.payload[..]);
    while !(prefix.is_empty() && payload.is_empty()) {
        let slices = [io::IoSlice::new(prefix), io::IoSlice::new(payload)];
        let writing = stream.write_vectored(&slices[usize::from(prefix.is_empty())..]);
        let written = running::timeout(stall_timeout(), writing).await;
        let mut n = written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        if n == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        let first = n.min(prefix.len());
        prefix = &prefix[first..];
        n -= first;
        payload = &payload[n..];
    }
    Ok(())
}

async fn open(attempt: &Attempt, boxes: &Boxes, dial: SocketAddr) -> Result<Link, ConnectError> {
    let connection = connect(attempt.gateway(), attempt.server(), THRIFT, dial).await?;
    let decoder = Decoder::new(Accept::Only(boxes.form), boxes.limits);
    Ok(Link { stream: ConnectionIo(connection), decoder })
}

/// Plays one attempt to its end; an error is how it ended where it was not told of yet. Where the gateway has
/// stopped waiting, the attempt may go on for a while, so that its connection can be kept.
async fn exchange(call: &ThriftExchange, attempt: &Attempt) -> Result<(), AttemptOutcome> {
    let mut lines = ConnectionSource::new(attempt, THRIFT)?;
    loop {
        let mut line = lines.next(|dial| open(attempt, &call.boxes, dial)).await?;
        let link: &mut Link = &mut line.connection;
        // What was walked through when it came can be encoded; were it otherwise, it would never have run.
        let out = call.encode(attempt.remaining_ms()).ok_or(AttemptOutcome::NotSent)?;
        // The gateway's deadline bounds it.
        let written = write(&mut link.stream, &out, || NO_TIMEOUT).await;
        drop(out);
        match written {
            Ok(()) => link.stream.0.set_request_sent(true),
            Err(_) if line.reused => continue,
            Err(_) => return Err(AttemptOutcome::ConnectFailed),
        }
        let response = match call.oneway() {
            // No answer is owed: with its last byte handed over all is done that can be done.
            true => Response::Success(None, attempt.gateway().budget.body_lease()),
            false => receive_response(call, attempt, link).await?,
        };
        // Nothing of the attempt is left at its server when its outcome is reported.
        match link.decoder.partial() {
            true => drop(line),
            false => lines.release(line),
        }
        return response.report(call, attempt);
    }
}

/// A whole response.
enum Response {
    /// It goes to the client: a message, unless none is owed, and the memory that it takes.
    Success(Option<Message>, BodyLease),
    /// The attempt has failed in this way.
    Failure(AttemptOutcome),
}

impl Response {
    /// Reports the attempt's outcome; an error is one that has not been reported yet.
    fn report(self, call: &ThriftExchange, attempt: &Attempt) -> Result<(), AttemptOutcome> {
        match self {
            Response::Failure(outcome) => return Err(outcome),
            Response::Success(message, lease) if attempt.succeed() => call.put(message, lease),
            Response::Success(..) => {}
        }
        Ok(())
    }
}

/// Reads a whole response; an error is the outcome of an attempt whose response is broken.
async fn receive_response(
    call: &ThriftExchange,
    attempt: &Attempt,
    link: &mut Link,
) -> Result<Response, AttemptOutcome> {
    let mut lease = attempt.gateway().budget.body_lease();
    let message = whole(link, &mut lease).await.ok_or(AttemptOutcome::Reset)?;
    // Another call's answer, or a call: what else may come on this connection nobody knows.
    if !call.head.answered_by(&message.head) {
        return Err(AttemptOutcome::Reset);
    }
    match message.head.kind {
        Kind::Reply => {
            if !lease.resize(message.bytes().len().max(READ)) {
                return Err(AttemptOutcome::Reset);
            }
            Ok(Response::Success(Some(message), lease))
        }
        Kind::Exception => {
            let turned_away = application::decode(&message).0 == call.boxes.turned_away;
            let outcome = if turned_away { AttemptOutcome::Rejected } else { AttemptOutcome::Error };
            Ok(Response::Failure(outcome))
        }
        Kind::Call | Kind::Oneway => Err(AttemptOutcome::Reset),
    }
}

/// A whole message, waited for as long as it may take; once it has begun it has to come to its end. `None` where it
/// is unsound, stands still or finds no room, or where the connection ends. The lease accounts for the part that has come.
async fn whole(link: &mut Link, lease: &mut BodyLease) -> Option<Message> {
    loop {
        match link.decoder.take_item() {
            Some(Item::Message(message)) => return Some(message),
            Some(Item::Malformed(_)) => return None,
            None => {}
        }
        let begun = link.decoder.partial();
        let reading = read(&mut link.stream, &mut link.decoder);
        let n = if begun { running::timeout(STALL, reading).await.ok()? } else { reading.await };
        let has_room = lease.resize(link.decoder.message_bytes().saturating_sub(READ));
        if n.ok()? == 0 || !has_room {
            return None;
        }
    }
}
