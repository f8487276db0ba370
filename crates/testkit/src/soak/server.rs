//! Servers of a soak: one listener for each node, so that who sends is known, and all that is seen is stamped where the
//! node's bytes arrive.

use super::history::{Came, Made, Moment, Recorder};
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
    /// Its one worker is busy until then.
    busy_until: Cell<Moment>,
    random: RefCell<Random>,
}

/// Serves on this thread until it is dropped.
pub async fn serve(all: Arc<Servers>, plan: Arc<Plan>, recorder: Recorder, seed: u64) {
    let server = |number| {
        Rc::new(Server {
            number,
            all: all.clone(),
            plan: plan.clone(),
            recorder: recorder.clone(),
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
        let came = Came { id: id.clone(), node, server: self.number, first, last, wait_ms, made };
        self.recorder.write(|h| h.came.push(came));
        if turned_away {
            let head = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
            return self.write(stream, head.as_bytes()).await;
        }
        tokio::select! {
            next = self.run(stream, &message, &id) => next,
            () = self.dies(born) => Next::Reset,
        }
    }

    /// Where the queue is too long, or by the plan.
    fn turns_away(&self, now: Moment) -> bool {
        let queue = self.busy_until.get().since(now);
        queue > LONGEST_QUEUE || (self.active(Kind::TurnAway) && self.chance(0.7))
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

    async fn run(&self, stream: &mut TcpStream, message: &Message, id: &str) -> Next {
        if self.active(Kind::Hang) && self.chance(0.7) {
            // Held until the node gives it up.
            let _ = timeout(Duration::from_secs(8), text::begun(stream)).await;
            return Next::Reset;
        }
        if self.active(Kind::Reset) && self.chance(0.5) {
            sleep(self.drawn(500)).await;
            return Next::Reset;
        }
        self.work().await;
        if self.active(Kind::Error) && self.chance(0.5) {
            return self.write(stream, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").await;
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        if self.active(Kind::Spoilt) && self.chance(0.5) {
            let cut = 1 + self.random.borrow_mut().below(answer.len() - 1);
            let _ = stream.write_all(&answer.as_bytes()[..cut]).await;
            if self.chance(0.5) {
                let _ = timeout(Duration::from_secs(8), text::begun(stream)).await;
            }
            return Next::Close;
        }
        if self.active(Kind::NoLength) && self.chance(0.5) {
            return self.without_length(stream, id).await;
        }
        if message.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
            let _ = stream.write_all(answer.as_bytes()).await;
            return Next::Close;
        }
        self.write(stream, answer.as_bytes()).await
    }

    /// An answer that ends with its connection: by a close, or by a reset on the way.
    async fn without_length(&self, stream: &mut TcpStream, id: &str) -> Next {
        let whole = self.chance(0.7);
        let body = if whole { id } else { &id[..id.len() / 2] };
        let answer = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
        let _ = stream.write_all(answer.as_bytes()).await;
        if !whole {
            sleep(self.drawn(20)).await;
            return Next::Reset;
        }
        self.recorder.write(|h| h.no_length.push(id.to_owned()));
        Next::Close
    }

    async fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> Next {
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
