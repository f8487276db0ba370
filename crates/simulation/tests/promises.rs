//! Promises under drawn faults, after every event; and agreement soon after all is mended.

use laurelroute_simulation::boxes::Cold;
use laurelroute_simulation::faults::{deploy, drawn, HEALED};
use laurelroute_simulation::world::{Mode, Setup, World, BEGIN};
use laurelroute_simulation::{Nanos, MS, S};

const COLD: Cold = Cold { from: 0.3, ramp: 10 * S, tip: 3.0, fall: 2 * S };

fn setup(seed: u64, mode: Mode) -> Setup {
    let speeds = (0..12).map(|k| [0.6, 1.0, 1.6][k % 3]).collect();
    Setup {
        seed,
        mode,
        forwarders: 5,
        planners: 2 + (seed % 2) as usize,
        speeds,
        workers: 4,
        rate: 500.0,
        cap: Some(40),
        wanted: 8,
        cold: COLD,
        skew: 300 * MS,
    }
}

/// Runs a seed; gives how long after all was mended the last forwarder was in agreement.
fn run(seed: u64) -> Result<Nanos, String> {
    let setup = setup(seed, Mode::TwoLevel);
    let plan = drawn(seed, setup.forwarders, setup.planners, setup.speeds.len());
    let mut world = World::new(setup, plan);
    world.run_until(HEALED + 4 * S);
    match world.tally.broken.first() {
        Some(first) => Err(first.clone()),
        None => Ok(world.tally.apart_at.saturating_sub(BEGIN + HEALED)),
    }
}

#[test]
fn drawn_faults_break_no_promise() {
    let named = std::env::var("LAURELROUTE_SEED").ok().and_then(|s| s.parse::<u64>().ok());
    let seeds = named.map_or(0..150, |seed| seed..seed + 1);
    let mut slowest = (0, 0);
    for seed in seeds {
        match run(seed) {
            Ok(took) => slowest = slowest.max((took, seed)),
            Err(broken) => panic!("{broken}"),
        }
    }
    assert!(slowest.0 <= 2 * S, "seed {} took {} ms to agree", slowest.1, slowest.0 / MS);
    println!("slowest to agree: seed {}, {} ms", slowest.1, slowest.0 / MS);
}

#[test]
fn a_deploy_of_nearly_all_boxes_breaks_no_promise() {
    let mut setup = setup(1, Mode::TwoLevel);
    (setup.forwarders, setup.speeds, setup.rate) = (8, vec![1.0; 60], 2_000.0);
    let plan = deploy(5 * S, 30 * S, 60, 0.99, &[1.0]);
    let mut world = World::new(setup, plan);
    world.run_until(50 * S);
    assert!(world.tally.broken.is_empty(), "{:?}", world.tally.broken);
    let all = world.tally.classes.iter().fold((0, 0), |s, c| (s.0 + c.asked, s.1 + c.served));
    assert!(all.1 as f64 > 0.97 * all.0 as f64, "{all:?}");
}

#[test]
fn equal_seeds_run_alike() {
    let once = || {
        let setup = setup(7, Mode::TwoLevel);
        let mut world = World::new(setup, drawn(7, 5, 3, 12));
        world.run_until(6 * S);
        (format!("{:?}", world.tally.classes), world.tally.bytes)
    };
    assert_eq!(once(), once());
}

#[test]
fn one_level_and_true_state_run_in_the_same_world() {
    for mode in [Mode::OneLevel, Mode::TrueState] {
        let mut world = World::new(setup(3, mode), Vec::new());
        world.run_until(10 * S);
        assert!(world.tally.broken.is_empty(), "{:?}", world.tally.broken);
        let status = world.tally.classes[0];
        assert!(status.in_aim as f64 > 0.9 * status.asked as f64, "{mode:?}: {status:?}");
    }
}
