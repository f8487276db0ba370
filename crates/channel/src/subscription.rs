//! Subscriptions over a connection: drives a forwarder's [`Subscriber`] and a planner's [`Publisher`] over any stream.
//! Forwarders and the lightweight ones of a scale test use the same loops.
//!
//! The state machines are free of I/O; this module adds timers and timeouts. Their `RefCell`s are never borrowed across
//! an await.

use crate::frames::{self, FrameError};
use crate::hello::{self, HelloError, Identity};
use laurelroute_plan::services::publisher::{PublishError, Publisher};
use laurelroute_plan::services::subscriber::{self, Subscriber};
use laurelroute_plan::wire::{Body, Hello, Refusal, Report, Role, Subscribe, UpdateAck};
use laurelroute_policy::interface::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, Notify, Semaphore, SemaphorePermit};
use tokio::time::{sleep_until, timeout, Instant};

/// Interval at which subscribers and publishers are polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between a forwarder's reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between heartbeats of an otherwise idle forwarder, so that a planner detects one that vanished.
const FORWARDER_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// A forwarder that has sent nothing for this long, five heartbeats, is considered lost.
const FORWARDER_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for writing one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for connecting, TLS and the handshake together. A planner to which a third of all forwarders connect at once
/// has a backlog of seconds of TLS handshakes and initial updates; the work for a connection that times out meanwhile is
/// wasted.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the last message on a connection and for closing it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of queued acknowledgements; a publisher stops sending and waits for acknowledgements long before that.
const MAX_QUEUED_ACKS: usize = 64;
/// Maximum length of a refusal's text, in characters; the rest is cut off.
const MAX_REASON_CHARS: usize = 500;
/// Maximum number of forwarders that start at a planner at once. The first seconds of a forwarder cost far more than the
/// time after; forwarders that are connected must keep receiving changes and heartbeats while hundreds connect.
pub const MAX_STARTING: usize = 32;
/// Maximum time for which a forwarder counts as starting; otherwise until the first update that is to be acknowledged.
const START_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time that a forwarder waits to start; after it the forwarder is refused and tries another planner or again.
const START_QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum pause between two polls for updates; an update that becomes due meanwhile is only delayed.
const MIN_POLL_PAUSE: Nanos = 2_000_000;

/// Why a session between a forwarder and a planner ended.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// The connection could not be established.
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    /// The handshake failed.
    #[error("{0}")]
    Hello(#[from] HelloError),
    /// The stream is broken, or a message is invalid.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// Reading or writing timed out.
    #[error("nothing heard in time")]
    Silent,
    /// The peer does not use subscriptions to services.
    #[error("it does not go by services")]
    NoServices,
    /// The other side refused with a reason.
    #[error("it refuses: {0}")]
    Refused(String),
    /// The planner sends updates without waiting for acknowledgements.
    #[error("it does not wait for answers")]
    Flood,
    /// The publisher rejected a message of the forwarder.
    #[error("{0}")]
    Publish(#[from] PublishError),
    /// [`MAX_STARTING`] forwarders are starting.
    #[error("{MAX_STARTING} forwarders are just starting here")]
    Starting,
    /// A newer connection of the same forwarder replaced this one.
    #[error("a newer connection of the same name has come")]
    Replaced,
}

fn timed_out(_: tokio::time::error::Elapsed) -> SessionError {
    SessionError::Silent
}

fn refused(refusal: Refusal) -> SessionError {
    SessionError::Refused(refusal.reason.chars().filter(|c| !c.is_control()).take(MAX_REASON_CHARS).collect())
}

/// The forwarder's side: the subscriber and its callbacks.
pub struct SubscriberClient<'a> {
    /// The subscriber state machine.
    pub subscriber: &'a RefCell<Subscriber>,
    /// The subscriber's clock.
    pub now: &'a dyn Fn() -> Nanos,
    /// To be notified (`notify_one`) after `Subscriber::lookup` has answered `Waiting`: the subscription is then sent at once.
    pub interest_added: &'a Notify,
    /// Called after anything that may have changed what is held: `Subscriber::changes` is to be taken.
    pub on_change: &'a dyn Fn(),
    /// Makes a report, mostly by `Subscriber::next_report`; called twice a second while a planner is there.
    pub report: &'a dyn Fn(Nanos) -> Option<Report>,
    /// Called for the log with a planner's index when a session starts (`Ok`), ends with an error, or cannot be
    /// established.
    pub on_session: &'a dyn Fn(usize, Result<&Hello, &SessionError>),
}

