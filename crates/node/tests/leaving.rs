//! A request whose client disconnects while it waits is not forwarded: on each front, at every point where it
//! can wait.
//!
//! A barrier holds the requests at each such point while the clients disconnect at random times. It opens
//! after all of them have been disconnected for longer than a request may still be forwarded.

use laurelroute_testkit::boxes::{Act, StandIn};
use laurelroute_testkit::client::{Client, Leaving, LEAVINGS};
use laurelroute_testkit::discovery::Entry;
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::wire::{Answer, Ask, Class, Wire};
use laurelroute_testkit::{seed, until, Random};
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
