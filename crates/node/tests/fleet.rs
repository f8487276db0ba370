//! Fleet members as real processes, connected by relays that lose, delay, corrupt and cut. `rig mesh` runs
//! many more cases.

use laurelroute_simulation::schedule::{read, spoken, strained, write, Fault, Schedule};
use laurelroute_testkit::mesh::{play, Mesh, Setup, Verdict};
use laurelroute_testkit::program::Bed;
use laurelroute_testkit::until;
use laurelroute_testkit::wire::Wire;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_laurelroute");

fn small_mesh(members: usize) -> Setup {
    Setup { members, boxes: 2, ..Setup::default() }
}

/// Runs `laurelroute fleet` with these arguments at a process.
fn fleet(mesh: &Mesh, at: usize, arguments: &[&str]) -> (i32, String) {
    run_command(mesh, at, "fleet", arguments)
}

/// Runs `laurelroute servers` with these arguments at a process.
fn servers(mesh: &Mesh, at: usize, arguments: &[&str]) -> (i32, String) {
    run_command(mesh, at, "servers", arguments)
}

/// Runs a command of the program at a process; returns its exit code and output.
fn run_command(mesh: &Mesh, at: usize, name: &str, arguments: &[&str]) -> (i32, String) {
    let mut command = Command::new(PROGRAM);
    command.env_remove("GW_CONFIG").env("GW_MANAGEMENT", mesh.process(at).management.to_string());
    let output = command.arg(name).args(arguments).output().expect("the program runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).trim().to_owned())
}

#[test]
fn a_kill_is_detected_and_shown_to_operators() {
    let mut mesh = Mesh::start(Path::new(PROGRAM), &small_mesh(5), 1);
    let (code, text) = fleet(&mesh, 0, &["members"]);
    assert!(code == 0 && text.starts_with("view 1 at node-000"), "{text}");
    mesh.apply(&Fault::Kill(3));
    let begun = Instant::now();
    until("the other members agree on one view", || mesh.agreed());
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    let (_, text) = fleet(&mesh, 0, &["explain", "node-003"]);
    assert!(text.contains("node-003 is no member"), "{text}");
    let (code, text) = fleet(&mesh, 0, &["explain", "node-9"]);
    assert_eq!((code, text.as_str()), (1, "laurelroute: no member is called `node-9`"));
    let (_, json) = fleet(&mesh, 1, &["members", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("the output is JSON");
    until("the node holds its lease", || fleet(&mesh, 1, &["members"]).1.contains("lease: held"));
    assert_eq!(json["members"].as_array().map(Vec::len), Some(5));
    mesh.apply(&Fault::Start(3));
    let agreed = mesh.settle();
    let verdict = mesh.finish(agreed);
    assert!(verdict.broken.is_empty(), "{verdict:#?}");
}

/// Runs these schedules concurrently, each on five processes, and checks that no guarantee is violated.
fn run_without_violation(schedules: &[(u64, Schedule)]) -> Vec<Verdict> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = schedules
            .iter()
            .map(|(seed, schedule)| {
                let run = scope.spawn(|| play(Path::new(PROGRAM), &small_mesh(5), *seed, schedule));
                (seed, schedule, run)
            })
            .collect();
        let verdicts = runs.into_iter().map(|(seed, schedule, run)| {
            let verdict = run.join().unwrap_or_else(|_| panic!("seed {seed} panicked"));
            println!("seed {seed}: {verdict:?}");
            assert!(verdict.broken.is_empty(), "seed {seed}: {:#?}\n{}", verdict.broken, write(schedule));
            verdict
        });
        verdicts.collect()
    })
}

/// A member that is cut off rejoins, and one that is stopped for two seconds stays a member; then one
/// schedule of each kind of fault.
#[test]
fn membership_guarantees_hold_under_faults() {
    let script = "500ms pause 1 2000ms\n3500ms cut 2 0,1,3,4\n3500ms cut 0,1,3,4 2\n8000ms mend\n";
    let mut schedules = vec![(0, read(script).expect("a schedule"))];
    schedules.extend([3, 10, 12].map(|seed| (seed, strained(seed, 5))));
    run_without_violation(&schedules);
}

