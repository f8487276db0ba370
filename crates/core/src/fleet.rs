//! The fleet: which servers the list has named, where each listens on each wire, and the connections kept to them.

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

/// Servers that left are remembered for this long, for what is still under way to them.
const REMOVED_SERVER_TTL: Nanos = 60_000_000_000;

/// One entry of the list of servers.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// The server's name, the same at every node.
    pub host: String,
    /// Where it listens, by [`Wire`].
    pub addresses: Addresses,
    /// All that the module is told; the endpoint is filled in by the fleet.
    pub server: Server,
    /// What else is said of it, where somebody goes by that.
    pub attributes: Option<Box<ServerAttributes>>,
}

/// What the list says of a server beside what the module is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerAttributes {
    /// Its machine kind, by name.
    pub kind: String,
    /// What it runs.
    pub version: String,
    /// Whatever else.
    pub metadata: BTreeMap<String, String>,
    /// The services that it serves; none is the one without a name.
    pub services: Vec<String>,
}

/// A server's addresses, by [`Wire`]; `None` where it does not speak that one.
pub type Addresses = Vec<Option<SocketAddr>>;

/// A connection that can carry another request.
pub trait PooledConnection: Any {
    /// Nothing has come on it and the peer has not closed.
    fn is_reusable(&self) -> bool;
}

/// A kept connection.
pub struct Idle {
    wire: Wire,
    connection: Box<dyn PooledConnection>,
    opened: Nanos,
    since: Nanos,
}

/// One connection to a server, counted over all wires; given back when dropped.
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
    /// As it counts here.
    server: Server,
    /// As the list has it, with its start on the node's own clock; gone where the list has it no more.
    listed: Server,
    /// Its start as the list words it.
    listed_start: Nanos,
    /// Connections open to it.
    open: Rc<Cell<u32>>,
    /// Since when it takes nothing new.
    closed_at: Option<Nanos>,
    /// Oldest first: the newest is used first, so that the others can age and close.
    idle: Vec<Idle>,
}

/// The servers that the list has named, by the identity under which the module knows them.
#[derive(Default)]
pub struct Fleet {
    upstreams: BTreeMap<Endpoint, Upstream>,
    /// Who may be sent anything new at an address of the first wire: one process listens there.
    holders: BTreeMap<SocketAddr, Endpoint>,
    /// Those that the list does not have any more, by when they were closed.
    removed: BTreeSet<(Nanos, Endpoint)>,
    /// Servers that may have kept connections; those that turn out to have none go with the next sweep.
    with_idle: BTreeSet<Endpoint>,
    /// See [`Fleet::servers_examined`].
    servers_examined: u64,
    /// Connections that one server may hold of this node's, over all wires.
    max_connections: Option<u32>,
    /// Servers that operators have taken out of use, whatever the list says.
    pub bans: Bans,
    /// Servers that drain by others' word, ahead of the list.
    drained: BTreeSet<String>,
    /// Servers that were put back and may be used from now on.
    restored: Vec<Endpoint>,
    /// Connections count together with those of other services.
    process: Option<Rc<ProcessState>>,
    /// What the wall clock says beyond the node's own; negative where it is behind.
    wall_clock_offset: i64,
    /// The last sign of life from discovery; none before the first list.
    last_contact_at: Option<Nanos>,
}

/// The module sorts by identity, and all nodes must agree on the order: it comes from the name, which is the
/// same everywhere, and not from the address, which is not.
fn identity(host: &str, probe: u8) -> Endpoint {
    let mut name = host.as_bytes().to_vec();
    name.extend((probe > 0).then_some(probe));
    let h = crate::stable_hash(&name).to_be_bytes();
    Endpoint { address: [h[0], h[1], h[2], h[3]], port: u16::from_be_bytes([h[4], h[5]]) }
}

/// The count of connections to a server.
fn connection_count(process: &Option<Rc<ProcessState>>, addresses: &Addresses) -> Rc<Cell<u32>> {
    match (process, addresses.first()) {
        (Some(process), Some(Some(address))) => process.open_connections(*address),
        _ => Rc::default(),
    }
}

/// A server does not hold its address any more.
fn release_address(holders: &mut BTreeMap<SocketAddr, Endpoint>, endpoint: Endpoint, upstream: &Upstream) {
    if let Some(Some(dial)) = upstream.addresses.first() {
        if holders.get(dial) == Some(&endpoint) {
            holders.remove(dial);
        }
    }
}

impl Fleet {
    /// An empty fleet whose servers each hold at most so many connections of this node's, over all wires.
    pub fn with_cap(max_connections: Option<u32>) -> Self {
        Fleet { max_connections, ..Fleet::default() }
    }

    /// An empty fleet with the same cap, to which the same words on servers count.
    pub(crate) fn with_same_limits(&self) -> Self {
        Fleet {
            max_connections: self.max_connections,
            bans: self.bans.clone(),
            drained: self.drained.clone(),
            ..Fleet::default()
        }
    }

    /// From now on connections to a server count together with those of other services.
    pub(crate) fn share_connection_counts(&mut self, process: Rc<ProcessState>) {
        self.process = Some(process);
    }

