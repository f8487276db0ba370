//! A node whose wall clock is an hour off at the start and is corrected 3 s later: a server that joins after
//! that has the same slow start there as at other nodes.

use laurelroute_testkit::boxes::Act;
use laurelroute_testkit::discovery::Entry;
use laurelroute_testkit::load::Load;
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::soak::shim::{self, Shim};
use laurelroute_testkit::wire::{Class, Wire};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SERVERS: usize = 5;
/// Seconds after the start at which the wall clock is corrected, and the time at which the server joins.
const CLOCK_CORRECTED_SECONDS: f64 = 3.0;
const JOIN_TIME: Duration = Duration::from_millis(4_000);
const CLIENTS: usize = 12;

/// The new server's share of the requests in its first 2 s and in the 6 s after these, times the number of servers.
fn request_shares(library: &Path, offset: f64) -> [f64; 2] {
    let shim = Shim::default().with("wall_offset", offset).with("wall_until", CLOCK_CORRECTED_SECONDS);
    let wishes = Wishes { cold: (0.14, 10_000), environment: shim.environment(library), ..Wishes::default() };
    let begun = Instant::now();
    let bed = Bed::wishing(Path::new(env!("CARGO_BIN_EXE_laurelroute")), Wire::Http, SERVERS, wishes);
    // The last server is not listed yet.
    let entries = bed.entries();
    bed.discovery.told(bed.discovery.tell(&entries[..SERVERS - 1]));
    bed.boxes.iter().for_each(|b| b.usually(Act::After(Duration::from_millis(5))));
    let load = Load::start(Wire::Http, bed.node.http, CLIENTS, Class::Read, 0);
    thread::sleep(JOIN_TIME.saturating_sub(begun.elapsed()));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
    let with_joined: Vec<Entry> =
        entries[..SERVERS - 1].iter().cloned().chain([entries[SERVERS - 1].clone().born(now)]).collect();
    let joined_at = bed.discovery.told(bed.discovery.tell(&with_joined));
    let share = |from: Instant, until: Instant| {
        let received = |k: usize| bed.boxes[k].came().iter().filter(|c| c.at >= from && c.at < until).count();
        let total: usize = (0..SERVERS).map(received).sum();
        (received(SERVERS - 1) * SERVERS) as f64 / total as f64
    };
    let (after_2_s, after_8_s) = (joined_at + Duration::from_secs(2), joined_at + Duration::from_secs(8));
    thread::sleep(after_8_s.saturating_duration_since(Instant::now()));
    load.finish();
    [share(joined_at, after_2_s), share(after_2_s, after_8_s)]
}

#[test]
fn a_wrong_wall_clock_at_the_start_does_not_change_slow_start() {
    let library = shim::shared(Path::new(env!("CARGO_TARGET_TMPDIR")));
    let [right, ahead, behind] = thread::scope(|scope| {
        [0.0, 3_600.0, -3_600.0]
            .map(|offset| scope.spawn(move || request_shares(library, offset)))
            .map(|thread| thread.join().expect("the run does not panic"))
    });
    println!("right {right:.2?}, ahead {ahead:.2?}, behind {behind:.2?}");
    for (clock, seen) in [("ahead", ahead), ("behind", behind)] {
        for (k, (seen, right)) in seen.into_iter().zip(right).enumerate() {
            let ratio = seen / right;
            assert!(
                (0.6..1.6).contains(&ratio),
                "{clock}, interval {k}: {seen:.2} where {right:.2} is expected"
            );
        }
    }
}