type SessionResult = Result<(), SessionError>;
/// A future that runs beside others.
type BoxedFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
/// A planner's index, and the connection to it with its handshake.
type ConnectResult<S> = (usize, Result<(S, Hello), SessionError>);

/// Awaits a pending future, or forever if there is none.
async fn pending_or_forever<T>(future: &mut Option<BoxedFuture<'_, T>>) -> T {
    match future {
        Some(future) => future.as_mut().await,
        None => std::future::pending().await,
    }
}

impl SubscriberClient<'_> {
    /// Keeps a session with the planner that the subscriber chooses; never returns. `connect` opens a stream to the
    /// planner with that index, TLS included; the handshake and the timeout for both are added here.
    pub async fn run<S, C, F>(&self, own: &Identity, connect: C) -> std::convert::Infallible
    where
        S: AsyncRead + AsyncWrite + Unpin,
        C: Fn(usize) -> F,
        F: Future<Output = std::io::Result<S>>,
    {
        let mut next = Instant::now();
        let mut connecting: Option<BoxedFuture<'_, ConnectResult<S>>> = None;
        // The planner that is followed, the signal to end its session, and the session.
        let mut followed = 0;
        let mut leave = Rc::new(Notify::new());
        let mut session: Option<BoxedFuture<'_, SessionResult>> = None;
        let mut closing_session: Option<BoxedFuture<'_, SessionResult>> = None;
        loop {
            tokio::select! {
                biased;
                _ = pending_or_forever(&mut closing_session) => closing_session = None,
                ended = pending_or_forever(&mut session) => {
                    session = None;
                    self.subscriber.borrow_mut().connection_lost((self.now)(), followed);
                    if let Err(error) = ended {
                        (self.on_session)(followed, Err(&error));
                    }
                    (self.on_change)();
                    next = Instant::now();
                }
                (to, connected) = pending_or_forever(&mut connecting) => {
                    connecting = None;
                    match connected {
                        Ok((stream, planner)) => {
                            (self.on_session)(to, Ok(&planner));
                            // In this order: messages of the former planner are no longer applied.
                            leave.notify_one();
                            closing_session = session.take();
                            self.subscriber.borrow_mut().connected((self.now)(), to, planner.incarnation);
                            (followed, leave) = (to, Rc::new(Notify::new()));
                            session = Some(Box::pin(self.session(to, stream, leave.clone())));
                        }
                        Err(error) => {
                            let at_capacity = matches!(
                                error,
                                SessionError::Silent | SessionError::Refused(_) | SessionError::Hello(HelloError::Refused(_))
                            );
                            let mut subscriber = self.subscriber.borrow_mut();
                            match at_capacity {
                                true => subscriber.planner_at_capacity((self.now)(), to),
                                false => subscriber.connect_failed((self.now)(), to),
                            }
                            drop(subscriber);
                            (self.on_session)(to, Err(&error));
                            next = Instant::now();
                        }
                    }
                    (self.on_change)();
                }
                _ = sleep_until(next) => {
                    next = Instant::now() + POLL_INTERVAL;
                    let now = (self.now)();
                    let to = {
                        let mut subscriber = self.subscriber.borrow_mut();
                        subscriber.poll(now);
                        if connecting.is_none() { subscriber.try_next(now) } else { None }
                    };
                    (self.on_change)();
                    if let Some(to) = to {
                        let stream = connect(to);
                        connecting = Some(Box::pin(async move {
                            let connected = async {
                                let mut stream = stream.await?;
                                let planner = hello::connect(&mut stream, own, Role::Planner).await?;
                                if planner.services { Ok((stream, planner)) } else { Err(SessionError::NoServices) }
                            };
                            (to, timeout(CONNECT_TIMEOUT, connected).await.unwrap_or(Err(SessionError::Silent)))
                        }));
                    }
                }
            }
        }
    }

    /// Runs one session with the planner of index `planner` after the handshake, and after the subscriber was notified
    /// (`connected`). Ends with an error, or, once `leave` is notified, with a leave message and `Ok`.
    pub async fn session<S>(&self, planner: usize, stream: S, leave: Rc<Notify>) -> Result<(), SessionError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let (mut reader, mut writer) = tokio::io::split(stream);
        let (acks, queued_acks) = mpsc::channel(MAX_QUEUED_ACKS);
        let ended = tokio::select! {
            biased;
            _ = leave.notified() => Ok(()),
            ended = self.receive(planner, &mut reader, acks) => ended,
            ended = self.send(&mut writer, queued_acks) => ended,
        };
        if ended.is_ok() {
            let goodbye = async {
                frames::write(&mut writer, Body::Subscribe(Subscriber::leave_message())).await?;
                Ok::<_, FrameError>(writer.shutdown().await?)
            };
            timeout(CLOSE_TIMEOUT, goodbye).await.map_err(timed_out)??;
        }
        ended
    }

    async fn receive(
        &self,
        planner: usize,
        reader: &mut (impl AsyncRead + Unpin),
        acks: mpsc::Sender<UpdateAck>,
    ) -> SessionResult {
        loop {
            let silence = Duration::from_nanos(subscriber::PLANNER_SILENCE_TIMEOUT);
            let update = match timeout(silence, frames::read(reader)).await.map_err(timed_out)?? {
                Some(Body::Update(update)) => update,
                Some(Body::Refusal(refusal)) => return Err(refused(refusal)),
                _ => continue,
            };
            let answer = self.subscriber.borrow_mut().receive((self.now)(), planner, &update);
            (self.on_change)();
            if let Some(answer) = answer {
                acks.try_send(answer).map_err(|_| SessionError::Flood)?;
            }
            // Rejected services are subscribed to again.
            self.interest_added.notify_one();
        }
    }

    async fn send(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
        mut queued_acks: mpsc::Receiver<UpdateAck>,
    ) -> SessionResult {
        let mut next = Instant::now();
        let mut report_at = Instant::now() + REPORT_INTERVAL;
        let mut sent_at = Instant::now();
        loop {
            tokio::select! {
                biased;
                Some(answer) = queued_acks.recv() => {
                    timeout(WRITE_TIMEOUT, frames::write(writer, Body::UpdateAck(answer))).await.map_err(timed_out)??;
                    sent_at = Instant::now();
                    continue;
                }
                _ = self.interest_added.notified() => {}
                _ = sleep_until(next) => next = Instant::now() + POLL_INTERVAL,
            }
            while let Some(subscribe) = self.next_subscribe() {
                timeout(WRITE_TIMEOUT, frames::write(writer, Body::Subscribe(subscribe)))
                    .await
                    .map_err(timed_out)??;
                sent_at = Instant::now();
            }
            let now = Instant::now();
            if now >= report_at {
                report_at = now + REPORT_INTERVAL;
                if let Some(report) = (self.report)((self.now)()) {
                    timeout(WRITE_TIMEOUT, frames::write(writer, Body::Report(report)))
                        .await
                        .map_err(timed_out)??;
                    sent_at = now;
                }
            }
            if now.duration_since(sent_at) >= FORWARDER_HEARTBEAT_INTERVAL {
                let heartbeat = Body::Subscribe(Subscribe::default());
                timeout(WRITE_TIMEOUT, frames::write(writer, heartbeat)).await.map_err(timed_out)??;
                sent_at = now;
            }
        }
    }

    fn next_subscribe(&self) -> Option<Subscribe> {
        self.subscriber.borrow_mut().next_subscribe((self.now)())
    }
}

