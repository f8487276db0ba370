//! Running time, and when an idle connection may be closed.

use laurelroute_core::idle::{IdleTracker, FIRST_REQUEST_GRACE};
use laurelroute_core::peer::PEER_CHECK_INTERVAL;
use laurelroute_core::running::RunningTime;

const CHECK_INTERVAL_NS: u64 = PEER_CHECK_INTERVAL.as_nanos() as u64;
const STOP: u64 = 3_000_000_000;

fn ticked_at(now: u64) -> RunningTime {
    let running = RunningTime::default();
    running.tick(now);
    running
}

#[test]
fn running_time_advances_with_late_ticks_but_not_during_a_stop() {
    let running = ticked_at(5 * STOP);
    let started = running.at(5 * STOP);
    let mut now = 5 * STOP;
    for _ in 0..10 {
        now += CHECK_INTERVAL_NS + CHECK_INTERVAL_NS / 4;
        assert_eq!(running.at(now) - started, now - 5 * STOP);
        running.tick(now);
    }
    let before = running.at(now);
    now += STOP;
    assert!(running.at(now) - before <= 3 * CHECK_INTERVAL_NS, "before the first tick after the stop");
    running.tick(now);
    assert!(running.at(now) - before <= 3 * CHECK_INTERVAL_NS, "after that tick");
    running.tick(now - 1);
    assert!(running.at(now) >= before, "it never goes backwards");
}

/// Guards against a close that races with the next request of an active client: idleness is counted in checks, not in
/// time in which the process or the machine may have been stalled.
#[test]
fn idleness_is_counted_in_checks_and_not_in_time() {
    let idle = IdleTracker::new(0, true);
    let checks_until = |may_close: fn(&IdleTracker, u64) -> bool| {
        idle.request_started();
        idle.response_sent(0);
        (0..).find(|_| {
            let found = may_close(&idle, STOP);
            idle.record_check();
            found
        })
    };
    assert_eq!(checks_until(IdleTracker::may_evict), Some(3));
    assert_eq!(checks_until(IdleTracker::may_close), Some(10));
    idle.response_sent(STOP);
    assert!(!idle.may_evict(2 * STOP), "the checks were in an earlier idle period");
}

#[test]
fn an_unused_connection_is_idle_since_it_was_opened() {
    let idle = IdleTracker::new(7, false);
    assert!(!idle.used() && !idle.may_evict(7 + FIRST_REQUEST_GRACE - 1));
    assert!(idle.may_evict(7 + FIRST_REQUEST_GRACE));
}
