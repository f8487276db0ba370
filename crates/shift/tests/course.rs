//! Advancing, holding and undoing a shift, and operators' commands.

mod common;

use common::*;
use laurelroute_shift::rollout::{CommandError, HoldReason, State, Verb};
use laurelroute_shift::settings::OnAlarm;

#[test]
fn evidence_advances_a_shift_and_time_alone_does_not() {
    let mut fixture = Fixture::started(1);
    for _ in 0..600 {
        fixture.now += S;
        fixture.rollout.tick(fixture.now, pool_status(3.0, 3.0));
    }
    assert_eq!(fixture.rollout.step(), 0, "there were no requests");
    assert!(
        fixture.rollout.explain_state(fixture.now).contains("has shown 0 of"),
        "{}",
        fixture.rollout.explain_state(fixture.now)
    );
    fixture.run_healthy(400);
    assert_eq!(*fixture.rollout.state(), State::Finished, "{}", fixture.rollout.explain_state(fixture.now));
    assert_eq!(fixture.rollout.shares(), [1.0, 1.0]);
}

#[test]
fn the_holdback_stays_with_the_old_pool_until_the_end() {
    let mut fixture = Fixture::started(2);
    let mut most = 0.0f64;
    while *fixture.rollout.state() != State::Finished {
        most = fixture.rollout.shares().iter().copied().fold(most, f64::max);
        fixture.run_healthy(1);
        assert!(fixture.now < 2000 * S, "the shift finishes");
    }
    assert!(most <= 0.98, "{most} went to the new pool with nothing left to compare");
}

#[test]
fn a_delayed_class_lags_by_the_configured_steps() {
    let mut settings = settings();
    settings.class_delays = vec![0, 2];
    let mut fixture = Fixture::new(settings, 3);
    fixture.rollout.apply_command(fixture.now, &command(Verb::Start)).unwrap();
    let mut seen = Vec::new();
    while *fixture.rollout.state() != State::Finished {
        fixture.run_healthy(1);
        seen.push((fixture.rollout.shares()[0], fixture.rollout.shares()[1]));
        assert!(fixture.now < 2000 * S, "the shift finishes");
    }
    assert!(seen.contains(&(0.05, 0.0)) && seen.contains(&(0.2, 0.01)) && seen.contains(&(0.98, 0.2)));
}

#[test]
fn a_fault_of_one_class_undoes_the_shift_and_is_named() {
    let mut fixture = Fixture::started(4);
    while fixture.rollout.state().on() && *fixture.rollout.state() != State::Undone {
        fixture.run_second([0.001; 2], [0.001, 0.4], pool_status(3.0, 3.0));
        assert!(fixture.rollout.step() <= 1, "the fault is detected within two steps");
    }
    let last = fixture.rollout.changes().last().unwrap();
    assert_eq!(last.alarm.as_ref().unwrap().0, "class=acknowledge");
    assert_eq!(fixture.rollout.shares(), [0.0, 0.0]);
}

#[test]
fn a_fault_of_both_pools_raises_no_alarm_and_a_failing_old_pool_does_not_speed_up_the_shift() {
    let mut fixture = Fixture::started(5);
    for _ in 0..100 {
        fixture.run_second([0.3; 2], [0.3; 2], pool_status(3.0, 3.0));
    }
    assert!(matches!(fixture.rollout.state(), State::Step { .. }), "{:?}", fixture.rollout.state());
    let (mut bad, mut sound) = (Fixture::started(6), Fixture::started(6));
    for _ in 0..60 {
        bad.run_second([0.3; 2], [0.0; 2], pool_status(3.0, 3.0));
        sound.run_second([0.001; 2], [0.0; 2], pool_status(3.0, 3.0));
    }
    assert!(bad.rollout.step() <= sound.rollout.step(), "{} > {}", bad.rollout.step(), sound.rollout.step());
}

#[test]
fn a_small_pool_gets_the_share_it_can_carry_and_the_status_explains_it() {
    let mut fixture = Fixture::started(7);
    for _ in 0..300 {
        fixture.run_second([0.001; 2], [0.001; 2], pool_status(3.0, 0.1));
    }
    let most = fixture.rollout.shares().iter().copied().fold(0.0, f64::max);
    assert!(most < 0.5 && fixture.rollout.step() < 4, "{:?}", fixture.rollout.shares());
    assert!(
        fixture.rollout.explain_state(fixture.now).contains("the new pool carries"),
        "{}",
        fixture.rollout.explain_state(fixture.now)
    );
}

#[test]
fn an_undo_leaves_traffic_that_the_old_pool_cannot_carry() {
    let mut fixture = Fixture::started(8);
    while fixture.rollout.shares()[0] < 0.2 {
        fixture.run_healthy(1);
    }
    // The old pool loses most of its servers, and the rest carries 57%.
    fixture.rollout.tick(fixture.now, pool_status(0.6, 3.0));
    fixture.rollout.apply_command(fixture.now, &command(Verb::Undo)).unwrap();
    assert_eq!(*fixture.rollout.state(), State::Undoing);
    assert!(fixture.rollout.shares()[0] > 0.0);
    fixture.now += S;
    fixture.rollout.tick(fixture.now, pool_status(3.0, 3.0));
    assert_eq!((fixture.rollout.state(), fixture.rollout.shares()), (&State::Undone, &[0.0, 0.0][..]));
}

