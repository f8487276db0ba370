//! Services by subscription on a connection: what a forwarder's [`Subscriber`] and a planner's [`Publisher`] have to
//! say to each other, carried over any stream. Real forwarders and hollow ones of a scale run use the same loops.
//!
//! The machines are pure; here is when they are asked, and what bounds the waiting. Both are borrowed only between
//! awaits.

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

/// How often a subscriber and a publisher are asked what time brings.
pub const TICK: Duration = Duration::from_millis(100);
/// How often a forwarder reports what it has met.
const REPORT: Duration = Duration::from_millis(500);
/// A forwarder says something at least this often, be it nothing, so that one that has gone without a word is noticed.
const WORD: Duration = Duration::from_secs(2);
/// A forwarder that has said nothing for so long is taken for lost: five words of it.
const WORDLESS: Duration = Duration::from_secs(10);
/// A message that the other side has not taken by then.
const WRITE: Duration = Duration::from_secs(3);
/// Connecting, TLS and greeting together. A planner that is met by a third of all forwarders at once has seconds of TLS
/// handshakes and starts in front of it; one that is given up meanwhile has had its work for nothing.
const CONNECT: Duration = Duration::from_secs(10);
/// The last word to a planner that is left, and the end of its connection.
const PART: Duration = Duration::from_secs(1);
/// Answers to a planner that wait to be written; a publisher waits for acknowledgements long before that.
const ANSWERS: usize = 64;
/// The longest part of a refusal's text that is kept.
const MOST_REASON: usize = 500;
/// Forwarders that are just starting at a planner, at once: the first seconds of each cost it far more than all that follows.
/// Those that it has must go on being told of changes, and hear that it lives, while hundreds come.
pub const MAX_STARTING: usize = 32;
/// A forwarder is starting until it has been told what the bytes for a burst allow, but for no longer than this.
const START: Duration = Duration::from_millis(300);
/// A forwarder waits for so long until its turn to start comes, and else goes to another planner or comes again.
const QUEUE: Duration = Duration::from_secs(2);
/// Between two looks for updates there is at least this: a publisher whose time has come meanwhile loses nothing by it.
const LEAST_PAUSE: Nanos = 2_000_000;

/// Why a connection between a forwarder and a planner has ended.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// It could not be made.
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    /// The two do not work together.
    #[error("{0}")]
    Hello(#[from] HelloError),
    /// The stream or a message is of no use.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The other side has said nothing, or taken nothing, for too long.
    #[error("nothing heard in time")]
    Silent,
    /// The planner does not go by services.
    #[error("it does not go by services")]
    NoServices,
    /// The other side has said why it goes.
    #[error("it refuses: {0}")]
    Refused(String),
    /// A planner that sends on and on without waiting for answers.
    #[error("it does not wait for answers")]
    Flood,
    /// What a forwarder says cannot be used.
    #[error("{0}")]
    Publish(#[from] PublishError),
    /// As many forwarders are starting as may at once.
    #[error("{MAX_STARTING} forwarders are just starting here")]
    Starting,
    /// A newer connection of the same forwarder has come.
    #[error("a newer connection of the same name has come")]
    Replaced,
}

fn late(_: tokio::time::error::Elapsed) -> SessionError {
    SessionError::Silent
}

fn told(refusal: Refusal) -> SessionError {
    SessionError::Refused(refusal.reason.chars().filter(|c| !c.is_control()).take(MOST_REASON).collect())
}

/// What the forwarder's loops work on, and whom they tell.
pub struct SubscriberClient<'a> {
    /// What is subscribed to.
    pub subscriber: &'a RefCell<Subscriber>,
    /// The time, in the subscriber's count.
    pub now: &'a dyn Fn() -> Nanos,
    /// To be notified (`notify_one`) after `Subscriber::lookup` has answered `Waiting`: it is said at once.
    pub interest_added: &'a Notify,
    /// Called after anything that may have changed what is held: `Subscriber::changes` is to be taken.
    pub on_change: &'a dyn Fn(),
    /// Makes a report, mostly by `Subscriber::next_report`; called twice a second while a planner is there.
    pub report: &'a dyn Fn(Nanos) -> Option<Report>,
    /// Called with a planner's place as a connection to it is up (`Ok`), or has ended or could not be made, for the log.
    pub on_session: &'a dyn Fn(usize, Result<&Hello, &SessionError>),
}