/// A server that is banned at one node is banned at all; a node that starts with an empty disk has the ban
/// before it reports ready.
#[test]
fn a_ban_at_one_node_applies_at_all() {
    let mut mesh = Mesh::start(Path::new(PROGRAM), &small_mesh(4), 5);
    let (code, text) = servers(&mesh, 0, &["detach", "box-1", "--everywhere"]);
    assert!(
        code == 0 && text.contains("kept at 3 other members") && text.matches("has it").count() == 4,
        "{text}"
    );
    let (_, text) = fleet(&mesh, 3, &["state"]);
    assert!(text.contains("1 entries") && text.contains("box-1") && text.contains("node-000#1"), "{text}");
    mesh.apply(&Fault::Kill(2));
    until("the other members agree on one view", || mesh.agreed());
    let (code, text) = servers(&mesh, 1, &["attach", "box-1", "--everywhere"]);
    assert!(code == 0 && text.contains("kept at 2 other members"), "{text}");
    let (code, text) = servers(&mesh, 1, &["detach", "box-0"]);
    assert!(code == 0 && text.contains("kept at 2 other members"), "{text}");
    mesh.apply(&Fault::Fresh(2));
    until("the restarted node is ready", || mesh.process(2).call("GET", "/_ready") == Some(200));
    let (_, text) = fleet(&mesh, 2, &["state", "--kind", "ban"]);
    assert!(
        text.contains("box-0                    out") && text.contains("box-1                    in use"),
        "{text}"
    );
    let addresses = [0, 2].map(|k| mesh.process(k).management.to_string());
    let (code, text) = fleet(&mesh, 0, &["differ", &addresses[0], &addresses[1]]);
    assert_eq!((code, text.as_str()), (0, "the copies are equal"));
    let (code, text) = servers(&mesh, 0, &["attach", "box-1"]);
    assert!(code == 0 && text.contains("done"), "{text}");
    let agreed = mesh.settle();
    let verdict = mesh.finish(agreed);
    assert!(verdict.broken.is_empty(), "{verdict:#?}");
}

// Guards against a new process of an upgrade that sends to a server which was taken out at another member, while the old
// process has the fleet's port.
#[test]
fn a_ban_at_another_member_counts_at_both_processes_of_an_upgrade() {
    let mesh = Mesh::start(Path::new(PROGRAM), &small_mesh(3), 5);
    let new = mesh.process(0).ready_successor();
    until("both servers are used", || mesh.boxes().iter().all(|server| server.came().len() > 50));
    let (code, text) = servers(&mesh, 1, &["detach", "box-1"]);
    assert_eq!(code, 0, "{text}");
    // The bound on a detach, 1 s, counts from the call; the grace and 50 ms come on top.
    let closed_from = Instant::now() + Duration::from_millis(300);
    std::thread::sleep(Duration::from_millis(1_300));
    let begun = Instant::now();
    until("the other server is used", || mesh.boxes()[0].since(begun) > 100);
    assert_eq!(mesh.boxes()[1].since(closed_from), 0, "sent to a server that is out");
    drop(new);
}

/// All replicas converge after bans on both sides of a partition, kills with and without the disk, and pauses.
#[test]
fn replicas_converge_under_faults() {
    let script = "0ms ban 0 1\n600ms cut 0,1,2 3,4\n600ms cut 3,4 0,1,2\n1000ms back 0 1\n1100ms ban 1 1\n1300ms back 4 1\n\
                 1500ms ban 3 0\n1600ms kill 2\n4000ms mend\n4200ms fresh 2\n5000ms pause 1 2000ms\n5500ms back 0 0\n8000ms mend\n";
    let mut schedules = vec![(0, read(script).expect("a schedule"))];
    schedules.extend([2, 7].map(|seed| (seed, spoken(seed, 5, 2))));
    assert!(run_without_violation(&schedules).iter().all(|verdict| verdict.words.0 > 0));
}

