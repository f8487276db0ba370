//! Servers of a soak: one listener for each node, so that who sends is known, and all that is seen is stamped where the
//! node's bytes arrive.

use super::history::{Came, Ended, Made, Moment, Recorder};
use super::links::{Attempt, Links};
use super::listen::Grid;
use super::plan::{Kind, Plan};
use super::text::{self, Message};
use crate::Random;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

/// A request that would wait for longer is turned away.
const LONGEST_QUEUE: Duration = Duration::from_millis(300);

/// For how long a server holds what it does not end.
const HELD: Duration = Duration::from_secs(8);
/// Between two bytes of an answer that drips: just below the time in which an answer has to go on.
const DRIP_PAUSE: Duration = Duration::from_millis(750);
/// A slow body of an answer that failed comes after at most so many milliseconds.
const SLOW_BODY_MS: usize = 300;

/// One server, as the driver moves it.
#[derive(Debug, Default)]
pub struct Process {
    /// When it started, in microseconds since the beginning; 0 for long ago.
    pub born: AtomicU64,
    /// It is down until then.
    pub down_until: AtomicU64,
}

/// All servers, as other threads see them.
#[derive(Debug)]
pub struct Servers {
    /// By server, then by node.
    pub grid: Grid,
    /// By server.
    pub processes: Vec<Process>,
}

impl Servers {
    /// Binds all listeners.
    pub fn bind(servers: usize, nodes: usize) -> std::io::Result<Servers> {
        let processes = (0..servers).map(|_| Process::default()).collect();
        Ok(Servers { grid: Grid::bind(servers, nodes)?, processes })
    }
}

/// What the connections of one server share.
struct Server {
    number: usize,
    all: Arc<Servers>,
    plan: Arc<Plan>,
    recorder: Recorder,
    links: Links,
    /// Its one worker is busy until then.
    busy_until: Cell<Moment>,
    random: RefCell<Random>,
}

/// Serves on this thread until it is dropped.
pub async fn serve(all: Arc<Servers>, plan: Arc<Plan>, recorder: Recorder, links: Links, seed: u64) {
    let server = |number| {
        Rc::new(Server {
            number,
            all: all.clone(),
            plan: plan.clone(),
            recorder: recorder.clone(),
            links: links.clone(),
            busy_until: Cell::new(Moment(0)),
            random: RefCell::new(Random::new(seed ^ (number as u64) << 8)),
        })
    };
    let servers: Rc<Vec<_>> = Rc::new((0..all.processes.len()).map(server).collect());
    let connection = move |stream, number: usize, node| {
        let server = servers[number].clone();
        async move { server.connection(stream, node).await }
    };
    all.grid.serve(connection).await;
}

/// Whether a connection goes on.
#[derive(PartialEq, Eq)]
enum Next {
    Request,
    Close,
    Reset,
}

impl Server {
    fn process(&self) -> &Process {
        &self.all.processes[self.number]
    }

    fn down(&self) -> bool {
        self.recorder.now().0 < self.process().down_until.load(Ordering::SeqCst)
    }

    fn chance(&self, part: f64) -> bool {
        (self.random.borrow_mut().below(1000) as f64) < part * 1000.0
    }

    fn drawn(&self, below_ms: usize) -> Duration {
        Duration::from_millis(self.random.borrow_mut().below(below_ms) as u64)
    }

    fn active(&self, kind: Kind) -> bool {
        self.plan.active(kind, self.number, self.recorder.now()).is_some()
    }

    async fn connection(&self, mut stream: TcpStream, node: usize) {
        let _ = stream.set_nodelay(true);
        let born = self.process().born.load(Ordering::SeqCst);
        loop {
            let idle = self.active(Kind::CloseIdle).then(|| Duration::from_millis(2) + self.drawn(120));
            let begun = tokio::select! {
                begun = text::begun(&stream) => begun,
                () = sleep(idle.unwrap_or(Duration::from_secs(60))) => return,
                // A process that dies resets its connections.
                () = self.dies(born) => return reset(&stream),
            };
            if !begun {
                return;
            }
            match self.request(&mut stream, node, born).await {
                Next::Request => {}
                Next::Close => return,
                Next::Reset => return reset(&stream),
            }
        }
    }

