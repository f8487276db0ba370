//! A request whose client disconnects while it waits is not forwarded: on each front, at every point where it
//! can wait.
//!
//! A barrier holds the requests at each such point while the clients disconnect at random times. It opens
//! after all of them have been disconnected for longer than a request may still be forwarded.

use laurelroute_testkit::boxes::{Act, StandIn};
use laurelroute_testkit::client::{Client, Leaving, LEAVINGS};
use laurelroute_testkit::discovery::Entry;
use laurelroute_testkit::process;
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::wire::{Answer, Ask, Class, Say, Wire};
use laurelroute_testkit::{seed, until, Random};
use std::collections::VecDeque;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// A request is forwarded no later than this after its client has disconnected.
const FORWARD_LIMIT: Duration = Duration::from_millis(300);
/// The barrier opens this long after the last client has disconnected, so that any request forwarded then is
/// too late.
const BARRIER_DELAY: Duration = Duration::from_millis(350);
/// The clients of one round disconnect within this many milliseconds.
const ROUND_MS: u64 = 200;
const CLIENTS: usize = 12;

fn thrift() -> Wire {
    Wire::thrift("framed-binary")
}

fn bed(wire: Wire, servers: usize, wishes: Wishes) -> Bed {
    Bed::wishing(Path::new(env!("CARGO_BIN_EXE_laurelroute")), wire, servers, wishes)
}

/// A request whose client has disconnected, and when.
struct AbandonedRequest {
    id: String,
    at: Instant,
}

/// The requests whose clients have disconnected at one waiting point.
struct DisconnectTally {
    waiting_point: &'static str,
    wire: Wire,
    random: Random,
    abandoned: Vec<AbandonedRequest>,
}

impl DisconnectTally {
    fn new(waiting_point: &'static str, wire: Wire) -> DisconnectTally {
        DisconnectTally { waiting_point, wire, random: Random::new(seed()), abandoned: Vec::new() }
    }

    fn next_way(&self) -> Leaving {
        LEAVINGS[self.abandoned.len() % LEAVINGS.len()]
    }

    /// Disconnects the clients one after another, at random times, and waits until the barrier may open.
    fn leave(&mut self, waiting: Vec<(Client, Ask)>) {
        let max_pause = ROUND_MS / waiting.len().max(1) as u64;
        for (client, ask) in waiting {
            thread::sleep(Duration::from_millis(self.random.below(max_pause as usize + 1) as u64));
            client.leave(self.next_way());
            self.abandoned.push(AbandonedRequest { id: ask.id, at: Instant::now() });
        }
        thread::sleep(BARRIER_DELAY);
    }

    /// Checks that no server received any of the requests too late, and that there were at least `minimum` of them.
    fn check(&self, servers: &[StandIn], minimum: usize) {
        let arrivals: Vec<_> = servers.iter().flat_map(StandIn::came).collect();
        let is_late = |request: &&AbandonedRequest| {
            arrivals.iter().any(|c| c.id.as_ref() == Some(&request.id) && c.at > request.at + FORWARD_LIMIT)
        };
        let late = self.abandoned.iter().filter(is_late).count();
        println!(
            "{:?}, {}: {} disconnected, {late} forwarded late",
            self.wire,
            self.waiting_point,
            self.abandoned.len()
        );
        assert!(
            self.abandoned.len() >= minimum,
            "{}: only {} requests",
            self.waiting_point,
            self.abandoned.len()
        );
        assert_eq!(late, 0, "{:?}, {}: of {}", self.wire, self.waiting_point, self.abandoned.len());
    }
}

/// Sends one request on each of `clients` new connections.
fn send(bed: &Bed, clients: usize) -> Vec<(Client, Ask)> {
    let send_one = |_| {
        let (mut client, ask) = (bed.node.connect(bed.wire), Ask::new(Class::Read));
        client.send(&ask);
        (client, ask)
    };
    (0..clients).map(send_one).collect()
}