/// A ban that no disk could store is written to all of them soon after they work again, although nothing else
/// changes; otherwise a restart of all nodes would lose it.
#[test]
fn a_ban_that_the_disks_missed_is_written_once_they_work() {
    let mesh = Mesh::start(Path::new(PROGRAM), &small_mesh(3), 5);
    let failing_disks: Vec<_> = (0..3).map(|k| mesh.process(k).lose_disk()).collect();
    let (code, text) = servers(&mesh, 0, &["detach", "box-1"]);
    assert!(code == 0 && text.contains("forgotten when this process is killed"), "{code}: {text}");
    drop(failing_disks);
    let written = |k: usize| {
        let files = std::fs::read_dir(mesh.process(k).folder()).expect("a folder").filter_map(Result::ok);
        let mut replicas = files.map(|f| f.path()).filter(|p| p.extension().is_some_and(|e| e == "replica"));
        replicas.any(|p| std::fs::read(p).is_ok_and(|b| b.windows(5).any(|w| w == b"box-1")))
    };
    until("the ban is on all disks", || (0..3).all(written));
}

/// A node that restarts without its disk takes over the learned state of the servers from a neighbour.
#[test]
fn a_node_without_a_disk_learns_from_a_neighbour() {
    let mut mesh = Mesh::start(Path::new(PROGRAM), &small_mesh(3), 6);
    let learned = |mesh: &Mesh| {
        let (_, text) = fleet(mesh, 2, &["members", "--json"]);
        let all: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        all["learnt"].clone()
    };
    mesh.run(Duration::from_secs(1));
    mesh.apply(&Fault::Kill(2));
    until("the other members agree on one view", || mesh.agreed());
    mesh.apply(&Fault::Fresh(2));
    until("the node has imported learned state", || !learned(&mesh).is_null());
    let imported = learned(&mesh);
    assert!(imported["servers"] == 2 && imported["from"] != "node-002", "{imported}");
    let agreed = mesh.settle();
    let verdict = mesh.finish(agreed);
    assert!(verdict.broken.is_empty(), "{verdict:#?}");
}

/// Where the platform does not allow connections between nodes, a file with a fleet is rejected with the reason.
#[test]
fn a_fleet_is_rejected_where_nodes_may_not_connect() {
    let bed = Bed::new(Path::new(PROGRAM), Wire::Http, 1);
    let site = bed.node.folder().join("fleet.toml");
    let member = |k: u8| {
        format!("[[fleet.member]]\nname = \"node-{k}\"\naddress = \"127.0.0.1:{}\"\n", 7_000 + u16::from(k))
    };
    let text = format!(
        "[fleet]\nsite = \"s\"\nname = \"node-1\"\nlisten = \"127.0.0.1:7001\"\n{}{}",
        member(1),
        member(2)
    );
    std::fs::write(&site, text).expect("the file can be written");
    let mut command = Command::new(PROGRAM);
    command.arg("--site").arg(&site).env("GW_CONFIG", bed.node.folder().join("config.json"));
    let output = command.env("TMPDIR", bed.node.folder().join("none")).output().expect("the program ends");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && error.contains("caps.peers"), "{error}");
}

/// The checks of the test bed find a violation: a partition that is never healed does not end in agreement.
#[test]
fn a_violated_guarantee_is_found() {
    let schedule = read("400ms cut 1 0,2\n400ms cut 0,2 1\n5000ms pause 0 1ms\n").expect("a schedule");
    let verdict = play(Path::new(PROGRAM), &small_mesh(3), 1, &schedule);
    assert!(verdict.broken.iter().any(|b| b.contains("agreed after None")), "{verdict:#?}");
}
