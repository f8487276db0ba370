//! The request ids that clients have sent, kept for as long as an attempt of the request may run. Each request has a new
//! id: a second request with the same id comes from another client or is a copy, and must not reach a server.
//!
//! The processes of a node that overlap during an upgrade claim ids in one table ([`table::IdTable`]), so that an id is
//! in use for all of them or for none. A process without that table goes by its own records.

pub mod table;

mod local;

use crate::clock::Clock;
use laurelroute_policy::interface::Nanos;
use local::LocalIds;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use table::{IdTable, TableError};

/// Why an id cannot be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// A request with this id may still run.
    #[error("a request with this id has been taken already")]
    InUse,
    /// The claim cannot be recorded, so that a copy of the request would not be recognized.
    #[error("the id cannot be recorded")]
    Unrecorded,
}

/// The ids in use.
#[derive(Default)]
pub struct RequestIds {
    local: RefCell<LocalIds>,
    /// The table that all processes of the node share, unless it could not be opened.
    table: RefCell<Option<IdTable>>,
    /// Another process of the node runs, or may run.
    accompanied: Cell<bool>,
}

impl RequestIds {
    /// Records claims in the table of the node's processes from now on.
    pub fn share(&self, table: IdTable) {
        *self.table.borrow_mut() = Some(table);
    }

    /// Records whether another process of the node runs beside this one. It has to see every claim, so none counts that
    /// cannot be recorded in the shared table.
    pub fn set_accompanied(&self, accompanied: bool) {
        self.accompanied.set(accompanied);
    }

    /// Claims an id, given as a hash, until a time on the node's clock.
    pub fn claim(self: &Rc<Self>, clock: Clock, id: u64, until: Nanos) -> Result<RequestIdClaim, ClaimError> {
        if self.local.borrow_mut().is_in_use(clock.now(), id) {
            return Err(ClaimError::InUse);
        }
        match self.table.borrow().as_ref().map(|table| table.claim(clock, id, until)) {
            Some(Ok(true)) => {}
            Some(Ok(false)) => return Err(ClaimError::InUse),
            // A process that runs alone needs no table, and is not to fail with its disk.
            Some(Err(TableError::Io(_))) if !self.accompanied.get() => self.claim_locally(id, until)?,
            Some(Err(_)) => return Err(ClaimError::Unrecorded),
            None => self.claim_locally(id, until)?,
        }
        Ok(RequestIdClaim { ids: self.clone(), clock, id, until, kept_until: Cell::new(None) })
    }

    fn claim_locally(&self, id: u64, until: Nanos) -> Result<(), ClaimError> {
        self.local.borrow_mut().claim(id, until)
    }

    /// Records that a request has ended, whose id was claimed until `claimed_until` and stays in use until `until`; a time
    /// that has passed releases it.
    fn end(&self, clock: Clock, id: u64, claimed_until: Nanos, until: Nanos) {
        if until < claimed_until {
            self.local.borrow_mut().set_expiry(clock.now(), id, until);
        }
        let table = self.table.borrow();
        if let Some(table) = table.as_ref().filter(|table| until < claimed_until || table.is_crowded(clock)) {
            // An entry that cannot be changed expires later.
            let _ = table.end(clock, id, until);
        }
    }
}

/// A claim to a request id. The id of a request that was never sent to a server is released when this is dropped; any
/// other stays in use.
pub struct RequestIdClaim {
    ids: Rc<RequestIds>,
    clock: Clock,
    id: u64,
    until: Nanos,
    /// Until when the id stays in use after the request has ended, as the request may have run.
    kept_until: Cell<Option<Nanos>>,
}

impl RequestIdClaim {
    /// Called when the request is sent to a server, where it may run until `until`: the id stays in use until then, also
    /// when the request has ended.
    pub fn keep_until(&self, until: Nanos) {
        self.kept_until.set(Some(until.max(self.kept_until.get().unwrap_or(0))));
    }

    /// Called when it is known that no server has run the request: the id is released as soon as the request has ended.
    pub fn release(&self) {
        self.kept_until.set(None);
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        let until = self.kept_until.get().unwrap_or(0).min(self.until);
        self.ids.end(self.clock, self.id, self.until, until);
    }
}

impl std::fmt::Debug for RequestIdClaim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "RequestIdClaim({:016x})", self.id)
    }
}
