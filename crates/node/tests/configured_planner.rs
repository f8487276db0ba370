//! Planners with a list in their configuration: it is no source for forwarders that have another one, and overrides no
//! list of discovery.

use laurelroute_testkit::boxes::{Plan, StandIn};
use laurelroute_testkit::discovery::{Discovery, Entry};
use laurelroute_testkit::levels::{Authority, Levels, Planner};
use laurelroute_testkit::program::{Program, Wishes};
use laurelroute_testkit::until;
use laurelroute_testkit::wire::{Ask, Class, Wire};
use laurelroute_thrift::codec::FORMS;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_laurelroute");
/// All requests of an idle pool are served this long after the forwarder's start.
const SERVED_AFTER: Duration = Duration::from_secs(1);
/// Once discovery speaks, its list counts within this time.
const LISTED_WITHIN: Duration = Duration::from_secs(1);
/// How long a server may be sent new requests once its drain is known, with the 50 ms of the rules on sockets.
const GRACE: Duration = Duration::from_millis(300);
/// How long discovery is silent for the planner from its start on.
const SILENCE: Duration = Duration::from_secs(10);
/// Watches that get no answer while discovery is silent.
const UNANSWERED: usize = 10_000;
/// The version at discovery as the planner starts. Earlier ones from [`FIRST_KEPT`] on are kept.
const PRESENT: u64 = 5;
const FIRST_KEPT: u64 = 3;
/// Versions of the planner's configured list: discovery's, the one before it, one that discovery has no changes from, and
/// one of an earlier count.
const CONFIGURED: [u64; 4] = [PRESENT, PRESENT - 1, 1, 1_000];

/// What differs between plans and services.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    Plans,
    Services,
}

impl Mode {
    fn planner_settings(self) -> &'static str {
        match self {
            Mode::Plans => "planners = 1\nsettle_ms = 100\n",
            Mode::Services => "planners = 1\nservices = true\n",
        }
    }

    fn forwarder_settings(self) -> &'static str {
        match self {
            Mode::Plans => "",
            Mode::Services => "services = true\nservice = \"host\"\n",
        }
    }

    fn ask(self) -> Ask {
        match self {
            Mode::Plans => Ask::new(Class::Read),
            Mode::Services => Ask::new(Class::Read).of("shop"),
        }
    }
}

/// Three servers, a planner with a configured list and a forwarder. Each has its own discovery with the same list.
struct Fleet {
    mode: Mode,
    servers: Vec<StandIn>,
    entries: Vec<Entry>,
    discoveries: [Discovery; 2],
    _authority: Authority,
    planner: Planner,
    node: Program,
    started_at: Instant,
}

impl Fleet {
    fn start(mode: Mode, configured: u64, silent: bool) -> Fleet {
        let start_server = |k: usize| StandIn::start(&format!("box-{k}"), FORMS[0].1, Arc::<Plan>::default());
        let servers: Vec<StandIn> = (0..3).map(start_server).collect();
        let service: &[&str] = if mode == Mode::Services { &["shop"] } else { &[] };
        let entries: Vec<Entry> = servers.iter().map(|s| Entry::of(s).serving(service)).collect();
        let discoveries = [Discovery::start(&entries), Discovery::start(&entries)];
        for discovery in &discoveries {
            while discovery.tell(&entries) < FIRST_KEPT {}
            discovery.tell_changes();
            while discovery.tell(&entries) < PRESENT {}
        }
        if silent {
            discoveries[0].cut(UNANSWERED);
        }
        let authority = Authority::default();
        let wishes = Wishes { known: Some((configured, entries.clone())), ..Wishes::default() };
        let address = discoveries[0].address;
        let settings = mode.planner_settings();
        let mut planner = Planner::of(Path::new(PROGRAM), &authority, "p0", address, &wishes, settings);
        planner.start();
        until("the planner runs", || planner.explain(&[]).is_ok());
        let peers = authority.peers("suite", "f0");
        let site = format!(
            "{peers}[forward]\nplanners = [{:?}]\n{}",
            planner.address.to_string(),
            mode.forwarder_settings()
        );
        let wishes = Wishes { site, levels: Some(Levels::Up), ..Wishes::default() };
        let started_at = Instant::now();
        let node = Program::start(Path::new(PROGRAM), discoveries[1].address, FORMS[0].1, wishes);
        Fleet { mode, servers, entries, discoveries, _authority: authority, planner, node, started_at }
    }

