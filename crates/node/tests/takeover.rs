//! Takeovers under load with a kill, a stop or a one-way loss of messages at a step drawn from the seed. `rig
//! kills` runs many more.

use laurelroute_testkit::silence::{self, Stop, Who};
use laurelroute_testkit::takeover;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Enough seeds to cover every kind of fault; `LAURELROUTE_SEED` runs a single other one.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;

#[test]
fn faults_at_any_step_lose_no_ban_execute_nothing_twice_and_leave_a_serving_process() {
    let single_seed: Option<u64> = std::env::var("LAURELROUTE_SEED").ok().and_then(|s| s.parse().ok());
    let seeds: Vec<u64> = single_seed.map_or(SEEDS.collect(), |seed| vec![seed]);
    let mut violations = Vec::new();
    // A few seeds at a time, because each starts three or four processes.
    for batch in seeds.chunks(4) {
        let runs: Vec<_> = batch
            .iter()
            .map(|&seed| {
                let program = Path::new(env!("CARGO_BIN_EXE_laurelroute"));
                (seed, thread::spawn(move || takeover::run(program, seed)))
            })
            .collect();
        for (seed, run) in runs {
            let outcome = run.join().unwrap_or_else(|_| panic!("seed {seed} panicked"));
            println!("seed {seed}: {outcome:?}");
            violations.extend(outcome.broken.iter().map(|b| format!("seed {seed}: {b}")));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Either process is stopped at some steps of a takeover: new clients are still answered, and kept ones lose
/// no request.
#[test]
fn a_stopped_process_leaves_no_client_unanswered() {
    let lasts = Duration::from_secs(2);
    let mut violations = Vec::new();
    for after in [0, 2, 5, 30].map(Duration::from_millis) {
        let runs = [Who::Elder, Who::Heir].map(|who| {
            let stop = Stop { who, after, lasts };
            let program = Path::new(env!("CARGO_BIN_EXE_laurelroute"));
            (stop, thread::spawn(move || silence::play(program, stop, None)))
        });
        for (stop, run) in runs {
            let outcome = run.join().unwrap_or_else(|_| panic!("{stop:?} panicked"));
            println!("{stop:?}: {outcome:?}");
            violations.extend(outcome.broken().into_iter().map(|b| format!("{stop:?}: {b}")));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
