//! A client's claim to one answer, from the request's coming to its end.

use super::{Gateway, Wake};
use crate::call::{GivenUp, Verdict};
use laurelroute_policy::interface::{Nanos, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;

/// A client's claim to one answer. Dropped before the answer, it says that the client has left.
pub struct Claim {
    pub(super) gateway: Rc<Gateway>,
    pub(super) id: RequestId,
}

impl std::fmt::Debug for Claim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Claim({})", self.id)
    }
}

impl Claim {
    /// The client's last byte has come just now: its time counts from here, and so does that of an attempt under way.
    pub fn complete(&self, give_up_at: Nanos) {
        let mut state = self.gateway.state.borrow_mut();
        let Some(live) = state.live.get_mut(&self.id) else { return };
        let give_up_at = give_up_at.min(self.gateway.ends_at());
        live.give_up_at = give_up_at;
        let now = self.gateway.clock.now();
        live.attempts.iter_mut().filter(|a| a.open).for_each(|a| a.sent_at = now);
        self.gateway.start_timer(&mut state, give_up_at, Wake::Deadline(self.id));
    }

    /// Waits for the answer.
    pub async fn answer<A>(&self, answer: &mut oneshot::Receiver<Verdict<A>>) -> Verdict<A> {
        answer.await.unwrap_or(Verdict::GivenUp(GivenUp::Failed { late: true }))
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        // Where the answer has been given, the gateway knows and does nothing.
        self.gateway.client_gone(self.id);
    }
}
