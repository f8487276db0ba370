//! Resource limits of the process: file descriptors, and the memory that connections, requests and responses may take.
//!
//! Connections and what is leased for heads and bodies share one amount of memory, so that neither a crowd of connections
//! nor many large requests, nor both at once, exceed the limit.

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
/// Memory of a process without connections.
const PROCESS_BYTES: usize = 8 * 1024 * 1024;
/// Memory of a connection to a client or a server, with an incomplete head in its read buffer.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Fraction of the memory for connections and leases that may be leased for heads and bodies, if connections leave as
/// much.
const MAX_LEASE_FRACTION: f64 = 0.5;
/// Fraction of it that connections always leave for leases.
const MIN_LEASE_FRACTION: f64 = 0.2;
/// A lease of up to this many bytes may take all that may be leased; a longer one leaves [`SMALL_LEASE_FRACTION`] of that
/// to those, so that long bodies never keep short requests from being served.
const SMALL_LEASE_BYTES: usize = 32 * 1024;
const SMALL_LEASE_FRACTION: f64 = 0.15;

/// Counts descriptors and body bytes in use against the configured limits.
#[derive(Debug)]
pub struct Budget {
    /// Descriptors that clients and servers share.
    shared: Cell<usize>,
    /// The same as long as no other process of the node runs beside this one.
    full_shared: usize,
    /// The descriptors that the limit allows to the node.
    full_descriptors: usize,
    /// The node's memory for connections and leases, in bytes.
    full_memory: usize,
    /// This process's part of that.
    memory: Cell<usize>,
    own: usize,
    clients: Cell<usize>,
    /// The clients that hold an overflow slot; `clients` includes them.
    overflow: Cell<usize>,
    servers: Cell<usize>,
    leased_bytes: Cell<usize>,
}

impl Budget {
    /// Splits `descriptors` and `memory_mb` MiB among clients, servers, heads and bodies; `reserved` of the descriptors
    /// are for neither clients nor servers.
    pub fn new(descriptors: usize, memory_mb: u64, reserved: usize) -> Rc<Self> {
        let own = OWN_DESCRIPTORS + reserved;
        let memory = (memory_mb as usize * 1024 * 1024).saturating_sub(PROCESS_BYTES);
        let shared = shared_descriptors(descriptors, own, memory);
        Rc::new(Budget {
            shared: Cell::new(shared),
            full_shared: shared,
            full_descriptors: descriptors,
            full_memory: memory,
            memory: Cell::new(memory),
            own,
            clients: Cell::new(0),
            overflow: Cell::new(0),
            servers: Cell::new(0),
            leased_bytes: Cell::new(0),
        })
    }

    /// Changes the number of descriptors that the process may hold, and its part of the memory with it. A surplus
    /// disappears as descriptors are released.
    pub fn resize(&self, descriptors: usize) {
        let part = descriptors as f64 / self.full_descriptors.max(1) as f64;
        self.memory.set((self.full_memory as f64 * part.min(1.0)) as usize);
        self.shared.set(shared_descriptors(descriptors, self.own, self.memory.get()));
    }

    /// Bytes that may be leased: what connections leave, within the fraction for leases.
    fn max_leased_bytes(&self) -> usize {
        let memory = self.memory.get();
        let connections = (self.clients.get() + self.servers.get()) * CONNECTION_BYTES;
        let left = memory.saturating_sub(connections);
        left.clamp(fraction_of(memory, MIN_LEASE_FRACTION), fraction_of(memory, MAX_LEASE_FRACTION))
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

    /// An empty lease for the bytes of one head or body; [`BodyLease::grow`] adds to it.
    pub fn body_lease(self: &Rc<Self>) -> BodyLease {
        BodyLease { budget: self.clone(), bytes: 0 }
    }
}

/// Descriptors that clients and servers share: no more than there is memory for their connections.
fn shared_descriptors(descriptors: usize, own: usize, memory: usize) -> usize {
    let connections = fraction_of(memory, 1.0 - MIN_LEASE_FRACTION) / CONNECTION_BYTES;
    descriptors.saturating_sub(own).min(connections).max(MIN_SHARED_DESCRIPTORS)
}

fn fraction_of(bytes: usize, fraction: f64) -> usize {
    (bytes as f64 * fraction) as usize
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

/// The bytes that one head or body accounts for, released when dropped.
#[derive(Debug)]
pub struct BodyLease {
    budget: Rc<Budget>,
    bytes: usize,
}

impl BodyLease {
    /// Accounts for more bytes; returns false if the budget has no room for them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let sum = self.budget.leased_bytes.get() + bytes;
        let max = self.budget.max_leased_bytes();
        let reserved = match self.bytes + bytes > SMALL_LEASE_BYTES {
            true => fraction_of(max, SMALL_LEASE_FRACTION),
            false => 0,
        };
        if sum + reserved > max {
            return false;
        }
        self.budget.leased_bytes.set(sum);
        self.bytes += bytes;
        true
    }

    /// Accounts for this many bytes in all; returns false, with no change, if the budget has no room for them.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        self.shrink_to(bytes);
        true
    }

    /// Gives back all but this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.budget.leased_bytes.set(self.budget.leased_bytes.get() - surplus);
        self.bytes -= surplus;
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.leased_bytes.set(self.budget.leased_bytes.get() - self.bytes);
    }
}
