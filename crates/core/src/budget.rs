//! Resource limits of the process: file descriptors and the memory that request and response bodies may take.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that belong to neither a client nor a server: standard streams, the listeners and one client waiting for
/// a slot at each, the poller, discovery, the table of request ids, and the link to the other process of the node during a
/// takeover.
const OWN_DESCRIPTORS: usize = 21;
/// Descriptors that clients and servers share however low the limit is: without some of them nothing can be served.
const MIN_SHARED_DESCRIPTORS: usize = 7;
/// Descriptors reserved for connections to the management address, if there is one.
pub const MANAGEMENT_SOCKETS: usize = 16;
/// Fraction of the shared descriptors that clients may always hold: a third for clients with a request in flight, and
/// some for idle ones. Each request may have two attempts in flight, and abandoned attempts hold their connections for
/// a while.
const CLIENT_FRACTION: f64 = 0.42;
/// Beyond that, clients may hold descriptors that connections to servers leave free, up to this fraction of the shared
/// ones, less [`SERVER_MARGIN`].
const MAX_CLIENT_FRACTION: f64 = 0.66;
/// Fraction of the shared descriptors that stays free for connections to servers to grow into.
const SERVER_MARGIN: f64 = 0.12;
/// One overflow slot per this many regular client slots, and at least one ([`Budget::acquire_overflow`]): for clients
/// whose connection is closed with the response.
const CLIENTS_PER_OVERFLOW_SLOT: usize = 16;
/// Fraction of the memory limit that bodies may fill; connection buffers and heap fragmentation need the rest.
const BODY_FRACTION: f64 = 0.35;
/// Bytes of overhead per chunk of a body: without them a body of one-byte chunks would take far more memory than
/// counted.
const CHUNK_OVERHEAD: usize = 64;

/// Counts descriptors and body bytes in use against the configured limits.
#[derive(Debug)]
pub struct Budget {
    /// Descriptors that clients and servers share.
    shared: Cell<usize>,
    /// The same as long as no other process of the node runs beside this one.
    full_shared: usize,
    max_body_bytes: usize,
    own: usize,
    clients: Cell<usize>,
    /// The clients that hold an overflow slot; `clients` includes them.
    overflow: Cell<usize>,
    servers: Cell<usize>,
    body_bytes: Cell<usize>,
}

impl Budget {
    /// Splits `descriptors` and `memory_mb` MiB among clients, servers and bodies; `reserved` of the descriptors are
    /// for neither clients nor servers.
    pub fn new(descriptors: usize, memory_mb: u64, reserved: usize) -> Rc<Self> {
        let own = OWN_DESCRIPTORS + reserved;
        let shared = shared_descriptors(descriptors, own);
        Rc::new(Budget {
            shared: Cell::new(shared),
            full_shared: shared,
            max_body_bytes: (memory_mb as f64 * BODY_FRACTION) as usize * 1024 * 1024,
            own,
            clients: Cell::new(0),
            overflow: Cell::new(0),
            servers: Cell::new(0),
            body_bytes: Cell::new(0),
        })
    }

    /// Changes the number of descriptors that the process may hold. A surplus disappears as descriptors are released.
    pub fn resize(&self, descriptors: usize) {
        self.shared.set(shared_descriptors(descriptors, self.own));
    }

    /// Slots for clients: their own fraction, or more if servers do not need it.
    fn client_slots(&self) -> usize {
        self.client_slots_of(self.shared.get())
    }

    fn client_slots_of(&self, shared: usize) -> usize {
        let part = |fraction: f64| (shared as f64 * fraction) as usize;
        let margin = part(SERVER_MARGIN).max(overflow_slots(shared));
        let free = shared.saturating_sub(self.servers.get() + margin);
        part(CLIENT_FRACTION).max(free.min(part(MAX_CLIENT_FRACTION)))
    }

    /// Slots for connections to servers: the shared descriptors that neither the clients' fraction, or the slots that
    /// clients hold if these are more, nor the overflow slots take.
    fn server_slots(&self) -> usize {
        let shared = self.shared.get();
        let regular_clients = self.clients.get().saturating_sub(self.overflow.get());
        let for_clients = ((shared as f64 * CLIENT_FRACTION) as usize).max(regular_clients);
        shared.saturating_sub(for_clients + overflow_slots(shared))
    }

