//! One attempt of a request, as an upstream carries it: what it may ask of the gateway, and how it tells of its end.

use super::{AttemptId, Gateway, Handed, LOOKED_AT};
use crate::call::{Exchange, SendProgress, Wire};
use crate::dispatch::Denied;
use crate::events::Label;
use crate::peer::PeerState;
use laurelroute_policy::interface::{AttemptOutcome, Endpoint, Nanos};
use std::net::SocketAddr;
use std::rc::Rc;

/// One attempt of a request, as an upstream carries it.
pub struct Attempt {
    pub(super) gateway: Rc<Gateway>,
    pub(super) id: AttemptId,
    pub(super) server: Endpoint,
    pub(super) give_up_at: Nanos,
    pub(super) send_by: Nanos,
    pub(super) handed: Handed,
    pub(super) exchange: Rc<dyn Exchange>,
    /// When the request came.
    pub(super) came_at: Nanos,
    pub(super) label: Label,
}

impl Attempt {
    /// The gateway that it belongs to.
    pub fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    /// The server that the module has chosen.
    pub fn server(&self) -> Endpoint {
        self.server
    }

    /// Time left to the client, in whole milliseconds, at least one.
    pub fn remaining_ms(&self) -> u64 {
        self.give_up_at.saturating_sub(self.gateway.clock.now()).div_ceil(1_000_000).max(1)
    }

    /// Where the server listens on this wire, as long as it may be sent anything new, and this request again at all.
    pub fn address(&self, wire: Wire) -> Option<SocketAddr> {
        if self.gateway.clock.now() >= self.send_by {
            return None;
        }
        self.gateway.fleet(|f| f.address(self.server, wire))
    }

    /// Whether its first byte may be written now, and where to; asked once its connection is there.
    pub async fn may_begin(&self, wire: Wire) -> Result<SocketAddr, Denied> {
        let decided = self.decide(wire).await;
        if let Err(denied) = decided {
            self.gateway.denied(denied, self.label);
            if denied == Denied::ClientGone {
                self.gateway.client_gone(self.id.request);
            }
        }
        decided
    }

    async fn decide(&self, wire: Wire) -> Result<SocketAddr, Denied> {
        let clock = &self.gateway.clock;
        // Last of all what needs no waiting: nothing may come between it and the first byte.
        let looked = self.id.number == 0 && clock.now() < self.came_at.saturating_add(LOOKED_AT);
        if !looked && self.client_gone().await {
            return Err(Denied::ClientGone);
        }
        if clock.now() >= self.send_by {
            return Err(Denied::WindowOver);
        }
        if clock.now() >= self.give_up_at {
            return Err(Denied::DeadlinePassed);
        }
        self.address(wire).ok_or(Denied::ServerClosed)
    }

    async fn client_gone(&self) -> bool {
        match self.exchange.client_state() {
            PeerState::Connected => false,
            PeerState::Closed => true,
            PeerState::Unknown => {
                // The poller has its turn before this goes on.
                tokio::task::yield_now().await;
                self.exchange.client_state() == PeerState::Closed
            }
        }
    }

    /// Who knows whether the last byte is handed over; told before the first byte goes out.
    pub fn set_send_progress(&self, connection: Rc<dyn SendProgress>) {
        *self.handed.borrow_mut() = Some(connection);
    }

    /// It has come to an end without an answer for the client.
    pub fn fail(&self, ending: AttemptOutcome) {
        let mut state = self.gateway.state.borrow_mut();
        self.gateway.conclude(&mut state, self.id, ending);
    }

    /// It has brought a whole answer; true where that is the client's, as the first one is.
    pub fn succeed(&self) -> bool {
        let mut state = self.gateway.state.borrow_mut();
        let Some(live) = state.live.get_mut(&self.id.request) else { return false };
        if !live.attempts.get(usize::from(self.id.number)).is_some_and(|a| a.open) {
            return false;
        }
        let first = std::mem::replace(&mut live.owed, false);
        self.gateway.conclude(&mut state, self.id, AttemptOutcome::Ok);
        self.gateway.withdraw(&mut state, self.id.request);
        first
    }
}