/// Requests wait for a connection to a server that comes up late, where attempts may not be cancelled.
fn waiting_for_a_late_connection(wire: Wire) {
    let wishes = Wishes { cancelling: false, connect_timeout_ms: 4_000, ..Wishes::default() };
    let bed = bed(wire, 1, wishes);
    let mut tally = DisconnectTally::new("a connection that is established late", wire);
    let mut late_servers = Vec::new();
    for round in 0..5 {
        let form = laurelroute_thrift::codec::FORMS[0].1;
        let (stand_in, late) = StandIn::late(&format!("late-{round}"), form, bed.plan.clone());
        let seq = bed.discovery.tell(&[Entry::of(&stand_in)]);
        bed.discovery.told(seq);
        until("the old server is out of use", || {
            let (_client, ask) = send(&bed, 1).remove(0);
            let mut connecting = false;
            until("the request is sent somewhere", || {
                connecting = late.connecting() > 0;
                connecting || bed.runs(&ask.id) > 0
            });
            connecting
        });
        let disconnected_at = Instant::now();
        until("that attempt has ended", || late.connecting() == 0);
        assert!(
            disconnected_at.elapsed() < FORWARD_LIMIT,
            "an attempt went on connecting for {:?} after its client had disconnected",
            disconnected_at.elapsed()
        );
        let waiting = send(&bed, CLIENTS);
        until("all of them wait for a connection", || late.connecting() >= CLIENTS);
        tally.leave(waiting);
        late.come_up();
        late_servers.push(stand_in);
        // The pending connections are established when the kernel retries, after 1 s at the latest.
        thread::sleep(Duration::from_millis(1_100));
    }
    tally.check(&late_servers, 5 * CLIENTS);
}

#[test]
fn late_connections_http() {
    waiting_for_a_late_connection(Wire::Http);
}

#[test]
fn late_connections_thrift() {
    waiting_for_a_late_connection(thrift());
}

/// Requests wait in the kernel's queue for a connection slot or for a process that is stopped.
fn waiting_in_the_kernel_queue(wire: Wire) {
    let bed = bed(wire, 2, Wishes::default());
    let mut tally = DisconnectTally::new("the kernel's queue", wire);
    for round in 0..5 {
        // Half of the clients were served before and wait on their established connections.
        let mut established: Vec<_> = (0..CLIENTS / 2).map(|_| bed.node.connect(wire)).collect();
        for client in &mut established {
            assert!(matches!(client.ask(&Ask::new(Class::Read)), Some(Answer::Served(_))), "round {round}");
        }
        bed.node.signal("STOP");
        let mut waiting = send(&bed, CLIENTS / 2);
        waiting.extend(established.into_iter().map(|mut client| {
            let ask = Ask::new(Class::Read);
            client.send(&ask);
            (client, ask)
        }));
        tally.leave(waiting);
        bed.node.signal("CONT");
        until("the node answers again", || bed.one(Class::Read).is_some_and(|a| a.served()));
    }
    tally.check(&bed.boxes, 5 * CLIENTS);
}

#[test]
fn in_the_kernel_queue_http() {
    waiting_in_the_kernel_queue(Wire::Http);
}

#[test]
fn in_the_kernel_queue_thrift() {
    waiting_in_the_kernel_queue(thrift());
}

/// A first attempt is in flight and is then rejected: there is no retry. On Thrift also where the connection
/// accepts no further call before the answer.
fn waiting_before_a_retry(wire: Wire, thrift_settings: &str) {
    let bed = bed(wire, 2, Wishes { thrift: thrift_settings.to_owned(), ..Wishes::default() });
    let mut tally = DisconnectTally::new("before a retry", wire);
    for _ in 0..5 {
        bed.plan.next(&[Act::TurnAwayWhenTold; CLIENTS]);
        let waiting = send(&bed, CLIENTS);
        until("the servers have the requests", || waiting.iter().all(|(_, ask)| bed.arrivals(&ask.id) == 1));
        tally.leave(waiting);
        bed.plan.go_on();
        // Any retry is sent before this request is served, and the node admits clients again after the rejections.
        until("the node serves", || bed.one(Class::Read).is_some_and(|a| a.served()));
    }
    tally.check(&bed.boxes, 5 * CLIENTS);
}

