//! New clients while one process of a node takes over from another and one of the two is stopped, killed or deaf: for how
//! long nobody answers them.

use crate::boxes::{ran, Act};
use crate::client::Client;
use crate::load::Load;
use crate::program::{Bed, Program, Wishes};
use crate::wire::{Answer, Ask, Class, Wire};
use crate::{lock, those};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A new client comes this often ...
const EVERY: Duration = Duration::from_millis(50);
/// ... and waits this long for its answer.
const PATIENT: Duration = Duration::from_millis(300);
/// Nobody answers new clients for longer than this: never.
pub const LONGEST: Duration = Duration::from_millis(300);

/// What became of new clients.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    /// How many came.
    pub came: usize,
    /// How many got no answer.
    pub unanswered: usize,
    /// From the first of them in a row to the next one that was answered, at most.
    pub longest: Duration,
}

/// New clients, one after another, whatever becomes of those before.
pub struct Probes {
    stop: Arc<AtomicBool>,
    coming: JoinHandle<()>,
    seen: Arc<Mutex<Vec<(Instant, bool)>>>,
}

fn answered(address: SocketAddr) -> bool {
    let Some(mut client) = Client::connect_within(Wire::Http, address, PATIENT) else { return false };
    matches!(client.ask(&Ask::new(Class::Read)), Some(Answer::Served(_) | Answer::Refused(_)))
}

impl Probes {
    /// From now on, each on a thread of its own.
    pub fn start(address: SocketAddr) -> Probes {
        let (stop, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (ends, all) = (stop.clone(), seen.clone());
        let coming = thread::spawn(move || {
            let mut under_way = Vec::new();
            while !ends.load(Ordering::SeqCst) {
                let all = all.clone();
                under_way.push(thread::spawn(move || {
                    let came = Instant::now();
                    let heard = answered(address);
                    lock(&all).push((came, heard));
                }));
                thread::sleep(EVERY);
            }
            under_way.into_iter().for_each(|probe| probe.join().expect("a probe does not panic"));
        });
        Probes { stop, coming, seen }
    }

    /// What became of them.
    pub fn finish(self) -> Heard {
        self.stop.store(true, Ordering::SeqCst);
        self.coming.join().expect("probes end");
        let mut seen = lock(&self.seen).clone();
        seen.sort_unstable();
        let mut heard = Heard { came: seen.len(), ..Heard::default() };
        let mut since = None;
        for (came, answered) in seen {
            let from = *since.get_or_insert(came);
            match answered {
                true => {
                    heard.longest = heard.longest.max(came - from);
                    since = None;
                }
                false => heard.unanswered += 1,
            }
        }
        if let Some(from) = since {
            heard.longest = heard.longest.max(from.elapsed());
        }
        heard
    }
}

/// Which of the two is struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// The one that serves.
    Elder,
    /// The one that takes over.
    Heir,
}

/// A process stopped so long after the heir's start, for so long.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Which.
    pub who: Who,
    /// From the heir's start.
    pub after: Duration,
    /// For this long.
    pub lasts: Duration,
}

/// What was seen.
#[derive(Clone, Debug)]
pub struct Seen {
    /// New clients while the process was stopped.
    pub heard: Heard,
    /// From the heir's start to its yes; `None` where that came after the stop.
    pub ready: Option<Duration>,
    /// Requests of the kept clients that got no answer.
    pub lost: usize,
    /// Unsafe requests that ran twice.
    pub twice: usize,
    /// Descriptors of both processes at most, and the limit.
    pub descriptors: (usize, usize),
    /// In the end the heir took clients, and the elder ended when told.
    pub settled: bool,
}

impl Seen {
    /// Promises that were broken.
    pub fn broken(&self) -> Vec<String> {
        let (held, limit) = self.descriptors;
        let wrong = [
            (self.heard.longest > LONGEST, format!("new clients heard nothing for {:?}", self.heard.longest)),
            (self.twice > 0, format!("{} unsafe requests ran twice", self.twice)),
            (self.lost > 0, format!("{} requests without an answer", self.lost)),
            (held > limit, format!("{held} descriptors, where {limit} are allowed")),
            (!self.settled, "the takeover did not come to its end".to_owned()),
        ];
        those(wrong).collect()
    }
}

/// Plays one stop: a node under load of kept clients, a second process, one of the two stopped; then the elder is told to
/// end.
pub fn play(program: &Path, stop: Stop, output: Option<&Path>) -> Seen {
    let wishes =
        Wishes { managed: true, cold: (1.0, 1_000), output: output.map(Path::to_owned), ..Wishes::default() };
    let limit = wishes.sockets;
    let bed = Bed::wishing(program, Wire::Http, 4, wishes);
    bed.boxes.iter().for_each(|b| b.usually(Act::After(Duration::from_millis(2))));
    let loads = [(Class::Read, 5), (Class::Write, 3)]
        .map(|(class, clients)| Load::start(Wire::Http, bed.node.http, clients, class, 100));
    thread::sleep(Duration::from_millis(200));
    let begun = Instant::now();
    let heir = bed.node.successor();
    while begun.elapsed() < stop.after {
        std::hint::spin_loop();
    }
    let struck: &Program = if stop.who == Who::Elder { &bed.node } else { &heir };
    struck.signal("STOP");
    let until = Instant::now() + stop.lasts;
    let probes = Probes::start(bed.node.http);
    let (mut ready, mut most) = (None, 0);
    while Instant::now() < until {
        most = most.max([&bed.node, &heir].map(Program::descriptors).into_iter().sum());
        // A stopped process answers nobody, and would be waited for.
        if ready.is_none() && stop.who == Who::Elder && heir.call("GET", "/_ready") == Some(200) {
            ready = Some(begun.elapsed());
        }
        thread::sleep(Duration::from_millis(5));
    }
    let heard = probes.finish();
    struck.signal("CONT");
    let settled = settle(bed.node, &heir, &mut most);
    let tallies = loads.map(Load::finish);
    let ran = ran(&bed.boxes);
    Seen {
        heard,
        ready,
        lost: tallies.iter().map(|t| t.lost.len() + t.crossed.len() + t.mixed.len()).sum(),
        twice: tallies[1].twice(&ran),
        descriptors: (most, limit),
        settled,
    }
}

/// After the stop: the heir takes clients, and the elder ends as at any upgrade.
fn settle(mut elder: Program, heir: &Program, most: &mut usize) -> bool {
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end && heir.call("GET", "/_ready") != Some(200) {
        thread::sleep(Duration::from_millis(5));
    }
    elder.signal("TERM");
    let end = Instant::now() + Duration::from_millis(3_700);
    while Instant::now() < end && elder.running() {
        *most = (*most).max([&elder, heir].map(Program::descriptors).into_iter().sum());
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(300));
    !elder.running() && heir.call("GET", "/_ready") == Some(200)
}
