//! Members of a fleet as real processes, joined by relays that lose, delay, spoil and cut. Many more: `rig mesh`.

use laurelroute_simulation::schedule::{drawn, read, write, Fault};
use laurelroute_testkit::mesh::{play, Mesh, Setup};
use laurelroute_testkit::until;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_laurelroute");

fn small(members: usize) -> Setup {
    Setup { members, boxes: 2, ..Setup::default() }
}

/// `laurelroute fleet ...` at a process: its exit code and what it prints.
fn fleet(mesh: &Mesh, at: usize, arguments: &[&str]) -> (i32, String) {
    let mut command = Command::new(PROGRAM);
    command.env_remove("GW_CONFIG").env("GW_MANAGEMENT", mesh.process(at).management.to_string());
    let output = command.arg("fleet").args(arguments).output().expect("the program runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).trim().to_owned())
}

#[test]
fn a_kill_is_noticed_and_told_to_operators() {
    let mut mesh = Mesh::start(Path::new(PROGRAM), &small(5), 1);
    let (code, text) = fleet(&mesh, 0, &["members"]);
    assert!(code == 0 && text.starts_with("view 1 at node-000"), "{text}");
    mesh.apply(&Fault::Kill(3));
    let begun = Instant::now();
    until("the others are of one view", || mesh.agreed());
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    let (_, text) = fleet(&mesh, 0, &["explain", "node-003"]);
    assert!(text.contains("node-003 is no member"), "{text}");
    let (code, text) = fleet(&mesh, 0, &["explain", "node-9"]);
    assert_eq!((code, text.as_str()), (1, "laurelroute: no member is called `node-9`"));
    let (_, json) = fleet(&mesh, 1, &["members", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("it is JSON");
    until("its lease comes", || fleet(&mesh, 1, &["members"]).1.contains("lease: held"));
    assert_eq!(json["members"].as_array().map(Vec::len), Some(5));
    mesh.apply(&Fault::Start(3));
    let agreed = mesh.settle();
    let verdict = mesh.finish(agreed);
    assert!(verdict.broken.is_empty(), "{verdict:#?}");
}

/// One that is cut off comes back; one that stops for two seconds never leaves; and one schedule of each kind of fault.
#[test]
fn promises_hold_under_faults() {
    let program = Path::new(PROGRAM);
    let named = "500ms pause 1 2000ms\n3500ms cut 2 0,1,3,4\n3500ms cut 0,1,3,4 2\n8000ms mend\n";
    let mut schedules = vec![(0, read(named).expect("a schedule"))];
    schedules.extend([3, 10].map(|seed| (seed, drawn(seed, 5))));
    std::thread::scope(|scope| {
        let plays: Vec<_> = schedules
            .iter()
            .map(|(seed, schedule)| {
                (seed, schedule, scope.spawn(|| play(program, &small(5), *seed, schedule)))
            })
            .collect();
        for (seed, schedule, one) in plays {
            let verdict = one.join().unwrap_or_else(|_| panic!("seed {seed} did not come to its end"));
            println!("seed {seed}: {verdict:?}");
            assert!(verdict.broken.is_empty(), "seed {seed}: {:#?}\n{}", verdict.broken, write(schedule));
        }
    });
}

/// The bed's own checks find what is wrong: a cut that nobody mends does not end in agreement.
#[test]
fn a_broken_promise_is_found() {
    let schedule = read("400ms cut 1 0,2\n400ms cut 0,2 1\n5000ms pause 0 1ms\n").expect("a schedule");
    let verdict = play(Path::new(PROGRAM), &small(3), 1, &schedule);
    assert!(verdict.broken.iter().any(|b| b.contains("agreed after None")), "{verdict:#?}");
}
