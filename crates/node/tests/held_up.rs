//! Clients that are delayed themselves read an answer long after it was written and send the next request at
//! once, while new clients need a connection slot. Every request of both kinds of clients gets an answer.

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

/// How long after it was written an answer is read: the node sees the connection idle in five checks.
const READ_DELAY: Duration = Duration::from_millis(500);
/// A shorter delay: the node sees the connection idle in two checks.
const SHORT_READ_DELAY: Duration = Duration::from_millis(200);
/// A longer delay: the node sees the connection idle in fourteen checks.
const LONG_READ_DELAY: Duration = Duration::from_millis(1_400);
/// As many clients as a node with [`SMALL_NODE_SOCKETS`] descriptors has connection slots.
const FULL_NODE_CLIENTS: usize = 7;
/// Fewer clients than there are slots, but more than half of them.
const FEW: usize = 5;
/// Leaves 12 descriptors beside the node's own: 5 to 7 connection slots.
const SMALL_NODE_SOCKETS: usize = 48;
/// How long new clients connect.
const NEWCOMERS_TIME: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(5);

/// Clients that keep their connections and read each answer late.
struct LateReaders {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<ReadCounts>>,
}

/// Counts of the answers that one late reader, or all of them, received.
#[derive(Debug, Default)]
struct ReadCounts {
    served: usize,
    refused: usize,
    /// Requests without an answer.
    lost: usize,
}

impl LateReaders {
    fn start(address: SocketAddr, number: usize, late: Duration) -> LateReaders {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |k: usize| {
            let stopping = stop.clone();
            thread::spawn(move || {
                // Spread the clients over the delay.
                thread::sleep(late * k as u32 / number as u32);
                run_late_reader(address, late, &stopping)
            })
        };
        let threads = (0..number).map(start).collect();
        LateReaders { stop, threads }
    }

    fn finish(self) -> ReadCounts {
        self.stop.store(true, Ordering::SeqCst);
        let mut total = ReadCounts::default();
        for thread in self.threads {
            let counts = thread.join().expect("a late reader ends");
            total.served += counts.served;
            total.refused += counts.refused;
            total.lost += counts.lost;
        }
        total
    }
}

fn run_late_reader(address: SocketAddr, late: Duration, stop: &AtomicBool) -> ReadCounts {
    let mut counts = ReadCounts::default();
    let mut kept: Option<Client> = None;
    while !stop.load(Ordering::SeqCst) {
        let Some(mut client) = kept.take().or_else(|| Client::connect(Wire::Http, address)) else {
            thread::sleep(PAUSE);
            continue;
        };
        client.send(&Ask::new(Class::Read));
        thread::sleep(late);
        match client.answer() {
            Some(Answer::Served(_)) => counts.served += 1,
            Some(_) => counts.refused += 1,
            None => {
                counts.lost += 1;
                continue;
            }
        }
        kept = Some(client).filter(|c| !c.told_to_close());
    }
    counts
}

fn bed(sockets: usize) -> Bed {
    let wishes = Wishes { sockets, managed: true, cold: (1.0, 1_000), ..Wishes::default() };
    let bed = Bed::wishing(Path::new(env!("CARGO_BIN_EXE_laurelroute")), Wire::Http, 4, wishes);
    bed.boxes.iter().for_each(|b| b.usually(Act::After(Duration::from_millis(2))));
    bed
}

/// Opens new connections, `at_a_time` at once, beside late readers; returns the violations.
fn violations(address: SocketAddr, kept: LateReaders, at_a_time: usize) -> Vec<String> {
    let newcomers = Newcomers::start(Wire::Http, address, at_a_time, PAUSE);
    thread::sleep(NEWCOMERS_TIME);
    let late = newcomers.finish().late();
    let counts = kept.finish();
    println!("{counts:?}");
    let lost = (counts.served == 0 || counts.lost > 0).then(|| format!("{counts:?}"));
    lost.into_iter().chain(late).collect()
}

/// A full node does not close the connections of late readers to make room for new clients (`Clients::make_room`).
fn beside_newcomers(at_a_time: usize, late: Duration) {
    let bed = bed(SMALL_NODE_SOCKETS);
    let kept = LateReaders::start(bed.node.http, FULL_NODE_CLIENTS, late);
    thread::sleep(2 * late);
    let violations = violations(bed.node.http, kept, at_a_time);
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn late_readers_lose_no_request_beside_one_new_client_at_a_time() {
    beside_newcomers(1, READ_DELAY);
}

#[test]
fn late_readers_lose_no_request_beside_four_new_clients_at_a_time() {
    beside_newcomers(4, READ_DELAY);
}

/// New clients get a slot also if all are taken by clients that were served just before.
#[test]
fn new_clients_are_answered_beside_slightly_late_readers() {
    beside_newcomers(1, SHORT_READ_DELAY);
    beside_newcomers(4, SHORT_READ_DELAY);
}

/// Runs late readers and new clients at the successor of a stopped process, once the quota lease has expired
/// (`NewProcess::expire_lease`).
fn beside_a_stopped_process(kept: usize, late: Duration, at_a_time: usize) {
    let bed = bed(Wishes::default().sockets);
    let new = bed.node.ready_successor();
    bed.node.signal("STOP");
    thread::sleep(Duration::from_millis(300));
    let kept = LateReaders::start(bed.node.http, kept, late);
    thread::sleep(2 * late);
    let violations = violations(bed.node.http, kept, at_a_time);
    bed.node.signal("CONT");
    until("the new process serves", || new.call("GET", "/_ready") == Some(200));
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn late_readers_lose_no_request_at_a_new_process_beside_a_stopped_one() {
    beside_a_stopped_process(FULL_NODE_CLIENTS + 1, READ_DELAY, 4);
}

/// A few clients do not count as a crowd because the lease left only a few slots (`Clients::sweep`).
#[test]
fn very_late_readers_lose_no_request_at_a_new_process_beside_a_stopped_one() {
    beside_a_stopped_process(FEW, LONG_READ_DELAY, 1);
}
