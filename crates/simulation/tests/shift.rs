//! Shifts to drawn new pools: sound, cold, faulty. Many more seeds: `rig shift --seeds N`.

use laurelroute_shift::rollout::State;
use laurelroute_simulation::draw::Draw;
use laurelroute_simulation::shift::course::{play, New};
use laurelroute_simulation::shift::world::{self, World};
use laurelroute_simulation::shift::{Fault, Kind, Where};
use laurelroute_simulation::S;

const SEEDS: u64 = 24;

#[test]
fn sound_and_cold_pools_come_to_the_end() {
    for seed in 0..SEEDS {
        for new in [New::Sound, New::Cold] {
            let played = play(seed, new);
            assert!(played.finished, "seed {seed}, {new:?}: {}", played.why);
        }
    }
}

#[test]
fn what_is_owed_is_found_within_two_steps() {
    let mut undone = 0;
    for seed in 0..3 * SEEDS {
        let fault = Fault::drawn(&mut Draw::new(seed, 99), 40);
        let played = play(seed, New::Faulty(fault));
        undone += u64::from(played.undone);
        assert!(!played.owed || played.in_two_steps(), "seed {seed}, {fault:?}: {played:?}");
    }
    assert!(undone > SEEDS, "only {undone} of {} were found", 3 * SEEDS);
}

#[test]
fn a_fault_of_one_class_or_shire_does_not_hide_in_the_average() {
    for at in [Where::Class(2), Where::Shire(5), Where::Both(2, 5), Where::Repeats] {
        let fault = Fault { kind: Kind::Fails, at, size: 0.5, after: 0.0 };
        for seed in 0..4 {
            let played = play(seed, New::Faulty(fault));
            assert!(played.in_two_steps(), "seed {seed}, {at:?}: {played:?}");
        }
    }
}

fn brief(world: World) -> World {
    World { boxes: (8, 8), until: 60 * S, watch: 5 * S, ..world }
}

#[test]
fn no_cold_box_is_pushed_over_and_no_rule_is_broken() {
    for seed in 0..4 {
        for boxes in [(8, 8), (8, 1), (4, 12)] {
            let world = World { cold: true, boxes, ..brief(World::usual()) };
            let out = world::play(&world, seed);
            assert_eq!(
                (out.pushed, out.twice, out.late_sends, out.lost),
                (0, 0, 0, 0),
                "seed {seed} {boxes:?}"
            );
            assert!(out.state != State::Undone, "seed {seed} {boxes:?}: {:?}", out.changes);
            let back = out.points.windows(2).filter(|w| w[1].shares[0] < 0.9 * w[0].shares[0]).count();
            assert!(back <= 1, "seed {seed} {boxes:?}: sessions went to and fro {back} times");
            let most = out.points.iter().flat_map(|p| &p.shares).fold(0.0f64, |m, s| m.max(*s));
            assert!(boxes.1 > 1 || most < 0.5, "one box of nine was given {most}");
        }
    }
}

#[test]
fn a_class_that_fails_is_taken_back_and_nothing_runs_twice() {
    let fault = Fault { kind: Kind::Fails, at: Where::Class(2), size: 0.5, after: 0.0 };
    for seed in 0..4 {
        let out = world::play(&World { fault: Some(fault), ..brief(World::usual()) }, seed);
        assert_eq!(out.state, State::Undone, "seed {seed}: {:?}", out.changes);
        assert_eq!((out.twice, out.lost, out.moved_twice), (0, 0, 0), "seed {seed}");
    }
}

#[test]
fn an_old_pool_that_goes_away_holds_the_shift_and_clients_are_served() {
    let world = World { old_gone: Some(12 * S), watch: 100 * S, ..brief(World::usual()) };
    let out = world::play(&world, 1);
    assert!(matches!(out.state, State::Held { .. }), "{:?}", out.changes);
    assert_eq!((out.late_sends, out.twice), (0, 0));
    let last = out.points.last().expect("there were looks");
    assert!(f64::from(last.in_aim) > 0.9 * f64::from(last.came), "{} of {}", last.in_aim, last.came);
}

#[test]
fn a_load_that_doubles_is_no_fault_of_the_new_pool() {
    let world = World { load: 0.35, doubles: Some(12 * S), ..brief(World::usual()) };
    for seed in 0..4 {
        let out = world::play(&world, seed);
        assert!(out.state != State::Undone, "seed {seed}: {:?}", out.changes);
    }
}