#[test]
fn an_empty_old_pool_holds_the_shift_and_an_empty_new_one_undoes_it() {
    let mut fixture = Fixture::started(9);
    fixture.run_healthy(60);
    let shares = fixture.rollout.shares().to_vec();
    fixture.rollout.tick(fixture.now, pool_status(0.0, 3.0));
    assert!(matches!(fixture.rollout.state(), State::Held { why: HoldReason::OldPoolEmpty, .. }));
    assert_eq!(fixture.rollout.shares(), shares, "the shares do not change");
    assert_eq!(
        fixture.rollout.apply_command(fixture.now, &command(Verb::Undo)),
        Err(CommandError::EmptyPool("old"))
    );
    fixture.now += S;
    fixture.rollout.tick(fixture.now, pool_status(3.0, 3.0));
    fixture.now += S;
    fixture.rollout.tick(fixture.now, pool_status(3.0, 3.0));
    assert!(
        matches!(fixture.rollout.state(), State::Held { .. }),
        "the hold outlasts the cause by the settle time"
    );
    fixture.now += 10 * S;
    fixture.rollout.tick(fixture.now, pool_status(3.0, 3.0));
    assert!(matches!(fixture.rollout.state(), State::Step { .. }));
    fixture.rollout.tick(fixture.now, pool_status(3.0, 0.0));
    assert_eq!(*fixture.rollout.state(), State::Undone);
}

#[test]
fn an_unreachable_zone_holds_the_shift_and_raises_the_alarm_threshold() {
    let mut fixture = Fixture::started(10);
    fixture.run_healthy(60);
    let mut cut = pool_status(3.0, 3.0);
    cut.cut_off = true;
    fixture.rollout.tick(fixture.now, cut.clone());
    let step = fixture.rollout.step();
    assert!(matches!(fixture.rollout.state(), State::Held { why: HoldReason::ZoneUnreachable, .. }));
    for _ in 0..60 {
        fixture.run_second([0.001; 2], [0.001; 2], cut.clone());
    }
    assert_eq!(fixture.rollout.step(), step);
    for _ in 0..60 {
        fixture.run_second([0.001; 2], [0.5; 2], cut.clone());
    }
    assert_eq!(*fixture.rollout.state(), State::Undone, "strong evidence overrides the unreachable zone");
}

#[test]
fn without_a_planner_a_shift_never_advances_and_undoes_on_strong_evidence() {
    let mut fixture = Fixture::started(11);
    let mut alone = pool_status(3.0, 3.0);
    alone.no_planner = true;
    for _ in 0..200 {
        fixture.run_second([0.001; 2], [0.001; 2], alone.clone());
    }
    assert_eq!((fixture.rollout.step(), fixture.rollout.state_name()), (0, "stepping"));
    for _ in 0..60 {
        fixture.run_second([0.001; 2], [0.9; 2], alone.clone());
    }
    assert_eq!(*fixture.rollout.state(), State::Undone);
}

#[test]
fn a_forced_advance_is_undone_when_as_much_evidence_is_seen_again() {
    let mut settings = settings();
    settings.on_alarm = OnAlarm::Hold;
    let mut fixture = Fixture::new(settings, 12);
    fixture.rollout.apply_command(fixture.now, &command(Verb::Start)).unwrap();
    while !matches!(fixture.rollout.state(), State::Held { why: HoldReason::Alarm, .. }) {
        fixture.run_second([0.001; 2], [0.2; 2], pool_status(3.0, 3.0));
        assert!(fixture.now < 2000 * S, "an alarm is raised");
    }
    let change = fixture.rollout.apply_command(fixture.now, &command(Verb::Advance)).unwrap();
    assert!(change.why.contains("on evidence against it"), "{}", change.why);
    assert!(matches!(fixture.rollout.state(), State::Step { .. }), "the advance takes effect");
    fixture.rollout.settings.on_alarm = OnAlarm::Undo;
    let from = fixture.now;
    while *fixture.rollout.state() != State::Undone {
        fixture.run_second([0.001; 2], [0.2; 2], pool_status(3.0, 3.0));
        assert!(fixture.now < from + 1000 * S, "the shift is undone");
    }
}

#[test]
fn commands_that_do_not_apply_are_rejected() {
    let mut fixture = Fixture::new(settings(), 13);
    for verb in [Verb::Hold, Verb::Advance, Verb::Undo, Verb::Finish] {
        assert!(
            matches!(
                fixture.rollout.apply_command(fixture.now, &command(verb)),
                Err(CommandError::InvalidState(..))
            ),
            "{verb:?}"
        );
    }
    fixture.rollout.apply_command(fixture.now, &command(Verb::Start)).unwrap();
    fixture.run_healthy(30);
    fixture.rollout.apply_command(fixture.now, &command(Verb::Hold)).unwrap();
    let (step, shares) = (fixture.rollout.step(), fixture.rollout.shares().to_vec());
    fixture.run_healthy(100);
    assert_eq!(
        (fixture.rollout.step(), fixture.rollout.shares()),
        (step, &shares[..]),
        "an operator's hold does not end by itself"
    );
    fixture.rollout.apply_command(fixture.now, &command(Verb::Undo)).unwrap();
    let again = fixture.rollout.apply_command(fixture.now + S, &command(Verb::Start));
    assert!(matches!(again, Err(CommandError::CoolingDown(1, 600))), "{again:?}");
    let mut insisted = command(Verb::Start);
    insisted.insist = true;
    fixture.rollout.apply_command(fixture.now + S, &insisted).unwrap();
    fixture.rollout.apply_command(fixture.now + S, &command(Verb::Abandon)).unwrap();
    assert!(!fixture.rollout.state().on());
}
