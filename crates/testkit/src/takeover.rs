//! One process of a node takes over from another under load, with kills, stops and one-sided silence at every step of it: real processes, real sockets.

use crate::between::Between;
use crate::boxes::{ran, too_many_attempts, Act, StandIn};
use crate::load::{Load, Tally};
use crate::program::{Bed, Program, Wishes};
use crate::silence::{Heard, Probes, Who, LONGEST};
use crate::wire::{Class, Wire};
use crate::{those, until, Random};
use std::collections::{BTreeSet, HashMap};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A takeover is over within this, so that kills fall on all of its steps and some after it.
const STEPS: Duration = Duration::from_millis(40);
/// No server that is out gets anything later than this after the yes.
const HEEDED: Duration = Duration::from_millis(1_000);
/// One of them is never taken out.
const BOXES: usize = 4;
/// How long a stop or a silence lasts: less than the patience of the other one, about as much, and far more.
const LASTS: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(180),
    Duration::from_millis(700),
    Duration::from_secs(3),
];
/// New clients come for so long after the last step.
const PROBED: Duration = Duration::from_millis(400);
/// Connections that say nothing, and how many of them come at once.
const STORM: (usize, usize) = (400, 200);
const CROWD: (usize, usize) = (200, 20);

/// Who is struck in a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Victim {
    /// Nobody: the old process is told to end, once the new one takes clients.
    None,
    /// The process that serves.
    Elder,
    /// The one that takes over.
    Heir,
    /// Both.
    Both,
}

impl Victim {
    /// Each of them.
    pub const ALL: [Victim; 4] = [Victim::None, Victim::Elder, Victim::Heir, Victim::Both];
}

/// What befalls it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blow {
    /// SIGKILL.
    Kill,
    /// SIGSTOP for so long.
    Stop(Duration),
    /// It hears nothing of the other for so long, which goes on hearing it.
    Deaf(Duration),
}

impl Blow {
    /// What it makes of its victim.
    pub fn name(self) -> &'static str {
        match self {
            Blow::Kill => "killed",
            Blow::Stop(_) => "stopped",
            Blow::Deaf(_) => "deaf",
        }
    }
}

/// What goes on beside it, so that a step of the takeover takes longer or finds no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beside {
    /// Nothing.
    Calm,
    /// New connections by the hundred, which say nothing and go.
    Storm,
    /// More silent connections than the node has places.
    Full,
    /// Whoever writes on the same disk waits.
    SlowDisk,
}

/// A takeover and its trouble, as a seed draws them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// Who is struck.
    pub victim: Victim,
    /// By what.
    pub blow: Blow,
    /// After so long from the new process's start.
    pub after: Duration,
    /// What goes on beside it.
    pub beside: Beside,
}

impl Strike {
    fn draw(random: &mut Random) -> Strike {
        let victim = Victim::ALL[random.below(Victim::ALL.len())];
        let lasts = LASTS[random.below(LASTS.len())];
        let blow = match random.below(3) {
            // Of both at once there is nobody left to answer.
            _ if victim == Victim::Both => Blow::Kill,
            0 => Blow::Kill,
            1 => Blow::Stop(lasts),
            _ => Blow::Deaf(lasts),
        };
        let after = STEPS.mul_f64(random.below(1_000) as f64 / 1_000.0);
        let beside = match random.below(8) {
            0 => Beside::Storm,
            1 => Beside::Full,
            2 => Beside::SlowDisk,
            _ => Beside::Calm,
        };
        Strike { victim, blow, after, beside }
    }

    /// Whether a process was killed: what it held is lost with it.
    pub fn kills(&self) -> bool {
        self.victim != Victim::None && self.blow == Blow::Kill
    }

    /// Whether somebody could answer all the while.
    fn somebody(&self) -> bool {
        self.victim != Victim::Both
    }
}

/// What was seen of one seed.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What befell whom.
    pub strike: Strike,
    /// Requests that were served.
    pub served: usize,
    /// Requests without a whole answer; what a killed process held is lost with it.
    pub lost: usize,
    /// New clients from the strike on.
    pub heard: Heard,
    /// From the start of the last process that was needed until it took clients, or from the mend.
    pub ready: Duration,
    /// Descriptors of both processes at most, and the limit.
    pub descriptors: (usize, usize),
    /// Promises that were broken.
    pub broken: Vec<String>,
}

/// The processes of a node, the oldest first, and what operators have said to it.
struct Node {
    running: Vec<Program>,
    dead: Vec<Program>,
    banned: BTreeSet<String>,
}

