//! Stand-in web boxes: each listens on HTTP and on Thrift, acts by a plan, and records what came and what ran.

use crate::attempts::{peer_closed, AttemptRecord, Attempts, Overlap};
use crate::lock;
use crate::wire::{Conn, Say, Seen, Wire};
use crate::PATIENCE;
use laurelroute_thrift::codec::Form;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a box does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Says this.
    Say(Say),
    /// Serves it after a while.
    After(Duration),
    /// Reads it and never says anything.
    Stall,
    /// Reads it, and turns it away once the plan is told to go on.
    TurnAwayWhenTold,
    /// Resets the connection at the request's first byte.
    ResetBefore,
    /// Reads it whole and resets the connection.
    ResetAfter,
    /// Reads it whole and closes the connection.
    CloseAfter,
    /// Begins an answer and stops half-way.
    Half,
    /// Serves it a few bytes at a time.
    Trickle,
    /// Serves it and closes the connection.
    ServeAndClose,
}

/// A request that came to a box.
#[derive(Clone, Debug)]
pub struct Came {
    /// Its identity; `None` where the box did not read that far.
    pub id: Option<String>,
    /// When its first byte was there.
    pub at: Instant,
    /// The box has run it: it has read the last byte and did not turn it away.
    pub ran: bool,
    /// The box's connection that it came on.
    pub connection: usize,
}

/// What all boxes of a fleet share: the acts for the next requests, whichever box they come to, and the word to go on.
#[derive(Debug, Default)]
pub struct Plan {
    acts: Mutex<VecDeque<Act>>,
    /// How often they were told to go on.
    told: Mutex<usize>,
    go_on: Condvar,
    /// The attempts of all requests at all boxes.
    attempts: Attempts,
}

impl Plan {
    /// The next requests are treated like this, in turn.
    pub fn next(&self, acts: &[Act]) {
        lock(&self.acts).extend(acts);
    }

    /// How many acts are left.
    pub fn left(&self) -> usize {
        lock(&self.acts).len()
    }

    /// All boxes that wait to be told go on.
    pub fn go_on(&self) {
        *lock(&self.told) += 1;
        self.go_on.notify_all();
    }

    /// Waits for the next word to go on, within the patience of a test.
    fn wait(&self) {
        let told = lock(&self.told);
        let before = *told;
        let _ = self.go_on.wait_timeout_while(told, PATIENCE, |told| *told == before);
    }

    /// Requests of which more attempts were under way at once than may be.
    pub fn too_many_attempts(&self, allowed: usize) -> Vec<Overlap> {
        self.attempts.over(allowed)
    }

    fn take(&self) -> Option<Act> {
        lock(&self.acts).pop_front()
    }
}

/// How a box comes up cold: its capacity rises evenly from a share of the full one, and too much work in any window
/// pushes it over for good.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    /// When it started.
    pub born: Instant,
    /// The share of its capacity that it starts with, 0 to 1.
    pub from: f64,
    /// How long it takes to the full one.
    pub time: Duration,
    /// Requests a second that it takes when it is warm.
    pub full: f64,
    /// More than this multiple of its present capacity over a window pushes it over.
    pub multiple: f64,
    /// The window.
    pub window: Duration,
}

impl Ramp {
    /// What may come in a window that ends now.
    fn budget(&self) -> f64 {
        let age = self.born.elapsed().as_secs_f64() / self.time.as_secs_f64();
        let share = (self.from + (1.0 - self.from) * age).min(1.0);
        self.multiple * share * self.full * self.window.as_secs_f64()
    }
}

struct Shared {
    came: Mutex<Vec<Came>>,
    ramp: Mutex<Option<Ramp>>,
    plan: Arc<Plan>,
    usual: Mutex<Act>,
    connections: AtomicUsize,
    /// The connections that are being served, by number.
    open: Mutex<HashMap<usize, TcpStream>>,
    most_open: AtomicUsize,
    gone: AtomicBool,
}

impl Shared {
    /// Counts a new connection with those whose other end is open. The kernel is asked: the thread that serves a
    /// connection may learn of its end only after the next one was accepted.
    fn connection_opened(&self, number: usize, stream: &TcpStream) {
        let mut open = lock(&self.open);
        if let Ok(stream) = stream.try_clone() {
            open.insert(number, stream);
        }
        let count = open.values().filter(|stream| !peer_closed(stream)).count();
        self.most_open.fetch_max(count, Ordering::SeqCst);
    }

    fn new(plan: Arc<Plan>) -> Arc<Shared> {
        Arc::new(Shared {
            came: Mutex::default(),
            ramp: Mutex::default(),
            plan,
            usual: Mutex::new(Act::Say(Say::Served)),
            connections: AtomicUsize::new(0),
            open: Mutex::default(),
            most_open: AtomicUsize::new(0),
            gone: AtomicBool::new(false),
        })
    }
}

