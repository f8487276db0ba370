//! Running time, and when a connection that rests may be ended.

use laurelroute_core::idle::{IdleTracker, FIRST_REQUEST_GRACE};
use laurelroute_core::peer::PEER_CHECK_INTERVAL;
use laurelroute_core::running::RunningTime;

const LOOK_NS: u64 = PEER_CHECK_INTERVAL.as_nanos() as u64;
const STOP: u64 = 3_000_000_000;

fn ticked_at(now: u64) -> RunningTime {
    let running = RunningTime::default();
    running.tick(now);
    running
}

#[test]
fn running_time_goes_on_with_late_ticks_and_not_with_a_stop() {
    let running = ticked_at(5 * STOP);
    let begun = running.at(5 * STOP);
    let mut now = 5 * STOP;
    for _ in 0..10 {
        now += LOOK_NS + LOOK_NS / 4;
        assert_eq!(running.at(now) - begun, now - 5 * STOP);
        running.tick(now);
    }
    let before = running.at(now);
    now += STOP;
    assert!(running.at(now) - before <= 3 * LOOK_NS, "before the tick that follows the stop");
    running.tick(now);
    assert!(running.at(now) - before <= 3 * LOOK_NS, "after it");
    running.tick(now - 1);
    assert!(running.at(now) >= before, "it never goes back");
}

/// Guards against a close under the next request of a client that goes on asking: only looks end a rest, not time in which
/// the process or the machine may have been held up.
#[test]
fn a_rest_is_over_by_looks_and_not_by_time() {
    let rest = IdleTracker::new(0, true);
    let looks_until = |over: fn(&IdleTracker, u64) -> bool| {
        rest.request_started();
        rest.response_sent(0);
        (0..).find(|_| {
            let found = over(&rest, STOP);
            rest.record_check();
            found
        })
    };
    assert_eq!(looks_until(IdleTracker::may_evict), Some(3));
    assert_eq!(looks_until(IdleTracker::may_close), Some(10));
    rest.response_sent(STOP);
    assert!(!rest.may_evict(2 * STOP), "the looks were at an earlier rest");
}

#[test]
fn a_connection_that_was_never_used_rests_from_its_opening() {
    let rest = IdleTracker::new(7, false);
    assert!(!rest.used() && !rest.may_evict(7 + FIRST_REQUEST_GRACE - 1));
    assert!(rest.may_evict(7 + FIRST_REQUEST_GRACE));
}
