//! What moves a shift, what holds it, and what operators can say.

mod common;

use common::*;
use laurelroute_shift::rollout::{CommandError, HoldReason, State, Verb};
use laurelroute_shift::settings::OnAlarm;

#[test]
fn evidence_moves_a_shift_and_time_alone_does_not() {
    let mut bed = Bed::started(1);
    for _ in 0..600 {
        bed.now += S;
        bed.rollout.tick(bed.now, sight(3.0, 3.0));
    }
    assert_eq!(bed.rollout.step(), 0, "nobody has asked for anything");
    assert!(
        bed.rollout.explain_state(bed.now).contains("has shown 0 of"),
        "{}",
        bed.rollout.explain_state(bed.now)
    );
    bed.sound(400);
    assert_eq!(*bed.rollout.state(), State::Finished, "{}", bed.rollout.explain_state(bed.now));
    assert_eq!(bed.rollout.shares(), [1.0, 1.0]);
}

#[test]
fn a_part_is_kept_back_until_the_end() {
    let mut bed = Bed::started(2);
    let mut most = 0.0f64;
    while *bed.rollout.state() != State::Finished {
        most = bed.rollout.shares().iter().copied().fold(most, f64::max);
        bed.sound(1);
        assert!(bed.now < 2000 * S, "it comes to its end");
    }
    assert!(most <= 0.98, "{most} went to the new pool with nothing left to compare");
}

#[test]
fn a_class_comes_later_where_the_file_says_so() {
    let mut with = settings();
    with.class_delays = vec![0, 2];
    let mut bed = Bed::new(with, 3);
    bed.rollout.apply_command(bed.now, &word(Verb::Start)).unwrap();
    let mut seen = Vec::new();
    while *bed.rollout.state() != State::Finished {
        bed.sound(1);
        seen.push((bed.rollout.shares()[0], bed.rollout.shares()[1]));
        assert!(bed.now < 2000 * S, "it comes to its end");
    }
    assert!(seen.contains(&(0.05, 0.0)) && seen.contains(&(0.2, 0.01)) && seen.contains(&(0.98, 0.2)));
}

#[test]
fn a_fault_of_one_class_halts_all_and_names_it() {
    let mut bed = Bed::started(4);
    while bed.rollout.state().on() && *bed.rollout.state() != State::Undone {
        bed.second([0.001; 2], [0.001, 0.4], sight(3.0, 3.0));
        assert!(bed.rollout.step() <= 1, "two steps are enough");
    }
    let last = bed.rollout.changes().last().unwrap();
    assert_eq!(last.alarm.as_ref().unwrap().0, "class=acknowledge");
    assert_eq!(bed.rollout.shares(), [0.0, 0.0]);
}

#[test]
fn what_strikes_both_pools_halts_nothing_and_a_bad_old_one_hurries_nothing() {
    let mut bed = Bed::started(5);
    for _ in 0..100 {
        bed.second([0.3; 2], [0.3; 2], sight(3.0, 3.0));
    }
    assert!(matches!(bed.rollout.state(), State::Step { .. }), "{:?}", bed.rollout.state());
    let (mut bad, mut sound) = (Bed::started(6), Bed::started(6));
    for _ in 0..60 {
        bad.second([0.3; 2], [0.0; 2], sight(3.0, 3.0));
        sound.second([0.001; 2], [0.0; 2], sight(3.0, 3.0));
    }
    assert!(bad.rollout.step() <= sound.rollout.step(), "{} > {}", bad.rollout.step(), sound.rollout.step());
}

#[test]
fn a_small_pool_gets_what_it_can_carry_and_says_so() {
    let mut bed = Bed::started(7);
    for _ in 0..300 {
        bed.second([0.001; 2], [0.001; 2], sight(3.0, 0.1));
    }
    let most = bed.rollout.shares().iter().copied().fold(0.0, f64::max);
    assert!(most < 0.5 && bed.rollout.step() < 4, "{:?}", bed.rollout.shares());
    assert!(
        bed.rollout.explain_state(bed.now).contains("the new pool carries"),
        "{}",
        bed.rollout.explain_state(bed.now)
    );
}

#[test]
fn an_undo_leaves_what_the_old_pool_cannot_carry() {
    let mut bed = Bed::started(8);
    while bed.rollout.shares()[0] < 0.2 {
        bed.sound(1);
    }
    // Half of the old pool is deleted, and what is left carries 57%.
    bed.rollout.tick(bed.now, sight(0.6, 3.0));
    bed.rollout.apply_command(bed.now, &word(Verb::Undo)).unwrap();
    assert_eq!(*bed.rollout.state(), State::Undoing);
    assert!(bed.rollout.shares()[0] > 0.0);
    bed.now += S;
    bed.rollout.tick(bed.now, sight(3.0, 3.0));
    assert_eq!((bed.rollout.state(), bed.rollout.shares()), (&State::Undone, &[0.0, 0.0][..]));
}

