//! The real program under system calls that are interrupted or transfer fewer bytes (EINTR, short reads and
//! writes): on every wire no request is lost, executed twice or failed because of them, and signals are
//! handled.

use laurelroute_testkit::load::Load;
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::soak::shim::{self, Shim};
use laurelroute_testkit::until;
use laurelroute_testkit::wire::{Class, Wire, CLASSES};
use std::path::Path;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 6;
/// The duration of the load and the seed of the shim, unless `LAURELROUTE_SECONDS` and `LAURELROUTE_SEED` are set.
const SECONDS: u64 = 3;
const SEED: u64 = 7;

fn variable_or(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn shim_library() -> &'static Path {
    shim::shared(Path::new(env!("CARGO_TARGET_TMPDIR")))
}

fn interrupted_wishes(seed: u32) -> Wishes {
    let knobs = ["recv_eintr", "send_eintr", "recv_short", "send_short", "epoll_eintr"];
    let shim = knobs.into_iter().fold(Shim::default(), |shim, knob| shim.with(knob, 0.01));
    let environment = shim.with("unix_eintr", 0.05).with("seed", seed.into()).environment(shim_library());
    Wishes { environment, ..Wishes::default() }
}

fn bed(wire: Wire) -> Bed {
    Bed::wishing(
        Path::new(env!("CARGO_BIN_EXE_laurelroute")),
        wire,
        4,
        interrupted_wishes(variable_or("LAURELROUTE_SEED", SEED) as u32),
    )
}

fn expect_no_loss(wire: Wire) {
    let bed = bed(wire);
    let address = match wire {
        Wire::Http => bed.node.http,
        Wire::Thrift { .. } => bed.node.thrift,
    };
    let loads: Vec<_> =
        CLASSES.iter().map(|class| Load::start(wire, address, CLIENTS, *class, 200)).collect();
    thread::sleep(Duration::from_secs(variable_or("LAURELROUTE_SECONDS", SECONDS)));
    for (load, class) in loads.into_iter().zip(CLASSES) {
        let tally = load.finish();
        let ran = bed.ran();
        let forwarded_but_closed = tally.crossed.iter().filter(|id| ran.contains_key(*id)).count();
        let executed_twice = if class == Class::Write { tally.twice(&ran) } else { 0 };
        let counts =
            (tally.lost.len(), tally.mixed.len(), forwarded_but_closed, executed_twice, tally.failed);
        assert_eq!(
            counts,
            (0, 0, 0, 0, 0),
            "{class:?}: lost, mixed, forwarded but closed, executed twice, failed; {} served",
            tally.served.len()
        );
        assert!(tally.served.len() > 500, "{class:?}: {} served", tally.served.len());
    }
}

#[test]
fn interrupted_calls_lose_no_request_http() {
    expect_no_loss(Wire::Http);
}

#[test]
fn interrupted_calls_lose_no_request_thrift() {
    expect_no_loss(Wire::thrift("framed-binary"));
}

/// A list that takes several reads is used as soon as it has been written, and not only when discovery sends more.
#[test]
fn short_reads_do_not_delay_a_list() {
    let shim = Shim::default().with("recv_short", 0.9);
    let wishes = Wishes { environment: shim.environment(shim_library()), ..Wishes::default() };
    let bed = Bed::wishing(Path::new(env!("CARGO_BIN_EXE_laurelroute")), Wire::Http, 3, wishes);
    let load = Load::start(Wire::Http, bed.node.http, CLIENTS, Class::Read, 0);
    for round in 0..6 {
        let mut entries = bed.entries();
        entries[round % 2] = entries[round % 2].clone().leaving();
        let delivered_at = bed.discovery.told(bed.discovery.tell(&entries));
        thread::sleep(Duration::from_millis(600));
        let late = bed.boxes[round % 2].since(delivered_at + Duration::from_millis(300));
        assert_eq!(late, 0, "round {round}: sent to a draining server after the grace time");
    }
    load.finish();
}

/// The runtime library's signal handling ended the process at the first interrupted read of its pipe; the
/// program's own must not.
#[test]
fn interrupted_calls_do_not_break_signal_handling() {
    let mut bed = bed(Wire::Http);
    let discovery = bed.discovery.address;
    for _ in 0..150 {
        bed.configure(discovery);
        thread::sleep(Duration::from_millis(5));
    }
    assert!(bed.node.running(), "the program exited on SIGHUP");
    bed.node.signal("TERM");
    until("the program exits on SIGTERM", || !bed.node.running());
}
