//! The gateway's checks, by the rules in [`crate::dispatch`], before it carries out the decision module's actions, and
//! the counting of denied ones.

use super::{Gateway, RequestState, State};
use crate::dispatch::{self, Denied, Locality, RetryPolicy};
use crate::events::{self, Kind, Label};
use laurelroute_policy::interface::{Idempotency, Nanos, RequestId};

impl Gateway {
    /// Whether the module's action to send a request may be carried out, given its earlier attempts.
    pub(super) fn may_send(&self, entry: &RequestState, locality: Option<Locality>) -> Result<(), Denied> {
        if !entry.awaiting_response {
            return Err(Denied::Answered);
        }
        // The module may count on more time than the process has: its deadlines are capped at shutdown.
        if self.clock.now() >= entry.give_up_at {
            return Err(Denied::DeadlinePassed);
        }
        if entry.attempts.len() >= self.config.settings.max_attempts as usize {
            return Err(Denied::NoAttemptLeft);
        }
        match self.retry_policy(entry) {
            Some(policy) => dispatch::may_retry(&policy, entry.earlier(), locality, self.clock.now()),
            None => Ok(()),
        }
    }

    /// Until when the request may be sent. A keyed request that may have run is sent again only within the
    /// deduplication window, which starts when the earlier attempt was sent.
    pub(super) fn send_by(&self, entry: &RequestState) -> Nanos {
        let Some(policy) = self.retry_policy(entry).filter(|p| p.idempotency == Idempotency::Keyed) else {
            return Nanos::MAX;
        };
        let ran = entry.earlier().filter(|e| e.ending.is_some_and(|ending| !ending.never_ran()));
        ran.map(|e| e.sent_at.saturating_add(policy.dedup_window)).min().unwrap_or(Nanos::MAX)
    }

    pub(super) fn may_refuse(&self, state: &State, request: RequestId) -> Result<(), Denied> {
        let Some(entry) = state.in_flight.get(&request).filter(|entry| entry.awaiting_response) else {
            return Ok(());
        };
        let Some(policy) = self.retry_policy(entry) else { return Ok(()) };
        dispatch::may_refuse(&policy, entry.earlier()).inspect_err(|denied| self.denied(*denied, entry.label))
    }

    fn retry_policy(&self, entry: &RequestState) -> Option<RetryPolicy> {
        let settings = &self.config.settings;
        let class = settings.classes.get(usize::from(entry.request.class))?;
        Some(RetryPolicy {
            idempotency: class.idempotency,
            dedup_group: class.dedup_group,
            dedup_window: class.dedup_window,
            hedging: settings.hedging,
        })
    }

    /// Counts a denied action, and logs an error if the module had the information to avoid it.
    pub(super) fn denied(&self, denied: Denied, label: Label) {
        let kind = match denied {
            Denied::ClientGone => Kind::DeniedClientGone,
            Denied::ServerClosed => Kind::DeniedServerClosed,
            Denied::WindowOver => Kind::DeniedWindowOver,
            Denied::DeadlinePassed => Kind::DeniedDeadline,
            Denied::Answered | Denied::NoAttemptLeft => Kind::DeniedOver,
            Denied::OtherGroup | Denied::MayHaveRun | Denied::SecondCopy => Kind::Violation,
        };
        events::record(self.clock.now(), kind, label);
        if denied.is_violation() {
            tracing::error!("the decision module requested a forbidden action: {denied}");
        }
        debug_assert!(!denied.is_violation(), "{denied}");
    }
}
