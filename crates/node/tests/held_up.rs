//! Clients that are held up themselves: they read an answer long after it was written, and ask again at once. New clients
//! need a place meanwhile. Neither the ones nor the others go without an answer.

use laurelroute_testkit::boxes::Act;
use laurelroute_testkit::client::Client;
use laurelroute_testkit::newcomers::Newcomers;
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::until;
use laurelroute_testkit::wire::{Answer, Ask, Class, Wire};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// An answer is read so long after it was written: to the node its client has rested for five looks ...
const LATE: Duration = Duration::from_millis(500);
/// ... or for two.
const LITTLE_LATE: Duration = Duration::from_millis(200);
/// ... or for fourteen.
const VERY_LATE: Duration = Duration::from_millis(1_400);
/// As many as a node with [`SMALL`] descriptors has places.
const KEPT: usize = 7;
/// Fewer than there are places, and more than half of them.
const FEW: usize = 5;
/// Leaves 12 descriptors beside the node's own ones: 5 to 7 places.
const SMALL: usize = 48;
/// For so long new clients come.
const COMING: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(5);

/// Clients that keep their connections and read each answer late.
struct LateReaders {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Read>>,
}

/// What one of them, or all, read.
#[derive(Debug, Default)]
struct Read {
    served: usize,
    refused: usize,
    /// Requests without an answer.
    lost: usize,
}

impl LateReaders {
    fn start(address: SocketAddr, number: usize, late: Duration) -> LateReaders {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |k: usize| {
            let ends = stop.clone();
            thread::spawn(move || {
                // Not all at one time.
                thread::sleep(late * k as u32 / number as u32);
                read_late(address, late, &ends)
            })
        };
        let threads = (0..number).map(start).collect();
        LateReaders { stop, threads }
    }

    fn finish(self) -> Read {
        self.stop.store(true, Ordering::SeqCst);
        let mut all = Read::default();
        for thread in self.threads {
            let read = thread.join().expect("a late reader ends");
            all.served += read.served;
            all.refused += read.refused;
            all.lost += read.lost;
        }
        all
    }
}

fn read_late(address: SocketAddr, late: Duration, ends: &AtomicBool) -> Read {
    let mut read = Read::default();
    let mut kept: Option<Client> = None;
    while !ends.load(Ordering::SeqCst) {
        let Some(mut client) = kept.take().or_else(|| Client::connect(Wire::Http, address)) else {
            thread::sleep(PAUSE);
            continue;
        };
        client.send(&Ask::new(Class::Read));
        thread::sleep(late);
        match client.answer() {
            Some(Answer::Served(_)) => read.served += 1,
            Some(_) => read.refused += 1,
            None => {
                read.lost += 1;
                continue;
            }
        }
        kept = Some(client).filter(|c| !c.told_to_close());
    }
    read
}

fn bed(sockets: usize) -> Bed {
    let wishes = Wishes { sockets, managed: true, cold: (1.0, 1_000), ..Wishes::default() };
    let bed = Bed::wishing(Path::new(env!("CARGO_BIN_EXE_laurelroute")), Wire::Http, 4, wishes);
    bed.boxes.iter().for_each(|b| b.usually(Act::After(Duration::from_millis(2))));
    bed
}

/// What is wrong where so many new clients come at a time to late readers.
fn broken(address: SocketAddr, kept: LateReaders, at_a_time: usize) -> Vec<String> {
    let newcomers = Newcomers::start(Wire::Http, address, at_a_time, PAUSE);
    thread::sleep(COMING);
    let late = newcomers.finish().late();
    let read = kept.finish();
    println!("{read:?}");
    let lost = (read.served == 0 || read.lost > 0).then(|| format!("{read:?}"));
    lost.into_iter().chain(late).collect()
}

/// A full node does not close on clients that are late to read for the sake of new ones (`Clients::make_room`).
fn beside_newcomers(at_a_time: usize, late: Duration) {
    let bed = bed(SMALL);
    let kept = LateReaders::start(bed.node.http, KEPT, late);
    thread::sleep(2 * late);
    let broken = broken(bed.node.http, kept, at_a_time);
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn late_readers_lose_no_request_beside_one_newcomer_at_a_time() {
    beside_newcomers(1, LATE);
}

#[test]
fn late_readers_lose_no_request_beside_four_newcomers_at_a_time() {
    beside_newcomers(4, LATE);
}

/// New clients find a place also where all are held by clients that were served just before.
#[test]
fn newcomers_are_answered_beside_readers_that_are_a_little_late() {
    beside_newcomers(1, LITTLE_LATE);
    beside_newcomers(4, LITTLE_LATE);
}

/// The same at a new process of a takeover whose old one is stopped, once its lease has fallen (`NewProcess::expire_lease`).
fn beside_a_stopped_process(kept: usize, late: Duration, at_a_time: usize) {
    let bed = bed(Wishes::default().sockets);
    let new = bed.node.ready_successor();
    bed.node.signal("STOP");
    thread::sleep(Duration::from_millis(300));
    let kept = LateReaders::start(bed.node.http, kept, late);
    thread::sleep(2 * late);
    let broken = broken(bed.node.http, kept, at_a_time);
    bed.node.signal("CONT");
    until("the new process serves", || new.call("GET", "/_ready") == Some(200));
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn late_readers_lose_no_request_at_a_new_process_beside_a_stopped_one() {
    beside_a_stopped_process(KEPT + 1, LATE, 4);
}

/// A few clients are no crowd because the lease has fallen to a few places (`Clients::sweep`).
#[test]
fn very_late_readers_lose_no_request_at_a_new_process_beside_a_stopped_one() {
    beside_a_stopped_process(FEW, VERY_LATE, 1);
}