#[test]
fn before_a_retry_http() {
    waiting_before_a_retry(Wire::Http, "");
}

#[test]
fn before_a_retry_thrift() {
    waiting_before_a_retry(thrift(), "");
}

#[test]
fn before_a_retry_thrift_with_a_full_pipeline() {
    waiting_before_a_retry(thrift(), "pipeline = 1");
}

/// A hedge attempt is sent after half of the latency target, but not for a client that has disconnected by then.
fn waiting_before_a_hedge_attempt(wire: Wire) {
    let wishes = Wishes { hedging: true, aim_ms: 1_600, ..Wishes::default() };
    let bed = bed(wire, 2, wishes);
    let mut tally = DisconnectTally::new("before a hedge attempt", wire);
    for _ in 0..2 {
        bed.plan.next(&[Act::TurnAwayWhenTold; CLIENTS]);
        let waiting = send(&bed, CLIENTS);
        until("the servers have the requests", || waiting.iter().all(|(_, ask)| bed.arrivals(&ask.id) == 1));
        tally.leave(waiting);
        // A hedge attempt would be due by now.
        thread::sleep(Duration::from_millis(800 - ROUND_MS - 150));
        bed.plan.go_on();
        until("the node serves", || bed.one(Class::Read).is_some_and(|a| a.served()));
    }
    tally.check(&bed.boxes, 2 * CLIENTS);
    // A request whose client stays gets a hedge attempt, so the waiting point exists.
    bed.plan.next(&[Act::Stall]);
    let (mut client, ask) = send(&bed, 1).remove(0);
    assert!(matches!(client.answer(), Some(Answer::Served(_))));
    assert_eq!(bed.arrivals(&ask.id), 2);
}

#[test]
fn before_a_hedge_attempt_http() {
    waiting_before_a_hedge_attempt(Wire::Http);
}

#[test]
fn before_a_hedge_attempt_thrift() {
    waiting_before_a_hedge_attempt(thrift());
}

/// How long a client has its connection kept after it has disconnected: shorter than an abandoned attempt goes on.
const CLOSED_WITHIN: Duration = Duration::from_millis(400);

/// The connections of clients that have disconnected are closed while their abandoned attempts go on.
#[test]
fn abandoned_attempts_do_not_hold_the_connections_of_their_clients() {
    const WAITING: u32 = 2_000;
    const ANSWERED: u32 = 300;
    for wire in [Wire::Http, thrift()] {
        let bed = bed(wire, 4, Wishes { aim_ms: 150, ..Wishes::default() });
        bed.boxes.iter().for_each(|b| b.usually(Act::Stall));
        for deadline_ms in [WAITING, ANSWERED] {
            let clients: Vec<Client> = (0..40)
                .map(|_| {
                    let mut client = bed.node.connect(wire);
                    client.send(&Ask::new(Class::Read).within(deadline_ms));
                    client
                })
                .collect();
            thread::sleep(Duration::from_millis(150));
            for mut client in clients {
                if deadline_ms == ANSWERED {
                    assert!(client.answer().is_some(), "{wire:?}: no answer");
                }
            }
            thread::sleep(CLOSED_WITHIN);
            let held = process::close_wait(bed.node.address(wire));
            assert_eq!(held, 0, "{wire:?}, {deadline_ms} ms: connections of clients that have disconnected");
        }
    }
}

