//! Members of a fleet under the faults that they have to bear, in simulated time.

use laurelroute_membership::defect::{Defect, Planted};
use laurelroute_membership::MemberId;
use laurelroute_simulation::members::{play, Fleet};
use laurelroute_simulation::schedule::{drawn, Fault, Network};
use laurelroute_simulation::{MS, S};

fn founded(members: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(members, seed, 500 * MS);
    let took = fleet.settle(20 * S);
    assert!(took.is_some(), "no view of all, seed {seed}");
    // Leases come a little later.
    fleet.run(3 * S);
    assert!(fleet.used() > 0.9, "{} used, seed {seed}", fleet.used());
    fleet
}

fn sound(fleet: &Fleet, seed: u64) {
    assert!(fleet.broken.is_empty(), "seed {seed}: {:#?}", fleet.broken);
}

fn none_removed(fleet: &Fleet, seed: u64) {
    assert!(fleet.removals.is_empty(), "seed {seed}: {:#?}", fleet.removals);
}

#[test]
fn all_found_one_view() {
    for (members, seed) in [(1, 1), (2, 2), (3, 3), (5, 4), (12, 5), (30, 6)] {
        let fleet = founded(members, seed);
        sound(&fleet, seed);
    }
}

#[test]
fn a_kill_is_noticed_and_the_rest_use_what_it_had() {
    for seed in 0..20 {
        let mut fleet = founded(12, seed);
        fleet.apply(&Fault::Kill((seed % 12) as MemberId));
        let took = fleet.settle(6 * S).expect("all agree");
        assert!(took <= 3_500 * MS, "{} ms, seed {seed}", took / MS);
        fleet.run(5 * S - took);
        assert!(fleet.used() > 0.9, "{}", fleet.used());
        sound(&fleet, seed);
        assert_eq!(fleet.removals.len(), 1);
    }
}

#[test]
fn several_killed_at_once_are_one_change() {
    for seed in 0..20 {
        let mut fleet = founded(30, seed);
        // Fewer than half of the council.
        let council = fleet.machine(0).and_then(|m| m.view()).expect("a view").council();
        let killed: Vec<MemberId> =
            council[8..].iter().copied().chain((0..30).filter(|s| !council.contains(s)).take(3)).collect();
        killed.iter().for_each(|s| fleet.apply(&Fault::Kill(*s)));
        assert!(fleet.settle(8 * S).is_some(), "seed {seed}");
        let views = fleet.views(council[0]);
        assert_eq!(
            views.len(),
            2,
            "seed {seed}: {:?}",
            views.iter().map(|(_, v)| v.members.len()).collect::<Vec<_>>()
        );
        sound(&fleet, seed);
    }
}

#[test]
fn a_paused_member_accuses_nobody_and_stays_in() {
    for seed in 0..20 {
        let mut fleet = founded(12, seed);
        fleet.apply(&Fault::Pause(3, 500 * MS + seed * 75 * MS));
        fleet.run(6 * S);
        none_removed(&fleet, seed);
        sound(&fleet, seed);
    }
}

#[test]
fn long_pauses_put_out_only_those_who_paused_and_they_come_back() {
    for seed in 0..10 {
        let mut fleet = founded(30, seed);
        (10..16).for_each(|s| fleet.apply(&Fault::Pause(s, 10 * S)));
        fleet.run(10 * S);
        assert!(fleet.removals.iter().all(|r| (10..16).contains(&r.seat)), "{:?}", fleet.removals);
        assert!(fleet.settle(5 * S).is_some(), "seed {seed}");
        sound(&fleet, seed);
    }
}

#[test]
fn a_one_sided_cut_of_one_pair_changes_nothing() {
    for seed in 0..10 {
        let mut fleet = founded(12, seed);
        fleet.apply(&Fault::Cut(vec![2], vec![7]));
        fleet.run(15 * S);
        none_removed(&fleet, seed);
        sound(&fleet, seed);
    }
}

/// A third reaches the rest only one way, one way or the other: there is one verdict, and it stays.
#[test]
fn a_third_that_is_cut_one_way_ends_in_one_stable_verdict() {
    for seed in 0..10 {
        for inwards in [false, true] {
            let mut fleet = founded(12, seed);
            let (third, rest): (Vec<MemberId>, Vec<MemberId>) = ((0..4).collect(), (4..12).collect());
            let cut = if inwards {
                Fault::Cut(rest.clone(), third.clone())
            } else {
                Fault::Cut(third, rest.clone())
            };
            fleet.apply(&cut);
            fleet.run(20 * S);
            let count = fleet.views(rest[0]).len();
            fleet.run(20 * S);
            assert_eq!(fleet.views(rest[0]).len(), count, "seed {seed}, inwards {inwards}: it flaps");
            let view = fleet.machine(rest[0]).and_then(|m| m.view()).cloned();
            rest.iter().for_each(|s| assert_eq!(fleet.machine(*s).and_then(|m| m.view()).cloned(), view));
            fleet.apply(&Fault::Mend);
            assert!(fleet.settle(5 * S).is_some(), "seed {seed}, inwards {inwards}");
            sound(&fleet, seed);
        }
    }
}

