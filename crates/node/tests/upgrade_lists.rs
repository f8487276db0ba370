//! Upgrades while discovery is silent: the processes of a node know one list of servers, kept alike until the old one
//! ends.

use laurelroute_testkit::boxes::{Plan, StandIn};
use laurelroute_testkit::discovery::{Discovery, Entry};
use laurelroute_testkit::load::{Load, Tally};
use laurelroute_testkit::program::{Program, Wishes};
use laurelroute_testkit::wire::{Ask, Class, Wire};
use laurelroute_testkit::{seed, until, Random};
use laurelroute_thrift::codec::FORMS;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_laurelroute");
/// How long a server may be sent new requests once its drain is known, with the 50 ms of the rules on sockets.
const GRACE: Duration = Duration::from_millis(300);
/// Watches that get no answer while discovery is silent.
const UNANSWERED: usize = 10_000;
const SERVERS: usize = 4;

/// A node over four servers, with a configured list that has all of them as active.
struct Site {
    servers: Vec<StandIn>,
    entries: Vec<Entry>,
    discovery: Discovery,
    node: Program,
    loads: Vec<Load>,
}

impl Site {
    /// Starts the node and loads on both wires; discovery's list has these entries beside the servers.
    fn start(more: Vec<Entry>) -> Site {
        let start_server = |k: usize| StandIn::start(&format!("box-{k}"), FORMS[0].1, Arc::<Plan>::default());
        let servers: Vec<StandIn> = (0..SERVERS).map(start_server).collect();
        let mut entries: Vec<Entry> = servers.iter().map(Entry::of).collect();
        let known = Some((1, entries.clone()));
        entries.extend(more);
        let discovery = Discovery::start(&entries);
        let wishes = Wishes { managed: true, known, memory_mb: 128, ..Wishes::default() };
        let node = Program::start(Path::new(PROGRAM), discovery.address, FORMS[0].1, wishes);
        until("the node has discovery's list", || {
            discovery.watches.load(std::sync::atomic::Ordering::SeqCst) > 0
        });
        let thrift = Wire::Thrift { client: FORMS[0].1, boxes: FORMS[0].1 };
        let read = Ask::new(Class::Read);
        let loads = [(Wire::Http, node.http), (thrift, node.thrift)];
        let loads = loads.into_iter().map(|(wire, address)| Load::asking(wire, address, 3, &read)).collect();
        Site { servers, entries, discovery, node, loads }
    }

    /// Discovery's list with this server draining.
    fn with_drain(&self, server: usize) -> Vec<Entry> {
        let mut entries = self.entries.clone();
        entries[server] = entries[server].clone().leaving();
        entries
    }

    /// The first server drains, and the node is told so; gives when nothing new may go there any more.
    fn drain_first(&self) -> Instant {
        until("the server is used", || self.servers[0].came().len() > 20);
        let told = self.discovery.told(self.discovery.tell(&self.with_drain(0)));
        thread::sleep(GRACE);
        told + GRACE
    }

    /// Waits until the other servers have served on, and checks that this one got nothing new from then on.
    fn expect_unused(&self, server: usize, from: Instant) {
        let begun = Instant::now();
        let others = || self.servers.iter().enumerate().filter(|(k, _)| *k != server);
        until("the others serve", || others().all(|(_, other)| other.since(begun) > 20));
        assert_eq!(self.servers[server].since(from), 0, "sent to a draining server");
    }

    fn finish(&mut self) {
        for load in self.loads.drain(..) {
            let Tally { failed, lost, .. } = load.finish();
            assert_eq!((failed, lost.len()), (0, 0), "{lost:?}");
        }
    }
}

/// Waits until the old process has ended after SIGTERM.
fn end(mut old: Program) {
    old.signal("TERM");
    until("the old process ends", || !old.running());
}

