//! The known servers: those that discovery has listed, their addresses by protocol, and the pool of idle connections to
//! them.

use crate::call::Wire;
use crate::process::ProcessState;
use crate::start_time::{self, ClockReading};
use laurelroute_handover::bans::Bans;
use laurelroute_policy::interface::{Endpoint, ListKind, Nanos, Phase, Server};
use std::any::Any;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long removed servers are kept, for attempts that are still in flight to them.
const REMOVED_SERVER_TTL: Nanos = 60_000_000_000;

/// An entry of the server list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// The server's name, the same on every node.
    pub host: String,
    /// The server's addresses, by [`Wire`].
    pub addresses: Addresses,
    /// The server as the decision module sees it; the fleet fills in the endpoint.
    pub server: Server,
    /// Further attributes, if they are used.
    pub attributes: Option<Box<ServerAttributes>>,
}

/// Attributes of a server that the decision module does not use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerAttributes {
    /// The name of the server's machine kind.
    pub kind: String,
    /// The software version.
    pub version: String,
    /// Other metadata.
    pub metadata: BTreeMap<String, String>,
    /// The server's services; an empty list means the unnamed service.
    pub services: Vec<String>,
}

/// A server's addresses, by [`Wire`]; `None` for a protocol that it does not support.
pub type Addresses = Vec<Option<SocketAddr>>;

/// A pooled connection that can carry further requests.
pub trait PooledConnection: Any {
    /// Whether no data has arrived on the connection and the peer has not closed it.
    fn is_reusable(&self) -> bool;
}

/// An idle connection in the pool.
pub struct IdleConnection {
    wire: Wire,
    connection: Box<dyn PooledConnection>,
    opened_at: Nanos,
    idle_since: Nanos,
}

/// One connection to a server, counted over all protocols; released when dropped.
#[derive(Debug)]
pub struct ServerConnectionSlot(Rc<Cell<u32>>);

impl Drop for ServerConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Upstream {
    host: String,
    addresses: Addresses,
    /// The server with local bans and drains applied.
    server: Server,
    /// The server as listed, with its start time on the node's own clock; its phase is `Removed` once it is no longer
    /// listed.
    listed: Server,
    /// The start time as listed, in Unix time.
    listed_start: Nanos,
    /// Number of open connections to the server.
    open: Rc<Cell<u32>>,
    /// Since when the server takes no new requests.
    closed_at: Option<Nanos>,
    /// Idle connections, oldest first. The newest is used first, so that the others can age and be closed.
    idle: Vec<IdleConnection>,
}

/// The servers that discovery has listed, by the endpoint under which the decision module knows them.
#[derive(Default)]
pub struct Fleet {
    upstreams: BTreeMap<Endpoint, Upstream>,
    /// The server that owns each address of the first protocol and may be sent new requests there: one process listens
    /// at an address.
    address_owners: BTreeMap<SocketAddr, Endpoint>,
    /// Servers that are no longer listed, by the time they were closed.
    removed: BTreeSet<(Nanos, Endpoint)>,
    /// Servers that may have idle connections; the next sweep removes those that have none.
    with_idle: BTreeSet<Endpoint>,
    /// See [`Fleet::servers_examined`].
    servers_examined: u64,
    /// Maximum number of connections from this node to one server, over all protocols.
    max_connections: Option<u32>,
    /// Servers that operators have detached, whatever the list says.
    pub bans: Bans,
    /// Servers that other nodes have reported as draining, ahead of the list.
    drained: BTreeSet<String>,
    /// Servers that operators have reattached and that have come into use, until [`Fleet::take_restored`].
    restored: Vec<Endpoint>,
    /// Shared counts of connections, if the process has several services.
    process: Option<Rc<ProcessState>>,
    /// Offset of the wall clock from the node's own clock; negative if it is behind.
    wall_clock_offset: i64,
    /// The last contact with discovery; `None` before the first list.
    last_contact_at: Option<Nanos>,
}

/// The endpoint under which the decision module knows a server. The module sorts by endpoint, and all nodes must agree
/// on the order: it is derived from the name, which is the same everywhere, and not from the address, which is not.
fn endpoint_for(host: &str, collisions: u8) -> Endpoint {
    let mut name = host.as_bytes().to_vec();
    name.extend((collisions > 0).then_some(collisions));
    let h = crate::stable_hash(&name).to_be_bytes();
    Endpoint { address: [h[0], h[1], h[2], h[3]], port: u16::from_be_bytes([h[4], h[5]]) }
}

/// The counter of open connections to a server.
fn connection_count(process: &Option<Rc<ProcessState>>, addresses: &Addresses) -> Rc<Cell<u32>> {
    match (process, addresses.first()) {
        (Some(process), Some(Some(address))) => process.open_connections(*address),
        _ => Rc::default(),
    }
}