impl Node {
    /// Starts a process beside those that run; it may take clients once it says so.
    fn start(&mut self) {
        let last = self.running.last().or(self.dead.last()).expect("one process has been started");
        let next = last.successor();
        self.running.push(next);
    }

    /// The process that a call goes to, drawn among those that run.
    fn any(&self, random: &mut Random) -> &Program {
        &self.running[random.below(self.running.len())]
    }

    /// An operator's word on a box, said to any process until one says yes.
    fn say(&mut self, random: &mut Random) {
        let name = format!("box-{}", random.below(BOXES - 1));
        let out = !self.banned.contains(&name);
        let path = format!("/_servers/{}/{name}", if out { "detach" } else { "attach" });
        // A process that has just started may have no list yet, and one that was killed says nothing.
        until("a call is answered with yes", || self.any(random).call("POST", &path) == Some(200));
        if out {
            self.banned.insert(name);
        } else {
            self.banned.remove(&name);
        }
    }

    fn kill(&mut self, k: usize) {
        self.running[k].signal("KILL");
        self.wait_for_end(k);
    }

    /// Tells the oldest process to end.
    fn end_oldest(&mut self) {
        self.running[0].signal("TERM");
        self.wait_for_end(0);
    }

    fn wait_for_end(&mut self, k: usize) {
        until("the process ends", || !self.running[k].running());
        self.dead.push(self.running.remove(k));
    }

    /// Descriptors of all.
    fn descriptors(&self) -> usize {
        // One after another, each twice and the less counted: what goes from one to the other meanwhile is in one of them.
        let some: Vec<usize> = self.running.iter().map(Program::descriptors).collect();
        self.running.iter().zip(some).map(|(p, before)| before.min(p.descriptors())).sum()
    }

    /// Waits so long; the most descriptors meanwhile.
    fn watch(&self, lasts: Duration) -> usize {
        let (until, mut most) = (Instant::now() + lasts, 0);
        while Instant::now() < until {
            most = most.max(self.descriptors());
            thread::sleep(Duration::from_millis(5));
        }
        most
    }

    fn ready(&self) -> bool {
        self.running.last().is_some_and(|p| p.call("GET", "/_ready") == Some(200))
    }
}

