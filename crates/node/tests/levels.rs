//! Forwarders and planners as processes: outages, authentication, `explain` and errors in the site file.

use laurelroute_testkit::boxes::{Plan, StandIn};
use laurelroute_testkit::discovery::{Discovery, Entry};
use laurelroute_testkit::levels::{Authority, Levels, Planner};
use laurelroute_testkit::outage::{self, Size};
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::wire::{Class, Wire};
use laurelroute_testkit::{seed, until};
use laurelroute_thrift::codec::FORMS;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_laurelroute");

fn bed(levels: Levels, servers: usize) -> Bed {
    let wishes = Wishes { levels: Some(levels), ..Wishes::default() };
    Bed::wishing(Path::new(PROGRAM), Wire::Http, servers, wishes)
}

#[test]
fn planners_killed_under_load_lose_no_request_and_are_followed_again() {
    let size = Size { forwarders: 3, boxes: 6, part: Duration::from_millis(1_500) };
    let outcome = outage::run(Path::new(PROGRAM), seed(), size);
    assert!(outcome.broken.is_empty(), "{outcome:?}");
    assert!(outcome.converged < Duration::from_secs(10), "{outcome:?}");
}

#[test]
fn a_forwarder_starts_where_no_planner_runs() {
    let servers: Vec<StandIn> =
        (0..2).map(|k| StandIn::start(&format!("box-{k}"), FORMS[0].1, Arc::<Plan>::default())).collect();
    let entries: Vec<Entry> = servers.iter().map(Entry::of).collect();
    let discovery = Discovery::start(&entries);
    let wishes = Wishes { levels: Some(Levels::Up), ..Wishes::default() };
    let authority = Authority::default();
    let mut planner = Planner::new(Path::new(PROGRAM), &authority, "p0", discovery.address, &wishes, "");
    let site = format!("{}[forward]\nplanners = [\"{}\"]\n", authority.peers("suite", "f0"), planner.address);
    let node = laurelroute_testkit::program::Program::start(
        Path::new(PROGRAM),
        discovery.address,
        FORMS[0].1,
        Wishes { site, ..wishes },
    );
    let served = || {
        node.ask(Wire::Http, &laurelroute_testkit::wire::Ask::new(Class::Read)).is_some_and(|a| a.served())
    };
    until("it serves with the list alone", served);
    planner.start();
    until("it follows the planner", || planner.explain(&[]).is_ok_and(|t| t.contains("1 connected, 1 hold")));
    assert!(served());
}

#[test]
fn explain_shows_the_plan_and_its_reasons() {
    let bed = bed(Levels::Up, 3);
    let planner = &bed.upper.as_ref().unwrap().planners[0];
    let summary = planner.explain(&[]).unwrap();
    assert!(summary.contains("boxes: 3 ready") && summary.contains("forwarders: 1 connected"), "{summary}");
    let one = planner.explain(&["--box", "box-1"]).unwrap();
    assert!(one.contains("box box-1: ready") && one.contains("in the subsets of 1: f0"), "{one}");
    assert!(planner.explain(&["--box", "who"]).unwrap().contains("no box is named `who`"));
    let class = planner.explain(&["--class", "read"]).unwrap();
    assert!(class.contains("f0: ") && class.contains("no limit"), "{class}");
    assert!(planner.explain(&["--class", "who"]).unwrap().contains("there are read, write, keyed"));
    let mut entries = bed.entries();
    entries[1] = entries[1].clone().leaving();
    bed.discovery.tell(&entries);
    until("the drain is known", || {
        planner.explain(&["--box", "box-1"]).is_ok_and(|t| t.contains("draining"))
    });
}

#[test]
fn an_unauthenticated_peer_gets_nothing() {
    let bed = bed(Levels::Up, 2);
    let planner = &bed.upper.as_ref().unwrap().planners[0];
    // Plain bytes are answered with a TLS alert at most.
    let mut stream = TcpStream::connect(planner.address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert!(answer.len() < 16, "{answer:?}");
    // A certificate of another authority, as a forwarder and as an operator.
    let stranger = Authority::default();
    let file = std::env::temp_dir().join(format!("laurelroute-stranger-{}.toml", std::process::id()));
    std::fs::write(&file, stranger.peers("suite", "f7")).unwrap();
    let ask = |file: &Path| {
        let mut command = Command::new(PROGRAM);
        command.args(["explain", "--plan", &planner.address.to_string(), "--site"]).arg(file);
        let output = command.output().unwrap();
        (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned(), output.stdout)
    };
    let (ok, error, output) = ask(&file);
    assert!(!ok && output.is_empty() && error.contains("planner 127."), "{error}");
    // A valid certificate of another site is refused with the reason.
    std::fs::write(&file, bed.upper.as_ref().unwrap().authority.peers("elsewhere", "f8")).unwrap();
    let (ok, error, output) = ask(&file);
    assert!(
        !ok && output.is_empty() && error.contains("it refuses: to p0: it belongs to site `elsewhere`"),
        "{error}"
    );
    std::fs::remove_file(&file).unwrap();
    assert!(planner.explain(&[]).unwrap().contains("1 connected"), "no other forwarder has joined");
}

#[test]
fn a_role_without_its_section_of_the_file_names_it() {
    let file = std::env::temp_dir().join(format!("laurelroute-role-{}.toml", std::process::id()));
    let servers = [StandIn::start("box-0", FORMS[0].1, Arc::<Plan>::default())];
    let discovery = Discovery::start(&servers.iter().map(Entry::of).collect::<Vec<_>>());
    let planner = Planner::new(
        Path::new(PROGRAM),
        &Authority::default(),
        "p",
        discovery.address,
        &Wishes::default(),
        "",
    );
    std::fs::write(&file, "").unwrap();
    for (role, section) in [("plan", "peers"), ("forward", "peers")] {
        let mut command = Command::new(PROGRAM);
        let output =
            command.arg(role).arg("--site").arg(&file).env("GW_CONFIG", planner.config()).output().unwrap();
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && error.contains(&format!("this role needs `[{section}]`")),
            "{error}"
        );
    }
    std::fs::write(&file, "[peers]\nsite = \"s\"\nname = \"n\"\nauthority = \"none.pem\"\ncertificate = \"c\"\nkey = \"k\"\n[plan]\nlisten = \"127.0.0.1:0\"\n").unwrap();
    let mut command = Command::new(PROGRAM);
    let output =
        command.arg("plan").arg("--site").arg(&file).env("GW_CONFIG", planner.config()).output().unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("none.pem"), "{output:?}");
    std::fs::remove_file(&file).unwrap();
}
