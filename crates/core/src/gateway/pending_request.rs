//! A request that is waiting for its final response, as held by the front.

use super::Gateway;
use crate::call::{FinalResponse, LocalReply};
use laurelroute_policy::interface::{Nanos, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that is waiting for its one final response. Dropping it before the response reports that the client has
/// disconnected.
pub struct PendingRequest {
    pub(super) gateway: Rc<Gateway>,
    pub(super) id: RequestId,
}

impl std::fmt::Debug for PendingRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PendingRequest({})", self.id)
    }
}

/// The deadline of a request whose body is still being received.
pub struct RequestDeadline {
    gateway: Rc<Gateway>,
    id: RequestId,
}

impl RequestDeadline {
    /// Changes the deadline.
    pub fn set(&self, give_up_at: Nanos) {
        let mut state = self.gateway.state.borrow_mut();
        let Some(entry) = state.in_flight.get_mut(&self.id) else { return };
        let give_up_at = give_up_at.min(self.gateway.ends_at());
        entry.give_up_at = give_up_at;
        self.gateway.start_deadline_timer(&mut state, self.id);
    }
}

impl PendingRequest {
    /// The deadline, for whoever receives the body.
    pub fn deadline(&self) -> RequestDeadline {
        RequestDeadline { gateway: self.gateway.clone(), id: self.id }
    }

    /// Records that the last byte of the request has just been read: the time of an attempt in flight counts from now.
    pub fn body_received(&self) {
        let mut state = self.gateway.state.borrow_mut();
        let Some(entry) = state.in_flight.get_mut(&self.id) else { return };
        let now = self.gateway.clock.now();
        entry.attempts.iter_mut().filter(|a| a.open).for_each(|a| a.sent_at = now);
    }

    /// Waits for the final response.
    pub async fn response<A>(&self, receiver: &mut oneshot::Receiver<FinalResponse<A>>) -> FinalResponse<A> {
        receiver.await.unwrap_or(FinalResponse::Local(LocalReply::Failed { late: true }))
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        // Has no effect if the response has been sent.
        self.gateway.client_gone(self.id);
    }
}
