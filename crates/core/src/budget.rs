//! What the node may hold: file descriptors and bytes of bodies.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that are neither a client's nor a server's: standard streams, listeners and a client at each for whom there is
/// no place yet, poller, discovery, the other process of the node while one takes over.
const OWN_SOCKETS: usize = 20;
/// Descriptors for calls on the second address, where there is one.
pub const MANAGEMENT_SOCKETS: usize = 16;
/// Part of the rest that clients may hold in any case: a third for those that ask, and some for those that do not. Each of
/// their requests may have two attempts out, and attempts that were given up hold theirs for a while.
const CLIENT_PART: f64 = 0.42;
/// ... and this part of what connections to servers leave free beyond a margin that they may grow by.
const CROWD_PART: f64 = 0.66;
const MARGIN: f64 = 0.12;
/// Beside the part of clients, one place for each so many in it, and one at least: for clients that leave with their answer
/// ([`Budget::acquire_overflow`]).
const OVERFLOW_PART: usize = 16;
/// Part of the memory limit that bodies may fill; connection buffers and the heap's slack need the rest.
const BODY_PART: f64 = 0.35;
/// Bookkeeping for one piece of a body: without it a body of one-byte chunks would cost far more than counted.
const PIECE: usize = 64;

/// Counts what is held against the limits of the configuration.
#[derive(Debug)]
pub struct Budget {
    rest: Cell<usize>,
    /// What it is without another process of the node beside this one.
    whole_rest: usize,
    most_bytes: usize,
    own: usize,
    clients: Cell<usize>,
    /// Of the clients, those beyond the places.
    overflow: Cell<usize>,
    servers: Cell<usize>,
    bytes: Cell<usize>,
}

impl Budget {
    /// Splits `sockets` descriptors and `memory_mb` MiB among clients, servers and messages; `kept` more descriptors are
    /// neither's.
    pub fn new(sockets: usize, memory_mb: u64, kept: usize) -> Rc<Self> {
        let own = OWN_SOCKETS + kept;
        let rest = rest_of(sockets, own);
        Rc::new(Budget {
            rest: Cell::new(rest),
            whole_rest: rest,
            most_bytes: (memory_mb as f64 * BODY_PART) as usize * 1024 * 1024,
            own,
            clients: Cell::new(0),
            overflow: Cell::new(0),
            servers: Cell::new(0),
            bytes: Cell::new(0),
        })
    }

    /// From now on the process may hold so many descriptors. What is above it goes as it is given back.
    pub fn resize(&self, sockets: usize) {
        self.rest.set(rest_of(sockets, self.own));
    }

    /// Places for clients: their own part, and in a crowd of them what servers do not need.
    fn client_places(&self) -> usize {
        self.client_places_of(self.rest.get())
    }

    fn client_places_of(&self, rest: usize) -> usize {
        let part = |of: f64| (rest as f64 * of) as usize;
        let margin = part(MARGIN).max(overflow_places(rest));
        let free = rest.saturating_sub(self.servers.get() + margin);
        part(CLIENT_PART).max(free.min(part(CROWD_PART)))
    }

    /// Places for connections to servers: what clients and their overflow leave of the rest, and more than their own part
    /// to none.
    fn server_places(&self) -> usize {
        let rest = self.rest.get();
        let kept = self.clients.get().saturating_sub(self.overflow.get());
        let of_clients = ((rest as f64 * CLIENT_PART) as usize).max(kept);
        rest.saturating_sub(of_clients + overflow_places(rest))
    }

    /// Connections that clients may hold before new ones are refused.
    pub fn max_clients(&self) -> usize {
        most_of(self.client_places())
    }

    /// So many clients hold more than half of the places that there are without another process of the node beside this
    /// one. While one takes over from another, either may have places for a few only: that makes no crowd of its clients.
    pub fn is_crowded(&self, clients: usize) -> bool {
        clients > most_of(self.client_places_of(self.whole_rest)) / 2
    }

    /// More connections are open to servers than may be.
    pub fn servers_over_limit(&self) -> bool {
        self.servers.get() > self.server_places()
    }

    /// Descriptors that this process holds.
    pub fn descriptors_in_use(&self) -> usize {
        self.clients.get() + self.servers.get() + self.own
    }

    /// Connections that clients hold.
    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    /// No further client may even be turned away: the backlog has to hold it.
    pub fn clients_exhausted(&self) -> bool {
        self.clients.get() >= self.client_places()
    }

    /// A place for one more client.
    pub fn acquire_client(self: &Rc<Self>) -> Slot {
        Slot::take(self, |b| &b.clients)
    }

    /// A place beyond those for clients, for one whose answer tells it to come back on another connection, if there is any.
    /// A descriptor has to be free: a lease that has just fallen may be held by more clients and servers than it has places for.
    pub fn acquire_overflow(self: &Rc<Self>) -> Option<OverflowSlot> {
        let free = self.clients.get() + self.servers.get() < self.rest.get();
        (free && self.overflow.get() < overflow_places(self.rest.get())).then(|| OverflowSlot {
            _client: self.acquire_client(),
            _overflow: Slot::take(self, |b| &b.overflow),
        })
    }

    /// A place for one more connection to a server, if there is any.
    pub fn acquire_server(self: &Rc<Self>) -> Option<Slot> {
        (self.servers.get() < self.server_places()).then(|| Slot::take(self, |b| &b.servers))
    }

    /// Nothing held yet; it grows with `BodyLease::grow`.
    pub fn body_lease(self: &Rc<Self>) -> BodyLease {
        BodyLease { budget: self.clone(), held: 0 }
    }
}

/// What clients and servers share.
fn rest_of(sockets: usize, own: usize) -> usize {
    sockets.saturating_sub(own).max(8)
}

/// Places beyond those for clients ([`Budget::acquire_overflow`]), of what clients and servers share. No connection to a server takes
/// one of them.
fn overflow_places(rest: usize) -> usize {
    let part = (rest as f64 * CLIENT_PART) as usize;
    (part / OVERFLOW_PART).max(1)
}

/// Of so many places, those for clients that are not only told to come back: for these one in eight is kept.
fn most_of(places: usize) -> usize {
    (places - places / 8).max(1)
}

/// One descriptor in use, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    budget: Rc<Budget>,
    counter: fn(&Budget) -> &Cell<usize>,
}

impl Slot {
    fn take(budget: &Rc<Budget>, counter: fn(&Budget) -> &Cell<usize>) -> Self {
        counter(budget).set(counter(budget).get() + 1);
        Slot { budget: budget.clone(), counter }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let counter = (self.counter)(&self.budget);
        counter.set(counter.get() - 1);
    }
}

/// A client's descriptor beyond the places, given back when dropped.
#[derive(Debug)]
pub struct OverflowSlot {
    _client: Slot,
    _overflow: Slot,
}

/// Bytes of one body, given back when dropped.
#[derive(Debug)]
pub struct BodyLease {
    budget: Rc<Budget>,
    held: usize,
}

impl BodyLease {
    /// Takes one more piece into account; false where the budget has no room for it.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let cost = bytes + PIECE;
        let sum = self.budget.bytes.get() + cost;
        if sum > self.budget.most_bytes {
            return false;
        }
        self.budget.bytes.set(sum);
        self.held += cost;
        true
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.bytes.set(self.budget.bytes.get() - self.held);
    }
}