type Ended = Result<(), SessionError>;
/// What goes on beside the rest.
type Work<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
/// A planner's place, and its connection with its greeting.
type Made<S> = (usize, Result<(S, Hello), SessionError>);

/// One that is under way, or for ever.
async fn of<T>(future: &mut Option<Work<'_, T>>) -> T {
    match future {
        Some(future) => future.as_mut().await,
        None => std::future::pending().await,
    }
}

impl SubscriberClient<'_> {
    /// Keeps a connection to one planner after the other, as the subscriber wants them, for good. `connect` gives a
    /// stream to the planner at that place, TLS included; greeting is done here. What it takes is bounded here too.
    pub async fn run<S, C, F>(&self, own: &Identity, connect: C) -> std::convert::Infallible
    where
        S: AsyncRead + AsyncWrite + Unpin,
        C: Fn(usize) -> F,
        F: Future<Output = std::io::Result<S>>,
    {
        let mut next = Instant::now();
        let mut connecting: Option<Work<'_, Made<S>>> = None;
        // The planner that is followed, how it is told that it is left, and its connection.
        let mut place = 0;
        let mut leave = Rc::new(Notify::new());
        let mut session: Option<Work<'_, Ended>> = None;
        let mut parting: Option<Work<'_, Ended>> = None;
        loop {
            tokio::select! {
                biased;
                _ = of(&mut parting) => parting = None,
                ended = of(&mut session) => {
                    session = None;
                    self.subscriber.borrow_mut().connection_lost((self.now)(), place);
                    if let Err(error) = ended {
                        (self.on_session)(place, Err(&error));
                    }
                    (self.on_change)();
                    next = Instant::now();
                }
                (to, made) = of(&mut connecting) => {
                    connecting = None;
                    match made {
                        Ok((stream, planner)) => {
                            (self.on_session)(to, Ok(&planner));
                            // In this order: what the former planner still says is no longer taken in.
                            leave.notify_one();
                            parting = session.take();
                            self.subscriber.borrow_mut().connected((self.now)(), to, planner.incarnation);
                            (place, leave) = (to, Rc::new(Notify::new()));
                            session = Some(Box::pin(self.session(to, stream, leave.clone())));
                        }
                        Err(error) => {
                            let crowded = matches!(
                                error,
                                SessionError::Silent | SessionError::Refused(_) | SessionError::Hello(HelloError::Refused(_))
                            );
                            let mut subscriber = self.subscriber.borrow_mut();
                            match crowded {
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
                    next = Instant::now() + TICK;
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
                            let made = async {
                                let mut stream = stream.await?;
                                let planner = hello::connect(&mut stream, own, Role::Planner).await?;
                                if planner.services { Ok((stream, planner)) } else { Err(SessionError::NoServices) }
                            };
                            (to, timeout(CONNECT, made).await.unwrap_or(Err(SessionError::Silent)))
                        }));
                    }
                }
            }
        }
    }

    /// One connection to the planner at `place`, greeted already and told to the subscriber (`connected`), until it is of
    /// no more use, or until `leave` is notified: then the last word is said and all ends well.
    pub async fn session<S>(&self, place: usize, stream: S, leave: Rc<Notify>) -> Result<(), SessionError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let (mut reader, mut writer) = tokio::io::split(stream);
        let (answers, waiting) = mpsc::channel(ANSWERS);
        let ended = tokio::select! {
            biased;
            _ = leave.notified() => Ok(()),
            ended = self.hear(place, &mut reader, answers) => ended,
            ended = self.say(&mut writer, waiting) => ended,
        };
        if ended.is_ok() {
            let last = async {
                frames::write(&mut writer, Body::Subscribe(Subscriber::leave_message())).await?;
                Ok::<_, FrameError>(writer.shutdown().await?)
            };
            timeout(PART, last).await.map_err(late)??;
        }
        ended
    }

    async fn hear(
        &self,
        place: usize,
        reader: &mut (impl AsyncRead + Unpin),
        answers: mpsc::Sender<UpdateAck>,
    ) -> Ended {
        loop {
            let silence = Duration::from_nanos(subscriber::PLANNER_SILENCE_TIMEOUT);
            let update = match timeout(silence, frames::read(reader)).await.map_err(late)?? {
                Some(Body::Update(update)) => update,
                Some(Body::Refusal(refusal)) => return Err(told(refusal)),
                _ => continue,
            };
            let answer = self.subscriber.borrow_mut().receive((self.now)(), place, &update);
            (self.on_change)();
            if let Some(answer) = answer {
                answers.try_send(answer).map_err(|_| SessionError::Flood)?;
            }
            // What is refused is asked for anew.
            self.interest_added.notify_one();
        }
    }

    async fn say(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
        mut waiting: mpsc::Receiver<UpdateAck>,
    ) -> Ended {
        let mut next = Instant::now();
        let mut report_at = Instant::now() + REPORT;
        let mut said = Instant::now();
        loop {
            tokio::select! {
                biased;
                Some(answer) = waiting.recv() => {
                    timeout(WRITE, frames::write(writer, Body::UpdateAck(answer))).await.map_err(late)??;
                    said = Instant::now();
                    continue;
                }
                _ = self.interest_added.notified() => {}
                _ = sleep_until(next) => next = Instant::now() + TICK,
            }
            while let Some(subscribe) = self.next_subscribe() {
                timeout(WRITE, frames::write(writer, Body::Subscribe(subscribe))).await.map_err(late)??;
                said = Instant::now();
            }
            let now = Instant::now();
            if now >= report_at {
                report_at = now + REPORT;
                if let Some(report) = (self.report)((self.now)()) {
                    timeout(WRITE, frames::write(writer, Body::Report(report))).await.map_err(late)??;
                    said = now;
                }
            }
            if now.duration_since(said) >= WORD {
                let nothing = Body::Subscribe(Subscribe::default());
                timeout(WRITE, frames::write(writer, nothing)).await.map_err(late)??;
                said = now;
            }
        }
    }

    fn next_subscribe(&self) -> Option<Subscribe> {
        self.subscriber.borrow_mut().next_subscribe((self.now)())
    }
}

