//! The seam between the wires and the gateway.

use crate::events::Label;
use crate::gateway::Attempt;
use crate::peer::PeerState;
use laurelroute_policy::interface::{Nanos, Request};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Which wire a connection to a server speaks: an index into the server's addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wire(pub u8);

/// What a front has read of a client's request, in the decision module's words. The module's own number for it,
/// `request.id`, is filled in by the gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Class, tenant, route key, hints and when the client gives up.
    pub request: Request,
    /// When no answer is of use any more; attempts are called off then.
    pub give_up_at: Nanos,
    /// What the client calls it, for those who look into an incident.
    pub label: Label,
}

/// One request in the form of its wire, and the place of its answer. The first two methods are called while the gateway is
/// at work: they may start tasks and put answers, and must not call the gateway back.
pub trait Exchange: 'static {
    /// Starts carrying one attempt over one connection. The task tells the attempt how it ended, exactly once;
    /// the handle ends it early, which tells nothing.
    fn start_attempt(self: Rc<Self>, attempt: Attempt) -> AbortHandle;

    /// The final answer is none of a server's.
    fn send_local_reply(&self, end: LocalReply);

    /// Whether the client is still there, as the kernel has it now.
    fn client_state(&self) -> PeerState;
}

/// A final answer that the node itself makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalReply {
    /// Turned away: known never to have run, or harmless to repeat.
    Refused {
        /// Advice when to come back, in nanoseconds; 0 for none.
        retry_after: Nanos,
    },
    /// Failed, with no word on its effect.
    Failed {
        /// Its time is up.
        late: bool,
    },
}

/// How a request ended, for its front.
#[derive(Debug)]
pub enum FinalResponse<A> {
    /// A server's answer.
    Upstream(A),
    /// An answer of the node's own.
    Local(LocalReply),
}

/// Where the one final answer is put; what is put after it is dropped.
pub struct ResponseSlot<A>(Cell<Option<oneshot::Sender<FinalResponse<A>>>>);

impl<A> ResponseSlot<A> {
    /// A place and the end at which its front waits.
    pub fn new() -> (Self, oneshot::Receiver<FinalResponse<A>>) {
        let (sender, receiver) = oneshot::channel();
        (ResponseSlot(Cell::new(Some(sender))), receiver)
    }

    /// Puts the answer, if none is there. Whether anybody waits for it is the receiver's matter.
    pub fn send(&self, verdict: FinalResponse<A>) {
        if let Some(sender) = self.0.take() {
            let _ = sender.send(verdict);
        }
    }
}

impl<A> std::fmt::Debug for ResponseSlot<A> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ResponseSlot")
    }
}

/// What an upstream knows of the request that it writes.
pub trait SendProgress {
    /// The kernel has the last byte of the request: from here on it may have run.
    fn fully_sent(&self) -> bool;
}
