//! Planners that hear nothing of discovery: their forwarders turn to another source in time, and serve on where there
//! is none.

use laurelroute_testkit::boxes::{Plan, StandIn};
use laurelroute_testkit::discovery::{Discovery, Entry};
use laurelroute_testkit::levels::{Authority, Levels, Planner};
use laurelroute_testkit::load::Load;
use laurelroute_testkit::program::{Program, Wishes};
use laurelroute_testkit::until;
use laurelroute_testkit::wire::{Ask, Class, Wire};
use laurelroute_thrift::codec::FORMS;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_laurelroute");
/// A change counts as known this long after discovery had it, at the latest.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
/// How long a server may be sent new requests once its drain is known, with the 50 ms of the rules on sockets.
const GRACE: Duration = Duration::from_millis(300);
/// How long discovery is silent for a planner; a cut lasts up to 20 s, and the bound ends long before.
const SILENCE: Duration = Duration::from_secs(9);
/// Watches that get no answer while discovery is silent.
const UNANSWERED: usize = 10_000;

/// Servers, and planners with a discovery each; forwarders have another one.
struct Levelled {
    servers: Vec<StandIn>,
    entries: Vec<Entry>,
    planners: Vec<(Planner, Discovery)>,
    own_discovery: Discovery,
    authority: Authority,
}

impl Levelled {
    /// Starts the planners with these lines in their part of the operator's file.
    fn start(planners: usize, settings: &str, service: &[&str]) -> Levelled {
        let start_server = |k: usize| StandIn::start(&format!("box-{k}"), FORMS[0].1, Arc::<Plan>::default());
        let servers: Vec<StandIn> = (0..4).map(start_server).collect();
        let entries: Vec<Entry> = servers.iter().map(|s| Entry::of(s).serving(service)).collect();
        let authority = Authority::default();
        let settings = format!("planners = {planners}\n{settings}");
        let start_planner = |k: usize| {
            let discovery = Discovery::start(&entries);
            let (name, wishes) = (format!("p{k}"), Wishes::default());
            let mut planner =
                Planner::of(Path::new(PROGRAM), &authority, &name, discovery.address, &wishes, &settings);
            planner.start();
            until("the planner runs", || planner.explain(&[]).is_ok());
            (planner, discovery)
        };
        let planners = (0..planners).map(start_planner).collect();
        let own_discovery = Discovery::start(&entries);
        Levelled { servers, entries, planners, own_discovery, authority }
    }

    fn forwarder(&self, settings: &str) -> Program {
        let addresses: Vec<String> =
            self.planners.iter().map(|(p, _)| format!("{:?}", p.address.to_string())).collect();
        let peers = self.authority.peers("suite", "f0");
        let site = format!("{peers}[forward]\nplanners = [{}]\n{settings}", addresses.join(", "));
        // The configuration's list is from before any drain.
        let known = Some((1, self.entries.clone()));
        let wishes = Wishes { site, levels: Some(Levels::Up), managed: true, known, ..Wishes::default() };
        Program::start(Path::new(PROGRAM), self.own_discovery.address, FORMS[0].1, wishes)
    }

    /// The planner that has the forwarder's subscriptions.
    fn followed(&self) -> usize {
        let mut followed = None;
        until("a planner is followed", || {
            let subscribed = |(planner, _): &(Planner, Discovery)| {
                planner.explain(&[]).is_ok_and(|text| text.contains(" 1 subscriptions"))
            };
            followed = self.planners.iter().position(subscribed);
            followed.is_some()
        });
        followed.expect("a planner")
    }

    /// The list with the first server draining.
    fn drained(&self) -> Vec<Entry> {
        let mut entries = self.entries.clone();
        entries[0] = entries[0].clone().leaving();
        entries
    }

    /// Waits until the bound after a drain at `drained_at` and the silence are over, and checks that the server got
    /// nothing new after the bound while the others did.
    fn expect_drained(&self, drained_at: Instant) {
        let bound = drained_at + KNOWN_AFTER + GRACE;
        thread::sleep((drained_at + SILENCE).saturating_duration_since(Instant::now()));
        assert_eq!(self.servers[0].since(bound), 0, "sent to a draining server after the bound");
        assert!(self.servers[1].since(bound) > 0, "the others are used");
    }
}

/// Loads on both wires; of this service, where that is one.
fn loads(node: &Program, service: Option<&str>) -> Vec<Load> {
    let read = Ask::new(Class::Read);
    let ask = service.map_or(read.clone(), |name| read.of(name));
    let http = Load::asking(Wire::Http, node.http, 3, &ask);
    // Thrift calls are for the service without a name.
    let wire = Wire::Thrift { client: FORMS[0].1, boxes: FORMS[0].1 };
    let thrift = service.is_none().then(|| Load::asking(wire, node.thrift, 3, &ask));
    std::iter::once(http).chain(thrift).collect()
}