#[test]
fn pools_that_go_away_hold_it_or_send_it_back() {
    let mut bed = Bed::started(9);
    bed.sound(60);
    let shares = bed.rollout.shares().to_vec();
    bed.rollout.tick(bed.now, sight(0.0, 3.0));
    assert!(matches!(bed.rollout.state(), State::Held { why: HoldReason::OldPoolEmpty, .. }));
    assert_eq!(bed.rollout.shares(), shares, "it stands still");
    assert_eq!(bed.rollout.apply_command(bed.now, &word(Verb::Undo)), Err(CommandError::EmptyPool("old")));
    bed.now += S;
    bed.rollout.tick(bed.now, sight(3.0, 3.0));
    bed.now += S;
    bed.rollout.tick(bed.now, sight(3.0, 3.0));
    assert!(matches!(bed.rollout.state(), State::Held { .. }), "a pool that has just come back may go again");
    bed.now += 10 * S;
    bed.rollout.tick(bed.now, sight(3.0, 3.0));
    assert!(matches!(bed.rollout.state(), State::Step { .. }));
    bed.rollout.tick(bed.now, sight(3.0, 0.0));
    assert_eq!(*bed.rollout.state(), State::Undone);
}

#[test]
fn a_cut_off_depot_holds_it_and_what_is_not_beyond_doubt_halts_nothing() {
    let mut bed = Bed::started(10);
    bed.sound(60);
    let mut cut = sight(3.0, 3.0);
    cut.cut_off = true;
    bed.rollout.tick(bed.now, cut.clone());
    let step = bed.rollout.step();
    assert!(matches!(bed.rollout.state(), State::Held { why: HoldReason::ZoneUnreachable, .. }));
    for _ in 0..60 {
        bed.second([0.001; 2], [0.001; 2], cut.clone());
    }
    assert_eq!(bed.rollout.step(), step);
    for _ in 0..60 {
        bed.second([0.001; 2], [0.5; 2], cut.clone());
    }
    assert_eq!(*bed.rollout.state(), State::Undone, "this much is no network's doing");
}

#[test]
fn without_a_planner_it_never_climbs_and_undoes_beyond_doubt() {
    let mut bed = Bed::started(11);
    let mut alone = sight(3.0, 3.0);
    alone.no_planner = true;
    for _ in 0..200 {
        bed.second([0.001; 2], [0.001; 2], alone.clone());
    }
    assert_eq!((bed.rollout.step(), bed.rollout.state_name()), (0, "stepping"));
    for _ in 0..60 {
        bed.second([0.001; 2], [0.9; 2], alone.clone());
    }
    assert_eq!(*bed.rollout.state(), State::Undone);
}

#[test]
fn an_advance_on_bad_evidence_is_done_and_undone_at_a_second_bound() {
    let mut with = settings();
    with.on_alarm = OnAlarm::Hold;
    let mut bed = Bed::new(with, 12);
    bed.rollout.apply_command(bed.now, &word(Verb::Start)).unwrap();
    while !matches!(bed.rollout.state(), State::Held { why: HoldReason::Alarm, .. }) {
        bed.second([0.001; 2], [0.2; 2], sight(3.0, 3.0));
        assert!(bed.now < 2000 * S, "it alarms");
    }
    let change = bed.rollout.apply_command(bed.now, &word(Verb::Advance)).unwrap();
    assert!(change.why.contains("on evidence against it"), "{}", change.why);
    assert!(matches!(bed.rollout.state(), State::Step { .. }), "it is done");
    bed.rollout.settings.on_alarm = OnAlarm::Undo;
    let from = bed.now;
    while *bed.rollout.state() != State::Undone {
        bed.second([0.001; 2], [0.2; 2], sight(3.0, 3.0));
        assert!(bed.now < from + 1000 * S, "and undone");
    }
}

#[test]
fn words_that_make_no_sense_are_refused() {
    let mut bed = Bed::new(settings(), 13);
    for verb in [Verb::Hold, Verb::Advance, Verb::Undo, Verb::Finish] {
        assert!(
            matches!(bed.rollout.apply_command(bed.now, &word(verb)), Err(CommandError::InvalidState(..))),
            "{verb:?}"
        );
    }
    bed.rollout.apply_command(bed.now, &word(Verb::Start)).unwrap();
    bed.sound(30);
    bed.rollout.apply_command(bed.now, &word(Verb::Hold)).unwrap();
    let (step, shares) = (bed.rollout.step(), bed.rollout.shares().to_vec());
    bed.sound(100);
    assert_eq!((bed.rollout.step(), bed.rollout.shares()), (step, &shares[..]), "an operator's hold holds");
    bed.rollout.apply_command(bed.now, &word(Verb::Undo)).unwrap();
    let again = bed.rollout.apply_command(bed.now + S, &word(Verb::Start));
    assert!(matches!(again, Err(CommandError::CoolingDown(1, 600))), "{again:?}");
    let mut insisted = word(Verb::Start);
    insisted.insist = true;
    bed.rollout.apply_command(bed.now + S, &insisted).unwrap();
    bed.rollout.apply_command(bed.now + S, &word(Verb::Abandon)).unwrap();
    assert!(!bed.rollout.state().on());
}