/// The current connection of a forwarder process.
struct Connection {
    /// Of several connections with one name, the one with the highest number is current.
    number: u64,
    notify: Rc<Notify>,
}

/// Maximum number of connected processes of one forwarder: the running one, and the one that takes over from it.
const MAX_PROCESSES: usize = 2;

/// The connected processes of a forwarder: incarnation, and name at the publisher.
type Processes = Vec<(u64, String)>;

/// The planner's side: a publisher and the connections of its forwarders.
pub struct PublisherServer {
    publisher: RefCell<Publisher>,
    now: Box<dyn Fn() -> Nanos>,
    /// Connections by name at the publisher, bounded by its limit on forwarders.
    current_connections: RefCell<BTreeMap<String, Connection>>,
    /// Processes by forwarder name.
    processes: RefCell<BTreeMap<String, Processes>>,
    connection_count: Cell<u64>,
    starting: Semaphore,
}

impl std::fmt::Debug for PublisherServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PublisherServer({} connections)", self.current_connections.borrow().len())
    }
}

/// Unregisters a connection when dropped, however its session ends.
struct ConnectionGuard<'a> {
    publishing: &'a PublisherServer,
    peer: &'a Hello,
    /// Its name at the publisher.
    name: String,
    number: u64,
}

impl ConnectionGuard<'_> {
    fn is_current(&self) -> bool {
        self.publishing.current_connections.borrow().get(&self.name).is_some_and(|s| s.number == self.number)
    }
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        if !self.is_current() {
            return;
        }
        self.publishing.current_connections.borrow_mut().remove(&self.name);
        let others = self.publishing.unregister_process(self.peer);
        self.publishing.with(|publisher, now| {
            // While another process of the forwarder is connected, this one has ended and must not count as lagging.
            if others {
                let _ = publisher.subscribe(now, &self.name, &Subscriber::leave_message());
            }
            publisher.forwarder_disconnected(now, &self.name);
        });
    }
}

