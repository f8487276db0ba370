//! How attempts and requests end: at the client's deadline, by its disconnect, or as the attempt's connection reports. In
//! every case the attempt's connection is closed before the decision module is told of its end, unless no further attempt
//! can follow.

use super::lingering::LingeringAttempts;
use super::{AttemptId, Gateway, RequestState, SentAttempt, State};
use crate::call::LocalReply;
use crate::events::{self, AttemptDetails, ConnectionEnd, Kind};
use laurelroute_policy::interface::{AttemptOutcome, Event, Nanos, RequestId};
use std::rc::Rc;

impl Gateway {
    /// Ends a request whose client has disconnected.
    pub(super) fn client_gone(self: &Rc<Self>, request: RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.in_flight.get_mut(&request) else { return };
        if std::mem::replace(&mut entry.awaiting_response, false) {
            events::record(self.clock.now(), Kind::ClientLeft, entry.label);
            self.withdraw(&mut state, request);
            self.handle(&mut state, Event::ClientDisconnected { request });
            self.forget(&mut state, request);
        }
    }

    /// Ends the attempts of a request that no client waits for and that no server can have begun, whatever the settings
    /// say on cancellation: an attempt whose connection opens late would otherwise run without anyone waiting for it.
    pub(super) fn withdraw(self: &Rc<Self>, state: &mut State, request: RequestId) {
        let attempts = state.in_flight.get(&request).map_or(0, |entry| entry.attempts.len());
        for number in 0..attempts as u8 {
            let attempt = state.in_flight.get(&request).and_then(|l| l.attempts.get(usize::from(number)));
            if attempt.is_some_and(|a| a.open && !a.carrier.fully_sent()) {
                self.conclude(state, AttemptId { request, number }, AttemptOutcome::NotSent);
            }
        }
    }

    /// Handles the deadline of a request: all its attempts in flight have timed out.
    pub(super) fn deadline(self: &Rc<Self>, state: &mut State, request: RequestId) {
        let Some(entry) = state.in_flight.get_mut(&request) else { return };
        if entry.give_up_at > self.clock.now() {
            // It was moved: the last byte of the request arrived late.
            entry.deadline_timer_at = Nanos::MAX;
            return self.start_deadline_timer(state, request);
        }
        for number in 0..entry.attempts.len() as u8 {
            self.conclude(state, AttemptId { request, number }, AttemptOutcome::TimedOut);
        }
        // The module responds to the last timeout. If it does not, or if it counts on more time than this process has,
        // the client must still get a response, and further attempts of the module are of no use.
        if self.reply(state, request, LocalReply::Failed { late: true }) {
            self.withdraw(state, request);
            self.handle(state, Event::ClientDisconnected { request });
        }
        self.forget(state, request);
    }

    /// Reports to the module how an attempt ended, once. As the module may send the request again, the attempt's
    /// connection is closed first; only where no further attempt can follow may it go on for a while.
    pub(super) fn conclude(self: &Rc<Self>, state: &mut State, id: AttemptId, ending: AttemptOutcome) {
        let now = self.clock.now();
        let Some(entry) = state.in_flight.get_mut(&id.request) else { return };
        let may_be_sent_again = entry.may_be_sent_again(now);
        let Some(attempt) = entry.attempts.get_mut(usize::from(id.number)).filter(|a| a.open) else { return };
        attempt.open = false;
        attempt.ending = Some(ending);
        let connection = end_connection(attempt, ending, may_be_sent_again, now, &mut state.lingering);
        let (server, sent_at) = (attempt.server, attempt.sent_at);
        let took = now.saturating_sub(sent_at);
        if let Some(shift) = &mut state.shift {
            let at = (server, usize::from(id.number));
            shift.attempt_ended(&entry.request, at, (sent_at, took), ending);
        }
        let (label, finished) = (entry.label, !entry.awaiting_response);
        if ending != AttemptOutcome::Ok {
            let server = state.fleet.host_of(server).unwrap_or_default().to_owned();
            let ended = Some((ending, connection, took));
            events::record_attempt(
                now,
                Kind::AttemptFailed,
                label,
                AttemptDetails { number: id.number, server, ended },
            );
        }
        self.wake_timers_by(state, state.lingering.next_end());
        let event = Event::AttemptEnded {
            request: id.request,
            server,
            attempt: id.number,
            finished,
            took,
            outcome: ending,
            report: None,
        };
        self.handle(state, event);
        self.forget(state, id.request);
    }

    /// Drops a request that has its response and no attempt in flight.
    pub(super) fn forget(&self, state: &mut State, request: RequestId) {
        let finished = |l: &RequestState| !l.awaiting_response && l.attempts.iter().all(|a| !a.open);
        if state.in_flight.get(&request).is_some_and(finished) {
            if let Some(entry) = state.in_flight.remove(&request) {
                self.end_id_claim(&entry);
                entry.exchange.release_request();
            }
        }
    }

    /// Decides until when the id of a request that is over stays in use: it is released if no server can have run the
    /// request, and otherwise an attempt that ended only now may still run.
    fn end_id_claim(&self, entry: &RequestState) {
        let Some(claim) = &entry.id_claim else { return };
        let may_have_run = |attempt: &SentAttempt| attempt.ending.is_none_or(|ending| !ending.never_ran());
        match entry.attempts.iter().any(may_have_run) {
            true => claim.keep_until(self.attempts_over_by()),
            false => claim.release(),
        }
    }
}

/// Ends what is left of an attempt at its server, unless it may go on for a while.
fn end_connection(
    attempt: &mut SentAttempt,
    ending: AttemptOutcome,
    may_be_sent_again: bool,
    now: Nanos,
    lingering: &mut LingeringAttempts,
) -> ConnectionEnd {
    let abandoned =
        matches!(ending, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent);
    match attempt.task.take().filter(|_| abandoned) {
        // A request cut off before its last byte never runs; after it, the server does the work anyway.
        Some(task) if !may_be_sent_again && attempt.carrier.fully_sent() => {
            lingering.push(now, attempt.server, attempt.carrier.clone(), task);
        }
        Some(task) => {
            attempt.carrier.close();
            task.abort();
        }
        None if may_be_sent_again => attempt.carrier.close(),
        None => {}
    }
    attempt.carrier.connection_end()
}