// Guards against a planner that confirms its plan without hearing of discovery, and so keeps its forwarder on it.
#[test]
fn a_drain_is_kept_though_the_planner_hears_nothing_of_discovery() {
    let fleet = Levelled::start(1, "settle_ms = 100\n", &[]);
    let node = fleet.forwarder("");
    until("the plan is followed", || {
        fleet.planners[0].0.explain(&[]).is_ok_and(|text| text.contains("1 connected, 1 hold"))
    });
    let loads = loads(&node, None);
    until("the server is used", || fleet.servers[0].came().len() > 20);
    fleet.planners[0].1.cut(UNANSWERED);
    let drained_at = Instant::now();
    fleet.own_discovery.tell(&fleet.drained());
    fleet.expect_drained(drained_at);
    for tally in loads.into_iter().map(Load::finish) {
        assert_eq!((tally.failed, tally.lost.len()), (0, 0), "{tally:?}");
    }
}

// Guards against a subscriber that keeps to a planner without discovery while another planner has the list.
#[test]
fn a_drain_is_kept_by_services_though_the_followed_planner_hears_nothing_of_discovery() {
    let fleet = Levelled::start(2, "services = true\n", &["shop"]);
    let node = fleet.forwarder("services = true\nservice = \"host\"\n");
    let ask = || Ask::new(Class::Read).of("shop");
    until("the service is served", || node.ask(Wire::Http, &ask()).is_some_and(|a| a.served()));
    let loads = loads(&node, Some("shop"));
    until("the server is used", || fleet.servers[0].came().len() > 20);
    let followed = fleet.followed();
    fleet.planners[followed].1.cut(UNANSWERED);
    let drained_at = Instant::now();
    fleet.planners[1 - followed].1.tell(&fleet.drained());
    fleet.expect_drained(drained_at);
    for tally in loads.into_iter().map(Load::finish) {
        assert_eq!((tally.failed, tally.lost.len()), (0, 0), "{tally:?}");
    }
}

// Guards against a forwarder that refuses requests because nobody's list is fresh.
#[test]
fn where_no_list_is_fresh_the_newest_is_served_on() {
    let fleet = Levelled::start(1, "settle_ms = 100\n", &[]);
    let node = fleet.forwarder("");
    until("the plan is followed", || {
        fleet.planners[0].0.explain(&[]).is_ok_and(|text| text.contains("1 connected, 1 hold"))
    });
    fleet.planners[0].1.cut(UNANSWERED);
    fleet.own_discovery.cut(UNANSWERED);
    let silent_since = Instant::now();
    let loads = loads(&node, None);
    thread::sleep(SILENCE);
    let stale = silent_since + KNOWN_AFTER;
    assert!(fleet.servers.iter().all(|server| server.since(stale) > 0), "all servers are used on");
    for tally in loads.into_iter().map(Load::finish) {
        assert_eq!((tally.failed, tally.lost.len()), (0, 0), "{tally:?}");
    }
}

// Guards against a forwarder's new process that goes by its configuration's list, while neither planners nor discovery
// speak and the old process was told of a drain.
#[test]
fn a_forwarder_that_takes_over_while_nobody_speaks_knows_what_the_old_process_was_told() {
    let mut fleet = Levelled::start(1, "settle_ms = 100\n", &[]);
    let mut node = fleet.forwarder("");
    let loads = loads(&node, None);
    until("the server is used", || fleet.servers[0].came().len() > 20);
    let discovery = &fleet.planners[0].1;
    let closed_from = discovery.told(discovery.tell(&fleet.drained())) + GRACE;
    until("the plan has the drain", || {
        fleet.planners[0].0.explain(&["--box", "box-0"]).is_ok_and(|text| text.contains("draining"))
    });
    thread::sleep(GRACE);
    fleet.own_discovery.cut(UNANSWERED);
    fleet.planners[0].0.kill();
    let new = node.ready_successor();
    node.signal("TERM");
    until("the old process ends", || !node.running());
    let begun = Instant::now();
    until("the others serve", || fleet.servers[1..].iter().all(|server| server.since(begun) > 20));
    assert_eq!(fleet.servers[0].since(closed_from), 0, "sent to a draining server");
    for tally in loads.into_iter().map(Load::finish) {
        assert_eq!((tally.failed, tally.lost.len()), (0, 0), "{tally:?}");
    }
    drop(new);
}