    /// Closes a kept connection to a server; false where none is idle.
    pub(crate) fn evict_from(&mut self, host: &str) -> bool {
        let upstream = self.upstreams.get_mut(&self.endpoint(host)).filter(|u| !u.idle.is_empty());
        upstream.map(|u| u.idle.remove(0)).is_some()
    }

    fn endpoint(&self, host: &str) -> Endpoint {
        let free = |e: &Endpoint| self.upstreams.get(e).is_none_or(|u| u.host == host);
        (0..=u8::MAX).map(|probe| identity(host, probe)).find(free).unwrap_or(identity(host, 0))
    }

    /// Takes over a list or changes to it, and puts it into the module's words. Starts are told as Unix time.
    pub fn update(&mut self, now: Nanos, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Server> {
        let servers = self.apply(now, kind, entries);
        if matches!(kind, ListKind::Full | ListKind::Changes) {
            self.last_contact_at = Some(now);
        }
        servers
    }

    /// The wall clock says so much more than the node's own from now on; negative where it is behind.
    pub fn set_wall_clock_offset(&mut self, ahead: i64) {
        self.wall_clock_offset = ahead;
    }

    /// Discovery has given a sign of life: all that it told so far is all that it had to tell.
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
            // Brought to the node's own clock once for each start.
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
                // Another process: what was connected to the old one leads nowhere.
                if self.process.is_some() && upstream.addresses.first() != addresses.first() {
                    upstream.open = connection_count(&self.process, &addresses);
                }
                release_address(&mut self.holders, endpoint, upstream);
                upstream.addresses = addresses;
                upstream.idle.clear();
            }
            (upstream.server, upstream.listed, upstream.listed_start) = (server, listed, listed_start);
            if server.phase == Phase::Ready {
                if upstream.closed_at.take().is_some() && self.bans.is_restored(&upstream.host) {
                    self.restored.push(endpoint);
                }
            } else {
                release_address(&mut self.holders, endpoint, upstream);
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
                release_address(&mut self.holders, *endpoint, absent);
                absent.listed.phase = Phase::Removed;
                self.removed.insert((absent.close(now), *endpoint));
            }
        }
        self.displace(now, &mut servers);
        self.forget(now);
        servers
    }

    /// Forgets those that left long ago.
    fn forget(&mut self, now: Nanos) {
        while let Some((at, endpoint)) = self.removed.first().copied() {
            if now.saturating_sub(at) < REMOVED_SERVER_TTL {
                break;
            }
            self.removed.pop_first();
            self.upstreams.remove(&endpoint);
        }
    }

    /// Servers looked at so far to follow lists and to sweep, one for each look.
    pub fn servers_examined(&self) -> u64 {
        self.servers_examined
    }

    /// What has changed by the operators' last word on these servers, in the module's words.
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

    /// A server drains by others' word, or does no longer; whether that is news.
    pub fn set_drained(&mut self, host: &str, drains: bool) -> bool {
        match drains {
            true => self.drained.insert(host.to_owned()),
            false => self.drained.remove(host),
        }
    }

    /// The servers that were put back and have come into use since this was last asked.
    pub fn take_restored(&mut self) -> Vec<Endpoint> {
        std::mem::take(&mut self.restored)
    }

    /// Whether the list has a server of this name.
    pub fn is_listed(&self, host: &str) -> bool {
        self.upstreams.get(&self.endpoint(host)).is_some_and(|u| u.listed.phase != Phase::Removed)
    }

    /// Only the first wire's addresses count: they tell processes apart, while those of others may follow from a rule
    /// of the operator's, whose slip must not take servers out of use on every wire.
    ///
    /// One process listens at an address. Where a newer server has it, the older one is gone, also while the
    /// list still names it: what is sent there reaches the newer one, past all that is counted for it.
    fn displace(&mut self, now: Nanos, servers: &mut Vec<Server>) {
        // Who is not in this list holds an address alone, or none.
        let mut here = BTreeSet::new();
        for endpoint in servers.iter().map(|s| s.endpoint) {
            if let Some(dial) = self.address(endpoint, Wire(0)) {
                here.insert(endpoint);
                here.extend(self.holders.get(&dial));
            }
        }
        self.servers_examined += here.len() as u64;
        let mut holders: BTreeMap<SocketAddr, (Nanos, Endpoint)> = BTreeMap::new();
        let mut gone = Vec::new();
        for u in here.iter().filter_map(|endpoint| self.upstreams.get(endpoint)) {
            let Some(Some(dial)) = u.addresses.first() else { continue };
            // One list's starts compare as they are told.
            let own = (u.listed_start, u.listed.endpoint);
            let Some(other) = holders.insert(*dial, own) else { continue };
            let (older, newer) = if other.0 > own.0 { (own, other) } else { (other, own) };
            holders.insert(*dial, newer);
            gone.push(older.1);
        }
        self.holders.extend(holders.into_iter().map(|(dial, (_, endpoint))| (dial, endpoint)));
        if gone.is_empty() {
            return;
        }
        let told = servers.iter().enumerate().rev();
        let places: BTreeMap<Endpoint, usize> = told.map(|(at, s)| (s.endpoint, at)).collect();
        for endpoint in gone {
            let Some(upstream) = self.upstreams.get_mut(&endpoint) else { continue };
            upstream.close(now);
            let server = Server { phase: Phase::Removed, ..upstream.server };
            match places.get(&endpoint) {
                Some(at) => servers[*at] = server,
                None => servers.push(server),
            }
        }
    }

    /// Sets how many connections of this node's one server may hold from now on. What is above it is closed as it is
    /// given back.
    pub fn set_max_connections(&mut self, most: Option<u32>) {
        self.max_connections = most;
    }

    /// Under which identity the module knows a server, while it is remembered.
    pub fn endpoint_of(&self, host: &str) -> Option<Endpoint> {
        let endpoint = self.endpoint(host);
        self.upstreams.contains_key(&endpoint).then_some(endpoint)
    }

    /// A server's name.
    pub fn host_of(&self, server: Endpoint) -> Option<&str> {
        self.upstreams.get(&server).map(|u| u.host.as_str())
    }

    /// Where a server listens, as long as it may be sent anything new.
    pub fn address(&self, server: Endpoint, wire: Wire) -> Option<SocketAddr> {
        let upstream = self.upstreams.get(&server).filter(|u| u.closed_at.is_none())?;
        upstream.addresses.get(usize::from(wire.0)).copied().flatten()
    }

    /// Where a server belongs, as long as it is remembered.
    pub fn locality(&self, server: Endpoint) -> Option<crate::dispatch::Locality> {
        let server = self.upstreams.get(&server)?.server;
        Some(crate::dispatch::Locality { zone: server.zone, cell: server.cell })
    }

    /// A place for one more connection to a server; where it holds all that it may, one that is kept on another
    /// wire makes room, and `None` says that there is none.
    pub(crate) fn reserve_connection(
        &mut self,
        server: Endpoint,
        wire: Wire,
    ) -> Option<ServerConnectionSlot> {
        let most = self.max_connections.unwrap_or(u32::MAX);
        let upstream = self.upstreams.get_mut(&server)?;
        while upstream.open.get() >= most {
            let other = upstream.idle.iter().position(|i| i.wire != wire)?;
            upstream.idle.remove(other);
        }
        upstream.open.set(upstream.open.get() + 1);
        Some(ServerConnectionSlot(upstream.open.clone()))
    }

    /// The newest kept connection of the wire that is still good, and when it was opened.
    pub fn checkout<C: PooledConnection>(
        &mut self,
        server: Endpoint,
        wire: Wire,
        oldest: Nanos,
    ) -> Option<(Box<C>, Nanos)> {
        let upstream = self.upstreams.get_mut(&server)?;
        while let Some(newest) = upstream.idle.iter().rposition(|i| i.wire == wire) {
            let idle = upstream.idle.remove(newest);
            // One that the server has closed, or on which it said something unasked, would lose a request.
            if idle.since >= oldest && idle.connection.is_reusable() {
                let connection: Box<dyn Any> = idle.connection;
                return connection.downcast().ok().map(|c| (c, idle.opened));
            }
        }
        None
    }

    /// Keeps a connection that was opened then to that address, unless the server has left or moved since.
    pub fn checkin(
        &mut self,
        server: Endpoint,
        (wire, dial): (Wire, SocketAddr),
        connection: Box<dyn PooledConnection>,
        (opened, since): (Nanos, Nanos),
    ) {
        let current = self.address(server, wire) == Some(dial);
        let most = self.max_connections.unwrap_or(u32::MAX);
        if let Some(u) = self.upstreams.get_mut(&server).filter(|_| current) {
            if u.server.started_at <= opened && u.open.get() <= most {
                u.idle.push(Idle { wire, connection, opened, since });
                self.with_idle.insert(server);
            }
        }
    }

    /// Closes what has stood idle since before `oldest` or was closed by its server.
    pub fn sweep(&mut self, oldest: Nanos) {
        self.servers_examined += self.with_idle.len() as u64;
        let upstreams = &mut self.upstreams;
        self.with_idle.retain(|server| {
            let Some(upstream) = upstreams.get_mut(server) else { return false };
            upstream.idle.retain(|i| i.since >= oldest && i.connection.is_reusable());
            !upstream.idle.is_empty()
        });
    }

    /// Closes the connection that has stood idle longest; false where none is idle.
    pub fn evict(&mut self) -> bool {
        let since = |server: &&Endpoint| Some(self.upstreams.get(server)?.idle.first()?.since);
        let with_idle = self.with_idle.iter().filter(|server| since(server).is_some());
        let longest = with_idle.min_by_key(since).copied();
        let upstream = longest.and_then(|server| self.upstreams.get_mut(&server));
        upstream.map(|u| u.idle.remove(0)).is_some()
    }
}

impl Upstream {
    /// Since when it is closed.
    fn close(&mut self, now: Nanos) -> Nanos {
        self.idle.clear();
        *self.closed_at.get_or_insert(now)
    }
}
