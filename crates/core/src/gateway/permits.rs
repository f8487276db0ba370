//! What the gateway asks [`crate::dispatch`] before it carries out the decision module's orders, and what it counts.

use super::{Gateway, Live, State};
use crate::dispatch::{self, Denied, Locality, RetryPolicy};
use crate::events::{self, Kind, Label};
use laurelroute_policy::interface::{Idempotency, Nanos, RequestId};

impl Gateway {
    /// Whether the module's order to send a request may be carried out, by what became of its earlier attempts.
    pub(super) fn may_send(&self, live: &Live, locality: Option<Locality>) -> Result<(), Denied> {
        if !live.owed {
            return Err(Denied::Answered);
        }
        if live.attempts.len() >= self.config.settings.max_attempts as usize {
            return Err(Denied::NoAttemptLeft);
        }
        match self.terms(live) {
            Some(terms) => dispatch::may_retry(&terms, live.earlier(), locality, self.clock.now()),
            None => Ok(()),
        }
    }

    /// A keyed request that may have run is sent again only within its window, which counts from that attempt's sending.
    pub(super) fn send_by(&self, live: &Live) -> Nanos {
        let Some(terms) = self.terms(live).filter(|t| t.effect == Idempotency::Keyed) else {
            return Nanos::MAX;
        };
        let ran = live.earlier().filter(|e| e.ending.is_some_and(|ending| !ending.never_ran()));
        ran.map(|e| e.sent_at.saturating_add(terms.window)).min().unwrap_or(Nanos::MAX)
    }

    pub(super) fn may_refuse(&self, state: &State, request: RequestId) -> Result<(), Denied> {
        let Some(live) = state.live.get(&request).filter(|l| l.owed) else { return Ok(()) };
        let Some(terms) = self.terms(live) else { return Ok(()) };
        dispatch::may_refuse(&terms, live.earlier()).inspect_err(|denied| self.denied(*denied, live.label))
    }

    fn terms(&self, live: &Live) -> Option<RetryPolicy> {
        let settings = &self.config.settings;
        let class = settings.classes.get(usize::from(live.request.class))?;
        Some(RetryPolicy {
            effect: class.idempotency,
            group: class.dedup_group,
            window: class.dedup_window,
            hedging: settings.hedging,
        })
    }

    /// Counts what was not done, and says so where the module should have known better.
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
            tracing::error!("the decision module wanted what a rule forbids: {denied}");
        }
        debug_assert!(!denied.is_violation(), "{denied}");
    }
}