/// A connection of a forwarder, as others find it.
struct Seat {
    /// Of several connections of one name the latest counts.
    number: u64,
    news: Rc<Notify>,
}

/// Processes of one forwarder that are led at once: the one that runs, and the one that takes over from it.
const LIVES: usize = 2;

/// The processes of a forwarder that are connected: when each one's life began, and the name that it has at the publisher.
type Lives = Vec<(u64, String)>;

/// A publisher and the connections of its forwarders.
pub struct PublisherServer {
    publisher: RefCell<Publisher>,
    now: Box<dyn Fn() -> Nanos>,
    /// Bounded by the publisher, which takes no more forwarders than it is told.
    seats: RefCell<BTreeMap<String, Seat>>,
    /// By the names that forwarders have given.
    lives: RefCell<BTreeMap<String, Lives>>,
    connections: Cell<u64>,
    starting: Semaphore,
}

impl std::fmt::Debug for PublisherServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PublisherServer({} connections)", self.seats.borrow().len())
    }
}

/// Gives a forwarder's seat up, however its connection ends.
struct Seated<'a> {
    publishing: &'a PublisherServer,
    peer: &'a Hello,
    /// Its name at the publisher.
    name: String,
    number: u64,
}

impl Seated<'_> {
    fn current(&self) -> bool {
        self.publishing.seats.borrow().get(&self.name).is_some_and(|s| s.number == self.number)
    }
}

