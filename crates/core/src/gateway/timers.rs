//! The gateway's timers: those of the decision module, deadlines, attempts' time limits and the end of abandoned attempts.

use super::{AttemptId, Gateway, State};
use crate::running;
use laurelroute_policy::interface::{AttemptOutcome, Event, Nanos, RequestId};
use std::cmp::Reverse;
use std::rc::Rc;

/// How often an idle gateway checks its timers. A process may have hundreds of idle gateways.
const IDLE_TIMER_INTERVAL: Nanos = 600_000_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Module(u32),
    Deadline(RequestId),
    AttemptTimeout(RequestId, u8),
}

impl Gateway {
    /// Runs the timers; never returns.
    pub async fn run_timers(self: Rc<Self>) {
        self.run_timers_while_not(|_| false).await;
    }

    /// Runs the timers until no request or attempt is left; for a gateway that gets no new requests.
    pub async fn run_timers_until_idle(self: Rc<Self>) {
        self.run_timers_while_not(|state| state.in_flight.is_empty() && state.lingering.is_empty()).await;
    }

    async fn run_timers_while_not(self: &Rc<Self>, done: impl Fn(&State) -> bool) {
        loop {
            let next = {
                let mut state = self.state.borrow_mut();
                let next = state.timers.peek().map_or(Nanos::MAX, |Reverse((at, _))| *at);
                state.armed = next.min(state.lingering.next_end());
                if done(&state) {
                    return;
                }
                state.armed
            };
            // Data that arrived while the process was stalled is read before any timeout is reported.
            let sleep =
                running::sleep_until(self.clock.instant(next.min(self.clock.now() + IDLE_TIMER_INTERVAL)));
            tokio::select! {
                _ = sleep => {}
                _ = self.timer.notified() => {}
            }
            self.run_due_timers();
        }
    }

    fn run_due_timers(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        while let Some(&Reverse((at, timer))) = state.timers.peek() {
            if at > self.clock.now() {
                break;
            }
            state.timers.pop();
            match timer {
                Timer::Module(token) => self.handle(&mut state, Event::Timer { token }),
                Timer::Deadline(id) => self.deadline(&mut state, id),
                Timer::AttemptTimeout(request, number) => {
                    self.conclude(&mut state, AttemptId { request, number }, AttemptOutcome::TimedOut);
                }
            }
        }
        state.lingering.end_due(self.clock.now());
    }

    pub(super) fn start_timer(&self, state: &mut State, at: Nanos, timer: Timer) {
        state.timers.push(Reverse((at, timer)));
        self.wake_timers_by(state, at);
    }

    /// Starts a timer for the deadline of a request, unless one runs earlier: that one starts the next.
    pub(super) fn start_deadline_timer(&self, state: &mut State, request: RequestId) {
        let Some(entry) = state.in_flight.get_mut(&request) else { return };
        let at = entry.give_up_at;
        if at < entry.deadline_timer_at {
            entry.deadline_timer_at = at;
            self.start_timer(state, at, Timer::Deadline(request));
        }
    }

    /// Has the timer task run at this time at the latest.
    pub(super) fn wake_timers_by(&self, state: &mut State, at: Nanos) {
        if at < state.armed {
            state.armed = at;
            self.timer.notify_one();
        }
    }
}