    /// Connections that clients may hold before new ones are refused.
    pub fn max_clients(&self) -> usize {
        regular_slots(self.client_slots())
    }

    /// Whether this many clients hold more than half of the slots that the process has when it is the node's only one.
    /// During a takeover either process may have only a few slots, which does not make its clients a crowd.
    pub fn is_crowded(&self, clients: usize) -> bool {
        clients > regular_slots(self.client_slots_of(self.full_shared)) / 2
    }

    /// Whether more connections to servers are open than there are slots for.
    pub fn servers_over_limit(&self) -> bool {
        self.servers.get() > self.server_slots()
    }

    /// Descriptors that this process holds.
    pub fn descriptors_in_use(&self) -> usize {
        self.clients.get() + self.servers.get() + self.own
    }

    /// Number of client connections.
    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    /// Whether there is no slot left even to refuse a client: further ones have to stay in the listener's backlog.
    pub fn clients_exhausted(&self) -> bool {
        self.clients.get() >= self.client_slots()
    }

    /// Takes a slot for one more client.
    pub fn acquire_client(self: &Rc<Self>) -> Slot {
        Slot::take(self, |b| &b.clients)
    }

    /// Takes an overflow slot if there is one: for a client whose response asks it to reconnect. A descriptor has to be
    /// free as well: after the limit was lowered, clients and servers may hold more descriptors than there are slots.
    pub fn acquire_overflow(self: &Rc<Self>) -> Option<OverflowSlot> {
        let free = self.clients.get() + self.servers.get() < self.shared.get();
        (free && self.overflow.get() < overflow_slots(self.shared.get())).then(|| OverflowSlot {
            _client: self.acquire_client(),
            _overflow: Slot::take(self, |b| &b.overflow),
        })
    }

    /// Takes a slot for one more connection to a server, if there is one.
    pub fn acquire_server(self: &Rc<Self>) -> Option<Slot> {
        (self.servers.get() < self.server_slots()).then(|| Slot::take(self, |b| &b.servers))
    }

    /// An empty lease for the bytes of one body; [`BodyLease::grow`] adds to it.
    pub fn body_lease(self: &Rc<Self>) -> BodyLease {
        BodyLease { budget: self.clone(), bytes: 0 }
    }
}

/// Descriptors that clients and servers share.
fn shared_descriptors(descriptors: usize, own: usize) -> usize {
    descriptors.saturating_sub(own).max(MIN_SHARED_DESCRIPTORS)
}

/// Number of overflow slots ([`Budget::acquire_overflow`]) among the shared descriptors. Connections to servers never
/// use them.
fn overflow_slots(shared: usize) -> usize {
    let client_slots = (shared as f64 * CLIENT_FRACTION) as usize;
    (client_slots / CLIENTS_PER_OVERFLOW_SLOT).max(1)
}

/// The client slots in which requests are served. One slot in eight is kept for clients that are only refused and asked
/// to come back.
fn regular_slots(slots: usize) -> usize {
    (slots - slots / 8).max(1)
}

/// One descriptor in use, released when dropped.
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

/// A client's overflow slot, released when dropped.
#[derive(Debug)]
pub struct OverflowSlot {
    _client: Slot,
    _overflow: Slot,
}

/// The bytes that one body accounts for, released when dropped.
#[derive(Debug)]
pub struct BodyLease {
    budget: Rc<Budget>,
    bytes: usize,
}

impl BodyLease {
    /// Accounts for one more chunk; returns false if the budget has no room for it.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let cost = bytes + CHUNK_OVERHEAD;
        let sum = self.budget.body_bytes.get() + cost;
        if sum > self.budget.max_body_bytes {
            return false;
        }
        self.budget.body_bytes.set(sum);
        self.bytes += cost;
        true
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.body_bytes.set(self.budget.body_bytes.get() - self.bytes);
    }
}
