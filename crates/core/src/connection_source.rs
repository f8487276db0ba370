//! The connections that one attempt uses: a pooled one first, then new ones.

use crate::call::Wire;
use crate::connect::ConnectError;
use crate::connection::Connection;
use crate::fleet::PooledConnection;
use crate::gateway::Attempt;
use laurelroute_policy::interface::{AttemptOutcome, Nanos};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection to a server, with the state of its protocol, that can carry attempts.
pub trait CarriesAttempts: PooledConnection {
    /// The connection itself.
    fn connection(&self) -> &Rc<Connection>;
}

/// A connection checked out by an attempt.
pub struct AttemptConnection<C> {
    /// The connection.
    pub connection: Box<C>,
    /// Whether it has carried requests before. If a request's last byte could not be written to a reused connection,
    /// the server was just closing it: the attempt has not begun, and a new connection shows whether the server is up.
    pub reused: bool,
    opened_at: Nanos,
}

/// Provides an attempt with connections to its server over one protocol.
pub struct ConnectionSource<'a> {
    attempt: &'a Attempt,
    wire: Wire,
    address: SocketAddr,
    /// Only new connections from now on: the pool has been tried.
    pool_tried: bool,
}

impl<'a> ConnectionSource<'a> {
    /// A source for an attempt that begins now; an error is the attempt's outcome.
    pub fn new(attempt: &'a Attempt, wire: Wire) -> Result<Self, AttemptOutcome> {
        let address = attempt.address(wire).ok_or(AttemptOutcome::NotSent)?;
        Ok(ConnectionSource { attempt, wire, address, pool_tried: false })
    }

    /// The next connection: on the first call a pooled one if any is still usable, otherwise one that `open` makes.
    pub async fn next<C, F>(
        &mut self,
        open: impl FnOnce(SocketAddr) -> F,
    ) -> Result<AttemptConnection<C>, AttemptOutcome>
    where
        C: CarriesAttempts,
        F: Future<Output = Result<C, ConnectError>>,
    {
        self.attempt.detach_connection();
        let (gateway, server) = (self.attempt.gateway(), self.attempt.server());
        let pooled = match std::mem::replace(&mut self.pool_tried, true) {
            false => gateway.fleet(|f| f.checkout(server, self.wire, gateway.idle_cutoff())),
            true => None,
        };
        let connection = match pooled {
            Some((connection, opened_at)) => AttemptConnection { connection, reused: true, opened_at },
            None => match open(self.address).await {
                Ok(connection) => AttemptConnection {
                    connection: Box::new(connection),
                    reused: false,
                    opened_at: gateway.clock.now(),
                },
                Err(ConnectError::Failed) => return Err(AttemptOutcome::ConnectFailed),
                Err(ConnectError::Exhausted) => return Err(AttemptOutcome::NotSent),
            },
        };
        // Connecting takes time, and the client, the deadline or the server may have changed meanwhile.
        match self.attempt.may_begin(self.wire).await {
            Ok(address) if address == self.address => {
                self.attempt.attach_connection(connection.connection.connection());
                Ok(connection)
            }
            _ => Err(AttemptOutcome::NotSent),
        }
    }

    /// Returns a connection to the pool after a complete response: the attempt is over at its server.
    pub fn release<C: PooledConnection>(&self, connection: AttemptConnection<C>) {
        self.attempt.detach_connection();
        let gateway = self.attempt.gateway();
        let times = (connection.opened_at, gateway.clock.now());
        gateway.fleet(|f| {
            f.checkin(self.attempt.server(), (self.wire, self.address), connection.connection, times)
        });
    }
}
