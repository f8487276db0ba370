//! Request ids that are in use: while two processes of a node run, for both of them, and after a request has ended for as
//! long as it may run.

use laurelroute_testkit::boxes::Act;
use laurelroute_testkit::client::{Client, Leaving};
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::until;
use laurelroute_testkit::wire::{Answer, Ask, Class, Wire};
use std::path::Path;
use std::time::Duration;

/// How long a server works on the requests that are open.
const WORK: Duration = Duration::from_millis(1_500);
const REQUESTS: usize = 4;
/// The longest time that an id stays in use: the longest deadline of a request and 1 s.
const EARLIER_IDS_EXPIRE: Duration = Duration::from_millis(6_200);

fn thrift() -> Wire {
    Wire::thrift("framed-binary")
}

fn bed(wire: Wire) -> Bed {
    let wishes = Wishes { managed: true, cold: (1.0, 1_000), ..Wishes::default() };
    let bed = Bed::wishing(Path::new(env!("CARGO_BIN_EXE_laurelroute")), wire, 4, wishes);
    // Until it has served some, a node that has just started turns some requests away.
    for class in [Class::Read, Class::Write] {
        for _ in 0..20 {
            bed.one(class);
        }
    }
    bed
}

/// Sends requests that stay open, each on a connection of its own, and waits until servers have them.
fn open_requests(bed: &Bed) -> Vec<(Client, Ask)> {
    bed.plan.next(&[Act::After(WORK); REQUESTS]);
    let send = |_| {
        let (mut client, ask) = (bed.node.connect(bed.wire), Ask::new(Class::Write));
        client.send(&ask);
        (client, ask)
    };
    let open: Vec<_> = (0..REQUESTS).map(send).collect();
    until("servers have the requests", || open.iter().all(|(_, ask)| bed.arrivals(&ask.id) == 1));
    open
}

/// Asserts that no copy was served, that each request was, and that it ran once.
fn check(bed: &Bed, open: Vec<(Client, Ask)>, copies: Vec<Option<Answer>>) {
    for copy in copies {
        assert!(matches!(copy, Some(Answer::Failed { .. })), "a copy is rejected: {copy:?}");
    }
    for (mut client, ask) in open {
        assert!(client.answer().is_some_and(|answer| answer.served()), "{}", ask.id);
        assert_eq!(bed.runs(&ask.id), 1, "{}", ask.id);
    }
}

/// Copies of requests that are open at the old process come to the new one.
fn open_at_the_old_process(wire: Wire) {
    let bed = bed(wire);
    let open = open_requests(&bed);
    let _new = bed.node.ready_successor();
    let copies = open.iter().map(|(_, ask)| bed.node.ask(wire, ask)).collect();
    check(&bed, open, copies);
}

/// Copies of requests that are open at the new process come to the old one, on connections on which that has a request
/// in flight.
fn open_at_the_new_process(wire: Wire) {
    let bed = bed(wire);
    bed.plan.next(&[Act::After(WORK); REQUESTS]);
    let mut kept: Vec<_> = (0..REQUESTS).map(|_| bed.node.connect(wire)).collect();
    for client in &mut kept {
        client.send(&Ask::new(Class::Read));
    }
    until("servers have the first requests", || bed.plan.left() == 0);
    let _new = bed.node.ready_successor();
    let open = open_requests(&bed);
    for (client, (_, ask)) in kept.iter_mut().zip(&open) {
        client.send(ask);
    }
    let answers = kept.iter_mut().map(|client| {
        assert!(client.answer().is_some_and(|first| first.served()), "the first request is served");
        client.answer()
    });
    let copies = answers.collect();
    check(&bed, open, copies);
}

/// The process that held the requests is killed: they still run at their servers.
fn open_at_a_killed_process(wire: Wire) {
    let bed = bed(wire);
    let open = open_requests(&bed);
    let _new = bed.node.ready_successor();
    bed.node.signal("KILL");
    for (mut client, ask) in open {
        assert_eq!(client.answer(), None, "its process is gone");
        let copy = bed.node.ask(wire, &ask);
        assert!(matches!(copy, Some(Answer::Failed { .. })), "a copy is rejected: {copy:?}");
        assert_eq!(bed.arrivals(&ask.id), 1, "{}", ask.id);
    }
}