/// The process keeps within its descriptors while clients disconnect whose attempts go on.
#[test]
fn descriptors_stay_within_their_limit_while_clients_disconnect() {
    const SOCKETS: usize = 256;
    const CROWD: usize = 60;
    const ROUNDS: usize = 50;
    let limited = format!("ulimit -n {SOCKETS} && exec \"$@\"");
    let program = env!("CARGO_BIN_EXE_laurelroute");
    let launch: Vec<String> = ["sh", "-c", &limited, "sh", program].into_iter().map(str::to_owned).collect();
    for launch in [Vec::new(), launch] {
        let wishes = Wishes { sockets: SOCKETS, aim_ms: 150, launch, ..Wishes::default() };
        let bed = bed(Wire::Http, 4, wishes);
        bed.boxes.iter().for_each(|b| b.usually(Act::Stall));
        let mut crowds: VecDeque<Vec<Client>> = VecDeque::new();
        let mut most = 0;
        for _ in 0..ROUNDS {
            let crowd = (0..CROWD).filter_map(|_| Client::connect(Wire::Http, bed.node.http));
            crowds.push_back(
                crowd
                    .map(|mut client| {
                        client.send(&Ask::new(Class::Read).within(300));
                        client
                    })
                    .collect(),
            );
            if crowds.len() > 2 {
                crowds.pop_front();
            }
            let end = Instant::now() + Duration::from_millis(80);
            while Instant::now() < end {
                most = most.max(bed.node.descriptors());
                thread::sleep(Duration::from_millis(4));
            }
        }
        assert!(most <= SOCKETS, "{most} descriptors of {SOCKETS}");
        crowds.clear();
        bed.boxes.iter().for_each(|b| b.usually(Act::Say(Say::Served)));
        until("a request is served", || bed.one(Class::Read).is_some_and(|a| a.served()));
    }
}

/// Sends so many requests to servers that never answer, and disconnects once they have been forwarded.
fn abandon(bed: &Bed, count: usize, body_bytes: usize) {
    let clients: Vec<Client> = (0..count)
        .map(|_| {
            let mut client = bed.node.connect(bed.wire);
            client.send(&Ask::new(Class::Write).carrying(body_bytes));
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    drop(clients);
    thread::sleep(Duration::from_millis(100));
}

/// Whether a request reaches a server before abandoned attempts have ended by themselves.
fn is_forwarded(bed: &Bed, body_bytes: usize) -> bool {
    let end = Instant::now() + CLOSED_WITHIN;
    while Instant::now() < end {
        let ask = Ask::new(Class::Write).carrying(body_bytes);
        let mut client = bed.node.connect(bed.wire);
        client.send(&ask);
        thread::sleep(Duration::from_millis(50));
        if bed.arrivals(&ask.id) > 0 {
            return true;
        }
    }
    false
}

/// The memory of request bodies is free for others once their clients have disconnected.
#[test]
fn abandoned_attempts_do_not_hold_the_bodies_of_their_requests() {
    // The node holds 16 MiB of bodies.
    const BODIES: usize = 50;
    const BODY_BYTES: usize = 400_000;
    for wire in [Wire::Http, thrift()] {
        let thrift = "max_message = 500000".to_owned();
        let bed = bed(wire, 4, Wishes { thrift, ..Wishes::default() });
        // Quick answers have the node expect more of them.
        (0..400).for_each(|_| drop(bed.one(Class::Write)));
        bed.boxes.iter().for_each(|b| b.usually(Act::Stall));
        let begun = Instant::now();
        abandon(&bed, BODIES, BODY_BYTES);
        let held = bed.boxes.iter().flat_map(StandIn::came).filter(|c| c.at > begun).count();
        assert!(held * BODY_BYTES > 15 << 20, "{wire:?}: only {held} requests were forwarded");
        assert!(is_forwarded(&bed, BODY_BYTES), "{wire:?}: no room for another body");
    }
}

/// The connections that a server may have are free for others once their clients have disconnected.
#[test]
fn abandoned_attempts_do_not_use_up_the_connections_to_their_server() {
    for wire in [Wire::Http, thrift()] {
        let site = "[servers]\nmax_connections = 2\n".to_owned();
        let bed = bed(wire, 1, Wishes { site, ..Wishes::default() });
        bed.boxes[0].usually(Act::Stall);
        abandon(&bed, 2, 0);
        assert!(is_forwarded(&bed, 0), "{wire:?}: the server takes no further connection");
        assert!(bed.boxes[0].most_open() <= 2, "{wire:?}: {} connections", bed.boxes[0].most_open());
    }
}
