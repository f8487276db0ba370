//! An upgrade that is taken back: the new process is told to end, and the old one goes on.

use laurelroute_testkit::boxes::{Act, Plan, StandIn};
use laurelroute_testkit::client::Client;
use laurelroute_testkit::discovery::{Discovery, Entry};
use laurelroute_testkit::program::{Program, Wishes};
use laurelroute_testkit::until;
use laurelroute_testkit::wire::{Ask, Class, Wire};
use laurelroute_thrift::codec::FORMS;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_laurelroute");
/// How long clients wait, and so how long the new process may owe answers.
const GIVE_UP: Duration = Duration::from_millis(2_500);
/// How long both processes may accept before the new one stops.
const LINGER: Duration = Duration::from_millis(500);
/// Requests that the new process holds as it is told to end.
const HELD: usize = 4;

fn is_answered_while_the_new_process_ends(wire: Wire) {
    let plan = Arc::<Plan>::default();
    let servers: Vec<StandIn> =
        (0..3).map(|k| StandIn::start(&format!("box-{k}"), FORMS[0].1, plan.clone())).collect();
    let discovery = Discovery::start(&servers.iter().map(Entry::of).collect::<Vec<_>>());
    let wishes =
        Wishes { managed: true, give_up_ms: GIVE_UP.as_millis() as u64, aim_ms: 500, ..Wishes::default() };
    let old = Program::start(Path::new(PROGRAM), discovery.address, FORMS[0].1, wishes);
    let ask = || old.ask(wire, &Ask::new(Class::Read)).is_some_and(|answer| answer.served());
    until("the old process serves", ask);
    let mut new = old.ready_successor();
    until("the new process serves", ask);
    plan.next(&[Act::Stall; HELD]);
    let mut held: Vec<Client> = Vec::new();
    // Some may be refused, while the node does not know yet how long a write takes.
    until("servers have the requests", || {
        let mut client = old.connect(wire);
        client.send(&Ask::new(Class::Write));
        held.push(client);
        thread::sleep(Duration::from_millis(50));
        plan.left() == 0
    });
    new.signal("TERM");
    let told = Instant::now();
    while new.running() {
        let begun = Instant::now();
        assert!(ask(), "unanswered {:?} after SIGTERM", told.elapsed());
        assert!(begun.elapsed() < Duration::from_secs(1), "late {:?} after SIGTERM", told.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    assert!(told.elapsed() > 2 * LINGER, "the new process had nothing to wait for: {:?}", told.elapsed());
    until("the old process says yes again", || old.call("GET", "/_ready") == Some(200));
    assert!(ask());
    drop(held);
}

// Guards against an address that nobody serves while a new process, told to end, waits for answers that it owes.
#[test]
fn clients_are_answered_while_a_new_process_that_was_told_to_end_owes_answers_http() {
    is_answered_while_the_new_process_ends(Wire::Http);
}

// The same over Thrift.
#[test]
fn clients_are_answered_while_a_new_process_that_was_told_to_end_owes_answers_thrift() {
    is_answered_while_the_new_process_ends(Wire::Thrift { client: FORMS[0].1, boxes: FORMS[0].1 });
}