/// A client states a short deadline and leaves, and its id comes again while its request still runs.
fn comes_again_after_its_client_has_left(wire: Wire) {
    const DEADLINE_MS: u32 = 400;
    let bed = bed(wire);
    // The ids of earlier requests are no longer in use.
    std::thread::sleep(EARLIER_IDS_EXPIRE);
    bed.plan.next(&[Act::After(2 * WORK)]);
    let ask = Ask::new(Class::Write).within(DEADLINE_MS);
    let mut client = bed.node.connect(wire);
    client.send(&ask);
    until("a server has the request", || bed.arrivals(&ask.id) == 1);
    client.leave(Leaving::Close);
    std::thread::sleep(WORK);
    let copy = bed.node.ask(wire, &Ask { deadline_ms: 4_000, ..ask.clone() });
    assert!(matches!(copy, Some(Answer::Failed { .. })), "a copy is rejected: {copy:?}");
    assert_eq!(bed.arrivals(&ask.id), 1, "{}", ask.id);
}

/// Guards against an id that is free again while the request of a client that has left still runs.
#[test]
fn an_id_stays_in_use_after_its_client_has_left_http() {
    comes_again_after_its_client_has_left(Wire::Http);
}

/// The same over Thrift.
#[test]
fn an_id_stays_in_use_after_its_client_has_left_thrift() {
    comes_again_after_its_client_has_left(thrift());
}

/// Guards against an upgrade in which the new process takes a copy of an open request for a new one.
#[test]
fn the_new_process_rejects_copies_of_requests_open_at_the_old_one_http() {
    open_at_the_old_process(Wire::Http);
}

/// The same over Thrift.
#[test]
fn the_new_process_rejects_copies_of_requests_open_at_the_old_one_thrift() {
    open_at_the_old_process(thrift());
}

/// Guards against an upgrade in which the old process takes a copy of a request that is open at the new one.
#[test]
fn the_old_process_rejects_copies_of_requests_open_at_the_new_one_http() {
    open_at_the_new_process(Wire::Http);
}

/// The same over Thrift.
#[test]
fn the_old_process_rejects_copies_of_requests_open_at_the_new_one_thrift() {
    open_at_the_new_process(thrift());
}

/// Guards against ids that are forgotten with the process that had claimed them.
#[test]
fn ids_open_at_a_killed_process_stay_in_use_http() {
    open_at_a_killed_process(Wire::Http);
}

/// The same over Thrift.
#[test]
fn ids_open_at_a_killed_process_stay_in_use_thrift() {
    open_at_a_killed_process(thrift());
}

/// Guards against an id that is free as soon as a long upload has ended: it counted from the upload's beginning.
#[test]
fn an_id_stays_in_use_after_a_long_upload() {
    const PARTS: usize = 8;
    const PART_BYTES: usize = 80_000;
    let bed = bed(Wire::Http);
    let ask = Ask::new(Class::Write);
    let head = format!(
        "POST /write HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\nX-Timeout-Ms: 4000\r\nContent-Length: {}\r\n\r\n",
        ask.id,
        PARTS * PART_BYTES
    );
    let mut client = bed.node.connect(Wire::Http);
    client.raw(head.as_bytes());
    for _ in 0..PARTS {
        std::thread::sleep(EARLIER_IDS_EXPIRE / (PARTS as u32 - 1));
        client.raw(&[b'x'; PART_BYTES]);
    }
    assert!(client.answer().is_some_and(|answer| answer.served()), "the upload is served");
    let copy = bed.node.ask(Wire::Http, &ask);
    assert!(matches!(copy, Some(Answer::Failed { .. })), "a copy is rejected: {copy:?}");
    assert_eq!(bed.runs(&ask.id), 1, "{}", ask.id);
}
