//! The connections that one attempt tries: a kept one first, then new ones.

use crate::call::Wire;
use crate::connect::ConnectError;
use crate::fleet::PooledConnection;
use crate::gateway::Attempt;
use laurelroute_policy::interface::{AttemptOutcome, Nanos};
use std::future::Future;
use std::net::SocketAddr;

/// A connection that an attempt has.
pub struct AttemptConnection<C> {
    /// The connection.
    pub connection: Box<C>,
    /// It has carried requests before. Where a request's last byte could not be handed over on such a one, the server
    /// was just closing it: the attempt has not begun, and a new connection tells whether the server is there.
    pub reused: bool,
    opened: Nanos,
}

/// Connections to an attempt's server on one wire.
pub struct ConnectionSource<'a> {
    attempt: &'a Attempt,
    wire: Wire,
    dial: SocketAddr,
    fresh: bool,
}

impl<'a> ConnectionSource<'a> {
    /// For an attempt that begins now; an error is how it ended.
    pub fn new(attempt: &'a Attempt, wire: Wire) -> Result<Self, AttemptOutcome> {
        let dial = attempt.address(wire).ok_or(AttemptOutcome::NotSent)?;
        Ok(ConnectionSource { attempt, wire, dial, fresh: false })
    }

    /// The next connection: the first time a kept one, if there is any that is still good, else one that `open` makes.
    pub async fn next<C, F>(
        &mut self,
        open: impl FnOnce(SocketAddr) -> F,
    ) -> Result<AttemptConnection<C>, AttemptOutcome>
    where
        C: PooledConnection,
        F: Future<Output = Result<C, ConnectError>>,
    {
        let (gateway, server) = (self.attempt.gateway(), self.attempt.server());
        let kept = match std::mem::replace(&mut self.fresh, true) {
            false => gateway.fleet(|f| f.checkout(server, self.wire, gateway.idle_cutoff())),
            true => None,
        };
        let line = match kept {
            Some((connection, opened)) => AttemptConnection { connection, reused: true, opened },
            None => match open(self.dial).await {
                Ok(connection) => AttemptConnection {
                    connection: Box::new(connection),
                    reused: false,
                    opened: gateway.clock.now(),
                },
                Err(ConnectError::Failed) => return Err(AttemptOutcome::ConnectFailed),
                Err(ConnectError::Exhausted) => return Err(AttemptOutcome::NotSent),
            },
        };
        // Connecting takes time, and much may have changed meanwhile.
        match self.attempt.may_begin(self.wire).await {
            Ok(dial) if dial == self.dial => Ok(line),
            _ => Err(AttemptOutcome::NotSent),
        }
    }

    /// Keeps a connection that has come to its answer's end.
    pub fn release<C: PooledConnection>(&self, line: AttemptConnection<C>) {
        let gateway = self.attempt.gateway();
        let times = (line.opened, gateway.clock.now());
        gateway.fleet(|f| f.checkin(self.attempt.server(), (self.wire, self.dial), line.connection, times));
    }
}
