//! A request whose client has left while it waited is not sent on: on each front, in every place where it can wait.
//!
//! Each place is held by a barrier, the clients leave at drawn instants while it is, and the place is opened once all have
//! been gone for longer than a request may still go out.

use laurelroute_testkit::boxes::{Act, StandIn};
use laurelroute_testkit::client::{Client, Leaving, LEAVINGS};
use laurelroute_testkit::discovery::Entry;
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::wire::{Answer, Ask, Class, Wire};
use laurelroute_testkit::{seed, until, Random};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// A request is sent on no later than this after its client has left.
const SENT_ON: Duration = Duration::from_millis(300);
/// The place is opened so long after the last leaving: what is sent on then is late for each.
const OPENED: Duration = Duration::from_millis(350);
/// Clients of one round leave within this.
const ROUND: u64 = 200;
const CLIENTS: usize = 12;

fn thrift() -> Wire {
    Wire::thrift("framed-binary")
}

fn bed(wire: Wire, boxes: usize, wishes: Wishes) -> Bed {
    Bed::wishing(Path::new(env!("CARGO_BIN_EXE_laurelroute")), wire, boxes, wishes)
}

/// A request that was left, and when.
struct Left {
    id: String,
    at: Instant,
}

/// Requests of clients that have left, and those of them that were sent on too late.
struct Tally {
    place: &'static str,
    wire: Wire,
    random: Random,
    left: Vec<Left>,
}

impl Tally {
    fn new(place: &'static str, wire: Wire) -> Tally {
        Tally { place, wire, random: Random::new(seed()), left: Vec::new() }
    }

    fn how(&self) -> Leaving {
        LEAVINGS[self.left.len() % LEAVINGS.len()]
    }

    /// They leave one after another, at drawn instants.
    fn leave(&mut self, waiting: Vec<(Client, Ask)>) {
        let each = ROUND / waiting.len().max(1) as u64;
        for (client, ask) in waiting {
            thread::sleep(Duration::from_millis(self.random.below(each as usize + 1) as u64));
            client.leave(self.how());
            self.left.push(Left { id: ask.id, at: Instant::now() });
        }
        thread::sleep(OPENED);
    }

    /// None of them came to a box too late; there were as many as this at least.
    fn check(&self, boxes: &[StandIn], least: usize) {
        let came: Vec<_> = boxes.iter().flat_map(StandIn::came).collect();
        let late = |l: &&Left| came.iter().any(|c| c.id.as_ref() == Some(&l.id) && c.at > l.at + SENT_ON);
        let late = self.left.iter().filter(late).count();
        println!("{:?}, {}: {} left, {late} sent on late", self.wire, self.place, self.left.len());
        assert!(self.left.len() >= least, "{}: only {} were met", self.place, self.left.len());
        assert_eq!(late, 0, "{:?}, {}: of {}", self.wire, self.place, self.left.len());
    }
}

/// So many clients that have each sent a request on a new connection.
fn send(bed: &Bed, clients: usize) -> Vec<(Client, Ask)> {
    let one = |_| {
        let (mut client, ask) = (bed.node.connect(bed.wire), Ask::new(Class::Read));
        client.send(&ask);
        (client, ask)
    };
    (0..clients).map(one).collect()
}

/// A connection to a server that comes up late, where attempts may not be called off.
fn late_connection(wire: Wire) {
    let wishes = Wishes { cancelling: false, connect_timeout_ms: 4_000, ..Wishes::default() };
    let bed = bed(wire, 1, wishes);
    let mut tally = Tally::new("a connection that comes up late", wire);
    let mut met = Vec::new();
    for round in 0..5 {
        let form = laurelroute_thrift::codec::FORMS[0].1;
        let (stand_in, late) = StandIn::late(&format!("late-{round}"), form, bed.plan.clone());
        let seq = bed.discovery.tell(&[Entry::of(&stand_in)]);
        bed.discovery.told(seq);
        until("the old box is out of use", || {
            let (_client, ask) = send(&bed, 1).remove(0);
            let mut connecting = false;
            until("it is sent somewhere", || {
                connecting = late.connecting() > 0;
                connecting || bed.runs(&ask.id) > 0
            });
            connecting
        });
        let gone = Instant::now();
        until("that one has gone", || late.connecting() == 0);
        assert!(
            gone.elapsed() < SENT_ON,
            "an attempt for nobody went on connecting for {:?}",
            gone.elapsed()
        );
        let waiting = send(&bed, CLIENTS);
        until("all of them wait for a connection", || late.connecting() >= CLIENTS);
        tally.leave(waiting);
        late.come_up();
        met.push(stand_in);
        // Those under way now come up when the kernel tries again, after 1 s at the latest.
        thread::sleep(Duration::from_millis(1_100));
    }
    tally.check(&met, 5 * CLIENTS);
}

