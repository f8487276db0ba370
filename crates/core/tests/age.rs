//! Start times of servers, with a wall clock that is right, ahead or behind.

use laurelroute_core::start_time::{started_at, ClockReading};

const SECOND: u64 = 1_000_000_000;
const HOUR: u64 = 3_600 * SECOND;
/// The node's clock and the true Unix time are the same here.
const NOW: u64 = 100 * HOUR;

fn computed_age(true_age: u64, wall_offset: i64, last_contact: Option<u64>) -> u64 {
    let wall = NOW.saturating_add_signed(wall_offset);
    NOW - started_at(NOW - true_age, ClockReading { now: NOW, wall }, last_contact)
}

#[test]
fn a_correct_wall_clock_is_used() {
    assert_eq!(computed_age(3 * SECOND, 0, Some(NOW - SECOND)), 3 * SECOND);
    assert_eq!(computed_age(50 * SECOND, 0, None), 50 * SECOND);
    assert_eq!(started_at(0, ClockReading { now: NOW, wall: NOW }, None), 0, "long ago stays long ago");
}

#[test]
fn a_wall_clock_that_is_ahead_does_not_make_a_new_server_old() {
    assert_eq!(computed_age(2 * SECOND, HOUR as i64, Some(NOW - SECOND)), 7 * SECOND);
    assert_eq!(computed_age(2 * SECOND, 5 * SECOND as i64, Some(NOW - SECOND)), 7 * SECOND);
}

#[test]
fn a_wall_clock_that_is_behind_makes_a_server_look_just_started() {
    assert_eq!(computed_age(2 * SECOND, -(HOUR as i64), Some(NOW - SECOND)), 0);
    assert_eq!(computed_age(50 * SECOND, -(HOUR as i64), None), 0);
}

#[test]
fn after_a_long_discovery_outage_the_wall_clock_is_used() {
    assert_eq!(computed_age(50 * SECOND, 0, Some(NOW - 60 * SECOND)), 50 * SECOND);
}