/// A listener whose queue is full: connecting to it neither works nor fails.
#[derive(Debug)]
pub struct Full {
    /// Where it is.
    pub address: SocketAddr,
    listener: TcpListener,
    waiting: Vec<TcpStream>,
}

impl Full {
    /// Listens, and fills its queue.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Full {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
        socket.listen(0).expect("a queue");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        // Until no further one comes up.
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let waiting = std::iter::from_fn(connect).take(64).collect();
        Full { address, listener, waiting }
    }

    /// Connections to it that are under way.
    fn connecting(&self) -> usize {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        // Of the kernel's table: the peer's address and port, and the state, of which 02 is SYN_SENT.
        let peer = format!("0100007F:{:04X}", self.address.port());
        let row = |line: &&str| {
            let mut fields = line.split_ascii_whitespace().skip(2);
            fields.next() == Some(&peer) && fields.next() == Some("02")
        };
        table.lines().filter(row).count()
    }
}

/// Connections to a box that has not come up yet.
pub struct Late {
    shared: Arc<Shared>,
    form: Form,
    http: Full,
    thrift: Full,
}

impl Late {
    /// Connections to the box that are under way.
    pub fn connecting(&self) -> usize {
        self.http.connecting() + self.thrift.connecting()
    }

    /// From now on they come up, as fast as the kernel tries again: after 1 s at the latest, where it has tried once.
    pub fn come_up(self) {
        for (full, form) in [(self.http, None), (self.thrift, Some(self.form))] {
            drop(full.waiting);
            listen(self.shared.clone(), full.listener, form);
        }
    }
}

/// A box.
pub struct StandIn {
    /// Its name in the list.
    pub name: String,
    /// Where it speaks HTTP.
    pub http: SocketAddr,
    /// Where it speaks Thrift.
    pub thrift: SocketAddr,
    shared: Arc<Shared>,
}

impl StandIn {
    /// Starts a box that follows the plan, speaks Thrift in this form, and serves at once what is not planned.
    pub fn start(name: &str, form: Form, plan: Arc<Plan>) -> StandIn {
        let shared = Shared::new(plan);
        let listener = || TcpListener::bind("127.0.0.1:0").expect("a port");
        let http = listen(shared.clone(), listener(), None);
        let thrift = listen(shared.clone(), listener(), Some(form));
        StandIn { name: name.to_owned(), http, thrift, shared }
    }

    /// The same, but connections to it come up only once that is told.
    pub fn late(name: &str, form: Form, plan: Arc<Plan>) -> (StandIn, Late) {
        let shared = Shared::new(plan);
        let (http, thrift) = (Full::new(), Full::new());
        let name = name.to_owned();
        let stand_in = StandIn { name, http: http.address, thrift: thrift.address, shared: shared.clone() };
        (stand_in, Late { shared, form, http, thrift })
    }

    /// What it does where nothing is planned.
    pub fn usually(&self, act: Act) {
        *lock(&self.shared.usual) = act;
    }

    /// All that has come, in order.
    pub fn came(&self) -> Vec<Came> {
        lock(&self.shared.came).clone()
    }

    /// How often a request ran here.
    pub fn runs(&self, id: &str) -> usize {
        lock(&self.shared.came).iter().filter(|c| c.ran && c.id.as_deref() == Some(id)).count()
    }

    /// How often a request came here as far as its id.
    pub fn arrivals(&self, id: &str) -> usize {
        lock(&self.shared.came).iter().filter(|c| c.id.as_deref() == Some(id)).count()
    }

    /// Requests that came after this moment.
    pub fn since(&self, at: Instant) -> usize {
        lock(&self.shared.came).iter().filter(|c| c.at > at).count()
    }

    /// The most connections that were open at once, over both wires.
    pub fn most_open(&self) -> usize {
        self.shared.most_open.load(Ordering::SeqCst)
    }

    /// From now on it is a box that has just started; too much work pushes it over.
    pub fn starts_cold(&self, ramp: Ramp) {
        *lock(&self.shared.ramp) = Some(ramp);
    }

    /// Whether it was pushed over, or told to die.
    pub fn fallen(&self) -> bool {
        self.shared.gone.load(Ordering::SeqCst)
    }

    /// From now on it resets every connection: its process is gone, and the port is somebody else's.
    pub fn die(&self) {
        self.shared.gone.store(true, Ordering::SeqCst);
    }

    /// Its address on a wire.
    pub fn address(&self, wire: Wire) -> SocketAddr {
        match wire {
            Wire::Http => self.http,
            Wire::Thrift { .. } => self.thrift,
        }
    }
}

