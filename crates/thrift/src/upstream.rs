//! Towards the boxes: one attempt over one connection, and how it ended.

use crate::codec::application;
use crate::codec::decoder::{Accept, Decoder, Item};
use crate::codec::message::{Encoded, Message};
use crate::codec::{Fault, Form, Kind, Limits, Transport};
use crate::table::Method;
use laurelroute_core::budget::BodyLease;
use laurelroute_core::call::{Exchange, FinalResponse, LocalReply, ResponseSlot, SendProgress, Wire};
use laurelroute_core::connect::{connect, ConnectError, ConnectionPermit};
use laurelroute_core::connection_source::ConnectionSource;
use laurelroute_core::fleet::PooledConnection;
use laurelroute_core::gateway::Attempt;
use laurelroute_core::peer::{self, PeerState};
use laurelroute_core::retry_io::RetryingStream;
use laurelroute_core::running;
use laurelroute_policy::interface::AttemptOutcome;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Thrift's place among a server's addresses.
pub const THRIFT: Wire = Wire(1);

/// What is read at once; it bounds what a connection holds that has nothing under way.
pub(crate) const READ: usize = 4096;
/// An answer that has begun and stands still for this long is none, as on HTTP.
const STALL: Duration = Duration::from_millis(250);

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

/// A box's answer, and the memory that it takes; no message where none is owed.
#[derive(Debug)]
pub struct Served {
    /// The answer.
    pub message: Option<Message>,
    _lease: BodyLease,
}

/// A client's call as every attempt sends it, and the place of its answer.
#[derive(Debug)]
pub struct ThriftExchange {
    message: Message,
    method: Rc<Method>,
    boxes: Boxes,
    reply: ResponseSlot<Served>,
    client: Rc<TcpStream>,
    _lease: BodyLease,
}

impl ThriftExchange {
    /// A call of a method, which takes what the lease holds.
    pub fn new(
        message: Message,
        method: Rc<Method>,
        boxes: Boxes,
        reply: ResponseSlot<Served>,
        (client, lease): (Rc<TcpStream>, BodyLease),
    ) -> Self {
        ThriftExchange { message, method, boxes, reply, client, _lease: lease }
    }

    fn encode(&self, millis_left: u64) -> Result<Encoded, Fault> {
        if self.boxes.form.transport != Transport::Header {
            return self.message.encode(self.boxes.form, None);
        }
        let mut header = self.message.header.clone().unwrap_or_default();
        self.method.tell_deadline(&mut header, millis_left);
        header.seqid = self.message.head.seqid as u32;
        self.message.encode(self.boxes.form, Some(&header))
    }

    fn oneway(&self) -> bool {
        self.message.head.kind == Kind::Oneway
    }

    fn put(&self, message: Option<Message>, lease: BodyLease) {
        self.reply.send(FinalResponse::Upstream(Served { message, _lease: lease }));
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
            false => peer::peer_state(&self.client),
        }
    }
}

/// How much of a call the kernel has.
#[derive(Debug, Default)]
struct Progress {
    complete: Cell<bool>,
}

impl SendProgress for Progress {
    fn fully_sent(&self) -> bool {
        self.complete.get()
    }
}

struct Link {
    stream: RetryingStream,
    decoder: Decoder,
    _held: ConnectionPermit,
}

impl PooledConnection for Link {
    fn is_reusable(&self) -> bool {
        !self.decoder.partial() && peer::is_quiescent(self.stream.connection())
    }
}

/// Reads once into the decoder; 0 where the peer has closed.
pub(crate) async fn read(stream: &mut RetryingStream, decoder: &mut Decoder) -> io::Result<usize> {
    decoder.buffer().reserve(READ);
    stream.read_buf(decoder.buffer()).await
}