/// Removes a server as the owner of its address.
fn release_address(owners: &mut BTreeMap<SocketAddr, Endpoint>, endpoint: Endpoint, upstream: &Upstream) {
    if let Some(Some(address)) = upstream.addresses.first() {
        if owners.get(address) == Some(&endpoint) {
            owners.remove(address);
        }
    }
}

impl Fleet {
    /// An empty fleet with a maximum number of connections to each server, over all protocols.
    pub fn with_max_connections(max_connections: Option<u32>) -> Self {
        Fleet { max_connections, ..Fleet::default() }
    }

    /// An empty fleet with the same connection limit, bans and drains.
    pub(crate) fn with_same_settings(&self) -> Self {
        Fleet {
            max_connections: self.max_connections,
            bans: self.bans.clone(),
            drained: self.drained.clone(),
            ..Fleet::default()
        }
    }

    /// Counts connections to servers together with those of other services from now on.
    pub(crate) fn share_connection_counts(&mut self, process: Rc<ProcessState>) {
        self.process = Some(process);
    }

    /// Closes the oldest idle connection to a server; returns false if there is none.
    pub(crate) fn evict_from(&mut self, host: &str) -> bool {
        let upstream = self.upstreams.get_mut(&self.endpoint(host)).filter(|u| !u.idle.is_empty());
        upstream.map(|u| u.idle.remove(0)).is_some()
    }

    fn endpoint(&self, host: &str) -> Endpoint {
        let free = |e: &Endpoint| self.upstreams.get(e).is_none_or(|u| u.host == host);
        (0..=u8::MAX)
            .map(|collisions| endpoint_for(host, collisions))
            .find(free)
            .unwrap_or(endpoint_for(host, 0))
    }

