//! Takeovers under load with a kill, a stop or a one-sided silence at some step of each, from seeds. Many more: `rig kills`.

use laurelroute_testkit::silence::{self, Stop, Who};
use laurelroute_testkit::takeover;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Enough that every kind of strike is among them; `LAURELROUTE_SEED` plays another one alone.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;

#[test]
fn strikes_at_any_step_forget_no_ban_run_nothing_twice_and_leave_somebody_who_answers() {
    let named: Option<u64> = std::env::var("LAURELROUTE_SEED").ok().and_then(|s| s.parse().ok());
    let seeds: Vec<u64> = named.map_or(SEEDS.collect(), |seed| vec![seed]);
    let mut broken = Vec::new();
    // A few at a time: each starts three or four processes.
    for some in seeds.chunks(4) {
        let plays: Vec<_> = some
            .iter()
            .map(|&seed| {
                let program = Path::new(env!("CARGO_BIN_EXE_laurelroute"));
                (seed, thread::spawn(move || takeover::run(program, seed)))
            })
            .collect();
        for (seed, play) in plays {
            let seen = play.join().unwrap_or_else(|_| panic!("seed {seed} did not come to its end"));
            println!("seed {seed}: {seen:?}");
            broken.extend(seen.broken.iter().map(|b| format!("seed {seed}: {b}")));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Either process stopped at some steps of a takeover: new clients go on being answered, kept ones lose nothing.
#[test]
fn a_stopped_process_makes_no_silence() {
    let lasts = Duration::from_secs(2);
    let mut broken = Vec::new();
    for after in [0, 2, 5, 30].map(Duration::from_millis) {
        let plays = [Who::Elder, Who::Heir].map(|who| {
            let stop = Stop { who, after, lasts };
            let program = Path::new(env!("CARGO_BIN_EXE_laurelroute"));
            (stop, thread::spawn(move || silence::play(program, stop, None)))
        });
        for (stop, play) in plays {
            let seen = play.join().unwrap_or_else(|_| panic!("{stop:?} did not come to its end"));
            println!("{stop:?}: {seen:?}");
            broken.extend(seen.broken().into_iter().map(|b| format!("{stop:?}: {b}")));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