    async fn dies(&self, born: u64) {
        while !self.down() && self.process().born.load(Ordering::SeqCst) == born {
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn request(&self, stream: &mut TcpStream, node: usize, born: u64) -> Next {
        let first = self.recorder.now();
        let read = tokio::select! {
            read = text::read(stream) => read,
            () = self.dies(born) => return Next::Reset,
        };
        let last = self.recorder.now();
        let Some(message) = read else { return Next::Close };
        let Some(id) = message.field("x-request-id").map(str::to_owned) else { return Next::Close };
        let wait_ms = message.field("x-timeout-ms").and_then(|v| v.parse().ok()).unwrap_or(u64::MAX);
        let turned_away = self.turns_away(last);
        let made = if turned_away { Made::TurnedAway } else { Made::Ran };
        let Ok(port) = stream.peer_addr().map(|peer| peer.port()) else { return Next::Close };
        let beside = self.links.begin(&id, port);
        let server = self.number;
        let came = Came { id: id.clone(), node, server, first, last, wait_ms, made, beside, over: None };
        let mut place = 0;
        self.recorder.write(|h| {
            place = h.came.len();
            h.came.push(came);
        });
        let attempt = Attempt {
            links: self.links.clone(),
            recorder: self.recorder.clone(),
            id,
            port,
            came: place,
            ended: Ended::Unanswered,
        };
        tokio::select! {
            next = self.make(stream, &message, turned_away, attempt) => next,
            () = self.dies(born) => Next::Reset,
        }
    }

    async fn make(
        &self,
        stream: &mut TcpStream,
        message: &Message,
        turned_away: bool,
        attempt: Attempt,
    ) -> Next {
        if !turned_away {
            return self.run(stream, message, attempt).await;
        }
        let head = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\n";
        if self.active(Kind::FailedStalls) {
            return self.failed(stream, head, attempt).await;
        }
        self.write(stream, format!("{head}Content-Length: 0\r\n\r\n").as_bytes(), attempt).await
    }

    /// Where the queue is too long, or by the plan.
    fn turns_away(&self, now: Moment) -> bool {
        let queue = self.busy_until.get().since(now);
        queue > LONGEST_QUEUE
            || (self.active(Kind::TurnAway) && self.chance(0.7))
            || (self.active(Kind::FailedStalls) && self.chance(0.3))
    }

    /// Waits for the one worker, for as long as the work takes at the server's present share of its capacity.
    async fn work(&self) {
        let now = self.recorder.now();
        let ramp = self.recorder.ramp;
        let born = self.process().born.load(Ordering::SeqCst);
        let share = super::check::share(&ramp, Moment(born), now);
        let work = Duration::from_secs_f64(1.0 / (ramp.capacity * share));
        let done = self.busy_until.get().max(now).after(work);
        self.busy_until.set(done);
        sleep_until(self.recorder.instant(done).into()).await;
        if self.active(Kind::Slow) {
            sleep(self.drawn(400)).await;
        }
    }

    async fn run(&self, stream: &mut TcpStream, message: &Message, attempt: Attempt) -> Next {
        if self.active(Kind::Hang) && self.chance(0.7) {
            self.held(stream).await;
            return Next::Reset;
        }
        if self.active(Kind::Reset) && self.chance(0.5) {
            sleep(self.drawn(500)).await;
            return Next::Reset;
        }
        self.work().await;
        if self.active(Kind::Error) && self.chance(0.5) {
            return self.write(stream, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", attempt).await;
        }
        if self.active(Kind::FailedStalls) && self.chance(0.4) {
            return self.failed(stream, "HTTP/1.1 500 No\r\n", attempt).await;
        }
        let id = attempt.id.clone();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        if let Some(cut) = self.spoilt_at(&answer) {
            let _ = stream.write_all(&answer.as_bytes()[..cut]).await;
            if !self.active(Kind::Spoilt) || self.chance(0.5) {
                self.held(stream).await;
            }
            return Next::Close;
        }
        if self.active(Kind::Drips) && self.chance(0.5) {
            return self.drip(stream, answer.as_bytes(), attempt).await;
        }
        if self.active(Kind::NoLength) && self.chance(0.5) {
            return self.without_length(stream, attempt).await;
        }
        if message.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
            let _ = self.write(stream, answer.as_bytes(), attempt).await;
            return Next::Close;
        }
        self.write(stream, answer.as_bytes(), attempt).await
    }

    /// Where an answer is broken off.
    fn spoilt_at(&self, answer: &str) -> Option<usize> {
        let head = answer.find("\r\n\r\n").map_or(0, |end| end + 4);
        let below = |bytes: usize| self.random.borrow_mut().below(bytes);
        let strikes = |kind| self.active(kind) && self.chance(0.5);
        if strikes(Kind::Spoilt) {
            Some(1 + below(answer.len() - 1))
        } else if strikes(Kind::HeadStalls) {
            Some(1 + below(head - 1))
        } else if strikes(Kind::BodyStalls) {
            Some(head + below(answer.len() - head))
        } else {
            None
        }
    }

    /// Holds the connection until the node gives it up.
    async fn held(&self, stream: &TcpStream) {
        let _ = timeout(HELD, text::begun(stream)).await;
    }

    /// An answer that fails the attempt, whose body stops half-way or takes long.
    async fn failed(&self, stream: &mut TcpStream, head: &str, attempt: Attempt) -> Next {
        if stream.write_all(format!("{head}Content-Length: 6\r\n\r\nabc").as_bytes()).await.is_err() {
            return Next::Close;
        }
        if self.chance(0.5) {
            self.held(stream).await;
            return Next::Close;
        }
        let slow = self.drawn(SLOW_BODY_MS);
        if timeout(slow, text::begun(stream)).await.is_ok() {
            return Next::Close;
        }
        self.write(stream, b"def", attempt).await
    }

    /// Writes an answer byte by byte, for as long as the node bears it.
    async fn drip(&self, stream: &mut TcpStream, answer: &[u8], attempt: Attempt) -> Next {
        let Some((last, bytes)) = answer.split_last() else { return Next::Close };
        for byte in bytes {
            if stream.write_all(&[*byte]).await.is_err() {
                return Next::Close;
            }
            if timeout(DRIP_PAUSE, text::begun(stream)).await.is_ok() {
                return Next::Close;
            }
        }
        self.write(stream, &[*last], attempt).await
    }

    /// An answer that ends with its connection: by a close, or by a reset on the way.
    async fn without_length(&self, stream: &mut TcpStream, attempt: Attempt) -> Next {
        // A link that is shut behind an answer would turn the reset into an end that nobody can tell from a whole answer's.
        let whole = self.chance(0.7) || self.active(Kind::LinkHalfCloses);
        let id = attempt.id.clone();
        let body = if whole { id.as_str() } else { &id[..id.len() / 2] };
        let answer = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
        if !whole {
            let _ = stream.write_all(answer.as_bytes()).await;
            sleep(self.drawn(20)).await;
            return Next::Reset;
        }
        let _ = self.write(stream, answer.as_bytes(), attempt).await;
        self.recorder.write(|h| h.no_length.push(id));
        Next::Close
    }

    /// Writes an answer, or the rest of one, with which the attempt is over.
    async fn write(&self, stream: &mut TcpStream, bytes: &[u8], attempt: Attempt) -> Next {
        attempt.answered();
        match stream.write_all(bytes).await {
            Ok(()) => Next::Request,
            Err(_) => Next::Close,
        }
    }
}

/// Has the peer see a reset.
pub fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