    fn served(&self) -> bool {
        self.node.ask(Wire::Http, &self.mode.ask()).is_some_and(|answer| answer.served())
    }

    /// Asks all the while until then; all requests have to be served.
    fn expect_served_until(&self, end: Instant, case: &str) {
        while Instant::now() < end {
            assert!(self.served(), "{case}: refused at {:?}", self.started_at.elapsed());
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn drain_first(&self, discovery: &Discovery) -> u64 {
        let mut entries = self.entries.clone();
        entries[0] = entries[0].clone().leaving();
        discovery.tell(&entries)
    }
}

/// Plays all versions of the configured list at once.
fn with_each_version(play: impl Fn(u64) + Sync) {
    thread::scope(|scope| {
        for configured in CONFIGURED {
            let play = &play;
            scope.spawn(move || play(configured));
        }
    });
}

fn discovery_is_sound(mode: Mode) {
    with_each_version(|configured| {
        let case = format!("configured version {configured}");
        let fleet = Fleet::start(mode, configured, false);
        thread::sleep((fleet.started_at + SERVED_AFTER).saturating_duration_since(Instant::now()));
        fleet.expect_served_until(Instant::now() + Duration::from_secs(1), &case);
        fleet.drain_first(&fleet.discoveries[1]);
        let told = fleet.discoveries[0].told(fleet.drain_first(&fleet.discoveries[0]));
        fleet.expect_served_until(told + LISTED_WITHIN, &case);
        assert_eq!(fleet.servers[0].since(told + GRACE), 0, "{case}: sent to a draining server");
    });
}

fn discovery_is_silent_for_the_planner_at_first(mode: Mode) {
    with_each_version(|configured| {
        let case = format!("configured version {configured}");
        let fleet = Fleet::start(mode, configured, true);
        thread::sleep((fleet.started_at + SERVED_AFTER).saturating_duration_since(Instant::now()));
        fleet.expect_served_until(Instant::now() + Duration::from_secs(1), &case);
        let drained = fleet.drain_first(&fleet.discoveries[1]);
        if mode == Mode::Plans {
            // The forwarder goes by its own discovery. By services nobody can be asked but the planner.
            let told = fleet.discoveries[1].told(drained);
            fleet.expect_served_until(fleet.started_at + SILENCE, &case);
            assert_eq!(fleet.servers[0].since(told + GRACE), 0, "{case}: sent to a draining server");
        }
        fleet.expect_served_until(fleet.started_at + SILENCE, &case);
        // Discovery speaks to the planner.
        fleet.drain_first(&fleet.discoveries[0]);
        fleet.discoveries[0].cut(0);
        let spoken = Instant::now();
        fleet.expect_served_until(spoken + LISTED_WITHIN, &case);
        // A planner does not plan for a server that it first sees draining.
        let explained = fleet.planner.explain(&["--box", "box-0"]);
        let listed = |text: &String| text.contains("draining") || text.contains("no box is named");
        assert!(explained.as_ref().is_ok_and(listed), "{case}: {explained:?}");
        let explained = fleet.planner.explain(&["--box", "box-1"]);
        assert!(explained.as_ref().is_ok_and(|text| text.contains("box-1: ready")), "{case}: {explained:?}");
        fleet.expect_served_until(spoken + LISTED_WITHIN + Duration::from_secs(1), &case);
        assert_eq!(fleet.servers[0].since(spoken + LISTED_WITHIN + GRACE), 0, "{case}");
    });
}

// Guards against a planner that has only changes to its configured list, plans for no servers and has its forwarders refuse.
#[test]
fn a_planner_with_a_configured_list_plans_by_discoverys_list() {
    discovery_is_sound(Mode::Plans);
}

// The same where the planner hears nothing of discovery at first: it is no source, and overrides none.
#[test]
fn a_planner_with_only_a_configured_list_is_no_source_of_plans() {
    discovery_is_silent_for_the_planner_at_first(Mode::Plans);
}

// Guards against a planner that publishes nothing, because it has only changes to its configured list.
#[test]
fn a_planner_with_a_configured_list_publishes_services_by_discoverys_list() {
    discovery_is_sound(Mode::Services);
}

// By services there is no other source: the configured list is served on until discovery speaks.
#[test]
fn a_planner_with_only_a_configured_list_publishes_it_until_discovery_speaks() {
    discovery_is_silent_for_the_planner_at_first(Mode::Services);
}