    /// Applies a server list, or changes to it, and returns the servers for the decision module. Listed start times are
    /// Unix time.
    pub fn update(&mut self, now: Nanos, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Server> {
        let servers = self.apply(now, kind, entries);
        if matches!(kind, ListKind::Full | ListKind::Changes) {
            self.last_contact_at = Some(now);
        }
        servers
    }

    /// Sets the offset of the wall clock from the node's own clock; negative if it is behind.
    pub fn set_wall_clock_offset(&mut self, offset: i64) {
        self.wall_clock_offset = offset;
    }

    /// Records a contact with discovery that brought no changes: the list is current.
    pub fn record_discovery_contact(&mut self, now: Nanos) {
        if self.last_contact_at.is_some() {
            self.last_contact_at = Some(now);
        }
    }

    fn apply(&mut self, now: Nanos, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Server> {
        let clocks = ClockReading { now, wall: now.saturating_add_signed(self.wall_clock_offset) };
        let mut servers = Vec::with_capacity(entries.len());
        for entry in entries {
            let endpoint = self.endpoint(&entry.host);
            let listed_start = entry.server.started_at;
            // Each start time is converted to the node's own clock only once.
            let started_at = match self.upstreams.get(&endpoint).filter(|u| u.listed_start == listed_start) {
                Some(upstream) => upstream.listed.started_at,
                None => start_time::started_at(listed_start, clocks, self.last_contact_at),
            };
            let listed = Server { endpoint, started_at, ..entry.server };
            let mut server = self.bans.overlay(&entry.host, listed);
            if server.phase == Phase::Ready && self.drained.contains(&entry.host) {
                server.phase = Phase::Draining;
            }
            let addresses = entry.addresses;
            let upstream = self.upstreams.entry(endpoint).or_insert_with(|| Upstream {
                host: entry.host,
                addresses: addresses.clone(),
                server,
                listed,
                listed_start,
                open: connection_count(&self.process, &addresses),
                closed_at: None,
                idle: Vec::new(),
            });
            if let Some(at) = upstream.closed_at {
                self.removed.remove(&(at, endpoint));
            }
            if upstream.addresses != addresses || upstream.server.started_at != server.started_at {
                // A different server process: connections to the previous one are of no use.
                if self.process.is_some() && upstream.addresses.first() != addresses.first() {
                    upstream.open = connection_count(&self.process, &addresses);
                }
                release_address(&mut self.address_owners, endpoint, upstream);
                upstream.addresses = addresses;
                upstream.idle.clear();
            }
            (upstream.server, upstream.listed, upstream.listed_start) = (server, listed, listed_start);
            if server.phase == Phase::Ready {
                if upstream.closed_at.take().is_some() && self.bans.is_restored(&upstream.host) {
                    self.restored.push(endpoint);
                }
            } else {
                release_address(&mut self.address_owners, endpoint, upstream);
                let at = upstream.close(now);
                if listed.phase == Phase::Removed {
                    self.removed.insert((at, endpoint));
                }
            }
            servers.push(server);
        }
        self.servers_examined += servers.len() as u64;
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: BTreeSet<_> = servers.iter().map(|s| s.endpoint).collect();
            self.servers_examined += self.upstreams.len() as u64;
            for (endpoint, absent) in self.upstreams.iter_mut().filter(|(e, _)| !listed.contains(e)) {
                release_address(&mut self.address_owners, *endpoint, absent);
                absent.listed.phase = Phase::Removed;
                self.removed.insert((absent.close(now), *endpoint));
            }
        }
        self.close_replaced(now, &mut servers);
        self.drop_expired(now);
        servers
    }

    /// Drops servers that were removed long ago.
    fn drop_expired(&mut self, now: Nanos) {
        while let Some((at, endpoint)) = self.removed.first().copied() {
            if now.saturating_sub(at) < REMOVED_SERVER_TTL {
                break;
            }
            self.removed.pop_first();
            self.upstreams.remove(&endpoint);
        }
    }

    /// Number of servers examined so far to apply lists and to sweep idle connections: a measure of their cost.
    pub fn servers_examined(&self) -> u64 {
        self.servers_examined
    }

    /// Applies bans and drains to these servers again, and returns the servers for the decision module.
    pub fn reapply(&mut self, now: Nanos, hosts: &[String]) -> Vec<Server> {
        let known = hosts.iter().filter_map(|host| self.upstreams.get(&self.endpoint(host)));
        let entry = |u: &Upstream| ServerEntry {
            host: u.host.clone(),
            addresses: u.addresses.clone(),
            server: Server { started_at: u.listed_start, ..u.listed },
            attributes: None,
        };
        let entries = known.filter(|u| u.listed.phase != Phase::Removed).map(entry).collect();
        self.apply(now, ListKind::Changes, entries)
    }

    /// Sets whether other nodes report a server as draining; returns whether this is a change.
    pub fn set_drained(&mut self, host: &str, draining: bool) -> bool {
        match draining {
            true => self.drained.insert(host.to_owned()),
            false => self.drained.remove(host),
        }
    }

    /// Takes the servers that operators have reattached and that have come into use since the last call.
    pub fn take_restored(&mut self) -> Vec<Endpoint> {
        std::mem::take(&mut self.restored)
    }

    /// Whether a server of this name is listed.
    pub fn is_listed(&self, host: &str) -> bool {
        self.upstreams.get(&self.endpoint(host)).is_some_and(|u| u.listed.phase != Phase::Removed)
    }

    /// Closes servers whose address is now used by a newer one. Only one process listens at an address: the older
    /// server is gone even if it is still listed, and requests sent to it would reach the newer one without being
    /// counted there.
    ///
    /// Only addresses of the first protocol are compared. They identify processes, while those of other protocols may
    /// be derived by an operator's rule, and a mistake in it must not take servers out of use for all protocols.
    fn close_replaced(&mut self, now: Nanos, servers: &mut Vec<Server>) {
        // A server outside this list is the only owner of its address, or owns none.
        let mut candidates = BTreeSet::new();
        for endpoint in servers.iter().map(|s| s.endpoint) {
            if let Some(address) = self.address(endpoint, Wire(0)) {
                candidates.insert(endpoint);
                candidates.extend(self.address_owners.get(&address));
            }
        }
        self.servers_examined += candidates.len() as u64;
        let mut newest: BTreeMap<SocketAddr, (Nanos, Endpoint)> = BTreeMap::new();
        let mut replaced = Vec::new();
        for u in candidates.iter().filter_map(|endpoint| self.upstreams.get(endpoint)) {
            let Some(Some(address)) = u.addresses.first() else { continue };
            // Start times within one list are compared as listed.
            let own = (u.listed_start, u.listed.endpoint);
            let Some(other) = newest.insert(*address, own) else { continue };
            let (older, newer) = if other.0 > own.0 { (own, other) } else { (other, own) };
            newest.insert(*address, newer);
            replaced.push(older.1);
        }
        self.address_owners.extend(newest.into_iter().map(|(address, (_, endpoint))| (address, endpoint)));
        if replaced.is_empty() {
            return;
        }
        let indexed = servers.iter().enumerate().rev();
        let positions: BTreeMap<Endpoint, usize> = indexed.map(|(at, s)| (s.endpoint, at)).collect();
        for endpoint in replaced {
            let Some(upstream) = self.upstreams.get_mut(&endpoint) else { continue };
            upstream.close(now);
            let server = Server { phase: Phase::Removed, ..upstream.server };
            match positions.get(&endpoint) {
                Some(at) => servers[*at] = server,
                None => servers.push(server),
            }
        }
    }

    /// Sets the maximum number of connections from this node to one server. Surplus connections are closed when they
    /// are checked in.
    pub fn set_max_connections(&mut self, max: Option<u32>) {
        self.max_connections = max;
    }

    /// The endpoint under which the decision module knows a server; `None` if the server is unknown or was dropped.
    pub fn endpoint_of(&self, host: &str) -> Option<Endpoint> {
        let endpoint = self.endpoint(host);
        self.upstreams.contains_key(&endpoint).then_some(endpoint)
    }

    /// The name of a server.
    pub fn host_of(&self, server: Endpoint) -> Option<&str> {
        self.upstreams.get(&server).map(|u| u.host.as_str())
    }

    /// The address of a server, as long as it may be sent new requests.
    pub fn address(&self, server: Endpoint, wire: Wire) -> Option<SocketAddr> {
        let upstream = self.upstreams.get(&server).filter(|u| u.closed_at.is_none())?;
        upstream.addresses.get(usize::from(wire.0)).copied().flatten()
    }

    /// The location of a server; `None` if the server is unknown or was dropped.
    pub fn locality(&self, server: Endpoint) -> Option<crate::dispatch::Locality> {
        let server = self.upstreams.get(&server)?.server;
        Some(crate::dispatch::Locality { zone: server.zone, cell: server.cell })
    }

    /// Takes a slot for one more connection to a server. At the limit, an idle connection of another protocol is closed
    /// to free one; `None` if there is no such connection.
    pub(crate) fn reserve_connection(
        &mut self,
        server: Endpoint,
        wire: Wire,
    ) -> Option<ServerConnectionSlot> {
        let max = self.max_connections.unwrap_or(u32::MAX);
        let upstream = self.upstreams.get_mut(&server)?;
        while upstream.open.get() >= max {
            let other = upstream.idle.iter().position(|i| i.wire != wire)?;
            upstream.idle.remove(other);
        }
        upstream.open.set(upstream.open.get() + 1);
        Some(ServerConnectionSlot(upstream.open.clone()))
    }

    /// Takes the newest idle connection of a protocol that is still usable, with the time it was opened.
    pub fn checkout<C: PooledConnection>(
        &mut self,
        server: Endpoint,
        wire: Wire,
        cutoff: Nanos,
    ) -> Option<(Box<C>, Nanos)> {
        let upstream = self.upstreams.get_mut(&server)?;
        while let Some(newest) = upstream.idle.iter().rposition(|i| i.wire == wire) {
            let idle = upstream.idle.remove(newest);
            // A connection that the server has closed, or on which it sent unsolicited data, would lose a request.
            if idle.idle_since >= cutoff && idle.connection.is_reusable() {
                let connection: Box<dyn Any> = idle.connection;
                return connection.downcast().ok().map(|c| (c, idle.opened_at));
            }
        }
        None
    }

    /// Returns a connection to the pool with the times it was opened and became idle, unless the server has since been
    /// closed or its address or process has changed.
    pub fn checkin(
        &mut self,
        server: Endpoint,
        (wire, address): (Wire, SocketAddr),
        connection: Box<dyn PooledConnection>,
        (opened_at, idle_since): (Nanos, Nanos),
    ) {
        let current = self.address(server, wire) == Some(address);
        let max = self.max_connections.unwrap_or(u32::MAX);
        if let Some(u) = self.upstreams.get_mut(&server).filter(|_| current) {
            if u.server.started_at <= opened_at && u.open.get() <= max {
                u.idle.push(IdleConnection { wire, connection, opened_at, idle_since });
                self.with_idle.insert(server);
            }
        }
    }

    /// Closes connections that have been idle since before `cutoff` or were closed by their server.
    pub fn sweep(&mut self, cutoff: Nanos) {
        self.servers_examined += self.with_idle.len() as u64;
        let upstreams = &mut self.upstreams;
        self.with_idle.retain(|server| {
            let Some(upstream) = upstreams.get_mut(server) else { return false };
            upstream.idle.retain(|i| i.idle_since >= cutoff && i.connection.is_reusable());
            !upstream.idle.is_empty()
        });
    }

    /// Closes the connection that has been idle longest; returns false if none is idle.
    pub fn evict(&mut self) -> bool {
        let since = |server: &&Endpoint| Some(self.upstreams.get(server)?.idle.first()?.idle_since);
        let with_idle = self.with_idle.iter().filter(|server| since(server).is_some());
        let longest = with_idle.min_by_key(since).copied();
        let upstream = longest.and_then(|server| self.upstreams.get_mut(&server));
        upstream.map(|u| u.idle.remove(0)).is_some()
    }
}

impl Upstream {
    /// Closes the server, and returns since when it is closed.
    fn close(&mut self, now: Nanos) -> Nanos {
        self.idle.clear();
        *self.closed_at.get_or_insert(now)
    }
}
