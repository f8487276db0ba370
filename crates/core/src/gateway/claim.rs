//! A client's claim to one answer, from the request's coming to its end.

use super::{Gateway, Wake};
use crate::call::{FinalResponse, LocalReply};
use laurelroute_policy::interface::{Nanos, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;

/// A client's claim to one answer. Dropped before the answer, it says that the client has left.
pub struct PendingRequest {
    pub(super) gateway: Rc<Gateway>,
    pub(super) id: RequestId,
}

impl std::fmt::Debug for PendingRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PendingRequest({})", self.id)
    }
}

impl PendingRequest {
    /// The client's last byte has come just now: its time counts from here, and so does that of an attempt under way.
    pub fn body_received(&self, give_up_at: Nanos) {
        let mut state = self.gateway.state.borrow_mut();
        let Some(live) = state.live.get_mut(&self.id) else { return };
        let give_up_at = give_up_at.min(self.gateway.ends_at());
        live.give_up_at = give_up_at;
        let now = self.gateway.clock.now();
        live.attempts.iter_mut().filter(|a| a.open).for_each(|a| a.sent_at = now);
        self.gateway.start_timer(&mut state, give_up_at, Wake::Deadline(self.id));
    }

    /// Waits for the answer.
    pub async fn response<A>(&self, answer: &mut oneshot::Receiver<FinalResponse<A>>) -> FinalResponse<A> {
        answer.await.unwrap_or(FinalResponse::Local(LocalReply::Failed { late: true }))
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        // Where the answer has been given, the gateway knows and does nothing.
        self.gateway.client_gone(self.id);
    }
}