/// How often each request ran, over these boxes.
pub fn ran(boxes: &[StandIn]) -> HashMap<String, usize> {
    let mut ran = HashMap::new();
    let came = boxes.iter().flat_map(StandIn::came).filter(|c| c.ran);
    came.filter_map(|c| c.id).for_each(|id| *ran.entry(id).or_default() += 1);
    ran
}

/// How often more attempts of one request were under way at once than may be, over these boxes, which share a plan.
pub fn too_many_attempts(boxes: &[StandIn], allowed: usize) -> usize {
    boxes.first().map_or(0, |one| one.shared.plan.too_many_attempts(allowed).len())
}

fn listen(shared: Arc<Shared>, listener: TcpListener, form: Option<Form>) -> SocketAddr {
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            if shared.gone.load(Ordering::SeqCst) {
                reset(&Conn::new(stream, None));
                continue;
            }
            let number = shared.connections.fetch_add(1, Ordering::SeqCst);
            shared.connection_opened(number, &stream);
            thread::spawn(move || {
                let mut conn = Conn::new(stream, form);
                while serve(&shared, &mut conn, number) {}
                // Ahead of the connection's own end, which closes it.
                lock(&shared.open).remove(&number);
            });
        }
    });
    address
}

/// Closes so that the peer sees a reset.
fn reset(conn: &Conn) {
    let _ = socket2::SockRef::from(&conn.stream).set_linger(Some(Duration::ZERO));
}

/// Serves one request; whether the connection goes on.
fn serve(shared: &Shared, conn: &mut Conn, connection: usize) -> bool {
    if !conn.begun() {
        return false;
    }
    let at = Instant::now();
    if shared.gone.load(Ordering::SeqCst) {
        reset(conn);
        return false;
    }
    let act = shared.plan.take().unwrap_or_else(|| *lock(&shared.usual));
    if act == Act::ResetBefore {
        lock(&shared.came).push(Came { id: None, at, ran: false, connection });
        reset(conn);
        return false;
    }
    let Some(seen) = conn.request() else { return false };
    let ran = !matches!(act, Act::Say(Say::TurnedAway) | Act::TurnAwayWhenTold);
    lock(&shared.came).push(Came { id: Some(seen.ask.id.clone()), at, ran, connection });
    if pushed_over(shared) {
        shared.gone.store(true, Ordering::SeqCst);
    }
    // Nobody waits for an answer to a oneway call.
    if seen.ask.oneway {
        return true;
    }
    let attempt = shared.plan.attempts.begin(&seen.ask.id, &conn.stream);
    if act == Act::TurnAwayWhenTold {
        shared.plan.wait();
    }
    act_on(conn, &seen, act, attempt)
}

fn pushed_over(shared: &Shared) -> bool {
    let Some(ramp) = *lock(&shared.ramp) else { return false };
    let from = Instant::now().checked_sub(ramp.window).unwrap_or(ramp.born).max(ramp.born);
    let came = lock(&shared.came).iter().rev().take_while(|c| c.at > from).count();
    came as f64 > ramp.budget()
}

/// Writes a whole answer, with which the attempt is over.
fn answer(conn: &mut Conn, bytes: &[u8], attempt: AttemptRecord) -> bool {
    drop(attempt);
    conn.write(bytes)
}

fn act_on(conn: &mut Conn, seen: &Seen, act: Act, attempt: AttemptRecord) -> bool {
    match act {
        // An answer that can't be used leaves the attempt under way until the peer gives it up.
        Act::Say(say @ (Say::Misfit | Say::Noise)) => conn.write(&seen.answer(say)) && conn.begun(),
        Act::Say(say) => answer(conn, &seen.answer(say), attempt),
        Act::TurnAwayWhenTold => answer(conn, &seen.answer(Say::TurnedAway), attempt),
        Act::After(pause) => {
            thread::sleep(pause);
            answer(conn, &seen.answer(Say::Served), attempt)
        }
        // The connection is held until the peer gives it up.
        Act::Stall => conn.begun(),
        Act::ResetBefore | Act::ResetAfter => {
            reset(conn);
            false
        }
        Act::CloseAfter => false,
        Act::Half => {
            let whole = seen.answer(Say::Served);
            conn.write(&whole[..whole.len() / 2]);
            conn.begun();
            false
        }
        Act::Trickle => seen.answer(Say::Served).chunks(3).all(|part| {
            thread::sleep(Duration::from_millis(2));
            conn.write(part)
        }),
        Act::ServeAndClose => {
            answer(conn, &seen.answer(Say::Served), attempt);
            false
        }
    }
}
