//! The small form of the scale run, as it is.

use std::process::Command;

/// 60 nodes, 3,000 servers, 150 services: every promise of its page is kept.
#[test]
fn a_small_day_keeps_every_promise() {
    let seed = laurelroute_testkit::seed() % 1_000_000;
    let mut rig = Command::new(env!("CARGO_BIN_EXE_laurelroute-rig"));
    let run = rig.args(["scale-out", "--small", "--seconds", "1", "--seed", &seed.to_string()]).output();
    let run = run.expect("the rig runs");
    let (told, wrong) = (String::from_utf8_lossy(&run.stdout), String::from_utf8_lossy(&run.stderr));
    assert!(run.status.success(), "seed {seed}\n{told}\n{wrong}");
    assert!(told.contains("RESULT scale-out "), "{told}");
}