impl PublisherServer {
    /// A publisher without connections. `now` is the publisher's clock.
    pub fn new(publisher: Publisher, now: Box<dyn Fn() -> Nanos>) -> Self {
        PublisherServer {
            publisher: RefCell::new(publisher),
            now,
            current_connections: RefCell::default(),
            processes: RefCell::default(),
            connection_count: Cell::new(0),
            starting: Semaphore::new(MAX_STARTING),
        }
    }

    /// Runs `f` on the publisher, and wakes the connections that have updates to send after it.
    pub fn with<T>(&self, f: impl FnOnce(&mut Publisher, Nanos) -> T) -> T {
        let (done, ready) = {
            let mut publisher = self.publisher.borrow_mut();
            let done = f(&mut publisher, (self.now)());
            (done, publisher.take_ready_forwarders())
        };
        let current_connections = self.current_connections.borrow();
        for name in ready {
            if let Some(connection) = current_connections.get(&name) {
                connection.notify.notify_one();
            }
        }
        done
    }

    /// Registers a process of a forwarder and returns its name at the publisher. A process that takes over is registered
    /// beside the old one: both serve requests, and both must receive drains.
    fn register_process(&self, peer: &Hello) -> Result<String, SessionError> {
        let mut processes = self.processes.borrow_mut();
        let registered = processes.entry(peer.name.clone()).or_default();
        if let Some((_, name)) = registered.iter().find(|(incarnation, _)| *incarnation == peer.incarnation) {
            return Ok(name.clone());
        }
        let mut name = peer.name.clone();
        if registered.len() >= MAX_PROCESSES {
            // The oldest process is replaced, and its name is reused.
            let oldest = registered
                .iter()
                .enumerate()
                .min_by_key(|(_, (incarnation, _))| *incarnation)
                .map(|(k, _)| k);
            let (incarnation, former) = registered.swap_remove(oldest.unwrap_or(0));
            if peer.incarnation < incarnation {
                registered.push((incarnation, former));
                return Err(SessionError::Replaced);
            }
            name = former;
        } else if registered.iter().any(|(_, other)| *other == name) {
            name = format!("{name}~{:x}", peer.incarnation);
        }
        registered.push((peer.incarnation, name.clone()));
        Ok(name)
    }

    /// Unregisters a process; returns whether another process of the same forwarder is connected.
    fn unregister_process(&self, peer: &Hello) -> bool {
        let mut processes = self.processes.borrow_mut();
        let Some(registered) = processes.get_mut(&peer.name) else { return false };
        registered.retain(|(incarnation, _)| *incarnation != peer.incarnation);
        let others = !registered.is_empty();
        if !others {
            processes.remove(&peer.name);
        }
        others
    }

