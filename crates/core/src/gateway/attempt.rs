//! An attempt of a request, as used by the upstream connection that carries it: queries to the gateway, and the report
//! of its ending.

use super::carrier::Carrier;
use super::{AttemptId, Gateway, CLIENT_CHECK_TTL};
use crate::call::{Exchange, Wire};
use crate::connection::Connection;
use crate::dispatch::Denied;
use crate::events::Label;
use crate::peer::PeerState;
use laurelroute_policy::interface::{AttemptOutcome, Endpoint, Nanos};
use std::net::SocketAddr;
use std::rc::Rc;

/// One attempt of a request, as used by the upstream connection that carries it.
pub struct Attempt {
    pub(super) gateway: Rc<Gateway>,
    pub(super) id: AttemptId,
    pub(super) server: Endpoint,
    pub(super) give_up_at: Nanos,
    pub(super) send_by: Nanos,
    pub(super) carrier: Carrier,
    pub(super) exchange: Rc<dyn Exchange>,
    /// When the request arrived.
    pub(super) arrived_at: Nanos,
    pub(super) label: Label,
}

impl Attempt {
    /// The gateway that the attempt belongs to.
    pub fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    /// The server that the module has chosen.
    pub fn server(&self) -> Endpoint {
        self.server
    }

    /// Time left until the client's deadline in milliseconds, rounded up and at least 1.
    pub fn remaining_ms(&self) -> u64 {
        self.give_up_at.saturating_sub(self.gateway.clock.now()).div_ceil(1_000_000).max(1)
    }

    /// The server's address for a protocol; `None` if the server takes no new requests or this one must not be sent
    /// again.
    pub fn address(&self, wire: Wire) -> Option<SocketAddr> {
        if self.gateway.clock.now() >= self.send_by {
            return None;
        }
        self.gateway.fleet(|f| f.address(self.server, wire))
    }

    /// Checks, once the connection is open, whether the first byte may be written now, and returns the address to send
    /// it to.
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
        // Checks that do not await come last: nothing may happen between them and the first byte.
        let recently_checked =
            self.id.number == 0 && clock.now() < self.arrived_at.saturating_add(CLIENT_CHECK_TTL);
        if !recently_checked && self.client_gone().await {
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
                // Lets the poller run before the second check.
                tokio::task::yield_now().await;
                self.exchange.client_state() == PeerState::Closed
            }
        }
    }

    /// Registers the connection that is about to carry the attempt, which the gateway closes when the attempt ends.
    pub(crate) fn attach_connection(&self, connection: &Rc<Connection>) {
        self.carrier.attach(connection);
    }

    /// Deregisters the connection: nothing of the attempt is left on it.
    pub(crate) fn detach_connection(&self) {
        self.carrier.detach();
    }

    /// Reports that the attempt ended without a response for the client. A connection that it still has is closed
    /// first, unless no further attempt can follow.
    pub fn fail(&self, ending: AttemptOutcome) {
        let mut state = self.gateway.state.borrow_mut();
        self.gateway.conclude(&mut state, self.id, ending);
    }

    /// Reports that the attempt received a complete response; returns true if it is the first one and goes to the
    /// client.
    pub fn succeed(&self) -> bool {
        let mut state = self.gateway.state.borrow_mut();
        let Some(entry) = state.in_flight.get_mut(&self.id.request) else { return false };
        if !entry.attempts.get(usize::from(self.id.number)).is_some_and(|a| a.open) {
            return false;
        }
        let first = std::mem::replace(&mut entry.awaiting_response, false);
        self.gateway.conclude(&mut state, self.id, AttemptOutcome::Ok);
        self.gateway.withdraw(&mut state, self.id.request);
        first
    }
}