#[test]
fn late_connections_http() {
    late_connection(Wire::Http);
}

#[test]
fn late_connections_thrift() {
    late_connection(thrift());
}

/// The kernel's queue, where clients wait for a place or for a process that does not run.
fn queue(wire: Wire) {
    let bed = bed(wire, 2, Wishes::default());
    let mut tally = Tally::new("the kernel's queue", wire);
    for round in 0..5 {
        // Half of them are known already, and wait on their connections.
        let mut known: Vec<_> = (0..CLIENTS / 2).map(|_| bed.node.connect(wire)).collect();
        for client in &mut known {
            assert!(matches!(client.ask(&Ask::new(Class::Read)), Some(Answer::Served(_))), "round {round}");
        }
        bed.node.signal("STOP");
        let mut waiting = send(&bed, CLIENTS / 2);
        waiting.extend(known.into_iter().map(|mut client| {
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
fn in_the_queue_http() {
    queue(Wire::Http);
}

#[test]
fn in_the_queue_thrift() {
    queue(thrift());
}

/// A first attempt is out and is then turned away: there is no further one. On Thrift also where the connection takes no
/// further call before it has answered.
fn before_another(wire: Wire, lines: &str) {
    let bed = bed(wire, 2, Wishes { thrift: lines.to_owned(), ..Wishes::default() });
    let mut tally = Tally::new("before a further attempt", wire);
    for _ in 0..5 {
        bed.plan.next(&[Act::TurnAwayWhenTold; CLIENTS]);
        let waiting = send(&bed, CLIENTS);
        until("the boxes have them", || waiting.iter().all(|(_, ask)| bed.arrivals(&ask.id) == 1));
        tally.leave(waiting);
        bed.plan.go_on();
        // Whatever else would go out has gone out before this, and a node that has met refusals lets clients in again.
        until("the node serves", || bed.one(Class::Read).is_some_and(|a| a.served()));
    }
    tally.check(&bed.boxes, 5 * CLIENTS);
}

#[test]
fn before_another_attempt_http() {
    before_another(Wire::Http, "");
}

#[test]
fn before_another_attempt_thrift() {
    before_another(thrift(), "");
}

#[test]
fn before_another_attempt_thrift_with_no_room_to_read() {
    before_another(thrift(), "pipeline = 1");
}

/// A second copy goes out after half of the aim: not for one that has left by then.
fn before_copy(wire: Wire) {
    let wishes = Wishes { hedging: true, aim_ms: 1_600, ..Wishes::default() };
    let bed = bed(wire, 2, wishes);
    let mut tally = Tally::new("before a second copy", wire);
    for _ in 0..2 {
        bed.plan.next(&[Act::TurnAwayWhenTold; CLIENTS]);
        let waiting = send(&bed, CLIENTS);
        until("the boxes have them", || waiting.iter().all(|(_, ask)| bed.arrivals(&ask.id) == 1));
        tally.leave(waiting);
        // The copy would have been due by now.
        thread::sleep(Duration::from_millis(800 - ROUND - 150));
        bed.plan.go_on();
        until("the node serves", || bed.one(Class::Read).is_some_and(|a| a.served()));
    }
    tally.check(&bed.boxes, 2 * CLIENTS);
    // One that stays does get a copy: the place is a real one.
    bed.plan.next(&[Act::Stall]);
    let (mut client, ask) = send(&bed, 1).remove(0);
    assert!(matches!(client.answer(), Some(Answer::Served(_))));
    assert_eq!(bed.arrivals(&ask.id), 2);
}

#[test]
fn before_a_second_copy_http() {
    before_copy(Wire::Http);
}

#[test]
fn before_a_second_copy_thrift() {
    before_copy(thrift());
}