    /// Polls the publisher at every [`POLL_INTERVAL`]; never returns.
    pub async fn run_timer(&self) -> std::convert::Infallible {
        loop {
            self.with(|publisher, now| publisher.poll(now));
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Accepts a forwarder whose handshake was received (see [`hello::receive_hello`]), and serves it until its connection
    /// ends. A forwarder that is refused is sent the reason before the handshake completes, so that it tries another
    /// planner.
    pub async fn serve<S>(&self, mut stream: S, own: &Identity, peer: &Hello) -> Result<(), SessionError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        if !peer.services {
            let reason =
                format!("to {}: this planner goes by services, and the forwarder does not", own.name);
            let _ = timeout(CLOSE_TIMEOUT, hello::send_refusal(&mut stream, reason)).await;
            return Err(SessionError::NoServices);
        }
        let Ok(Ok(start)) = timeout(START_QUEUE_TIMEOUT, self.starting.acquire()).await else {
            let reason = format!("to {}: {}", own.name, SessionError::Starting);
            let _ = timeout(CLOSE_TIMEOUT, hello::send_refusal(&mut stream, reason)).await;
            return Err(SessionError::Starting);
        };
        let zone = peer.zone.min(255) as u8;
        let joined = self.register_process(peer).and_then(|name| {
            let joined = self.with(|publisher, now| publisher.forwarder_connected(now, &name, zone));
            if joined.is_err() && !self.current_connections.borrow().contains_key(&name) {
                self.unregister_process(peer);
            }
            Ok((joined?, name).1)
        });
        let name = match joined {
            Ok(name) => name,
            Err(error) => {
                let _ = timeout(
                    CLOSE_TIMEOUT,
                    hello::send_refusal(&mut stream, format!("to {}: {error}", own.name)),
                )
                .await;
                return Err(error);
            }
        };
        let number = self.connection_count.get() + 1;
        self.connection_count.set(number);
        let notify = Rc::new(Notify::new());
        let former = self
            .current_connections
            .borrow_mut()
            .insert(name.clone(), Connection { number, notify: notify.clone() });
        // Wakes the former connection, which then finds that it was replaced.
        former.inspect(|f| f.notify.notify_one());
        let guard = ConnectionGuard { publishing: self, peer, name, number };
        timeout(WRITE_TIMEOUT, hello::accept(&mut stream, own)).await.map_err(timed_out)??;
        let (mut reader, mut writer) = tokio::io::split(stream);
        let ended = tokio::select! {
            ended = self.receive(&guard, &mut reader) => ended,
            ended = self.send(&guard, &notify, &mut writer, start) => ended,
        };
        if let Err(error @ (SessionError::Publish(_) | SessionError::Replaced)) = &ended {
            let refusal = Refusal { reason: format!("to {}: {error}", own.name) };
            // The connection is closed in any case.
            let _ = timeout(CLOSE_TIMEOUT, frames::write(&mut writer, Body::Refusal(refusal))).await;
        }
        ended
    }

    async fn receive(
        &self,
        guard: &ConnectionGuard<'_>,
        reader: &mut (impl AsyncRead + Unpin),
    ) -> SessionResult {
        let mut leaving = false;
        loop {
            let body =
                match timeout(FORWARDER_SILENCE_TIMEOUT, frames::read(reader)).await.map_err(timed_out)? {
                    // The forwarder has announced that it leaves.
                    Err(FrameError::Stream(_)) if leaving => return Ok(()),
                    body => body?,
                };
            if !guard.is_current() {
                return Err(SessionError::Replaced);
            }
            let name = guard.name.as_str();
            match body {
                Some(Body::Subscribe(subscribe)) if subscribe == Subscribe::default() => {}
                Some(Body::Subscribe(subscribe)) => {
                    leaving |= subscribe.leaving;
                    self.with(|publisher, now| publisher.subscribe(now, name, &subscribe))?;
                }
                Some(Body::UpdateAck(answer)) => {
                    self.with(|publisher, now| publisher.acknowledge(now, name, &answer))
                }
                Some(Body::Report(report)) => {
                    self.with(|publisher, now| publisher.report(now, name, &report))?
                }
                Some(Body::Refusal(refusal)) => return Err(refused(refusal)),
                _ => {}
            }
        }
    }

    async fn send(
        &self,
        guard: &ConnectionGuard<'_>,
        notify: &Notify,
        writer: &mut (impl AsyncWrite + Unpin),
        start: SemaphorePermit<'_>,
    ) -> SessionResult {
        let name = guard.name.as_str();
        let mut start = Some((start, Instant::now() + START_TIMEOUT));
        let mut update_sent = false;
        loop {
            let pause = loop {
                if !guard.is_current() {
                    return Err(SessionError::Replaced);
                }
                let now = (self.now)();
                let update = self.publisher.borrow_mut().next_update(now, name)?;
                let Some(update) = update else {
                    let wake_at = self.publisher.borrow().next_wakeup(now, name);
                    break wake_at
                        .saturating_sub(now)
                        .clamp(MIN_POLL_PAUSE, subscriber::PLANNER_SILENCE_TIMEOUT);
                };
                update_sent |= update.number > 0;
                timeout(WRITE_TIMEOUT, frames::write(writer, Body::Update(update)))
                    .await
                    .map_err(timed_out)??;
                // Yields after each update, so that other connections get theirs.
                tokio::task::yield_now().await;
            };
            let mut pause = Duration::from_nanos(pause);
            if let Some((permit, until)) = start.take() {
                let now = Instant::now();
                if !update_sent && now < until {
                    pause = pause.min(until - now);
                    start = Some((permit, until));
                }
            }
            // A notification during a write is kept by `Notify`.
            let _ = timeout(pause, notify.notified()).await;
        }
    }
}