#[test]
fn halves_never_use_more_than_the_whole_and_mend() {
    for seed in 0..10 {
        let mut fleet = founded(12, seed);
        let (a, b): (Vec<MemberId>, Vec<MemberId>) =
            (0..12).partition(|s| (u64::from(*s) * 7 + seed) % 2 == 0);
        fleet.apply(&Fault::Cut(a.clone(), b.clone()));
        fleet.apply(&Fault::Cut(b, a));
        fleet.run(30 * S);
        fleet.apply(&Fault::Mend);
        assert!(fleet.settle(5 * S).is_some(), "seed {seed}");
        sound(&fleet, seed);
    }
}

#[test]
fn three_ways_and_a_chain_mend() {
    for seed in 0..6 {
        let mut fleet = founded(12, seed);
        for a in 0..12u16 {
            let to =
                (0..12).filter(|b| if seed % 2 == 0 { a % 3 != b % 3 } else { a.abs_diff(*b) > 1 }).collect();
            fleet.apply(&Fault::Cut(vec![a], to));
        }
        fleet.run(20 * S);
        fleet.apply(&Fault::Mend);
        assert!(fleet.settle(5 * S).is_some(), "seed {seed}");
        sound(&fleet, seed);
    }
}

#[test]
fn a_minute_of_loss_and_jitter_puts_nobody_out() {
    for seed in 0..6 {
        let mut fleet = founded(12, seed);
        fleet.apply(&Fault::Network(Network {
            loss: 0.3,
            doubled: 0.1,
            delay: (MS, 200 * MS),
            ..Network::default()
        }));
        fleet.run(60 * S);
        none_removed(&fleet, seed);
        sound(&fleet, seed);
    }
}

#[test]
fn all_restarted_at_once_found_anew() {
    for seed in 0..10 {
        let mut fleet = founded(12, seed);
        for seat in 0..12 {
            fleet.apply(&Fault::Kill(seat));
            fleet.run(150 * MS);
            fleet.apply(&Fault::Start(seat));
        }
        assert!(fleet.settle(12 * S).is_some(), "seed {seed}");
        sound(&fleet, seed);
    }
}

#[test]
fn all_but_one_killed_and_started_again() {
    for seed in 0..10 {
        let mut fleet = founded(12, seed);
        (1..12).for_each(|s| fleet.apply(&Fault::Kill(s)));
        fleet.run(10 * S);
        (1..12).for_each(|s| fleet.apply(&Fault::Start(s)));
        assert!(fleet.settle(15 * S).is_some(), "seed {seed}");
        sound(&fleet, seed);
    }
}

#[test]
fn a_member_that_flaps_is_in_or_out_and_the_rest_agree() {
    for seed in 0..4 {
        let mut fleet = founded(12, seed);
        for _ in 0..6 {
            fleet.apply(&Fault::Kill(5));
            fleet.run(1_500 * MS);
            fleet.apply(&Fault::Start(5));
            fleet.run(1_500 * MS);
        }
        assert!(fleet.settle(5 * S).is_some(), "seed {seed}");
        assert!(fleet.removals.iter().all(|r| r.seat == 5), "{:?}", fleet.removals);
        sound(&fleet, seed);
    }
}

#[test]
fn drawn_schedules_break_no_promise() {
    for seed in 0..60 {
        let verdict = play(12, seed, &drawn(seed, 12), Planted::default());
        assert!(verdict.broken.is_empty(), "seed {seed}: {:#?}", verdict.broken);
    }
}

/// The checks above are no good if they find nothing where something is wrong.
#[test]
fn planted_defects_are_found() {
    for defect in Defect::ALL {
        let breaks =
            |seed: &u64| !play(12, *seed, &drawn(*seed, 12), Planted::some(defect)).broken.is_empty();
        let found = (0..100).find(breaks);
        println!("{defect:?}: found by seed {found:?}");
        assert!(found.is_some(), "{defect:?} is not found within 100 seeds");
    }
}
