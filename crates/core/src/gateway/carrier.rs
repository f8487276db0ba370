//! The connection that carries an attempt, as the gateway and the attempt's task share it. Referring to it does not keep
//! it open.

use crate::connection::Connection;
use crate::events::ConnectionEnd;
use std::cell::RefCell;
use std::rc::{Rc, Weak};

/// The connection of one attempt, if it has one now.
#[derive(Clone, Debug, Default)]
pub(super) struct Carrier(Rc<RefCell<Option<Weak<Connection>>>>);

impl Carrier {
    /// The attempt is about to write its request to this connection.
    pub(super) fn attach(&self, connection: &Rc<Connection>) {
        connection.set_request_sent(false);
        *self.0.borrow_mut() = Some(Rc::downgrade(connection));
    }

    /// The attempt no longer uses its connection.
    pub(super) fn detach(&self) {
        *self.0.borrow_mut() = None;
    }

    /// Whether the kernel has the last byte of the request: from then on it may run. A connection that is gone without
    /// having been detached may have sent it.
    pub(super) fn fully_sent(&self) -> bool {
        let carrier = self.0.borrow();
        carrier.as_ref().is_some_and(|c| c.upgrade().is_none_or(|connection| connection.request_sent()))
    }

    /// Whether the server may still see the attempt: its connection is open.
    pub(super) fn is_open(&self) -> bool {
        let carrier = self.0.borrow();
        carrier.as_ref().and_then(Weak::upgrade).is_some_and(|connection| connection.is_open())
    }

    /// What has become of the connection.
    pub(super) fn connection_end(&self) -> ConnectionEnd {
        match self.0.borrow().is_some() {
            _ if self.is_open() => ConnectionEnd::Kept,
            true => ConnectionEnd::Closed,
            false => ConnectionEnd::Released,
        }
    }

    /// Closes the connection now.
    pub(super) fn close(&self) {
        if let Some(connection) = self.0.borrow().as_ref().and_then(Weak::upgrade) {
            connection.close();
        }
    }
}