impl Drop for Seated<'_> {
    fn drop(&mut self) {
        if !self.current() {
            return;
        }
        self.publishing.seats.borrow_mut().remove(&self.name);
        let others = self.publishing.forget(self.peer);
        self.publishing.with(|publisher, now| {
            // Where another process of the same forwarder is there, this one does not lag: it has gone.
            if others {
                let _ = publisher.subscribe(now, &self.name, &Subscriber::leave_message());
            }
            publisher.forwarder_disconnected(now, &self.name);
        });
    }
}

impl PublisherServer {
    /// A publisher without connections. `now` tells the time in the publisher's count.
    pub fn new(publisher: Publisher, now: Box<dyn Fn() -> Nanos>) -> Self {
        PublisherServer {
            publisher: RefCell::new(publisher),
            now,
            seats: RefCell::default(),
            lives: RefCell::default(),
            connections: Cell::new(0),
            starting: Semaphore::new(MAX_STARTING),
        }
    }

    /// Does something with the publisher, and wakes the connections for which there is news after it.
    pub fn with<T>(&self, f: impl FnOnce(&mut Publisher, Nanos) -> T) -> T {
        let (done, stirred) = {
            let mut publisher = self.publisher.borrow_mut();
            let done = f(&mut publisher, (self.now)());
            (done, publisher.take_ready_forwarders())
        };
        let seats = self.seats.borrow();
        for name in stirred {
            if let Some(seat) = seats.get(&name) {
                seat.news.notify_one();
            }
        }
        done
    }

    /// The name that a process of a forwarder has at the publisher. One that takes over is there beside the one that it takes
    /// over from: both have requests, and both must hear of drains.
    fn place(&self, peer: &Hello) -> Result<String, SessionError> {
        let mut lives = self.lives.borrow_mut();
        let here = lives.entry(peer.name.clone()).or_default();
        if let Some((_, name)) = here.iter().find(|(life, _)| *life == peer.incarnation) {
            return Ok(name.clone());
        }
        let mut name = peer.name.clone();
        if here.len() >= LIVES {
            // The oldest one has to go, and its name goes over.
            let oldest = here.iter().enumerate().min_by_key(|(_, (life, _))| *life).map(|(k, _)| k);
            let (life, former) = here.swap_remove(oldest.unwrap_or(0));
            if peer.incarnation < life {
                here.push((life, former));
                return Err(SessionError::Replaced);
            }
            name = former;
        } else if here.iter().any(|(_, other)| *other == name) {
            name = format!("{name}~{:x}", peer.incarnation);
        }
        here.push((peer.incarnation, name.clone()));
        Ok(name)
    }

    /// A process has gone; whether another one of the same forwarder is there.
    fn forget(&self, peer: &Hello) -> bool {
        let mut lives = self.lives.borrow_mut();
        let Some(here) = lives.get_mut(&peer.name) else { return false };
        here.retain(|(life, _)| *life != peer.incarnation);
        let others = !here.is_empty();
        if !others {
            lives.remove(&peer.name);
        }
        others
    }

    /// Tells the publisher the time, for good.
    pub async fn run_timer(&self) -> std::convert::Infallible {
        loop {
            self.with(|publisher, now| publisher.poll(now));
            tokio::time::sleep(TICK).await;
        }
    }

