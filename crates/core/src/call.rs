//! The interface between the protocol fronts and the gateway.

use crate::events::Label;
use crate::gateway::Attempt;
use crate::peer::PeerState;
use crate::request_ids::RequestIdClaim;
use laurelroute_policy::interface::{Nanos, Request};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The wire protocol of a connection to a server: an index into the server's addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wire(pub u8);

/// A client's request as its front has parsed it, in the decision module's terms. The gateway fills in the module's own
/// number for it, `request.id`.
#[derive(Debug)]
pub struct Call {
    /// Class, tenant, route key, hints and the client's deadline.
    pub request: Request,
    /// The time after which a response is of no use; attempts are cancelled then.
    pub give_up_at: Nanos,
    /// The client's request id, for incident analysis.
    pub label: Label,
    /// The claim to that id, if the request has one.
    pub id_claim: Option<RequestIdClaim>,
}

/// One request in the form of its protocol, and the slot for its response. The gateway calls the first two methods
/// while its state is borrowed: they may start tasks and set responses, but must not call back into the gateway.
pub trait Exchange: 'static {
    /// Starts one attempt over one connection. The task reports to the attempt how it ended, exactly once; the returned
    /// handle aborts the task without such a report.
    fn start_attempt(self: Rc<Self>, attempt: Attempt) -> AbortHandle;

    /// Answers the client with a response that the node makes itself.
    fn send_local_reply(&self, reply: LocalReply);

    /// The current state of the client's connection, as the kernel reports it.
    fn client_state(&self) -> PeerState;

    /// Releases what only a further attempt would need: none follows.
    fn release_request(&self);
}

/// A final response that the node makes itself instead of relaying a server's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalReply {
    /// The request was refused: it is known not to have run, or is harmless to repeat.
    Refused {
        /// Advised delay before a retry, in nanoseconds; 0 for none.
        retry_after: Nanos,
    },
    /// The request failed, and it is unknown whether it took effect.
    Failed {
        /// Its deadline has passed.
        late: bool,
    },
}

/// The final response to a request, for its front.
#[derive(Debug)]
pub enum FinalResponse<A> {
    /// A server's response.
    Upstream(A),
    /// A response of the node's own.
    Local(LocalReply),
}

/// Holds the one final response of a request; any later response is dropped.
pub struct ResponseSlot<A>(Cell<Option<oneshot::Sender<FinalResponse<A>>>>);

impl<A> ResponseSlot<A> {
    /// An empty slot, and the receiver on which the front waits for the response.
    pub fn new() -> (Self, oneshot::Receiver<FinalResponse<A>>) {
        let (sender, receiver) = oneshot::channel();
        (ResponseSlot(Cell::new(Some(sender))), receiver)
    }

    /// Sends the response, unless one was sent before. It is not an error if the receiver is gone.
    pub fn send(&self, response: FinalResponse<A>) {
        if let Some(sender) = self.0.take() {
            let _ = sender.send(response);
        }
    }
}

impl<A> std::fmt::Debug for ResponseSlot<A> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ResponseSlot")
    }
}
