//! When servers started, by clocks that are right, ahead and behind.

use laurelroute_core::start_time::{started_at, ClockReading};

const SECOND: u64 = 1_000_000_000;
const HOUR: u64 = 3_600 * SECOND;
/// The node's clock and the true Unix time are the same here.
const NOW: u64 = 100 * HOUR;

fn age(true_age: u64, wall_ahead: i64, heard: Option<u64>) -> u64 {
    let wall = NOW.saturating_add_signed(wall_ahead);
    NOW - started_at(NOW - true_age, ClockReading { now: NOW, wall }, heard)
}

#[test]
fn a_right_clock_is_believed() {
    assert_eq!(age(3 * SECOND, 0, Some(NOW - SECOND)), 3 * SECOND);
    assert_eq!(age(50 * SECOND, 0, None), 50 * SECOND);
    assert_eq!(started_at(0, ClockReading { now: NOW, wall: NOW }, None), 0, "long ago stays long ago");
}

#[test]
fn a_clock_that_is_ahead_makes_no_new_server_old() {
    assert_eq!(age(2 * SECOND, HOUR as i64, Some(NOW - SECOND)), 7 * SECOND);
    assert_eq!(age(2 * SECOND, 5 * SECOND as i64, Some(NOW - SECOND)), 7 * SECOND);
}

#[test]
fn a_clock_that_is_behind_makes_a_server_just_started_and_no_younger() {
    assert_eq!(age(2 * SECOND, -(HOUR as i64), Some(NOW - SECOND)), 0);
    assert_eq!(age(50 * SECOND, -(HOUR as i64), None), 0);
}

#[test]
fn after_a_long_outage_the_wall_clock_counts() {
    assert_eq!(age(50 * SECOND, 0, Some(NOW - 60 * SECOND)), 50 * SECOND);
}
