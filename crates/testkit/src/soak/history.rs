//! What clients, servers, discovery and the driver of a soak saw, on one monotonic clock. The oracle reads nothing else.

use crate::wire::Class;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Microseconds since the beginning of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Moment(pub u64);

impl Moment {
    /// So much later.
    pub fn after(self, span: Duration) -> Moment {
        Moment(self.0 + span.as_micros() as u64)
    }

    /// The time from an earlier moment; none where that is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// How one sending of a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// A whole answer with this status, whose body is the request's own where it is 200.
    Answered(u16),
    /// A 200 with what no server made for the request.
    Mixed,
    /// The connection was closed or reset before the answer was whole.
    Closed,
    /// Nothing came within the deadline and much more.
    Silent,
    /// The client left.
    Left,
    /// No connection was to be had.
    Unreached,
}

/// One sending of a request, over one connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Try {
    /// The connection had carried no request before.
    pub fresh: bool,
    /// When its first byte was about to be written.
    pub begun: Moment,
    /// When its last byte was written.
    pub sent: Moment,
    /// How long the client said that it waits, in milliseconds.
    pub deadline_ms: u64,
    /// When it ended.
    pub ended: Moment,
    /// How.
    pub end: End,
}

/// A request as its client saw it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Asked {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// The node that was asked.
    pub node: usize,
    /// One, or two where the first crossed the end of a resting connection.
    pub tries: Vec<Try>,
}

/// A request that stops in its middle, from a client that stays.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Half {
    /// The node.
    pub node: usize,
    /// When its last byte was written.
    pub stopped: Moment,
    /// When the node answered or closed; `None` where it never did.
    pub ended: Option<Moment>,
}

/// What a server made of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Made {
    /// It ran, or may have.
    Ran,
    /// It was turned away unseen.
    TurnedAway,
    /// Its last byte never came.
    Incomplete,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// Its whole answer was written.
    Answered,
    /// Its connection ended first.
    Unanswered,
}

/// The end of an attempt at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Over {
    /// When.
    pub at: Moment,
    /// How.
    pub how: Ended,
}

/// A request as a server saw it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Came {
    /// Its id.
    pub id: String,
    /// From which node.
    pub node: usize,
    /// To which server.
    pub server: usize,
    /// Its first byte.
    pub first: Moment,
    /// Its last byte.
    pub last: Moment,
    /// How long the node says that it waits, in milliseconds.
    pub wait_ms: u64,
    /// What became of it.
    pub made: Made,
    /// Earlier attempts of the request that were under way as its last byte came.
    #[serde(default)]
    pub beside: usize,
    /// When it was over, and how.
    #[serde(default)]
    pub over: Option<Over>,
}

/// A server's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// In use.
    Active,
    /// Wants nothing new.
    Leaving,
}

/// A change of a server's state as a node must know it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    /// The node.
    pub node: usize,
    /// The server.
    pub server: usize,
    /// The state.
    pub health: Health,
    /// From when on the change counts as told at the latest.
    pub counts: Moment,
    /// When discovery had it.
    pub made: Moment,
}

/// What happened to a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Happened {
    /// It was started.
    Started,
    /// It answers `/up`.
    Up,
    /// SIGTERM.
    Told,
    /// SIGKILL with no SIGTERM before it.
    Killed,
    /// It ended by itself within its time after SIGTERM.
    Ended,
    /// It had to be killed after SIGTERM.
    Overdue,
    /// It ended with nobody asking.
    Crashed,
    /// SIGSTOP.
    Stopped,
    /// SIGCONT.
    Continued,
}

/// An event of a node's process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Life {
    /// The node.
    pub node: usize,
    /// When.
    pub at: Moment,
    /// What.
    pub what: Happened,
}

/// Staff have taken a server out at a node, and were told that it is done.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ban {
    /// The node.
    pub node: usize,
    /// The server.
    pub server: usize,
    /// When the call was answered.
    pub at: Moment,
    /// When the disk was well again.
    pub well: Moment,
}

/// A server's start, from which it is cold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Birth {
    /// The server.
    pub server: usize,
    /// When it started.
    pub at: Moment,
}

/// How cold servers come up.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Ramp {
    /// Requests a second that a warm server bears.
    pub capacity: f64,
    /// The share of it at the start.
    pub from: f64,
    /// Milliseconds until it is warm.
    pub time_ms: u64,
    /// More than this multiple of the present capacity pushes it over ...
    pub multiple: f64,
    /// ... within so many milliseconds.
    pub window_ms: u64,
}

/// All that was seen.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    /// How cold servers come up.
    pub ramp: Ramp,
    /// For how long repeats of a keyed request are dropped, in milliseconds.
    pub window_ms: u64,
    /// How many attempts of a request may be under way at once.
    #[serde(default = "two")]
    pub attempts_at_once: usize,
    /// By the clients.
    pub asked: Vec<Asked>,
    /// By the clients that stop in the middle.
    pub halves: Vec<Half>,
    /// By the servers.
    pub came: Vec<Came>,
    /// By discovery.
    pub told: Vec<Told>,
    /// By the driver.
    pub lives: Vec<Life>,
    /// By the driver.
    pub births: Vec<Birth>,
    /// By staff.
    pub bans: Vec<Ban>,
    /// Ids of requests whose answer had no length and came whole.
    pub no_length: Vec<String>,
    /// What the processes counted themselves, over all of them that could still be asked.
    pub counters: BTreeMap<String, u64>,
    /// The longest time that one of the soak's own threads was late, in microseconds.
    pub lag: u64,
}

/// What soaks allowed before it was drawn.
fn two() -> usize {
    2
}

/// Where all parties write, with their one clock.
#[derive(Clone, Debug)]
pub struct Recorder {
    /// How cold servers come up.
    pub ramp: Ramp,
    begun: Instant,
    history: Arc<Mutex<History>>,
}

impl Recorder {
    /// Nothing seen yet.
    pub fn new(ramp: Ramp, window_ms: u64, attempts_at_once: usize) -> Recorder {
        let history = History {
            ramp,
            window_ms,
            attempts_at_once,
            asked: Vec::new(),
            halves: Vec::new(),
            came: Vec::new(),
            told: Vec::new(),
            lives: Vec::new(),
            births: Vec::new(),
            bans: Vec::new(),
            no_length: Vec::new(),
            counters: BTreeMap::new(),
            lag: 0,
        };
        Recorder { ramp, begun: Instant::now(), history: Arc::new(Mutex::new(history)) }
    }

    /// Now.
    pub fn now(&self) -> Moment {
        Moment(self.begun.elapsed().as_micros() as u64)
    }

    /// The instant of a moment.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.begun + Duration::from_micros(moment.0)
    }

    /// Writes.
    pub fn write(&self, f: impl FnOnce(&mut History)) {
        f(&mut crate::lock(&self.history));
    }

    /// Notes an event of a node's process.
    pub fn life(&self, node: usize, what: Happened) {
        let life = Life { node, at: self.now(), what };
        self.write(|h| h.lives.push(life));
    }

    /// All that was seen so far.
    pub fn history(&self) -> History {
        crate::lock(&self.history).clone()
    }
}