/// Writes both parts whole.
pub(crate) async fn write(stream: &mut RetryingStream, out: &Encoded) -> io::Result<()> {
    let (mut prefix, mut payload) = (&out.prefix[..], &out.payload[..]);
    while !(prefix.is_empty() && payload.is_empty()) {
        let slices = [io::IoSlice::new(prefix), io::IoSlice::new(payload)];
        let mut n = stream.write_vectored(&slices[usize::from(prefix.is_empty())..]).await?;
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
    let (stream, held) = connect(attempt.gateway(), attempt.server(), THRIFT, dial).await?;
    // Calls are written whole: waiting to fill a segment would only delay them.
    let _ = stream.set_nodelay(true);
    let decoder = Decoder::new(Accept::Only(boxes.form), boxes.limits);
    Ok(Link { stream: RetryingStream::new(stream), decoder, _held: held })
}

/// Plays one attempt to its end; an error is how it ended where it was not told of yet. Where the gateway has
/// stopped waiting, the attempt may go on for a while, so that its connection can be kept.
async fn exchange(call: &ThriftExchange, attempt: &Attempt) -> Result<(), AttemptOutcome> {
    let mut lines = ConnectionSource::new(attempt, THRIFT)?;
    loop {
        let mut line = lines.next(|dial| open(attempt, &call.boxes, dial)).await?;
        let link: &mut Link = &mut line.connection;
        // What was walked through when it came can be encoded; were it otherwise, it would never have run.
        let out = call.encode(attempt.remaining_ms()).map_err(|_| AttemptOutcome::NotSent)?;
        let progress = Rc::new(Progress::default());
        attempt.set_send_progress(progress.clone());
        match write(&mut link.stream, &out).await {
            Ok(()) => progress.complete.set(true),
            Err(_) if line.reused => continue,
            Err(_) => return Err(AttemptOutcome::ConnectFailed),
        }
        let keep = if call.oneway() { sent(call, attempt) } else { answer(call, attempt, link).await? };
        if keep {
            lines.release(line);
        }
        return Ok(());
    }
}

/// No answer is owed to a oneway call: with its last byte handed over all is done that can be done.
fn sent(call: &ThriftExchange, attempt: &Attempt) -> bool {
    if attempt.succeed() {
        call.put(None, attempt.gateway().budget.body_lease());
    }
    true
}

/// Takes an answer and tells of it; whether the connection is at the answer's end.
async fn answer(call: &ThriftExchange, attempt: &Attempt, link: &mut Link) -> Result<bool, AttemptOutcome> {
    let message = whole(link).await.ok_or(AttemptOutcome::Reset)?;
    // Another call's answer, or a call: what else may come on this connection nobody knows.
    if !call.message.head.answered_by(&message.head) {
        return Err(AttemptOutcome::Reset);
    }
    match message.head.kind {
        Kind::Reply => {
            let mut lease = attempt.gateway().budget.body_lease();
            if !lease.grow(message.bytes().len().max(READ)) {
                return Err(AttemptOutcome::Reset);
            }
            if attempt.succeed() {
                call.put(Some(message), lease);
            }
        }
        Kind::Exception => {
            let turned_away = application::decode(&message).0 == call.boxes.turned_away;
            attempt.fail(if turned_away { AttemptOutcome::Rejected } else { AttemptOutcome::Error });
        }
        Kind::Call | Kind::Oneway => return Err(AttemptOutcome::Reset),
    }
    Ok(!link.decoder.partial())
}

/// A whole message, waited for as long as it may take; once it has begun it has to come to its end. `None` where it
/// is unsound, stands still, or where the connection ends.
async fn whole(link: &mut Link) -> Option<Message> {
    loop {
        match link.decoder.take_item() {
            Some(Item::Message(message)) => return Some(message),
            Some(Item::Malformed(_)) => return None,
            None => {}
        }
        let begun = link.decoder.partial();
        let reading = read(&mut link.stream, &mut link.decoder);
        let n = if begun { running::timeout(STALL, reading).await.ok()? } else { reading.await };
        if n.ok()? == 0 {
            return None;
        }
    }
}