/// Trouble that goes on beside a takeover, until it is dropped.
struct Trouble {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Trouble {
    fn start(beside: Beside, address: SocketAddr, folder: &Path) -> Trouble {
        let stop = Arc::<AtomicBool>::default();
        let (ends, file) = (stop.clone(), folder.join("ballast"));
        let thread = (beside != Beside::Calm).then(|| {
            thread::spawn(move || {
                let mut held = Vec::new();
                while !ends.load(Ordering::SeqCst) {
                    match beside {
                        Beside::Calm => return,
                        Beside::Storm => crowd(address, STORM, &mut held),
                        Beside::Full => crowd(address, CROWD, &mut held),
                        Beside::SlowDisk => write_much(&file),
                    }
                }
            })
        });
        Trouble { stop, thread }
    }
}

impl Drop for Trouble {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Connections that say nothing: so many at once, the oldest ones let go for them.
fn crowd(address: SocketAddr, (many, at_once): (usize, usize), held: &mut Vec<TcpStream>) {
    held.drain(..(held.len() + at_once).saturating_sub(many));
    let wait = Duration::from_millis(100);
    held.extend((0..at_once).filter_map(|_| TcpStream::connect_timeout(&address, wait).ok()));
    thread::sleep(Duration::from_millis(20));
}

fn write_much(file: &Path) {
    let written =
        File::create(file).and_then(|mut f| f.write_all(&vec![0; 8 << 20]).and_then(|()| f.sync_all()));
    if written.is_err() {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Plays one seed: a node under load with bans, a second process, a strike at some step; and what became of all.
pub fn run(program: &Path, seed: u64) -> Seen {
    let mut random = Random::new(seed);
    let strike = Strike::draw(&mut random);
    play(program, strike, &mut random)
}

fn play(program: &Path, strike: Strike, random: &mut Random) -> Seen {
    let wishes = Wishes { managed: true, cold: (1.0, 1_000), ..Wishes::default() };
    let limit = wishes.sockets;
    let Bed { boxes, discovery: _discovery, node: first, .. } =
        Bed::wishing(program, Wire::Http, BOXES, wishes);
    boxes.iter().for_each(|b| b.usually(Act::After(Duration::from_millis(2))));
    let loads = [(Class::Read, 5), (Class::Write, 3)]
        .map(|(class, clients)| Load::start(Wire::Http, first.http, clients, class, 100));
    let address = first.http;
    let between = matches!(strike.blow, Blow::Deaf(_)).then(|| Between::step(first.folder()));
    let trouble = Trouble::start(strike.beside, address, first.folder());
    let mut node = Node { running: vec![first], dead: Vec::new(), banned: BTreeSet::new() };
    let mut most = 0;

    for _ in 0..1 + random.below(3) {
        node.say(random);
    }
    let mut begun = Instant::now();
    node.start();
    while begun.elapsed() < strike.after {
        most = most.max(node.descriptors());
    }
    let probes = strike.somebody().then(|| Probes::start(address));
    let struck = if strike.victim == Victim::Heir { Who::Heir } else { Who::Elder };
    match (strike.victim, strike.blow) {
        (Victim::None, _) => {}
        (Victim::Both, _) => {
            node.kill(1);
            node.kill(0);
            begun = Instant::now();
            node.start();
        }
        (_, Blow::Kill) => node.kill(struck as usize),
        (_, Blow::Stop(lasts)) => {
            node.running[struck as usize].signal("STOP");
            most = most.max(node.watch(lasts));
            node.running[struck as usize].signal("CONT");
            begun = Instant::now();
        }
        (_, Blow::Deaf(lasts)) => {
            let deafen = |deaf| between.iter().for_each(|b| b.deafen(struck, deaf));
            deafen(true);
            most = most.max(node.watch(lasts));
            deafen(false);
            begun = Instant::now();
        }
    }
    until("a process takes clients", || node.ready());
    let ready = begun.elapsed();
    if probes.is_some() {
        // Those that came last have not been answered yet.
        most = most.max(node.watch(PROBED));
    }
    let heard = probes.map(Probes::finish).unwrap_or_default();
    if !strike.kills() {
        node.say(random);
        node.end_oldest();
    }
    drop(trouble);
    // Once more: whoever is left can be taken over from.
    node.start();
    until("the next process takes clients", || node.ready());
    node.end_oldest();
    let heeded = Instant::now() + HEEDED;
    thread::sleep(HEEDED + Duration::from_millis(300));
    let tallies = loads.map(Load::finish);
    let mut seen =
        Seen { strike, served: 0, lost: 0, heard, ready, descriptors: (most, limit), broken: Vec::new() };
    check(&boxes, &node, heeded, &tallies, &mut seen);
    seen
}

fn check(boxes: &[StandIn], node: &Node, heeded: Instant, tallies: &[Tally; 2], seen: &mut Seen) {
    let ran: HashMap<String, usize> = ran(boxes);
    seen.served = tallies.iter().map(|t| t.served.len()).sum();
    // A node that is full closes connections between requests to make room: what crosses that close it has not taken.
    let full = matches!(seen.strike.beside, Beside::Storm | Beside::Full);
    let crossed = |id: &&String| !full || ran.contains_key(*id);
    let crossed = |t: &Tally| t.crossed.iter().filter(crossed).count();
    seen.lost = tallies.iter().map(|t| t.lost.len() + crossed(t)).sum();
    let twice = tallies[1].twice(&ran);
    let unserved = tallies[1].served.iter().filter(|id| !ran.contains_key(*id)).count();
    let mixed: usize = tallies.iter().map(|t| t.mixed.len()).sum();
    let used_while_out = |b: &&StandIn| node.banned.contains(&b.name) && b.since(heeded) > 0;
    let forgotten: Vec<&str> = boxes.iter().filter(used_while_out).map(|b| b.name.as_str()).collect();
    let lost = if seen.strike.kills() { 0 } else { seen.lost };
    let at_once = too_many_attempts(boxes, Wishes::default().attempts_at_once());
    let (held, limit) = seen.descriptors;
    let broken = [
        (twice > 0, format!("{twice} unsafe requests ran twice")),
        (at_once > 0, format!("{at_once} attempts beside others of their requests")),
        (unserved > 0, format!("{unserved} served requests never ran")),
        (mixed > 0, format!("{mixed} answers were another request's")),
        (!forgotten.is_empty(), format!("bans forgotten: {forgotten:?}")),
        (lost > 0, format!("{lost} requests lost")),
        (seen.heard.longest > LONGEST, format!("new clients heard nothing for {:?}", seen.heard.longest)),
        (held > limit, format!("{held} descriptors, where {limit} are allowed")),
        (seen.served == 0, "nothing was served".to_owned()),
    ];
    seen.broken.extend(those(broken));
}