    /// Greets a forwarder whose greeting was heard (see [`hello::heard`]) and leads it until its connection ends. One that
    /// is not taken hears why before it is greeted, so that it goes to another planner.
    pub async fn serve<S>(&self, mut stream: S, own: &Identity, peer: &Hello) -> Result<(), SessionError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        if !peer.services {
            let reason =
                format!("to {}: this planner goes by services, and the forwarder does not", own.name);
            let _ = timeout(PART, hello::send_refusal(&mut stream, reason)).await;
            return Err(SessionError::NoServices);
        }
        let Ok(Ok(start)) = timeout(QUEUE, self.starting.acquire()).await else {
            let reason = format!("to {}: {}", own.name, SessionError::Starting);
            let _ = timeout(PART, hello::send_refusal(&mut stream, reason)).await;
            return Err(SessionError::Starting);
        };
        let zone = peer.zone.min(255) as u8;
        let joined = self.place(peer).and_then(|name| {
            let joined = self.with(|publisher, now| publisher.forwarder_connected(now, &name, zone));
            if joined.is_err() && !self.seats.borrow().contains_key(&name) {
                self.forget(peer);
            }
            Ok((joined?, name).1)
        });
        let name = match joined {
            Ok(name) => name,
            Err(error) => {
                let _ = timeout(PART, hello::send_refusal(&mut stream, format!("to {}: {error}", own.name)))
                    .await;
                return Err(error);
            }
        };
        let number = self.connections.get() + 1;
        self.connections.set(number);
        let news = Rc::new(Notify::new());
        let former = self.seats.borrow_mut().insert(name.clone(), Seat { number, news: news.clone() });
        // It finds that it is not the latest any longer.
        former.inspect(|f| f.news.notify_one());
        let seated = Seated { publishing: self, peer, name, number };
        timeout(WRITE, hello::accept(&mut stream, own)).await.map_err(late)??;
        let (mut reader, mut writer) = tokio::io::split(stream);
        let ended = tokio::select! {
            ended = self.hear(&seated, &mut reader) => ended,
            ended = self.say(&seated, &news, &mut writer, start) => ended,
        };
        if let Err(error @ (SessionError::Publish(_) | SessionError::Replaced)) = &ended {
            let refusal = Refusal { reason: format!("to {}: {error}", own.name) };
            // Its connection is closed in any case.
            let _ = timeout(PART, frames::write(&mut writer, Body::Refusal(refusal))).await;
        }
        ended
    }

    async fn hear(&self, seated: &Seated<'_>, reader: &mut (impl AsyncRead + Unpin)) -> Ended {
        let mut leaving = false;
        loop {
            let body = match timeout(WORDLESS, frames::read(reader)).await.map_err(late)? {
                // It has said that it goes.
                Err(FrameError::Stream(_)) if leaving => return Ok(()),
                body => body?,
            };
            if !seated.current() {
                return Err(SessionError::Replaced);
            }
            let name = seated.name.as_str();
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
                Some(Body::Refusal(refusal)) => return Err(told(refusal)),
                _ => {}
            }
        }
    }

    async fn say(
        &self,
        seated: &Seated<'_>,
        news: &Notify,
        writer: &mut (impl AsyncWrite + Unpin),
        start: SemaphorePermit<'_>,
    ) -> Ended {
        let name = seated.name.as_str();
        let mut start = Some((start, Instant::now() + START));
        let mut told = false;
        loop {
            let pause = loop {
                if !seated.current() {
                    return Err(SessionError::Replaced);
                }
                let now = (self.now)();
                let update = self.publisher.borrow_mut().next_update(now, name)?;
                let Some(update) = update else {
                    let wake_at = self.publisher.borrow().next_wakeup(now, name);
                    break wake_at
                        .saturating_sub(now)
                        .clamp(LEAST_PAUSE, subscriber::PLANNER_SILENCE_TIMEOUT);
                };
                told |= update.number > 0;
                timeout(WRITE, frames::write(writer, Body::Update(update))).await.map_err(late)??;
                // One update a turn: the others hear theirs meanwhile.
                tokio::task::yield_now().await;
            };
            let mut pause = Duration::from_nanos(pause);
            if let Some((permit, until)) = start.take() {
                let now = Instant::now();
                if !told && now < until {
                    pause = pause.min(until - now);
                    start = Some((permit, until));
                }
            }
            // A notice that comes while this one is written is kept.
            let _ = timeout(pause, news.notified()).await;
        }
    }
}
