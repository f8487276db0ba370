//! Clients that come one after another, ask once and leave, and how many of them go unanswered.

use crate::client::Client;
use crate::wire::{Ask, Class, Wire};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A new client waits no longer than this.
pub const PATIENT: Duration = Duration::from_millis(300);

/// New clients, one after another on each of some threads; each asks once and leaves.
#[derive(Debug)]
pub struct Newcomers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<(Duration, bool)>>>,
}

/// What became of them.
#[derive(Debug)]
pub struct Came {
    /// How many came.
    pub came: usize,
    /// Without an answer within [`PATIENT`].
    pub unanswered: usize,
    /// Their connection ended before that.
    pub ended: usize,
    /// The longest that one of them took.
    pub slowest: Duration,
}

impl Newcomers {
    /// So many threads, each of which pauses so long between two clients.
    pub fn start(wire: Wire, address: SocketAddr, threads: usize, pause: Duration) -> Newcomers {
        let stop = Arc::new(AtomicBool::new(false));
        let one = move || {
            let begun = Instant::now();
            let answer = Client::connect_within(wire, address, PATIENT)
                .and_then(|mut c| c.ask(&Ask::new(Class::Read)));
            (begun.elapsed(), answer.is_some())
        };
        let run = |ends: Arc<AtomicBool>| {
            move || {
                let mut all = Vec::new();
                while !ends.load(Ordering::SeqCst) {
                    all.push(one());
                    thread::sleep(pause);
                }
                all
            }
        };
        let threads = (0..threads).map(|_| thread::spawn(run(stop.clone()))).collect();
        Newcomers { stop, threads }
    }

    /// No more of them; what became of all.
    pub fn finish(self) -> Came {
        self.stop.store(true, Ordering::SeqCst);
        let all: Vec<_> = self.threads.into_iter().flat_map(|t| t.join().expect("newcomers end")).collect();
        let failed = all.iter().filter(|(_, answered)| !answered);
        Came {
            came: all.len(),
            unanswered: failed.clone().count(),
            ended: failed.filter(|(took, _)| *took < PATIENT).count(),
            slowest: all.iter().map(|(took, _)| *took).max().unwrap_or_default(),
        }
    }
}

impl Came {
    /// What is wrong, in words; none where all were answered.
    pub fn late(&self) -> Option<String> {
        let Came { came, unanswered, ended, slowest } = self;
        let told =
            format!("newcomers: {unanswered} of {came} unanswered, {ended} of them cut; slowest {slowest:?}");
        println!("{told}");
        (*unanswered > 0).then_some(told)
    }
}