// Guards against a process that takes over while discovery is silent and goes by its configuration's list, though the
// process that it takes over from was told of a drain.
#[test]
fn a_process_that_takes_over_while_discovery_is_silent_knows_what_the_old_one_was_told() {
    let mut site = Site::start(Vec::new());
    let closed_from = site.drain_first();
    site.discovery.cut(UNANSWERED);
    let new = site.node.ready_successor();
    site.expect_unused(0, closed_from);
    end(std::mem::replace(&mut site.node, new));
    site.expect_unused(0, closed_from);
    site.finish();
}

// Guards against a list that is handed over in part, or too late, because it takes many packets.
#[test]
fn a_list_of_many_packets_is_handed_over_whole() {
    let server = StandIn::start("spare", FORMS[0].1, Arc::<Plan>::default());
    let entry = |k: usize| Entry { name: format!("draining-{k}-{}", "x".repeat(100)), ..Entry::of(&server) };
    let mut site = Site::start((0..4_000).map(|k| entry(k).leaving()).collect());
    let closed_from = site.drain_first();
    site.discovery.cut(UNANSWERED);
    let new = site.node.ready_successor();
    end(std::mem::replace(&mut site.node, new));
    site.expect_unused(0, closed_from);
    site.finish();
}

// Guards against a third process that gets the second one's configured list instead of what the first one was told.
#[test]
fn upgrades_in_a_row_pass_the_list_on() {
    let mut site = Site::start(Vec::new());
    let closed_from = site.drain_first();
    site.discovery.cut(UNANSWERED);
    for _ in 0..3 {
        let new = site.node.ready_successor();
        end(std::mem::replace(&mut site.node, new));
    }
    site.expect_unused(0, closed_from);
    site.finish();
}

// Guards against processes that know different lists while both live: one hears of a drain, and the other one, which has
// the clients, does not.
#[test]
fn what_only_the_old_process_is_told_during_an_upgrade_counts_at_the_new_one() {
    let mut site = Site::start(Vec::new());
    // The new process's discovery is silent from the start.
    let silent = Discovery::start(&site.entries);
    silent.cut(UNANSWERED);
    site.node.configure(silent.address);
    let new = site.node.ready_successor();
    let closed_from = site.drain_first();
    site.expect_unused(0, closed_from);
    end(std::mem::replace(&mut site.node, new));
    site.expect_unused(0, closed_from);
    site.finish();
}

// The same the other way round: the process behind the new one starts with what only the new one was told.
#[test]
fn what_only_the_new_process_is_told_during_an_upgrade_counts_at_the_old_one_too() {
    let mut site = Site::start(Vec::new());
    site.discovery.cut(UNANSWERED);
    let sound = Discovery::start(&site.entries);
    site.node.configure(sound.address);
    let mut new = site.node.ready_successor();
    until("the server is used", || site.servers[0].came().len() > 20);
    sound.tell(&site.entries);
    let told = sound.told(sound.tell(&site.with_drain(0)));
    thread::sleep(GRACE);
    // The new one is gone before the old one is told to end, which serves alone again.
    new.signal("KILL");
    until("the new process ends", || !new.running());
    site.expect_unused(0, told + GRACE);
    site.finish();
}

// Guards against a partial list that counts, and a process that serves with none, after a kill at any step of a takeover.
#[test]
fn a_kill_midway_leaves_the_list_of_the_process_that_is_left() {
    let mut random = Random::new(seed());
    let server = StandIn::start("spare", FORMS[0].1, Arc::<Plan>::default());
    let entry = |k: usize| Entry { name: format!("draining-{k}"), ..Entry::of(&server) };
    let mut site = Site::start((0..2_000).map(|k| entry(k).leaving()).collect());
    let closed_from = site.drain_first();
    site.discovery.cut(UNANSWERED);
    for _ in 0..8 {
        let mut new = site.node.successor();
        thread::sleep(Duration::from_millis(random.below(60) as u64));
        new.signal("KILL");
        until("the new process ends", || !new.running());
    }
    site.expect_unused(0, closed_from);
    let new = site.node.ready_successor();
    // The old one is killed, not told to end: what it holds is for its clients to repeat.
    site.node.signal("KILL");
    until("the old process ends", || !site.node.running());
    site.node = new;
    site.expect_unused(0, closed_from);
}
